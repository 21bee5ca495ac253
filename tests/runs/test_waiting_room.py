"""Runs that wait at a sidecar for room, and nearly full workers."""

from collections import Counter

import pytest

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs import supervisor_placement
from gypsumspoke.runs.messages import PlaceRun, RunEnded, WithdrawRun, WorkerReport
from gypsumspoke.runs.values import EndReason, JobEnd, Room, RunEnd, RunId, TaskId
from gypsumspoke.runs.waiting_room import MAX_WAIT
from gypsumspoke.runs.worker_commands import EndedRun, StartCommand
from tests.runs.fleet import Fleet
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.world import CAPACITY, ms

ENTRY = "entry-1"
HALF = Room(CAPACITY.cpu // 2, 64, 0)
ESTIMATE = ms(200)


def run_id(number):
    return RunId(TaskId(f"j{number}", 0, 0), 1)


def place(number, at):
    return Received(
        ENTRY, PlaceRun(at, run_id(number), HALF, 1, ESTIMATE, ms(4000), "x")
    )


def full_sidecar():
    """Return a sidecar whose worker is full from 200 ms on, for about 200 ms."""
    sidecar = LoneSidecar()
    for at in (0, 70, 140):
        sidecar.handle(ms(at), Tick())
        sidecar.handle_list(ms(at + 5))
    sidecar.handle(ms(190), PeerConnected(ENTRY))
    for number in (1, 2):
        effects = sidecar.handle(ms(200), place(number, ms(200)))
        assert any(isinstance(effect, StartCommand) for effect in effects)
    # The list shows that both run.
    sidecar.handle_list(ms(210), running=(run_id(1), run_id(2)))
    return sidecar


def ends(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, RunEnded)
    ]


def reports(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, WorkerReport)
    ]


def starts(effects):
    return [effect.run for effect in effects if isinstance(effect, StartCommand)]


def test_a_run_is_sent_back_at_once_while_no_room_is_expected():
    sidecar = full_sidecar()
    (end,) = ends(sidecar.handle(ms(220), place(3, ms(220))))
    assert (end.end, end.reason) == (RunEnd.NOT_RUN, EndReason.ROOM_TAKEN)


def test_a_run_waits_for_one_that_ends_soon_and_then_starts():
    """Sent back, it would cost another placement, often on a worker as full."""
    sidecar = full_sidecar()
    effects = sidecar.handle(ms(380), place(3, ms(380)))
    assert not ends(effects)
    assert not starts(effects)
    done = EndedRun(1, run_id(1), RunEnd.DONE, False)
    effects = sidecar.handle_list(ms(400), running=(run_id(2),), ended=(done,))
    assert starts(effects) == [run_id(3)]


def test_a_run_that_waits_counts_as_taken_room():
    """Other entries would place runs on the room that it waits for."""
    sidecar = full_sidecar()
    sidecar.handle(ms(380), place(3, ms(380)))
    (report,) = reports(sidecar.handle(ms(430), Tick()))
    assert report.free.cpu == -HALF.cpu


def test_a_run_that_waited_in_vain_is_sent_back():
    sidecar = full_sidecar()
    assert not ends(sidecar.handle(ms(380), place(3, ms(380))))
    at = ms(380) + MAX_WAIT + ms(1)
    effects = sidecar.handle_list(at, running=(run_id(1), run_id(2)))
    (end,) = ends(effects)
    assert (end.run, end.reason) == (run_id(3), EndReason.ROOM_TAKEN)


def test_only_as_much_waits_as_finds_room():
    sidecar = full_sidecar()
    for number in (3, 4):
        assert not ends(sidecar.handle(ms(380), place(number, ms(380))))
    (end,) = ends(sidecar.handle(ms(380), place(5, ms(380))))
    assert end.reason is EndReason.ROOM_TAKEN


def test_a_waiting_run_is_withdrawn():
    sidecar = full_sidecar()
    sidecar.handle(ms(380), place(3, ms(380)))
    (end,) = ends(sidecar.handle(ms(385), Received(ENTRY, WithdrawRun(run_id(3)))))
    assert (end.end, end.reason) == (RunEnd.NOT_RUN, EndReason.WITHDRAWN)
    done = EndedRun(1, run_id(1), RunEnd.DONE, False)
    effects = sidecar.handle_list(ms(400), running=(run_id(2),), ended=(done,))
    assert not starts(effects)


def run_nearly_full(entries, sidecars):
    """Return a fleet after two seconds at 85 % of its room, and the requests."""
    fleet = Fleet(entries, sidecars, seed=1)
    fleet.run(ms(2500))
    fleet.log.clear()
    requests = fleet.submit_for(ms(2000), load=0.85)
    fleet.run(ms(3000))
    return fleet, requests


@pytest.mark.parametrize("entries, sidecars", [(4, 11), (9, 54)])
def test_fewer_runs_are_sent_back_than_without_waiting(entries, sidecars, monkeypatch):
    fleet, _ = run_nearly_full(entries, sidecars)
    monkeypatch.setattr(
        supervisor_placement, "expects_room_soon", lambda state, now: False
    )
    without, _ = run_nearly_full(entries, sidecars)
    assert fleet.refused_per_completed() < without.refused_per_completed()


@pytest.mark.parametrize("entries, sidecars", [(4, 11), (9, 54)])
def test_nearly_full_workers_are_shared_by_entries(entries, sidecars):
    """At 85 % of the room each entry's view of a worker is outdated by the others."""
    fleet, requests = run_nearly_full(entries, sidecars)
    assert fleet.completed_share(requests) == 1
    assert not fleet.violations
    counts = Counter(fleet.end_of(request) for request in requests)
    assert set(counts) == {JobEnd.COMPLETED}
    assert fleet.refused_per_completed() < 0.5
