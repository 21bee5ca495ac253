"""Statements of queued work: what is valid, and how they add up."""

import pytest
from returns.result import Failure, Success

from gypsumspoke.runs.messages import WaitingWork
from gypsumspoke.runs.urgent_work import (
    LOWEST_PRIORITY,
    MAX_PRIORITIES,
    add_up,
    reserved_for_others,
    room_of,
    to_work,
    validate,
)
from gypsumspoke.runs.values import StatementFault

CAPACITY = 8000


def work(*parts):
    """Return a statement from pairs of priority and room."""
    return tuple(WaitingWork(*part) for part in parts)


@pytest.mark.parametrize(
    "stated",
    [
        (),
        work((0, 0)),
        work((0, CAPACITY), (LOWEST_PRIORITY, 1)),
        work((2, 10), (0, 20)),
        work(*((number, 1) for number in range(MAX_PRIORITIES))),
    ],
)
def test_a_valid_statement_is_taken_whole(stated):
    assert validate(stated, CAPACITY) == Success(stated)


@pytest.mark.parametrize(
    "stated, fault",
    [
        (work((0, -1)), StatementFault.BAD_ROOM),
        (work((0, 10), (1, CAPACITY + 1)), StatementFault.BAD_ROOM),
        (work((-1, 10)), StatementFault.BAD_PRIORITY),
        (work((LOWEST_PRIORITY + 1, 10)), StatementFault.BAD_PRIORITY),
        (work((1, 10), (1, 10)), StatementFault.BAD_PRIORITY),
        (
            work(*((number, 1) for number in range(MAX_PRIORITIES + 1))),
            StatementFault.TOO_MANY_PRIORITIES,
        ),
    ],
)
def test_one_bad_value_makes_a_statement_invalid(stated, fault):
    """A peer's fault could otherwise reserve a worker for good."""
    assert validate(stated, CAPACITY) == Failure(fault)


def test_without_a_known_worker_the_room_has_no_upper_bound():
    """A restarted sidecar gets acks before its worker's first heartbeat; the entries
    are not at fault.
    """
    assert validate(work((0, CAPACITY + 1)), None) == Success(work((0, CAPACITY + 1)))
    assert validate(work((0, -1)), None) == Failure(StatementFault.BAD_ROOM)


def test_statements_add_up_by_priority():
    stated = [work((2, 5), (0, 10)), (), work((0, 7), (1, 0))]
    assert add_up(stated) == work((0, 17), (2, 5))


def test_only_the_most_urgent_priorities_are_stated():
    """A longer statement would be dropped as a whole."""
    sums = {number: 1 for number in range(MAX_PRIORITIES + 3)}
    stated = to_work(sums)
    assert [part.priority for part in stated] == list(range(MAX_PRIORITIES))


def test_room_counts_down_to_a_priority():
    assert room_of(work((0, 1), (1, 2), (2, 4)), 1) == 3


def test_a_run_leaves_room_only_to_more_urgent_work_of_others():
    reserved = work((0, 1000), (1, 500), (2, 300))
    assert reserved_for_others(reserved, (), 0) == 0
    assert reserved_for_others(reserved, (), 1) == 1000
    assert reserved_for_others(reserved, (), 2) == 1500
    assert reserved_for_others(reserved, work((0, 400)), 2) == 1100


def test_own_work_of_one_priority_frees_no_room_of_another():
    """Reservations are older than the entry's own statement, which may be larger."""
    reserved = work((0, 1000), (1, 500))
    assert reserved_for_others(reserved, work((0, 5000)), 2) == 500


def test_a_negative_reservation_adds_no_room():
    """An entry would place runs on a full worker."""
    assert reserved_for_others(work((0, -1000)), (), 1) == 0
