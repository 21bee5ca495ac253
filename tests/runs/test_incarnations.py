"""Late answers of a worker's previous incarnation."""

import pytest

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs.budget import DEFAULT_BOUNDS, DEFAULT_BUDGET, budget_for
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.messages import PlaceRun, ReportAck, RunEnded, WithdrawRun
from gypsumspoke.runs.supervisor_commands import STOP_RETRY_INTERVAL
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.values import RunEnd, RunId, TaskId
from gypsumspoke.runs.worker_commands import (
    CommandAnswered,
    CommandKind,
    CommandResult,
    HeartbeatArrived,
    RenewCommand,
    StartCommand,
    StopCommand,
)
from tests.runs.lone_sidecar import INCARNATION, LoneSidecar, registration
from tests.runs.test_orphans import is_clean
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
