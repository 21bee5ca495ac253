"""A sidecar's bounds on its worker's lease."""

from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs.budget import DEFAULT_BUDGET, WORKER_CLOCK_ERROR
from gypsumspoke.runs.messages import PlaceRun, ReportAck, RunEnded
from gypsumspoke.runs.values import RunId, TaskId
from gypsumspoke.runs.worker_commands import (
    CommandAnswered,
    CommandKind,
    CommandResult,
    StartCommand,
)
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.test_lists import ends
from tests.runs.world import TASK_ROOM, TASK_TIME, ms

ENTRY = "entry-1"
RUN = RunId(TaskId("j1", 0, 0), 1)
PLACED = ms(380)


def place(sidecar: LoneSidecar) -> StartCommand:
    """Place a run some time after the worker's latest answer; return its start."""
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    sidecar.handle(ms(4), PeerConnected(ENTRY))
    message = PlaceRun(PLACED, RUN, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    effects = sidecar.handle(PLACED, Received(ENTRY, message))
    (command,) = [effect for effect in effects if isinstance(effect, StartCommand)]
    return command


def test_a_lease_is_not_longer_on_a_clock_that_has_lagged_since_it_was_read():
    command = place(LoneSidecar())
    least_clock = ms(2) + (PLACED - ms(3)) / (1 + WORKER_CLOCK_ERROR)
    assert command.lease_end - least_clock <= DEFAULT_BUDGET.lease


def test_a_run_counts_as_at_work_until_the_end_of_its_lease_has_taken_effect():
    """When a lease expires runs are stopped, which takes as long as any stop; the task
    must not be placed again before.
    """
    sidecar = LoneSidecar()
    place(sidecar)
    accepted = CommandAnswered(CommandKind.START, RUN, CommandResult.ACCEPTED, PLACED)
    sidecar.handle(PLACED + ms(1), accepted)
    reported: list[RunEnded] = []
    dead = PLACED + DEFAULT_BUDGET.lease_on_slow_clock + DEFAULT_BUDGET.bounds.stop
    for at in (dead - ms(40), dead - ms(1)):
        sidecar.handle(at, Received(ENTRY, ReportAck(at)))
        reported += ends(sidecar.handle(at, Tick()))
    assert reported == []
    (end,) = ends(sidecar.handle(dead + ms(1), Tick()))
    assert end.run == RUN
