"""What a sidecar reports of a worker that is cold or leaves."""

import pytest

from gypsumspoke.core.effects import Log, Send
from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs.messages import PlaceRun, WorkerReport
from gypsumspoke.runs.values import Room, RunId, TaskId, WorkerReady
from gypsumspoke.runs.warm_up import WarmUp, leaves_in, offered_room
from gypsumspoke.runs.worker_commands import HeartbeatArrived, WorkerLeft
from tests.runs.lone_sidecar import INCARNATION, LoneSidecar, registration
from tests.runs.world import CAPACITY, START, TASK_ROOM, TASK_TIME, ms

ENTRY = "entry-1"
COLD = ms(4000)


def heartbeat(sequence=2, **more):
    return HeartbeatArrived(registration()._replace(sequence=sequence, **more))


def report(sidecar, at):
    """Return the report that a new connection brings."""
    effects = sidecar.handle(at, PeerConnected(f"{ENTRY}{at}"))
    effects += sidecar.handle(at, Tick())
    return next(
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, WorkerReport)
    )


def draining(remaining):
    worker = registration()
    return worker._replace(state=WorkerReady.DRAINING, remaining=remaining)


@pytest.mark.parametrize(
    "at, share", [(0, 0.25), (2000, 0.625), (3999, 1.0), (4000, 1.0), (9000, 1.0)]
)
def test_the_share_grows_linearly_until_the_cold_time_ends(at, share):
    warm_up = WarmUp()
    warm_up.record(registration()._replace(cold=COLD), START)
    assert warm_up.share(START + ms(at)) == pytest.approx(share, abs=0.001)


def test_a_worker_that_states_no_cold_time_offers_all_its_room():
    warm_up = WarmUp()
    assert warm_up.share(START) == 1.0
    warm_up.record(registration(), START)
    assert warm_up.share(START) == 1.0


def test_a_later_heartbeat_moves_the_end_but_not_the_length_of_the_cold_time():
    """If each heartbeat began a new cold time, the share would stay at a quarter."""
    warm_up = WarmUp()
    first = registration()._replace(cold=COLD)
    assert [type(effect) for effect in warm_up.record(first, START)] == [Log]
    second = first._replace(sequence=2, cold=COLD / 2)
    assert not warm_up.record(second, START + ms(1500))
    assert warm_up.share(START + ms(1500)) == pytest.approx(0.625)
    longer = first._replace(sequence=3, cold=COLD * 3)
    warm_up.record(longer, START + ms(1500))
    assert warm_up.share(START + ms(1500)) == 0.25


def test_a_new_incarnation_begins_a_cold_time_of_its_own():
    warm_up = WarmUp()
    warm_up.record(registration()._replace(cold=COLD), START)
    now = START + ms(3000)
    warm_up.record(registration(INCARNATION + 1)._replace(cold=ms(1000)), now)
    assert warm_up.share(now) == 0.25
    assert warm_up.share(now + ms(500)) == pytest.approx(0.625)


def test_running_work_counts_towards_the_limit():
    capacity = Room(8000, 64000, 2)
    free = offered_room(capacity, Room(1500, 1000, 0), 0.25)
    assert free == Room(500, 15000, 1)
    assert offered_room(capacity, Room(3000, 0, 0), 0.25).cpu == -1000
    assert offered_room(capacity, Room(3000, 0, 0), 1.0) == Room(5000, 64000, 2)


def test_reports_offer_a_part_of_a_cold_workers_room():
    sidecar = LoneSidecar()
    sidecar.handle(ms(0), heartbeat(cold=COLD))
    assert report(sidecar, ms(0)).free.cpu == CAPACITY.cpu // 4
    assert report(sidecar, ms(0)).capacity == CAPACITY
    assert report(sidecar, ms(2000)).free.cpu == CAPACITY.cpu * 0.625
    assert report(sidecar, ms(4000)).free == CAPACITY


def test_the_limit_of_a_cold_worker_causes_no_additional_reports():
    """Reports of changed room are triggered by runs. If the limit counted as a run's
    room, each event would send a report to each entry.
    """
    sidecar = LoneSidecar()
    sidecar.handle(ms(0), heartbeat(cold=COLD))
    report(sidecar, ms(0))
    for at in range(25, 50, 5):
        effects = sidecar.handle(ms(at), WorkerLeft("another worker"))
        assert not [effect for effect in effects if isinstance(effect, Send)]


def test_a_placement_beyond_the_limit_is_not_refused():
    """Its entry did not know the limit; the worker has the room."""
    sidecar = LoneSidecar()
    sidecar.handle(ms(0), PeerConnected(ENTRY))
    for at in (0, 70, 140):
        sidecar.handle(ms(at), Tick())
        sidecar.handle_list(ms(at + 5))
    sidecar.handle(ms(150), heartbeat(cold=COLD))
    run = RunId(TaskId("j1", 0, 0), 1)
    place = PlaceRun(ms(140), run, TASK_ROOM, 1, TASK_TIME, ms(4000), "x")
    assert TASK_ROOM.cpu > CAPACITY.cpu / 4
    sidecar.handle(ms(160), Received(ENTRY, place))
    assert run in sidecar.state.runs


def test_the_time_left_is_counted_down_from_the_heartbeat():
    worker = draining(ms(2000))
    assert leaves_in(worker, START, START) == ms(2000)
    assert leaves_in(worker, START, START + ms(1500)) == ms(500)
    assert leaves_in(worker, START, START + ms(5000)) == ms(0)


def test_a_worker_that_stays_or_does_not_say_has_no_time_left():
    assert leaves_in(None, None, START) is None
    assert leaves_in(draining(None), START, START) is None
    assert leaves_in(registration()._replace(remaining=ms(9)), START, START) is None


def test_reports_state_the_time_left_of_a_draining_worker():
    sidecar = LoneSidecar()
    assert report(sidecar, ms(10)).leaves_in is None
    leaving = {"state": WorkerReady.DRAINING, "remaining": ms(2000)}
    sidecar.handle(ms(100), heartbeat(**leaving))
    stated = report(sidecar, ms(600))
    assert (stated.takes_work, stated.leaves_in) == (False, ms(1500))
    sidecar.handle(ms(700), heartbeat(sequence=3))
    assert report(sidecar, ms(700)).leaves_in is None


def test_a_worker_that_has_gone_without_a_notice_states_no_time():
    """A run there may still complete, so nothing is withdrawn for it."""
    sidecar = LoneSidecar()
    sidecar.handle(ms(100), WorkerLeft("w-1"))
    assert report(sidecar, ms(100)).leaves_in is None
