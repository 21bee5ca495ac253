"""Restarted sidecars that know their workers from records in the store."""

from datetime import timedelta

import pytest

from gypsumspoke.core.effects import Count, Log
from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.messages import PlaceRun, ReportAck, RunEnded
from gypsumspoke.runs.supervisor_report import can_start
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.values import (
    EndReason,
    JobEnd,
    RunId,
    TaskId,
    WorkerReady,
    WorkerRecordEvent,
)
from gypsumspoke.runs.worker_commands import (
    CommandResult,
    HeartbeatArrived,
    RenewalFailed,
    StartCommand,
    WorkerLeft,
)
from gypsumspoke.runs.worker_record import (
    PACE_WRITE_INTERVAL,
    WRITE_INTERVAL,
    StoreWorkerRecord,
    WorkerRecord,
    WorkerRecordRead,
    WorkerRecords,
)
from tests.runs.lone_sidecar import INCARNATION, LoneSidecar, registration
from tests.runs.world import (
    CAPACITY,
    SERVICE,
    START,
    TASK_ROOM,
    TASK_TIME,
    World,
    job,
    ms,
)

ENTRY = "entry-1"
RECORD = WorkerRecord(
    "w-1", INCARNATION, SERVICE, WorkerReady.READY, CAPACITY, ("a", "r1"), 1.5
)
READ = WorkerRecordRead(RECORD)
NEXT = INCARNATION + 1


def new_sidecar(*events) -> LoneSidecar:
    """Return a sidecar that has just started, with an entry and no heartbeat."""
    state = SupervisorState(SERVICE, Directory("", ()), START)
    sidecar = LoneSidecar(state)
    sidecar.handle(ms(0), PeerConnected(ENTRY))
    for event in events:
        sidecar.handle(ms(1), event)
    return sidecar


