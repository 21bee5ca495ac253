"""Runs that a new sidecar finds at its worker."""

from datetime import timedelta

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected
from gypsumspoke.runs import guard
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.guard_state import GuardState
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.orders import (
    EndedRun,
    HeartbeatArrived,
    HoldAnswered,
    RunningRun,
    StopOrder,
)
from gypsumspoke.runs.values import Registration, RunEnd, RunId, TaskId, WorkerReady
from tests.runs.world import CAPACITY, SERVICE, START, ms

FOUND = RunId(TaskId("j1", 0, 0), 1)
LIFE = 7


class Sidecar:
    """The reducer of a sidecar that has just started, and its worker's lists."""

    def __init__(self) -> None:
        self.state = GuardState(SERVICE, Directory("", ()), START)
        registration = Registration(
            "w-1", LIFE, 1, SERVICE, WorkerReady.READY, CAPACITY, (), timedelta()
        )
        guard.reduce(self.state, HeartbeatArrived(registration), START)

    def take_list(self, at, running=(), ended=()):
        """Take the worker's list of a moment."""
        now = START + at
        listed = tuple(RunningRun(run, 50) for run in running)
        event = HoldAnswered(now, at, LIFE, listed, tuple(ended))
        return guard.reduce(self.state, event, now)

    def is_clean(self, at) -> bool:
        """Return what an entry that connects now is told."""
        effects = guard.reduce(self.state, PeerConnected("entry-1"), START + at)
        (message,) = [
            effect.message
            for effect in effects
            if isinstance(effect, Send) and isinstance(effect.message, WorkerReport)
        ]
        return message.clean and message.takes_work


def test_a_run_that_is_being_stopped_for_a_new_sidecar_is_at_work():
    """A sidecar's process is replaced beside a run of its predecessor. It has the run
    stopped, and the next list comes at once and lacks it, though it is at work until
    the stop has taken effect. Called clean by then, the sidecar gets the same task
    again and starts it beside the old run.
    """
    sidecar = Sidecar()
    effects = sidecar.take_list(ms(100), running=[FOUND])
    assert any(isinstance(effect, StopOrder) for effect in effects)
    sidecar.take_list(ms(102), running=[FOUND])
    sidecar.take_list(ms(105))
    assert not sidecar.is_clean(ms(106))
    sidecar.take_list(ms(150))
    assert not sidecar.is_clean(ms(151))
    sidecar.take_list(ms(170))
    assert sidecar.is_clean(ms(171))


def test_a_run_whose_end_is_listed_is_gone():
    sidecar = Sidecar()
    sidecar.take_list(ms(100), running=[FOUND])
    sidecar.take_list(ms(105))
    sidecar.take_list(ms(110), ended=[EndedRun(1, FOUND, RunEnd.STOPPED, False)])
    assert sidecar.is_clean(ms(111))
