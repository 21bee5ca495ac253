"""Late answers and heartbeats of a worker's other incarnations."""

from datetime import timedelta

import pytest

from gypsumspoke.core.effects import Count, Send
from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs.budget import DEFAULT_BOUNDS, DEFAULT_BUDGET, budget_for
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.messages import PlaceRun, ReportAck, RunEnded, WithdrawRun
from gypsumspoke.runs.supervisor_commands import STOP_RETRY_INTERVAL
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.values import (
    EndReason,
    IgnoredHeartbeat,
    Registration,
    RunEnd,
    RunId,
    TaskId,
    WorkerReady,
)
from gypsumspoke.runs.worker_commands import (
    CommandAnswered,
    CommandKind,
    CommandResult,
    HeartbeatArrived,
    RenewalFailed,
    RenewCommand,
    StartCommand,
    StopCommand,
)
from gypsumspoke.runs.worker_heartbeats import (
    HELD_FOR,
    MAX_INCARNATIONS,
    WorkerHeartbeats,
)
from tests.runs.lone_sidecar import INCARNATION, LoneSidecar, registration
from tests.runs.test_orphans import is_clean
from tests.runs.test_worker_record import place, refusals, starts
from tests.runs.world import SERVICE, START, TASK_ROOM, TASK_TIME, ms

ENTRY = "entry-1"
RUN = RunId(TaskId("j1", 0, 0), 1)
OLD_CLOCK = ms(90_000)
NEW_CLOCK = ms(10)


def sidecar_whose_worker_restarted() -> LoneSidecar:
    """Return a sidecar with a run withdrawn at 200 ms and a restart seen at 250 ms."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=OLD_CLOCK - ms(300))
    sidecar.handle(ms(4), PeerConnected(ENTRY))
    message = PlaceRun(ms(100), RUN, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    sidecar.handle(ms(100), Received(ENTRY, message))
    sidecar.handle(ms(200), Received(ENTRY, WithdrawRun(RUN)))
    sidecar.handle_list(
        ms(250), sent_at=ms(249), listed_at=NEW_CLOCK, incarnation=INCARNATION + 1
    )
    return sidecar


def late_answer(kind: CommandKind) -> CommandAnswered:
    sent = START + ms(200)
    return CommandAnswered(kind, RUN, CommandResult.ACCEPTED, OLD_CLOCK, sent)


def test_a_stop_accepted_by_the_previous_incarnation_is_sent_to_the_next():
    """Otherwise the run keeps its room until the new clock reaches that time."""
    sidecar = sidecar_whose_worker_restarted()
    sidecar.handle(ms(251), late_answer(CommandKind.STOP))
    effects = sidecar.handle(ms(251) + STOP_RETRY_INTERVAL, Tick())
    assert StopCommand(RUN, "w-1", sidecar.state.token) in effects


def test_a_clock_of_the_previous_incarnation_does_not_lengthen_the_lease():
    sidecar = sidecar_whose_worker_restarted()
    sidecar.handle(ms(251), late_answer(CommandKind.START))
    effects = sidecar.handle(ms(600), Tick())
    (renewal,) = [effect for effect in effects if isinstance(effect, RenewCommand)]
    assert renewal.lease_end <= NEW_CLOCK + ms(600 - 250) + DEFAULT_BUDGET.lease


@pytest.mark.parametrize("resend, starts_at_once", [(1300, True), (400, False)])
def test_nothing_starts_on_a_lease_that_may_outlast_the_budget(resend, starts_at_once):
    """A command with a lease end on the old clock may have given the new incarnation
    its maximum lease, which exceeds the time budget where callers resubmit early.
    """
    budget = budget_for(DEFAULT_BOUNDS._replace(resend=ms(resend))).unwrap()
    state = SupervisorState(SERVICE, Directory("", ()), START, budget)
    sidecar = LoneSidecar(state)
    sidecar.handle(ms(0), HeartbeatArrived(registration()))
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=OLD_CLOCK)
    sidecar.handle_list(
        ms(50), sent_at=ms(40), listed_at=NEW_CLOCK, incarnation=INCARNATION + 1
    )
    started = []
    for at in (ms(60), ms(50) + budget.max_lease_on_slow_clock):
        sidecar.handle(at, Received(ENTRY, ReportAck(at)))
        sidecar.handle_list(at, listed_at=NEW_CLOCK + at, incarnation=INCARNATION + 1)
        run = RunId(TaskId(f"j{len(started)}", 0, 0), 1)
        message = PlaceRun(at, run, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
        effects = sidecar.handle(at, Received(ENTRY, message))
        started.append(any(isinstance(effect, StartCommand) for effect in effects))
    assert started == [starts_at_once, True]


def test_a_heartbeat_of_the_previous_incarnation_does_not_hide_running_runs():
    """A sidecar that has just started finds a run at its worker and has it stopped. A
    late heartbeat must not make it forget the run and report itself as clean.
    """
    state = SupervisorState(SERVICE, Directory("", ()), START)
    sidecar = LoneSidecar(state)
    sidecar.handle_list(
        ms(3), sent_at=ms(1), listed_at=ms(2), incarnation=INCARNATION + 1, token=0
    )
    sidecar.handle_list(
        ms(6), [RUN], sent_at=ms(4), listed_at=ms(5), incarnation=INCARNATION + 1
    )
    sidecar.handle(ms(7), HeartbeatArrived(registration(INCARNATION)))
    sidecar.handle(ms(8), HeartbeatArrived(registration(INCARNATION + 1)))
    sidecar.handle_list(
        ms(10), sent_at=ms(9), listed_at=ms(9), incarnation=INCARNATION + 1
    )
    assert not is_clean(sidecar, ms(11))


def test_an_uncertain_start_is_not_reported_as_not_run_after_a_restart():
    """The worker may have run an unanswered start before it restarted."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=OLD_CLOCK - ms(300))
    sidecar.handle(ms(4), PeerConnected(ENTRY))
    message = PlaceRun(ms(100), RUN, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    sidecar.handle(ms(100), Received(ENTRY, message))
    unanswered = CommandAnswered(CommandKind.START, RUN, CommandResult.UNANSWERED)
    sidecar.handle(ms(200), unanswered)
    sidecar.handle_list(
        ms(212), sent_at=ms(211), listed_at=NEW_CLOCK, incarnation=INCARNATION + 1
    )
    stopped = CommandAnswered(
        CommandKind.STOP,
        RUN,
        CommandResult.ACCEPTED,
        NEW_CLOCK + ms(3),
        START + ms(213),
    )
    sidecar.handle(ms(216), stopped)
    effects = sidecar.handle_list(
        ms(400), listed_at=NEW_CLOCK + ms(180), incarnation=INCARNATION + 1
    )
    (ended,) = [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, RunEnded)
    ]
    assert ended.end is RunEnd.STOPPED


