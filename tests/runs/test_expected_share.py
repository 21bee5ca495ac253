"""What an entry states about its queue, and how it uses what sidecars report."""

import pytest

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs import coordinator
from gypsumspoke.runs.admission import expected_wait
from gypsumspoke.runs.coordinator_state import (
    ConfigurationChanged,
    CoordinatorState,
    JobArrived,
)
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.expected_share import MIN_WAIT, expected_share
from gypsumspoke.runs.messages import PlaceRun, ReportAck, WaitingWork, WorkerReport
from gypsumspoke.runs.placement import PlacementRequest
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.values import Configuration, Job, Room, Step
from tests.runs.test_placement import RUN, STEP, search, view
from tests.runs.test_urgent_work import work
from tests.runs.urgent_load import TABLE, WIDE
from tests.runs.world import CONFIGURATION, ROUTE, SERVICE, START, ms

CPU = 8000
TASK = Room(2501, 64, 0)
SIDECARS = ("side0-1", "side1-1")


class LoneEntry:
    """The reducer of one entry, driven by hand-made events."""

    def __init__(self, table=TABLE):
        self.state = CoordinatorState(None, Directory("", ()), START)
        self.stamp = 0
        self.handle(0, ConfigurationChanged(table, ""))
        for sidecar in SIDECARS:
            self.handle(0, PeerConnected(sidecar))
            self.report(0, sidecar)

    def handle(self, at, event):
        """Handle an event at a time in milliseconds; return the messages sent."""
        effects = coordinator.reduce(self.state, event, START + ms(at))
        return [effect.message for effect in effects if isinstance(effect, Send)]

    def report(self, at, sidecar=SIDECARS[0], free=0, **more):
        """Handle a report; return the acks sent."""
        report = WorkerReport(
            stamp=ms(at),
            worker="w",
            service=SERVICE,
            labels=(),
            takes_work=True,
            clean=True,
            capacity=Room(CPU, 64000, 0),
            free=Room(free, 64000, 0),
            pace=1.0,
            failing=False,
            taken=0,
        )
        sent = self.handle(at, Received(sidecar, report._replace(**more)))
        return [message for message in sent if isinstance(message, ReportAck)]

    def submit(self, at, name="j0", count=3, route=WIDE.route):
        """Submit a job; return the placements sent."""
        job = Job(name, "spec", (Step(count, TASK, ms(200)),))
        event = JobArrived(f"r-{name}", job, route, START + ms(at + 4000))
        sent = self.handle(at, event)
        return [message for message in sent if isinstance(message, PlaceRun)]


def test_queued_work_is_spread_over_the_workers_and_rounded_up():
    entry = LoneEntry()
    entry.submit(50)
    entry.handle(100, Tick())
    (ack,) = entry.report(101)
    assert ack.waiting == work((0, 3752))
    entry.submit(110, "j1", count=1, route=ROUTE._replace(priority=2))
    entry.handle(200, Tick())
    (ack,) = entry.report(400)
    assert ack.waiting == work((0, 3752), (2, 1251))


def test_only_workers_that_take_work_count():
    entry = LoneEntry()
    entry.submit(50)
    entry.report(60, SIDECARS[1], takes_work=False)
    entry.handle(100, Tick())
    (ack,) = entry.report(101)
    assert ack.waiting == work((0, 7503))
    acks = entry.report(400, SIDECARS[1], takes_work=False)
    assert [ack.waiting for ack in acks] == [()]


def test_tasks_that_have_just_been_queued_are_not_stated():
    """Most get room with the next report; each would cost acks to all sidecars."""
    entry = LoneEntry()
    entry.submit(100 - MIN_WAIT / ms(1) + 1)
    entry.handle(100, Tick())
    assert not entry.state.queued_work
    entry.handle(101, Tick())
    assert entry.state.queued_work == {SERVICE: work((0, 3752))}


def test_no_more_than_a_worker_has_is_stated():
    """The sidecar would drop the statement, in the very burst that needs it."""
    entry = LoneEntry()
    entry.submit(50, count=40)
    entry.handle(100, Tick())
    (ack,) = entry.report(101)
    assert ack.waiting == work((0, CPU))


def test_an_ack_is_due_when_work_begins_and_ends_to_wait():
    """An idle interval later, the room would be taken, or reserved for nobody."""
    entry = LoneEntry()
    assert not entry.report(10)
    entry.submit(20)
    entry.handle(100, Tick())
    assert [ack.waiting for ack in entry.report(101)] == [work((0, 3752))]
    assert not entry.report(110)
    entry.state.waiting.clear()
    entry.handle(200, Tick())
    assert [ack.waiting for ack in entry.report(201)] == [()]


