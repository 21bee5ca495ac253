"""Answers of a worker's earlier life that come after the next one showed."""

from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs.budget import DEFAULT_BUDGET
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.guard_orders import STOP_AGAIN
from gypsumspoke.runs.guard_state import GuardState
from gypsumspoke.runs.messages import PlaceRun, WithdrawRun
from gypsumspoke.runs.orders import (
    HeartbeatArrived,
    HoldOrder,
    OrderAnswered,
    OrderKind,
    OrderResult,
    StopOrder,
)
from gypsumspoke.runs.values import RunId, TaskId
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


def late_answer(kind: OrderKind) -> OrderAnswered:
    sent = START + ms(200)
    return OrderAnswered(kind, RUN, OrderResult.ACCEPTED, OLD_CLOCK, sent)


def test_a_stop_that_the_earlier_life_accepted_is_sent_to_the_next():
    """Taken for accepted, at a time far ahead on the new clock, the run's room was held
    for as long as the earlier life had lasted.
    """
    sidecar = sidecar_whose_worker_was_born_again()
    sidecar.take(ms(251), late_answer(OrderKind.STOP))
    effects = sidecar.take(ms(251) + STOP_AGAIN, Tick())
    assert StopOrder(RUN, "w-1", sidecar.state.token) in effects


def test_a_clock_of_the_earlier_life_does_not_lengthen_the_lease_of_the_next():
    sidecar = sidecar_whose_worker_was_born_again()
    sidecar.take(ms(251), late_answer(OrderKind.START))
    effects = sidecar.take(ms(600), Tick())
    (hold,) = [effect for effect in effects if isinstance(effect, HoldOrder)]
    assert hold.lease_end <= NEW_CLOCK + ms(600 - 250) + DEFAULT_BUDGET.lease


def test_a_heartbeat_of_the_earlier_life_does_not_hide_what_the_next_one_runs():
    """A sidecar that has just started finds a run at its worker and has it stopped. A
    heartbeat of the worker's earlier life, which a cut held up, is the first that it
    hears. It made the sidecar forget the run and call itself clean.
    """
    state = GuardState(SERVICE, Directory("", ()), START)
    sidecar = LoneSidecar(state)
    sidecar.take_list(ms(3), asked=ms(1), made=ms(2), life=LIFE + 1, token=0)
    sidecar.take_list(ms(6), [RUN], asked=ms(4), made=ms(5), life=LIFE + 1)
    sidecar.take(ms(7), HeartbeatArrived(registration(LIFE)))
    sidecar.take(ms(8), HeartbeatArrived(registration(LIFE + 1)))
    sidecar.take_list(ms(10), asked=ms(9), made=ms(9), life=LIFE + 1)
    assert not is_clean(sidecar, ms(11))
