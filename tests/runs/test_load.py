"""Overload of an entry's own processor while the workers have room."""

from collections import Counter
from datetime import timedelta
from functools import cache, partial
from typing import NamedTuple

import pytest

from gypsumspoke.core.effects import Log, Send
from gypsumspoke.core.events import Arrival, Received, Tick, Timed
from gypsumspoke.runs.coordinator_state import JobArrived
from gypsumspoke.runs.load import WINDOW_TICKS, LoadShedder
from gypsumspoke.runs.messages import RunEnded, WorkerReport
from gypsumspoke.runs.values import EndReason, JobEnd, RefusalReason
from tests.runs.world import ROUTE, START, World, job, ms

ENTRY = "entry0"
SIDECARS = 16
SECONDS = 4
CALLER_TIMEOUT = ms(1500)
# Processor time of each event in milliseconds.
JOB_COST, END_COST, REPORT_COST, REFUSAL_COST = 8, 4, 0.8, 0.4
# A scan for room after a report or an end while tasks are queued.
SCAN_COST = 1.5
CAPACITY_PER_SECOND = 60
SLOW_START, SLOW_DURATION = ms(2500), ms(600)


def cost(world: World, event) -> timedelta:
    """Return the processor time that an event takes at the entry."""
    scan = SCAN_COST if world.processes[ENTRY].state.waiting else 0
    if isinstance(event, JobArrived):
        return ms(JOB_COST)
    if isinstance(event, Received) and isinstance(event.message, RunEnded):
        return ms(END_COST + scan)
    if isinstance(event, Received) and isinstance(event.message, WorkerReport):
        return ms(REPORT_COST + scan)
    return ms(0.05)


def slow_cost(world: World, event) -> timedelta:
    """Return the same for an entry that has less processor time for a while."""
    is_slow = SLOW_START <= world.now - START < SLOW_START + SLOW_DURATION
    return cost(world, event) * (5 if is_slow else 1)


class LoadResult(NamedTuple):
    """The outcome of a load: the world, send times by request, and throughput."""

    world: World
    sent_at: dict
    completed_per_second: float


@cache
def run_load(per_second: int, cost_of=cost) -> LoadResult:
    """Send jobs at a constant rate to an entry with bounded processor time."""
    world = World(entries=1, sidecars=SIDECARS)
    world.run(ms(1500))
    world.costs[ENTRY] = partial(cost_of, world)
    world.refusal_cost = ms(REFUSAL_COST)
    sent_at = {}
    for number in range(per_second * SECONDS):
        request = f"r{number}"
        sent_at[request] = world.now
        world.submit(ENTRY, request, job(f"j{number}", count=1), CALLER_TIMEOUT)
        world.run(timedelta(seconds=1 / per_second))
    world.run(ms(3000))
    done = sum(world.end_of(request) is JobEnd.COMPLETED for request in sent_at)
    return LoadResult(world, sent_at, done / SECONDS)


def test_an_entry_completes_all_jobs_at_its_capacity():
    assert run_load(CAPACITY_PER_SECOND).completed_per_second == CAPACITY_PER_SECOND


@pytest.mark.parametrize("times", [1.5, 2, 3])
def test_overload_does_not_lower_the_throughput(times):
    """An entry that accepted all jobs fell behind, took its sidecars for silent and ran
    their tasks again.
    """
    assert (
        run_load(int(CAPACITY_PER_SECOND * times)).completed_per_second
        >= CAPACITY_PER_SECOND * 0.95
    )


def test_an_entry_recovers_after_a_slow_period():
    """The jobs that arrived in a short slow period kept an entry behind for good."""
    result = run_load(CAPACITY_PER_SECOND, slow_cost)
    recovered = START + SLOW_START + SLOW_DURATION + ms(700)
    after = [request for request, at in result.sent_at.items() if at >= recovered]
    ends = Counter(result.world.end_of(request) for request in after)
    assert len(after) > CAPACITY_PER_SECOND
    assert set(ends) == {JobEnd.COMPLETED}