def draining(incarnation: int, sequence: int = 2) -> Registration:
    """Return a heartbeat of a worker that drains."""
    return registration(incarnation)._replace(
        sequence=sequence, state=WorkerReady.DRAINING
    )


def restarted(sidecar: LoneSidecar, at: timedelta, incarnation: int) -> None:
    """Let the worker's list name another incarnation."""
    sidecar.handle_list(
        at, sent_at=at - ms(1), listed_at=ms(1), incarnation=incarnation
    )


def test_heartbeats_are_used_after_the_time_of_day_jumped_back():
    """Otherwise tasks start on a worker whose later incarnation drains."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    restarted(sidecar, ms(50), INCARNATION - 1)
    sidecar.handle(ms(60), HeartbeatArrived(draining(INCARNATION - 1, 1)))
    assert sidecar.state.worker == draining(INCARNATION - 1, 1)
    assert refusals(place(sidecar, ms(70))) == [EndReason.WORKER_DRAINING]


def test_a_heartbeat_before_the_first_list_is_used_with_that_list():
    """The next one comes up to 1.5 s later, and a draining worker says so at once."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    effects = sidecar.handle(ms(40), HeartbeatArrived(draining(INCARNATION - 1, 1)))
    assert Count(IgnoredHeartbeat.UNCONFIRMED) in effects
    assert sidecar.state.worker == registration()
    restarted(sidecar, ms(50), INCARNATION - 1)
    assert sidecar.state.worker == draining(INCARNATION - 1, 1)
    assert refusals(place(sidecar, ms(60))) == [EndReason.WORKER_DRAINING]


