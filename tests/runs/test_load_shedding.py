"""More work than an entry's own processor carries, though the workers have room."""

from collections import Counter
from datetime import timedelta
from functools import cache, partial
from typing import NamedTuple

import pytest

from gypsumspoke.core.effects import Log, Send
from gypsumspoke.core.events import Arrival, Received, Tick, Timed
from gypsumspoke.runs.coordinator_state import JobArrived
from gypsumspoke.runs.messages import RunEnded, WorkerReport
from gypsumspoke.runs.values import EndReason, JobEnd, RefusalReason
from tests.runs.world import ROUTE, START, World, job, ms

ENTRY = "entry0"
SIDECARS = 16
SECONDS = 4
PATIENCE = ms(1500)
# In milliseconds of a processor. With its end and its reports a job costs some 14, and
# the regular reports take a seventh of the processor.
JOB_COST, END_COST, REPORT_COST, REFUSAL_COST = 8, 4, 0.8, 0.4
# A look for room, which follows a report or an end while tasks wait.
LOOK_COST = 1.5
CARRIED = 60
SLOW_SINCE, SLOW_FOR = ms(2500), ms(600)


def cost(world: World, event) -> timedelta:
    """Return the processor time that an event takes at the entry."""
    look = LOOK_COST if world.processes[ENTRY].state.waiting else 0
    if isinstance(event, JobArrived):
        return ms(JOB_COST)
    if isinstance(event, Received) and isinstance(event.message, RunEnded):
        return ms(END_COST + look)
    if isinstance(event, Received) and isinstance(event.message, WorkerReport):
        return ms(REPORT_COST + look)
    return ms(0.05)


def slow_cost(world: World, event) -> timedelta:
    """Return the same in a process that has a fifth of its processor for a moment."""
    is_slow = SLOW_SINCE <= world.now - START < SLOW_SINCE + SLOW_FOR
    return cost(world, event) * (5 if is_slow else 1)


class Played(NamedTuple):
    """What came of a load."""

    world: World
    sent_at: dict
    good: float


@cache
def play(per_second: int, cost_of=cost) -> Played:
    """Send so many jobs a second to an entry that is short of processor time."""
    world = World(entries=1, sidecars=SIDECARS)
    world.run(ms(1500))
    world.costs[ENTRY] = partial(cost_of, world)
    world.refusal_cost = ms(REFUSAL_COST)
    sent_at = {}
    for number in range(per_second * SECONDS):
        request = f"r{number}"
        sent_at[request] = world.now
        world.submit(ENTRY, request, job(f"j{number}", count=1), PATIENCE)
        world.run(timedelta(seconds=1 / per_second))
    world.run(ms(3000))
    done = sum(world.end_of(request) is JobEnd.COMPLETED for request in sent_at)
    return Played(world, sent_at, done / SECONDS)


def test_an_entry_carries_what_its_processor_allows():
    assert play(CARRIED).good == CARRIED


@pytest.mark.parametrize("times", [1.5, 2, 3])
def test_more_load_does_not_lower_what_is_done(times):
    """Callers of one entry got next to nothing: it took all jobs, answered each later
    than the one before, called its sidecars lost and did their work again.
    """
    assert play(int(CARRIED * times)).good >= CARRIED * 0.95


def test_a_slow_moment_does_not_outlast_itself():
    """An entry that carries its load was slow for half a second. The jobs that had come
    meanwhile kept it behind, so it went on to answer a third of the load for good.
    """
    played = play(CARRIED, slow_cost)
    again = START + SLOW_SINCE + SLOW_FOR + ms(700)
    after = [request for request, at in played.sent_at.items() if at >= again]
    ends = Counter(played.world.end_of(request) for request in after)
    assert len(after) > CARRIED
    assert set(ends) == {JobEnd.COMPLETED}


def test_what_is_refused_for_it_has_not_run_and_is_told_at_once():
    played = play(CARRIED * 3)
    world = played.world
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
        assert world.answered_at[request] - played.sent_at[request] <= ms(400)


def test_an_entry_that_is_behind_calls_no_sidecar_lost():
    """Reports lay unread for a second. Their age was counted from when they were
    handled, all sidecars seemed silent, and the entry gave up jobs that ran well.
    """
    world = play(CARRIED * 3).world
    reasons = Counter(
        effect.what for _, _, effect in world.log if hasattr(effect, "what")
    )
    assert reasons[EndReason.SIDECAR_SILENT] == 0
    assert reasons[EndReason.ORDER_STALE] == 0
    assert reasons[RefusalReason.ISOLATED] == 0
    assert not world.violations


def test_an_entry_takes_all_jobs_again_when_the_load_is_over():
    world = play(CARRIED * 3).world
    state = world.processes[ENTRY].state
    assert state.load_shedder.refused_share == 0
    assert not state.jobs


def play_unread(heard_advances: bool) -> World:
    """Let two seconds pass for an entry in which no report is handled."""
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


def told(world: World) -> set[str]:
    """Return the sentences that were logged."""
    return {effect.event for _, _, effect in world.log if isinstance(effect, Log)}


def test_reports_that_are_not_read_yet_are_no_silence():
    """An entry is behind and handles no report for two seconds, though all sidecars
    send theirs. It took them for silent, gave up its jobs and refused new ones.
    """
    world = play_unread(heard_advances=False)
    assert "no sidecar heard" not in told(world)
    assert world.processes[ENTRY].state.jobs.keys() == {"j1"}


def test_sidecars_that_are_silent_are_given_up_by_an_entry_that_keeps_up():
    world = play_unread(heard_advances=True)
    assert "no sidecar heard" in told(world)
    assert not world.processes[ENTRY].state.jobs


def test_no_order_is_sent_that_is_too_old_to_be_taken():
    """An entry decided on reports that it had handled a moment ago and read long
    before. Its orders were sent back as stale, and it placed the tasks again and again.
    """
    world = World(entries=1, sidecars=2)
    world.run(ms(1510))
    entry = world.processes[ENTRY]
    late = world.now + world.budget.max_placement_age
    event = JobArrived("r1", job("j1"), ROUTE, late + ms(5000))
    arrival = Arrival(world.now, world.now, world.now)
    effects = entry.reduce(entry.state, Timed(arrival, event), late)
    orders = [effect for effect in effects if isinstance(effect, Send)]
    assert orders == []
    assert entry.state.waiting.keys() == {"j1"}