def test_an_entry_that_places_runs_all_the_time_repeats_its_statement():
    """A placement is as good a proof of life as an ack, so that no ack was due; the
    statement expired and others took the room.
    """
    entry = LoneEntry()
    entry.submit(20, count=100)
    entry.handle(100, Tick())
    acked_at, placed = [], 0
    for at in range(101, 900, 20):
        placed += 1
        if entry.report(at, free=TASK.cpu, taken=placed):
            acked_at.append(at)
    assert entry.state.views[SIDECARS[0]].open_runs
    pauses = [later - at for at, later in zip(acked_at, acked_at[1:])]
    assert max(pauses) <= 100


def test_with_one_priority_nothing_is_stated():
    """There would be nothing to give way to, only messages."""
    entry = LoneEntry(RoutingTable(CONFIGURATION))
    entry.submit(50, route=ROUTE)
    entry.handle(100, Tick())
    assert not entry.state.queued_work
    assert not entry.report(101)


def test_priorities_of_other_services_do_not_count():
    other = ROUTE._replace(service="other", priority=0, path_prefix="/other/")
    configuration = Configuration(2, (ROUTE, other), CONFIGURATION.limits)
    entry = LoneEntry(RoutingTable(configuration))
    entry.submit(50, route=ROUTE)
    entry.handle(100, Tick())
    assert not entry.state.queued_work


def test_a_priority_that_cannot_be_stated_is_left_out():
    """The sidecar would drop the statement of the other priorities too."""
    entry = LoneEntry()
    entry.submit(50)
    entry.submit(50, "j1", route=ROUTE._replace(priority=1001))
    entry.handle(100, Tick())
    assert entry.state.queued_work == {SERVICE: work((0, 3752))}


# ---------------------------------------------------------------------------
# Placement


def place(views, priority):
    """Return the name of the worker chosen for a task of a priority, or None."""
    request = PlacementRequest("estimate", STEP, RUN, 1.0, priority=priority)
    return search(views, request)


def test_less_urgent_work_leaves_reserved_room_free():
    reserving = view("reserving", reserved=work((0, 5500)))
    assert place([reserving], 0) == "reserving"
    assert place([reserving], 1) is None
    assert place([reserving, view("slow", pace=1.6)], 1) == "slow"


def test_work_of_the_same_priority_takes_reserved_room():
    """Entries with equal work would otherwise wait for each other."""
    assert place([view("reserving", reserved=work((1, 6000)))], 1) == "reserving"


def test_room_reserved_for_own_work_is_no_bar():
    """The entry's own queue is in order already; its urgent tasks had their turn."""
    reserving = view("reserving", reserved=work((0, 5500)))
    reserving.stated = work((0, 5000))
    assert place([reserving], 1) == "reserving"


def test_a_report_without_reservations_changes_nothing():
    assert place([view("full", free=3000)], 2) == "full"


def test_queued_work_is_placed_once_a_reservation_ends():
    """The free room stays the same, so that nothing else starts a placing round."""
    entry = LoneEntry()
    reserved = work((0, 6000))
    entry.report(10, free=6000, reserved=reserved)
    assert not entry.submit(20, count=1, route=ROUTE._replace(priority=2))
    sent = entry.handle(
        30,
        Received(
            SIDECARS[0],
            entry.state.views[SIDECARS[0]].report._replace(reserved=(), stamp=ms(30)),
        ),
    )
    assert [type(message) for message in sent].count(PlaceRun) == 1


# ---------------------------------------------------------------------------
# Expected waits


@pytest.mark.parametrize(
    "stated, waiting, priority, share",
    [
        ((), (), 0, 0.25),
        (work((0, 300)), (), 0, 0.25),
        (work((0, 300)), work((0, 400)), 0, 0.75),
        ((), work((0, 400)), 0, 0.25),
        (work((0, 900)), work((0, 400)), 0, 1.0),
        (work((0, 300), (2, 300)), work((0, 300), (2, 700)), 0, 1.0),
        (work((0, 300), (2, 300)), work((0, 300), (2, 700)), 2, 0.6),
        (work((0, 300)), work((0, -400)), 0, 0.25),
    ],
)
def test_the_share_of_a_worker_follows_demand(stated, waiting, priority, share):
    made = view("w", entries=4, waiting=waiting)
    made.stated = stated
    assert expected_share(made, priority) == share


def test_an_entry_with_most_of_the_demand_expects_a_shorter_wait():
    """It refused jobs that could be served, for the sake of entries without any."""
    entry = LoneEntry()
    waits = []
    for waiting in ((), (WaitingWork(0, 3752),)):
        for sidecar in SIDECARS:
            entry.report(10, sidecar, entries=4, waiting=waiting)
        if not waits:
            entry.submit(20)
            entry.handle(100, Tick())
            for sidecar in SIDECARS:
                entry.report(101, sidecar, entries=4)
        waits.append(expected_wait(entry.state, SERVICE, 0))
    assert waits[1] == waits[0] / 4