def test_jobs_refused_by_an_overloaded_entry_have_not_run_and_are_answered_at_once():
    result = run_load(CAPACITY_PER_SECOND * 3)
    world = result.world
    refused = [
        request
        for request, answer in world.answers.items()
        if answer.reason is RefusalReason.ENTRY_BEHIND
    ]
    assert refused
    for request in refused:
        answer = world.answers[request]
        assert answer.end is JobEnd.NOT_RUN
        assert answer.retry_after >= ms(1000)
        assert world.starts_of(f"j{request[1:]}") == []
        assert world.answered_at[request] - result.sent_at[request] <= ms(400)


def test_an_overloaded_entry_takes_no_sidecar_for_silent():
    """An entry counted the age of unread reports as silence of its sidecars, and gave
    up jobs that ran well.
    """
    world = run_load(CAPACITY_PER_SECOND * 3).world
    reasons = Counter(
        effect.what for _, _, effect in world.log if hasattr(effect, "what")
    )
    assert reasons[EndReason.SIDECAR_SILENT] == 0
    assert reasons[EndReason.ORDER_STALE] == 0
    assert reasons[RefusalReason.ISOLATED] == 0
    assert not world.violations


def test_an_entry_accepts_all_jobs_again_after_an_overload():
    world = run_load(CAPACITY_PER_SECOND * 3).world
    state = world.processes[ENTRY].state
    assert state.load_shedder.refused_share == 0
    assert not state.jobs


def run_without_reports(heard_advances: bool) -> World:
    """Run an entry for two seconds in which it handles no report."""
    world = World(entries=1, sidecars=2)
    world.run(ms(1500))
    world.submit(ENTRY, "r1", job("j1", count=2), ms(9000))
    entry = world.processes[ENTRY]
    heard = now = world.now
    for _ in range(20):
        now += ms(100)
        heard = now if heard_advances else heard
        timed = Timed(Arrival(heard, heard, now), Tick())
        for effect in entry.reduce(entry.state, timed, now):
            world.log.append((now, entry.name, effect))
    return world


def logged_messages(world: World) -> set[str]:
    """Return the messages of all log lines."""
    return {effect.event for _, _, effect in world.log if isinstance(effect, Log)}


def test_unread_reports_are_no_silence():
    """An overloaded entry took sidecars with unread reports for silent, gave up its
    jobs and refused new ones.
    """
    world = run_without_reports(heard_advances=False)
    assert "no sidecar heard" not in logged_messages(world)
    assert world.processes[ENTRY].state.jobs.keys() == {"j1"}


def test_silent_sidecars_are_given_up_by_an_entry_that_has_read_everything():
    world = run_without_reports(heard_advances=True)
    assert "no sidecar heard" in logged_messages(world)
    assert not world.processes[ENTRY].state.jobs


def test_no_placement_is_based_on_a_stale_report():
    """An entry placed tasks by reports that it had read long before. The sidecars
    refused the placements as stale, and the entry repeated them endlessly.
    """
    world = World(entries=1, sidecars=2)
    world.run(ms(1510))
    entry = world.processes[ENTRY]
    late = world.now + world.budget.max_placement_age
    event = JobArrived("r1", job("j1"), ROUTE, late + ms(5000))
    arrival = Arrival(world.now, world.now, world.now)
    effects = entry.reduce(entry.state, Timed(arrival, event), late)
    sends = [effect for effect in effects if isinstance(effect, Send)]
    assert sends == []
    assert entry.state.waiting.keys() == {"j1"}


def test_work_that_can_wait_stops_before_jobs_are_refused():
    """Work that goes on until jobs are refused would be done instead of them."""
    tick = ms(100)
    shedder = LoadShedder(tick, START)
    for number in range(200):
        lag = tick * number / 200
        now = START + tick * WINDOW_TICKS * number
        shedder.record_lag(lag, now)
        shedder.record_lag(lag, now + tick * WINDOW_TICKS / 2)
        assert not (shedder.allows_bulk and shedder.refused_share)
    assert not shedder.allows_bulk
    shedder.record_lag(ms(0), now + tick)
    assert shedder.allows_bulk
