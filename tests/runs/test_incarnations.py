"""Answers of a worker's earlier life that come after the next one showed."""

import pytest

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs.budget import DEFAULT_BOUNDS, DEFAULT_BUDGET, budget_for
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.messages import PlaceRun, Pulse, RunEnded, WithdrawRun
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
from tests.runs.lone_sidecar import LIFE, LoneSidecar, registration
from tests.runs.test_orphans import is_clean
from tests.runs.world import SERVICE, START, TASK_ROOM, TASK_TIME, ms

ENTRY = "entry-1"
RUN = RunId(TaskId("j1", 0, 0), 1)
OLD_CLOCK = ms(90_000)
NEW_CLOCK = ms(10)


def sidecar_whose_worker_was_born_again() -> LoneSidecar:
    """Return one that withdrew a run at 200 ms and knows a new life since 250 ms."""
    sidecar = LoneSidecar()
    sidecar.take_list(ms(3), asked=ms(1), made=OLD_CLOCK - ms(300))
    sidecar.take(ms(4), PeerConnected(ENTRY))
    message = PlaceRun(ms(100), RUN, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    sidecar.take(ms(100), Received(ENTRY, message))
    sidecar.take(ms(200), Received(ENTRY, WithdrawRun(RUN)))
    sidecar.take_list(ms(250), asked=ms(249), made=NEW_CLOCK, life=LIFE + 1)
    return sidecar


def late_answer(kind: CommandKind) -> CommandAnswered:
    sent = START + ms(200)
    return CommandAnswered(kind, RUN, CommandResult.ACCEPTED, OLD_CLOCK, sent)


def test_a_stop_that_the_earlier_life_accepted_is_sent_to_the_next():
    """Taken for accepted, at a time far ahead on the new clock, the run's room was held
    for as long as the earlier life had lasted.
    """
    sidecar = sidecar_whose_worker_was_born_again()
    sidecar.take(ms(251), late_answer(CommandKind.STOP))
    effects = sidecar.take(ms(251) + STOP_RETRY_INTERVAL, Tick())
    assert StopCommand(RUN, "w-1", sidecar.state.token) in effects


def test_a_clock_of_the_earlier_life_does_not_lengthen_the_lease_of_the_next():
    sidecar = sidecar_whose_worker_was_born_again()
    sidecar.take(ms(251), late_answer(CommandKind.START))
    effects = sidecar.take(ms(600), Tick())
    (hold,) = [effect for effect in effects if isinstance(effect, RenewCommand)]
    assert hold.lease_end <= NEW_CLOCK + ms(600 - 250) + DEFAULT_BUDGET.lease


@pytest.mark.parametrize("resend, starts_at_once", [(1300, True), (400, False)])
def test_nothing_starts_on_a_lease_that_may_outlast_the_budget(resend, starts_at_once):
    """A sidecar was paused while its worker was born again, and the next order named a
    time of the old clock. The new life shortens such a lease to its maximum only. Where
    callers come back early, a run that starts there could outlive the time budget.
    """
    budget = budget_for(DEFAULT_BOUNDS._replace(resend=ms(resend))).unwrap()
    state = SupervisorState(SERVICE, Directory("", ()), START, budget)
    sidecar = LoneSidecar(state)
    sidecar.take(ms(0), HeartbeatArrived(registration()))
    sidecar.take_list(ms(3), asked=ms(1), made=OLD_CLOCK)
    sidecar.take_list(ms(50), asked=ms(40), made=NEW_CLOCK, life=LIFE + 1)
    started = []
    for at in (ms(60), ms(50) + budget.max_lease_on_slow_clock):
        sidecar.take(at, Received(ENTRY, Pulse(at)))
        sidecar.take_list(at, made=NEW_CLOCK + at, life=LIFE + 1)
        run = RunId(TaskId(f"j{len(started)}", 0, 0), 1)
        message = PlaceRun(at, run, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
        effects = sidecar.take(at, Received(ENTRY, message))
        started.append(any(isinstance(effect, StartCommand) for effect in effects))
    assert started == [starts_at_once, True]


def test_a_heartbeat_of_the_earlier_life_does_not_hide_what_the_next_one_runs():
    """A sidecar that has just started finds a run at its worker and has it stopped. A
    heartbeat of the worker's earlier life, which a cut held up, is the first that it
    hears. It made the sidecar forget the run and call itself clean.
    """
    state = SupervisorState(SERVICE, Directory("", ()), START)
    sidecar = LoneSidecar(state)
    sidecar.take_list(ms(3), asked=ms(1), made=ms(2), life=LIFE + 1, token=0)
    sidecar.take_list(ms(6), [RUN], asked=ms(4), made=ms(5), life=LIFE + 1)
    sidecar.take(ms(7), HeartbeatArrived(registration(LIFE)))
    sidecar.take(ms(8), HeartbeatArrived(registration(LIFE + 1)))
    sidecar.take_list(ms(10), asked=ms(9), made=ms(9), life=LIFE + 1)
    assert not is_clean(sidecar, ms(11))


def test_a_start_that_an_earlier_life_may_have_carried_out_is_not_told_as_not_run():
    """A worker carries a start out, its answer is lost, and it is born again. The next
    life knows nothing of the run, and a caller was told "not run" of a job that ran.
    """
    sidecar = LoneSidecar()
    sidecar.take_list(ms(3), asked=ms(1), made=OLD_CLOCK - ms(300))
    sidecar.take(ms(4), PeerConnected(ENTRY))
    message = PlaceRun(ms(100), RUN, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    sidecar.take(ms(100), Received(ENTRY, message))
    unanswered = CommandAnswered(CommandKind.START, RUN, CommandResult.UNANSWERED)
    sidecar.take(ms(200), unanswered)
    sidecar.take_list(ms(212), asked=ms(211), made=NEW_CLOCK, life=LIFE + 1)
    stopped = CommandAnswered(
        CommandKind.STOP,
        RUN,
        CommandResult.ACCEPTED,
        NEW_CLOCK + ms(3),
        START + ms(213),
    )
    sidecar.take(ms(216), stopped)
    effects = sidecar.take_list(ms(400), made=NEW_CLOCK + ms(180), life=LIFE + 1)
    (ended,) = [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, RunEnded)
    ]
    assert ended.end is RunEnd.STOPPED
