"""What a sidecar takes for granted of its worker's lease."""

from gypsumspoke.core.events import PeerConnected, Received
from gypsumspoke.runs.budget import DEFAULT_BUDGET, WORKER_CLOCK_ERROR
from gypsumspoke.runs.messages import PlaceRun
from gypsumspoke.runs.orders import StartOrder
from gypsumspoke.runs.values import RunId, TaskId
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.world import TASK_ROOM, TASK_TIME, ms

ENTRY = "entry-1"
RUN = RunId(TaskId("j1", 0, 0), 1)
PLACED = ms(380)


def place(sidecar: LoneSidecar) -> StartOrder:
    """Place a run 377 ms after the worker's latest answer; return its start."""
    sidecar.take_list(ms(3), asked=ms(1), made=ms(2))
    sidecar.take(ms(4), PeerConnected(ENTRY))
    message = PlaceRun(PLACED, RUN, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    effects = sidecar.take(PLACED, Received(ENTRY, message))
    (order,) = [effect for effect in effects if isinstance(effect, StartOrder)]
    return order


def test_a_lease_is_not_longer_on_a_clock_that_has_lagged_since_it_was_read():
    order = place(LoneSidecar())
    least_clock = ms(2) + (PLACED - ms(3)) / (1 + WORKER_CLOCK_ERROR)
    assert order.lease_end - least_clock <= DEFAULT_BUDGET.lease
