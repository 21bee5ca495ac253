"""The order of runs that wait at a sidecar, and which a new run displaces."""

from itertools import permutations

import pytest
from hypothesis import given, strategies as st

from gypsumspoke.runs import supervisor_placement, waiting_order
from gypsumspoke.runs.supervisor_state import LocalRun
from gypsumspoke.runs.values import (
    DisplacementReason,
    JobEnd,
    Room,
    RunId,
    TaskId,
    add,
    fits,
    subtract,
)
from gypsumspoke.runs.waiting_order import (
    choose_displaced,
    displacement_reason,
    due_time,
    in_order,
    rank,
)
from tests.runs.contended_fleet import Delay, replay
from tests.runs.world import CAPACITY, START, ms

HALF = Room(CAPACITY.cpu // 2, 64, 0)
QUARTER = Room(CAPACITY.cpu // 4, 64, 0)
PACE = 1.0


def local_run(number, priority=1, due=None, room=QUARTER, arrived=START):
    run = LocalRun(
        RunId(TaskId(f"j{number}", 0, 0), 1),
        "entry-1",
        room,
        priority,
        ms(200),
        "x",
        START + ms(9000),
        number,
        arrived,
        due_time(due, arrived),
    )
    run.waits_for_room_since = arrived
    return run


def numbers(runs):
    return [int(local.run.task.job[1:]) for local in runs]


def test_order_is_by_priority_then_in_time_then_due_then_arrival():
    """In order of arrival, the callers of slower entries are late for others' sake."""
    runs = [
        local_run(5, priority=0, due=ms(900)),
        local_run(1, due=ms(300)),
        local_run(2, due=ms(400)),
        local_run(3, due=ms(400)),
        local_run(4, due=ms(100)),
        local_run(0, priority=2, due=ms(250)),
    ]
    for shuffled in permutations(runs):
        assert numbers(in_order(list(shuffled), PACE, START)) == [5, 1, 2, 3, 4, 0]


def test_a_slow_worker_makes_a_run_late():
    run = local_run(1, due=ms(300))
    assert not rank(run, 1.5, START).is_late
    assert rank(run, 1.51, START).is_late


def test_a_run_without_due_time_is_in_time_and_due_at_its_arrival():
    """Earlier versions send no due time; their runs would starve as late ones."""
    runs = [
        local_run(1, due=ms(100)),
        local_run(2, due=ms(250)),
        local_run(3, arrived=START + ms(10)),
        local_run(4, arrived=START + ms(20)),
    ]
    assert numbers(in_order(runs, PACE, START + ms(30))) == [3, 4, 2, 1]


@pytest.mark.parametrize("due", [ms(3_600_001), -ms(3_600_001), ms(1e15)])
def test_an_absurd_due_time_counts_as_missing(due):
    """An entry whose clock has jumped would put its runs before or behind all others,
    and a time beyond the calendar would end the process.
    """
    assert due_time(due, START) is None
    assert due_time(ms(-3_600_000), START) == START - ms(3_600_000)


def test_the_last_runs_are_displaced_and_no_more_than_needed():
    waiting = [local_run(n, due=ms(300 + n)) for n in (1, 2, 3)]
    new = local_run(9, priority=0, due=ms(300))
    chosen = choose_displaced(new, waiting, QUARTER, PACE, START)
    assert numbers(chosen) == [3]
    both = add(QUARTER, Room(1, 0, 0))
    assert numbers(choose_displaced(new, waiting, both, PACE, START)) == [3, 2]


def test_none_is_displaced_if_all_of_them_are_too_few():
    """Runs would be sent back without any gain."""
    waiting = [local_run(1, due=ms(300)), local_run(2, priority=0, due=ms(210))]
    new = local_run(9, priority=0, due=ms(220), room=HALF)
    assert choose_displaced(new, waiting, HALF, PACE, START) == []


def test_a_small_run_stays_if_a_larger_one_must_go_anyway():
    waiting = [local_run(1, due=ms(300), room=HALF), local_run(2, due=ms(400))]
    new = local_run(9, priority=0, due=ms(300), room=HALF)
    assert numbers(choose_displaced(new, waiting, HALF, PACE, START)) == [1]


ROOMS = st.builds(Room, st.integers(1, 9), st.integers(1, 9), st.integers(0, 2))
DUES = st.one_of(st.none(), st.integers(-400, 900).map(ms))
WAITING = st.lists(st.tuples(st.integers(0, 2), DUES, ROOMS), max_size=7)


@given(WAITING, st.integers(0, 2), DUES, ROOMS, ROOMS)
def test_displacement_suffices_is_needed_and_goes_by_the_order(
    waiting, priority, due, room, excess
):
    """A run sent back without need costs messages and another placement."""
    runs = [local_run(number, *values) for number, values in enumerate(waiting)]
    new = local_run(99, priority, due, room)
    chosen = choose_displaced(new, runs, excess, PACE, START)
    after = [local for local in runs if rank(local, PACE, START) > rank(new, 1, START)]
    freed = Room(0, 0, 0)
    for local in chosen:
        assert local in after
        freed = add(freed, local.room)
    everything = Room(0, 0, 0)
    for local in after:
        everything = add(everything, local.room)
    assert fits(excess, everything) == bool(chosen)
    if chosen:
        assert fits(excess, freed)
    for local in chosen:
        assert not fits(excess, subtract(freed, local.room))


def test_the_reason_is_the_first_difference():
    new = local_run(9, due=ms(300))
    others = {
        DisplacementReason.PRIORITY: local_run(1, priority=2, due=ms(100)),
        DisplacementReason.IN_TIME: local_run(2, due=ms(100)),
        DisplacementReason.DUE_EARLIER: local_run(3, due=ms(301)),
    }
    for reason, other in others.items():
        assert displacement_reason(new, other, PACE, START) is reason


SEEDS = range(4)


def totals(load):
    """Return runs sent back and messages, both per completed run, over the seeds."""
    refused = messages = completed = 0
    for seed in SEEDS:
        fleet = replay(seed, load, Delay.PROCESSOR)
        ends = {fleet.end_of(request) for request in fleet.submitted}
        assert ends == {JobEnd.COMPLETED}
        assert not fleet.violations
        assert not fleet.repeated_starts()
        figures = fleet.figures()
        refused += figures.refused
        messages += figures.messages
        completed += figures.completed
    return refused / completed, messages / completed


@pytest.mark.parametrize("load", [0.6, 0.85])
def test_the_order_costs_few_messages_and_starts_no_run_twice(load, monkeypatch):
    """Displaced runs are placed again; in numbers they would cost more than they gain.

    Compared is the order by priority and arrival without displacement.
    """
    refused, messages = totals(load)
    monkeypatch.setattr(
        supervisor_placement, "displace_waiting", lambda state, new, now: []
    )
    monkeypatch.setattr(
        waiting_order,
        "in_order",
        lambda runs, pace, now: sorted(
            runs, key=lambda local: (local.priority, local.placement_number)
        ),
    )
    refused_before, messages_before = totals(load)
    assert refused <= refused_before * 1.1
    assert messages <= messages_before * 1.1
