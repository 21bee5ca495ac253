"""Lists of a worker that overtake each other on different connections."""

from datetime import timedelta

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected, Received
from gypsumspoke.runs import guard
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.guard_state import GuardState
from gypsumspoke.runs.messages import PlaceRun, RunEnded
from gypsumspoke.runs.orders import (
    HeartbeatArrived,
    HoldAnswered,
    OrderAnswered,
    OrderKind,
    OrderResult,
    RunningRun,
    StartOrder,
)
from gypsumspoke.runs.values import Registration, RunId, TaskId, WorkerReady
from tests.runs.world import CAPACITY, SERVICE, START, TASK_ROOM, TASK_TIME, ms

ENTRY = "entry-1"
RUN = RunId(TaskId("j1", 0, 0), 1)
LIFE = 7


class Sidecar:
    """The reducer of a sidecar whose worker takes work."""

    def __init__(self) -> None:
        self.state = GuardState(SERVICE, Directory("", ()), START)
        registration = Registration(
            "w-1", LIFE, 1, SERVICE, WorkerReady.READY, CAPACITY, (), timedelta()
        )
        self.take(0, HeartbeatArrived(registration))
        self.take_list(sent=1, clock=2, arrives=3)
        self.take(4, PeerConnected(ENTRY))

    def take(self, at: float, event):
        return guard.reduce(self.state, event, START + ms(at))

    def take_list(self, sent, clock, arrives, running=(), is_extra=False):
        """Take a list by when it was asked for, made and received."""
        listed = tuple(RunningRun(run, 5) for run in running)
        asked = START + ms(sent)
        answer = HoldAnswered(asked, ms(clock), LIFE, listed, (), is_extra)
        return self.take(arrives, answer)

    def start(self, at: float) -> None:
        place = PlaceRun(ms(at), RUN, TASK_ROOM, 1, TASK_TIME, ms(4000), "x")
        effects = self.take(at, Received(ENTRY, place))
        assert any(isinstance(effect, StartOrder) for effect in effects)


def ends(effects) -> list[RunEnded]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, RunEnded)
    ]


def test_an_older_list_that_comes_late_ends_no_run():
    """The answer to a start is lost. A list that was asked for after the start was
    sent, and made before the worker carried it out, comes after a younger one that
    shows the run. Taken at its word it ended the run, and the task ran twice at once.
    """
    sidecar = Sidecar()
    sidecar.start(at=100)
    unanswered = OrderAnswered(OrderKind.START, RUN, OrderResult.UNANSWERED)
    sidecar.take(101, unanswered)
    sidecar.take_list(sent=101, clock=103, arrives=104, running=[RUN], is_extra=True)
    assert ends(sidecar.take_list(sent=100.5, clock=101, arrives=105)) == []
    assert RUN in sidecar.state.runs


def test_a_younger_list_that_lacks_the_run_ends_it():
    sidecar = Sidecar()
    sidecar.start(at=100)
    sidecar.take_list(sent=101, clock=103, arrives=104, running=[RUN])
    (end,) = ends(sidecar.take_list(sent=105, clock=140, arrives=141))
    assert end.run == RUN
