"""Runs that wait at a sidecar and are displaced by more urgent ones."""

import pytest

from gypsumspoke.core.effects import Count, Log, Send
from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs.messages import PlaceRun, RunEnded, WorkerReport
from gypsumspoke.runs.supervisor_state import Phase
from gypsumspoke.runs.values import (
    DisplacementReason,
    EndReason,
    Room,
    RunEnd,
    RunId,
    TaskId,
)
from gypsumspoke.runs.worker_commands import EndedRun, StartCommand
from tests.runs.fleet import small_job
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import CAPACITY, START, ms

ENTRY, OTHER_ENTRY = "entry-1", "entry-2"
HALF = Room(CAPACITY.cpu // 2, 64, 0)
WHOLE = Room(CAPACITY.cpu, 64, 0)
ESTIMATE = ms(200)
AT = ms(380)


def run_id(number, attempt=1):
    return RunId(TaskId(f"j{number}", 0, 0), attempt)


def place(
    number, at=AT, priority=1, due=ms(400), room=HALF, entry=ENTRY, attempt=1, age=ms(0)
):
    message = PlaceRun(
        at - age,
        run_id(number, attempt),
        room,
        priority,
        ESTIMATE,
        ms(4000),
        "x",
        due,
    )
    return Received(entry, message)


def full_sidecar():
    """Return a sidecar whose worker is full until about 400 ms."""
    sidecar = LoneSidecar()
    for at in (0, 70, 140):
        sidecar.handle(ms(at), Tick())
        sidecar.handle_list(ms(at + 5))
    for entry in (ENTRY, OTHER_ENTRY):
        sidecar.handle(ms(190), PeerConnected(entry))
    for number in (1, 2):
        effects = sidecar.handle(ms(200), place(number, ms(200)))
        assert starts(effects) == [run_id(number)]
    sidecar.handle_list(ms(210), running=(run_id(1), run_id(2)))
    return sidecar


def sidecar_with_two_waiting(**values):
    """Return a full sidecar where runs 3 and 4 wait for all room that is expected."""
    sidecar = full_sidecar()
    for number, due in ((3, ms(400)), (4, ms(420))):
        assert not ends(sidecar.handle(AT, place(number, due=due, **values)))
    return sidecar


def ends(effects):
    return [
        (effect.to, effect.message)
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, RunEnded)
    ]


def ended_runs(effects):
    return [message.run for _, message in ends(effects)]


def starts(effects):
    return [effect.run for effect in effects if isinstance(effect, StartCommand)]


def waiting(sidecar):
    return [
        local.run
        for local in sidecar.state.runs.values()
        if local.phase is Phase.WAITING
    ]


def test_an_urgent_run_displaces_the_last_of_less_urgent_ones():
    """The urgent run was sent back, and its job was late, while long ones waited."""
    sidecar = sidecar_with_two_waiting(entry=OTHER_ENTRY)
    effects = sidecar.handle(AT, place(5, priority=0, due=ms(250)))
    ((to, end),) = ends(effects)
    assert (to, end.run) == (OTHER_ENTRY, run_id(4))
    assert (end.end, end.reason) == (RunEnd.NOT_RUN, EndReason.ROOM_TAKEN)
    done = EndedRun(1, run_id(1), RunEnd.DONE, False)
    effects = sidecar.handle_list(ms(400), running=(run_id(2),), ended=(done,))
    assert starts(effects) == [run_id(5)]
    done = EndedRun(2, run_id(2), RunEnd.DONE, False)
    effects = sidecar.handle_list(ms(405), running=(run_id(5),), ended=(done,))
    assert starts(effects) == [run_id(3)]


def test_a_displaced_run_is_reported_logged_and_counted():
    sidecar = sidecar_with_two_waiting(entry=OTHER_ENTRY)
    effects = sidecar.handle(AT + ms(5), place(5, priority=0, due=ms(250)))
    assert Count(DisplacementReason.PRIORITY) in effects
    assert Count(EndReason.ROOM_TAKEN) in effects
    (line,) = [
        dict(effect.fields)
        for effect in effects
        if isinstance(effect, Log) and effect.event == "run displaced"
    ]
    assert (line["job"], line["entry"], line["reason"]) == (
        "j4",
        OTHER_ENTRY,
        "priority",
    )
    assert (line["for_job"], line["for_entry"], line["waited_ms"]) == ("j5", ENTRY, 5)
    messages = [
        type(effect.message)
        for effect in effects
        if isinstance(effect, Send) and effect.to == OTHER_ENTRY
    ]
    assert messages == [WorkerReport, RunEnded]


