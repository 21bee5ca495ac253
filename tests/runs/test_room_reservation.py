"""Room that a sidecar reserves for urgent work, and bad statements of entries."""

import logging
from datetime import timedelta
from typing import NamedTuple

from gypsumspoke.core.effects import Count, Log, Send
from gypsumspoke.core.events import PeerConnected, PeerLost, Received, Tick
from gypsumspoke.runs.messages import PlaceRun, ReportAck, WorkerReport
from gypsumspoke.runs.room_reservation import (
    UNRESERVED_SHARE,
    RunRoom,
    StatedWork,
    reserve,
)
from gypsumspoke.runs.values import Room, RunId, StatementFault, TaskId
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.test_urgent_work import work
from tests.runs.urgent_load import LONG, SAMPLE_INTERVAL, SLOTS, WIDE, UrgentFleet
from tests.runs.world import CAPACITY, START, ms

MAX_AGE = ms(500)
ENTRY, OTHER = "entry0-1", "entry1-1"


def test_stated_work_is_reserved_by_priority():
    assert reserve(work((2, 100), (0, 300)), (), 8000) == work((0, 300), (2, 100))


def test_a_quarter_is_never_reserved():
    """Urgent work that never ends would keep all other work away."""
    assert reserve(work((0, 8000), (1, 8000)), (), 8000) == work((0, 6000))
    assert reserve(work((0, 5000), (1, 8000)), (), 8000) == work((0, 5000), (1, 1000))


def test_runs_of_the_priority_or_a_more_urgent_one_count_as_served():
    runs = [RunRoom(0, 2000), RunRoom(1, 1000), RunRoom(2, 3000)]
    assert reserve(work((0, 8000)), runs, 8000) == work((0, 4000))
    assert reserve(work((1, 8000)), runs, 8000) == work((1, 3000))


def test_more_urgent_runs_than_three_quarters_reserve_nothing():
    """The room that is left would be negative, and entries would take it as free."""
    assert reserve(work((0, 8000)), [RunRoom(0, 7000)], 8000) == ()


def test_statements_expire():
    """A silent entry's queued work would keep room reserved for nobody."""
    stated = StatedWork(MAX_AGE)
    stated.record(ENTRY, work((0, 10)), 8000, START)
    stated.record(OTHER, work((0, 1)), 8000, START + ms(100))
    assert stated.sums(START + ms(499)) == work((0, 11))
    assert stated.sums(START + ms(500)) == work((0, 1))
    assert stated.sums(START + ms(600)) == ()


def test_the_latest_statement_of_an_entry_counts():
    stated = StatedWork(MAX_AGE)
    stated.record(ENTRY, work((0, 10)), 8000, START)
    stated.record(ENTRY, work((1, 20)), 8000, START)
    assert stated.sums(START) == work((1, 20))
    stated.record(ENTRY, (), 8000, START)
    assert stated.sums(START) == ()


def test_a_bad_statement_is_dropped_counted_and_logged_once_a_second():
    """One faulty peer would otherwise fill the log."""
    stated = StatedWork(MAX_AGE)
    stated.record(ENTRY, work((0, 10)), 8000, START)
    logged = []
    for number in range(15):
        at = START + ms(100) * number
        effects = stated.record(ENTRY, work((0, -1)), 8000, at)
        assert Count(StatementFault.BAD_ROOM) in effects
        logged += [effect for effect in effects if isinstance(effect, Log)]
        assert stated.sums(at) == ()
    assert [line.event for line in logged] == ["statement dropped"] * 2
    assert dict(logged[1].fields)["dropped"] == 10
    assert logged[0].level == logging.WARNING


def test_a_reservation_is_logged_when_it_begins_and_when_it_has_ended():
    """Reservations come and go with each burst; a line for each would fill the log."""
    stated = StatedWork(MAX_AGE)
    events = []
    for number in range(30):
        reserved = work((0, 100)) if number in (1, 2, 6) else ()
        effects = stated.log_reserved(reserved, START + ms(100) * number)
        events += [(number, effect.event) for effect in effects]
    assert events == [(1, "room reserved"), (16, "reservation ended")]


# ---------------------------------------------------------------------------
# The sidecar