def test_waiting_runs_are_sent_back_when_a_list_shows_that_the_worker_drains():
    """A run that waits for an older one to end must not start on a draining worker."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    sidecar.handle(ms(4), PeerConnected(ENTRY))
    assert starts(place(sidecar, ms(10)))
    next_run = RUN._replace(number=2)
    message = PlaceRun(ms(20), next_run, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    assert not starts(sidecar.handle(ms(20), Received(ENTRY, message)))
    sidecar.handle(ms(40), HeartbeatArrived(draining(INCARNATION - 1)))
    effects = sidecar.handle_list(
        ms(50), sent_at=ms(49), listed_at=ms(1), incarnation=INCARNATION - 1
    )
    assert EndReason.WORKER_DRAINING in refusals(effects)


def test_a_late_heartbeat_of_an_ended_incarnation_is_not_used():
    """Its start time may be the later one of the two."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    restarted(sidecar, ms(50), INCARNATION - 1)
    sidecar.handle(ms(60), HeartbeatArrived(draining(INCARNATION - 1)))
    late = registration(INCARNATION)._replace(sequence=9)
    effects = sidecar.handle(ms(70), HeartbeatArrived(late))
    assert Count(IgnoredHeartbeat.INCARNATION_ENDED) in effects
    assert sidecar.state.worker == draining(INCARNATION - 1)
    assert sidecar.state.worker_incarnation == INCARNATION - 1


def test_a_late_heartbeat_of_an_unknown_incarnation_is_given_up_with_the_next_list():
    """A sidecar that has just started can't know that the incarnation has ended. The
    worker's own heartbeat must be in use again before its next one.
    """
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    sidecar.handle(ms(10), HeartbeatArrived(draining(INCARNATION)))
    sidecar.handle(ms(20), HeartbeatArrived(registration(INCARNATION + 5)))
    restarted(sidecar, ms(50), INCARNATION)
    assert sidecar.state.worker == draining(INCARNATION)
    sidecar.handle(ms(60), HeartbeatArrived(registration(INCARNATION + 5)))
    assert sidecar.state.worker == draining(INCARNATION)


def test_an_earlier_heartbeat_is_not_used_without_an_answer_of_the_worker():
    """It may come from an incarnation that ended long ago."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    sidecar.handle(ms(40), HeartbeatArrived(draining(INCARNATION - 1)))
    for at in range(50, 500, 50):
        sidecar.handle_list(ms(at), sent_at=ms(at - 1))
    assert sidecar.state.worker == registration()


def other_worker(state: SupervisorState) -> RenewalFailed:
    """Return the refusal of the latest renewal by a worker with another id."""
    return RenewalFailed(
        CommandResult.OTHER_WORKER, number=state.renewal_number, worker=state.worker_id
    )


def test_a_worker_with_another_id_is_used_after_a_clock_step():
    """It refuses all commands for the earlier id, so no list can name it."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    successor = registration(INCARNATION - 1)._replace(id="w-2")
    sidecar.handle(ms(40), HeartbeatArrived(successor))
    assert sidecar.state.worker == registration()
    effects = sidecar.handle(ms(50), other_worker(sidecar.state))
    assert sidecar.state.worker == successor
    (renewal,) = [effect for effect in effects if isinstance(effect, RenewCommand)]
    assert renewal.worker == "w-2"
    restarted(sidecar, ms(110), INCARNATION - 1)
    sidecar.handle(ms(120), HeartbeatArrived(registration()._replace(sequence=9)))
    assert sidecar.state.worker == successor


def test_a_refusal_of_a_command_for_an_earlier_worker_changes_nothing():
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    refusal = other_worker(sidecar.state)
    sidecar.handle(
        ms(40), HeartbeatArrived(registration(INCARNATION - 1)._replace(id="w-2"))
    )
    successor = registration(INCARNATION + 1)._replace(id="w-3")
    sidecar.handle(ms(45), HeartbeatArrived(successor))
    sidecar.handle(ms(50), refusal)
    assert sidecar.state.worker == successor


def test_a_held_heartbeat_expires():
    """A worker that stopped sending them is gone."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    sidecar.handle(
        ms(40), HeartbeatArrived(registration(INCARNATION - 1)._replace(id="w-2"))
    )
    sidecar.handle(ms(40) + HELD_FOR, other_worker(sidecar.state))
    assert sidecar.state.worker == registration()


def test_the_memory_of_incarnations_is_bounded():
    heartbeats = WorkerHeartbeats()
    for number in range(3 * MAX_INCARNATIONS):
        heartbeats.hold(registration(number), START)
        heartbeats.record_end(1000 + number)
    held = [heartbeats.confirm(number) for number in range(3 * MAX_INCARNATIONS)]
    assert sum(each is not None for each in held) == MAX_INCARNATIONS
    ended = [heartbeats.has_ended(1000 + n) for n in range(3 * MAX_INCARNATIONS)]
    assert sum(ended) == MAX_INCARNATIONS