def place(sidecar, at, number=1):
    """Place a run; return the effects."""
    run = RunId(TaskId(f"j{number}", 0, 0), 1)
    message = PlaceRun(at, run, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    return sidecar.handle(at, Received(ENTRY, message))


def prove(sidecar, incarnation=INCARNATION, first=ms(2)):
    """Let the worker answer renewals until a sidecar knows all its runs."""
    effects = []
    for number in range(3):
        at = first + number * ms(100)
        sidecar.handle(at, Received(ENTRY, ReportAck(at)))
        effects += sidecar.handle_list(at, incarnation=incarnation)
    return effects


def starts(effects):
    return [effect for effect in effects if isinstance(effect, StartCommand)]


def counted(effects):
    """Return the record events that were counted."""
    counts = [each.what for each in effects if isinstance(each, Count)]
    return [what for what in counts if isinstance(what, WorkerRecordEvent)]


def dropped_because(effects):
    """Return the reasons in the log lines of dropped records."""
    logs = [effect for effect in effects if isinstance(effect, Log)]
    return [
        dict(log.fields)["reason"]
        for log in logs
        if log.event == "worker record dropped"
    ]


def refusals(effects):
    messages = [getattr(effect, "message", None) for effect in effects]
    return [each.reason for each in messages if isinstance(each, RunEnded)]


# Use of the record


def test_the_worker_is_known_once_it_has_named_the_incarnation():
    """The sidecar waited for a heartbeat, and had lost the pace."""
    sidecar = new_sidecar(READ)
    assert sidecar.state.worker is None
    assert counted(prove(sidecar)) == [WorkerRecordEvent.RESTORED]
    assert sidecar.state.pace == RECORD.pace
    (start,) = starts(place(sidecar, ms(210)))
    assert start.worker == "w-1"


def test_a_record_that_is_read_after_the_answer_is_used_too():
    sidecar = new_sidecar()
    assert not counted(prove(sidecar))
    assert counted(sidecar.handle(ms(203), READ)) == [WorkerRecordEvent.RESTORED]
    assert starts(place(sidecar, ms(210)))


@pytest.mark.parametrize(
    "event",
    [
        Tick(),
        RenewalFailed(CommandResult.FENCED, ms(5000), token=0, number=1),
        RenewalFailed(CommandResult.UNANSWERED),
        RenewalFailed(CommandResult.CLOSED),
    ],
)
def test_nothing_but_an_answer_proves_an_incarnation(event):
    """The worker may have restarted since the record was written."""
    sidecar = new_sidecar(READ)
    sidecar.handle(ms(100), event)
    assert sidecar.state.worker is None
    assert refusals(place(sidecar, ms(101))) == [EndReason.WORKER_UNKNOWN]


def test_an_answer_without_an_incarnation_proves_none():
    sidecar = new_sidecar(READ)
    assert not counted(prove(sidecar, incarnation=None))
    assert sidecar.state.worker is None


@pytest.mark.parametrize(
    "read, reason",
    [
        (WorkerRecordRead(RECORD._replace(incarnation=NEXT)), "other_incarnation"),
        (WorkerRecordRead(RECORD._replace(incarnation=1)), "other_incarnation"),
        (WorkerRecordRead(RECORD._replace(service="other")), "other_service"),
        (WorkerRecordRead(None, "id is missing"), "unreadable"),
    ],
)
def test_a_record_that_does_not_fit_is_dropped_with_a_log_line(read, reason):
    """After that the sidecar waits for a heartbeat as without a record."""
    sidecar = new_sidecar()
    effects = [*sidecar.handle(ms(1), read), *prove(sidecar)]
    assert dropped_because(effects) == [reason]
    assert counted(effects) == [WorkerRecordEvent(reason)]
    assert refusals(place(sidecar, ms(210))) == [EndReason.WORKER_UNKNOWN]
    sidecar.handle(ms(300), HeartbeatArrived(registration()))
    sidecar.handle_list(ms(301))
    assert sidecar.state.pace == 0
    assert starts(place(sidecar, ms(302), 2))


def test_a_record_that_is_read_after_a_heartbeat_restores_the_pace_alone():
    """A worker that finds its sidecar again sends a heartbeat at once, and its pace was
    lost.
    """
    sidecar = LoneSidecar()
    effects = sidecar.handle(ms(1), READ)
    assert counted(effects) == [WorkerRecordEvent.PACE_RESTORED]
    assert sidecar.state.worker == registration()
    assert sidecar.state.pace == RECORD.pace
    assert not sidecar.state.records.is_restored


def test_a_pace_of_another_incarnation_is_not_restored():
    """The next incarnation may be of another kind."""
    sidecar = LoneSidecar()
    other = RECORD._replace(incarnation=NEXT)
    effects = sidecar.handle(ms(1), WorkerRecordRead(other))
    assert dropped_because(effects) == ["other_incarnation"]
    assert sidecar.state.pace == 0


def test_a_pace_that_was_observed_is_not_replaced_by_the_record():
    sidecar = LoneSidecar()
    sidecar.state.pace = RECORD.pace * 2
    sidecar.handle(ms(1), READ)
    assert sidecar.state.pace == RECORD.pace * 2


def test_a_missing_record_is_counted():
    effects = new_sidecar().handle(ms(1), WorkerRecordRead(None))
    assert counted(effects) == [WorkerRecordEvent.MISSING]
    assert not dropped_because(effects)


@pytest.mark.parametrize(
    "order", [(READ, WorkerLeft("w-1")), (WorkerLeft("w-1"), READ)]
)
def test_a_worker_that_left_is_not_restored(order):
    """It is about to exit, and may answer until then."""
    sidecar = new_sidecar()
    effects = [each for event in order for each in sidecar.handle(ms(1), event)]
    assert dropped_because(effects) == ["worker_left"]
    prove(sidecar)
    assert sidecar.state.worker is None


def test_a_draining_worker_stays_draining():
    """Runs placed on it would be lost with it."""
    draining = RECORD._replace(state=WorkerReady.DRAINING)
    sidecar = new_sidecar(WorkerRecordRead(draining))
    prove(sidecar)
    assert refusals(place(sidecar, ms(210))) == [EndReason.WORKER_DRAINING]
    assert not can_start(sidecar.state, START + ms(210))


@pytest.mark.parametrize("sequence", [-1, 0, 1, 10**6])
def test_any_heartbeat_of_the_incarnation_replaces_the_record(sequence):
    """The record has no sequence number of the worker's."""
    sidecar = new_sidecar(READ)
    prove(sidecar)
    beat = registration()._replace(sequence=sequence, state=WorkerReady.DRAINING)
    sidecar.handle(ms(210), HeartbeatArrived(beat))
    assert sidecar.state.worker == beat
    assert sidecar.state.pace == RECORD.pace
    sidecar.handle(ms(211), HeartbeatArrived(beat._replace(sequence=sequence - 1)))
    assert sidecar.state.worker == beat


def test_a_late_heartbeat_of_an_earlier_incarnation_does_not_replace_the_record():
    sidecar = new_sidecar(READ)
    prove(sidecar)
    sidecar.handle(ms(210), HeartbeatArrived(registration(INCARNATION - 1)))
    assert sidecar.state.worker.incarnation == INCARNATION
    assert starts(place(sidecar, ms(211)))


def test_a_heartbeat_of_a_later_incarnation_replaces_the_record():
    sidecar = new_sidecar(READ)
    prove(sidecar)
    sidecar.handle(ms(210), HeartbeatArrived(registration(NEXT)))
    assert sidecar.state.worker == registration(NEXT)
    assert sidecar.state.pace == 0


# Late answers


def test_a_restored_worker_is_dropped_when_an_answer_names_another_incarnation():
    """The answer that proved the record may have been late. The next incarnation must
    not get runs by the room and the labels of the record.
    """
    sidecar = new_sidecar(READ)
    prove(sidecar)
    effects = sidecar.handle_list(ms(300), listed_at=ms(9), incarnation=NEXT)
    assert dropped_because(effects) == ["other_incarnation"]
    assert sidecar.state.worker is None
    assert not starts(prove(sidecar, NEXT, ms(400)))
    assert refusals(place(sidecar, ms(610))) == [EndReason.WORKER_UNKNOWN]
    sidecar.handle(ms(700), HeartbeatArrived(registration(NEXT)))
    sidecar.handle_list(ms(701), incarnation=NEXT)
    assert starts(place(sidecar, ms(702), 2))


def test_a_worker_known_from_a_heartbeat_is_kept_when_it_restarts():
    """As for a sidecar without a record, only the next heartbeat replaces it."""
    sidecar = new_sidecar(READ)
    prove(sidecar)
    sidecar.handle(ms(210), HeartbeatArrived(registration()))
    effects = sidecar.handle_list(ms(300), listed_at=ms(9), incarnation=NEXT)
    assert not dropped_because(effects)
    assert sidecar.state.worker == registration()


def test_runs_survive_the_loss_of_a_restored_worker():
    """A run that was started on the restored worker must still be ended, and its room
    be freed, without a registration.
    """
    sidecar = new_sidecar(READ)
    prove(sidecar)
    assert starts(place(sidecar, ms(210)))
    sidecar.handle_list(ms(300), listed_at=ms(9), incarnation=NEXT)
    ends = []
    for number in range(1, 30):
        ends += refusals(sidecar.handle(ms(300 + 100 * number), Tick()))
    assert ends and not sidecar.state.runs
    assert sidecar.state.reserved.cpu == 0


def test_a_late_answer_of_an_earlier_incarnation_does_not_prove_its_record():
    """The worker has restarted, and the next incarnation has answered already."""
    sidecar = new_sidecar()
    prove(sidecar, NEXT, ms(10))
    late = sidecar.handle_list(ms(300), sent_at=ms(5), incarnation=INCARNATION)
    effects = [*late, *sidecar.handle(ms(301), READ)]
    assert dropped_because(effects) == ["other_incarnation"]
    assert sidecar.state.worker is None


# Writes


def writes(effects):
    return [each.record for each in effects if isinstance(each, StoreWorkerRecord)]


class Writer:
    """Records of a worker that has registered.

    Args:
      read: the stored record.
    """

    def __init__(self, read=None):
        self.records = WorkerRecords()
        self.records.record_read(WorkerRecordRead(read), SERVICE)
        self.worker = RECORD.registration()
        self.pace = RECORD.pace

    def written(self, at):
        incarnation = self.worker.incarnation
        effects = self.records.to_store(self.worker, incarnation, self.pace, START + at)
        return writes(effects)

    def change(self, **more):
        self.worker = self.worker._replace(**more)


def test_nothing_is_written_before_the_record_was_read():
    """Most often it is the same, and each call to the store has a cost."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(50))
    assert not writes(sidecar.handle(ms(100), Tick()))
    sidecar.handle(ms(110), WorkerRecordRead(None))
    (record,) = writes(sidecar.handle(ms(200), Tick()))
    assert record == RECORD._replace(labels=(), pace=0.0)
    assert not writes(sidecar.handle(ms(9000), Tick()))


def test_a_restored_worker_is_not_written_again():
    sidecar = new_sidecar(READ)
    prove(sidecar)
    assert not writes(sidecar.handle(ms(20_000), Tick()))


def test_heartbeats_alone_are_not_written():
    writer = Writer()
    assert writer.written(ms(0)) == [RECORD]
    for number in range(100):
        writer.change(sequence=number, clock=ms(1500 * number))
        assert not writer.written(ms(1500 * number))


@pytest.mark.parametrize(
    "change",
    [
        {"id": "w-2"},
        {"incarnation": NEXT},
        {"state": WorkerReady.DRAINING},
        {"capacity": TASK_ROOM},
        {"labels": ("b",)},
    ],
)
def test_a_change_is_written_within_two_seconds(change):
    writer = Writer()
    writer.written(ms(0))
    writer.change(**change)
    assert not writer.written(WRITE_INTERVAL - ms(1))
    assert len(writer.written(WRITE_INTERVAL)) == 1
    assert not writer.written(2 * WRITE_INTERVAL)


def test_a_change_after_a_start_is_written_at_once():
    """A sidecar that has just read the record has not written for a while."""
    writer = Writer(RECORD)
    assert not writer.written(ms(0))
    writer.change(state=WorkerReady.DRAINING)
    assert len(writer.written(ms(100))) == 1


def test_a_worker_that_restarts_often_costs_a_write_every_two_seconds():
    writer = Writer()
    count = 0
    for number in range(100):
        writer.change(incarnation=INCARNATION + number // 5)
        count += len(writer.written(ms(100 * number)))
    assert count <= 10_000 / 2000 + 1


@pytest.mark.parametrize("pace, is_written", [(1.8, False), (1.9, True), (1.1, True)])
def test_the_pace_is_written_when_it_has_changed_by_a_quarter(pace, is_written):
    writer = Writer()
    writer.written(ms(0))
    writer.pace = pace
    assert not writer.written(PACE_WRITE_INTERVAL - ms(1))
    assert bool(writer.written(PACE_WRITE_INTERVAL)) is is_written


def test_a_pace_is_not_replaced_by_an_unknown_one():
    """A heartbeat that came before the record leaves the pace unknown."""
    writer = Writer(RECORD)
    writer.pace = 0.0
    assert not writer.written(PACE_WRITE_INTERVAL)
    writer.pace = 3.0
    assert writer.written(PACE_WRITE_INTERVAL)


def test_the_pace_of_a_new_incarnation_is_not_stored_with_the_previous_one():
    """An answer names the new incarnation before its heartbeat arrives."""
    writer = Writer()
    effects = writer.records.to_store(writer.worker, NEXT, 4.0, START)
    assert not writes(effects)


def test_a_worker_whose_answers_name_no_incarnation_is_not_written():
    writer = Writer()
    writer.change(incarnation=0)
    assert not writer.written(ms(0))


# Restart of all sidecars


def world_with_records(sidecars=10, seed=1) -> World:
    """Return a world whose sidecars have stored their records."""
    world = World(2, sidecars, seed)
    world.records = {}
    restart_sidecars(world)
    for number in range(sidecars):
        world.submit("entry0", f"a{number}", job(f"a{number}", count=2))
        world.run(ms(200))
    world.run(ms(1500))
    return world


def restart_sidecars(world) -> None:
    for host in [host for host in world.processes if host.startswith("side")]:
        world.kill(host)
        world.start_sidecar(host)


def time_until(world, share) -> timedelta:
    """Return the time until a share of the workers takes work."""
    since = world.now
    while world.now - since < ms(3000):
        usable = [
            can_start(process.state, world.now)
            for host, process in world.processes.items()
            if host.startswith("side")
        ]
        if sum(usable) >= share * len(usable):
            break
        world.run(ms(10))
    return world.now - since


def restarted(with_records, seed=1) -> tuple[timedelta, timedelta]:
    """Return the times from a restart to the first start and to 90 % of the room."""
    world = world_with_records(seed=seed)
    if not with_records:
        world.records.clear()
    restart_sidecars(world)
    since = world.now
    first = []
    world.on_start = lambda sidecar: first.append(world.now - since)
    world.submit("entry0", "first", job("first", count=1))
    usable = time_until(world, 0.9)
    assert not world.violations
    return first[0], usable


def test_room_is_usable_soon_after_a_restart_of_all_sidecars():
    """Without records the last tenth of the room was usable only after 1.4 s, while
    callers came back.
    """
    first, usable = restarted(with_records=True)
    first_without, usable_without = restarted(with_records=False)
    assert first <= ms(200) and first <= first_without
    assert usable <= ms(300)
    assert usable_without > ms(1000)


def test_jobs_complete_during_a_restart_of_all_sidecars():
    world = world_with_records()
    restart_sidecars(world)
    world.run(ms(300))
    for number in range(10):
        world.submit("entry1", f"b{number}", job(f"b{number}", count=4))
    world.run(ms(1000))
    ends = {world.end_of(f"b{number}") for number in range(10)}
    assert ends == {JobEnd.COMPLETED}
    assert not world.violations


def test_workers_that_restarted_too_are_known_only_from_their_heartbeats():
    """After a power loss the records describe the incarnations before it."""
    world = world_with_records(sidecars=5)
    old = dict(world.records)
    for host in old:
        world.start_worker(host)
    restart_sidecars(world)
    world.run(ms(50))
    for host in old:
        worker = world.processes[host].state.worker
        incarnation = world.worker_incarnations[host]
        assert worker is None or worker.incarnation == incarnation
    world.run(ms(4000))
    assert all(
        world.records[host].incarnation == world.worker_incarnations[host]
        for host in old
    )
    assert not world.violations


def test_few_records_are_written():
    """Each call to the store has a cost: a write for the registration and a few for
    the pace.
    """
    world = world_with_records(sidecars=5)
    count = len([1 for _, _, each in world.log if isinstance(each, StoreWorkerRecord)])
    assert 5 <= count <= 10


def test_a_cold_worker_is_not_written():
    """Restored from the record it would be offered whole."""
    writer = Writer()
    writer.change(cold=ms(4000))
    assert not writer.written(ms(0))
    writer.change(cold=ms(0))
    assert writer.written(ms(100))