def connected():
    """Return a sidecar with a worker and two entries."""
    sidecar = LoneSidecar()
    for entry in (ENTRY, OTHER):
        sidecar.handle(ms(1), PeerConnected(entry))
    return sidecar


def reports(effects):
    """Return the reports by entry."""
    return {
        effect.to: effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, WorkerReport)
    }


def state_work(sidecar, at, stated, entry=ENTRY):
    """Let an entry state its queued work."""
    return sidecar.handle(at, Received(entry, ReportAck(at, 1, stated)))


def test_all_entries_get_the_sums_and_the_reservations():
    sidecar = connected()
    state_work(sidecar, ms(10), work((0, 3000)))
    state_work(sidecar, ms(11), work((0, 1000), (2, 500)), OTHER)
    sent = reports(sidecar.handle(ms(100), Tick()))
    assert set(sent) == {ENTRY, OTHER}
    for report in sent.values():
        assert report.waiting == report.reserved == work((0, 4000), (2, 500))


def test_an_ack_of_an_earlier_version_states_nothing():
    sidecar = connected()
    sidecar.handle(ms(10), Received(ENTRY, ReportAck(ms(10), 1)))
    report = reports(sidecar.handle(ms(100), Tick()))[ENTRY]
    assert (report.waiting, report.reserved) == ((), ())


def test_the_statement_of_a_lost_connection_is_dropped():
    sidecar = connected()
    state_work(sidecar, ms(10), work((0, 3000)))
    sidecar.handle(ms(20), PeerLost(ENTRY))
    assert reports(sidecar.handle(ms(100), Tick()))[OTHER].reserved == ()


def test_a_bad_statement_still_proves_that_its_entry_is_alive():
    """The entry's runs would be stopped although it acknowledges reports."""
    sidecar = connected()
    effects = state_work(sidecar, ms(10), work((0, CAPACITY.cpu + 1)))
    assert Count(StatementFault.BAD_ROOM) in effects
    assert sidecar.state.heard[ENTRY] == START + ms(10)


def test_a_reservation_refuses_nothing():
    """Entries of earlier versions don't know it, and must be served as before."""
    sidecar = connected()
    sidecar.handle_list(ms(5))
    sidecar.handle_list(ms(8))
    state_work(sidecar, ms(10), work((0, CAPACITY.cpu)), OTHER)
    run = RunId(TaskId("j1", 0, 0), 1)
    room = Room(CAPACITY.cpu, 64, 0)
    placed = PlaceRun(ms(10), run, room, 2, ms(200), ms(4000), "spec")
    sidecar.handle(ms(12), Received(ENTRY, placed))
    assert run in sidecar.state.runs


# ---------------------------------------------------------------------------
# A fleet


class SplitLoad(NamedTuple):
    """Figures of a play: mean time of urgent jobs, and the long jobs' share of room."""

    urgent_time: timedelta
    long_use: float


def play_split_load(urgent_load):
    """Play urgent jobs at one entry, and too many long jobs at the others."""
    fleet = UrgentFleet(4, 6, seed=1)
    fleet.run(ms(3000))
    streams = [
        (urgent_load, (WIDE,), ["entry0"]),
        (1.2, (LONG,), ["entry1", "entry2", "entry3"]),
    ]
    fleet.submit_streams(ms(2000), streams)
    fleet.in_use.clear()
    duration = ms(4000)
    requests = fleet.submit_streams(duration, streams)
    samples = duration / SAMPLE_INTERVAL * SLOTS * len(fleet.sidecar_hosts)
    long_use = fleet.in_use[LONG.route.name] / samples
    fleet.run(ms(5000))
    assert not fleet.violations
    return SplitLoad(fleet.mean_time(requests, WIDE), long_use)


def test_urgent_jobs_of_one_entry_wait_less_behind_long_jobs_of_others():
    """On full workers they took 3.3 s, since the other entries placed long jobs on all
    room that became free; with reservations it is 0.6 s.
    """
    played = play_split_load(0.3)
    assert played.urgent_time < ms(1500)
    assert played.long_use >= UNRESERVED_SHARE


def test_long_jobs_keep_a_quarter_of_the_room_beside_endless_urgent_ones():
    """Urgent work of 120 % of the room would otherwise keep them away for good."""
    assert play_split_load(1.2).long_use >= UNRESERVED_SHARE