@pytest.mark.parametrize(
    "due, displaced",
    [
        (ms(390), 4),
        # As long as run 4, which came first.
        (ms(420), 5),
        (ms(500), 5),
        # Can't be in time.
        (ms(100), 5),
        (None, 4),
    ],
)
def test_within_a_priority_runs_in_time_and_due_earlier_stay(due, displaced):
    sidecar = sidecar_with_two_waiting()
    effects = sidecar.handle(AT, place(5, due=due))
    assert ended_runs(effects) == [run_id(displaced)]


def test_runs_of_earlier_versions_wait_in_order_of_arrival():
    """Nothing changes for entries that send no due time."""
    sidecar = full_sidecar()
    for number in (3, 4):
        sidecar.handle(AT, place(number, due=None))
    assert ended_runs(sidecar.handle(AT, place(5, due=None))) == [run_id(5)]
    done = EndedRun(1, run_id(1), RunEnd.DONE, False)
    effects = sidecar.handle_list(ms(400), running=(run_id(2),), ended=(done,))
    assert starts(effects) == [run_id(3)]


def test_a_run_that_does_not_fit_in_their_place_displaces_none():
    sidecar = full_sidecar()
    sidecar.handle(AT, place(3, priority=0, due=ms(250)))
    sidecar.handle(AT, place(4))
    effects = sidecar.handle(AT, place(5, priority=0, due=ms(300), room=WHOLE))
    assert ended_runs(effects) == [run_id(5)]
    assert waiting(sidecar) == [run_id(3), run_id(4)]


def test_started_runs_are_never_displaced():
    sidecar = full_sidecar()
    effects = sidecar.handle(ms(220), place(5, ms(220), priority=0, due=ms(250)))
    assert ended_runs(effects) == [run_id(5)]
    assert {local.phase for local in sidecar.state.runs.values()} == {Phase.RUNNING}


def test_a_run_that_waits_for_an_older_run_of_its_task_is_not_displaced():
    """Its job moved here from an entry that was lost, and the worker is its place."""
    sidecar = full_sidecar()
    sidecar.handle(AT, place(1, entry=OTHER_ENTRY, attempt=2, priority=2, due=ms(900)))
    sidecar.handle(AT, place(4, priority=0, due=ms(300)))
    assert waiting(sidecar) == [run_id(1, 2), run_id(4)]
    effects = sidecar.handle(AT, place(5, priority=0, due=ms(310)))
    assert ended_runs(effects) == [run_id(5)]
    effects = sidecar.handle(AT, place(6, priority=0, due=ms(290)))
    assert ended_runs(effects) == [run_id(4)]


def test_a_run_that_waits_for_the_lease_neither_is_displaced_nor_displaces():
    """It isn't for want of room that it waits, and room would be left unused."""
    sidecar = full_sidecar()
    # As after a restart of the worker: too long for entries heard 200 ms ago.
    lease = sidecar.state.lease._replace(ends_by=START + AT + ms(1000))
    sidecar.state.lease = lease
    old = dict(entry=OTHER_ENTRY, age=ms(200))
    sidecar.handle(AT, place(3, priority=2, due=ms(900), **old))
    sidecar.handle(AT, place(4, priority=1))
    assert waiting(sidecar) == [run_id(3), run_id(4)]
    effects = sidecar.handle(AT, place(5, priority=0, due=ms(250)))
    assert ended_runs(effects) == [run_id(4)]
    effects = sidecar.handle(AT, place(6, priority=0, due=ms(210), **old))
    assert ended_runs(effects) == [run_id(6)]


def test_entries_say_when_the_job_of_a_run_is_late():
    world = settled()
    world.submit("entry0", "r1", small_job("j1", 1))
    world.run(ms(50))
    (message,) = [
        effect.message
        for _, _, effect in world.log
        if isinstance(effect, Send) and isinstance(effect.message, PlaceRun)
    ]
    # 1.6 times 200 ms, and 60 ms.
    assert message.due == ms(380)
