"""Queued work by priority, as entries and sidecars state it to each other.

An entry states to each sidecar what it has queued for its worker. The sidecar sums the
statements of all entries and reserves room for the most urgent ones. A statement comes
from another process, perhaps of another version, so it is validated as a whole.
"""

from collections import Counter
from collections.abc import Iterable
from itertools import chain

from returns.result import Failure, Result, Success

from gypsumspoke.runs.messages import WaitingWork
from gypsumspoke.runs.values import StatementFault

Work = tuple[WaitingWork, ...]

LOWEST_PRIORITY = 1000
# Bounds the size of each report and ack.
MAX_PRIORITIES = 16


def is_stateable(priority: int) -> bool:
    """Return whether work of a priority may be stated."""
    return 0 <= priority <= LOWEST_PRIORITY


def validate(work: Work, capacity: int | None) -> Result[Work, StatementFault]:
    """Check a statement that was received.

    Args:
      work: the statement.
      capacity: processors of the worker, in thousandths of a core; None if unknown.

    Returns:
      The statement, or why it must be dropped.
    """
    if len(work) > MAX_PRIORITIES:
        return Failure(StatementFault.TOO_MANY_PRIORITIES)
    priorities = {part.priority for part in work}
    if len(priorities) < len(work) or not all(map(is_stateable, priorities)):
        return Failure(StatementFault.BAD_PRIORITY)
    for part in work:
        if part.cpu < 0 or capacity is not None and part.cpu > capacity:
            return Failure(StatementFault.BAD_ROOM)
    return Success(work)


def add_up(statements: Iterable[Work]) -> Work:
    """Return the sums of several statements by priority, the most urgent first."""
    sums: Counter[int] = Counter()
    for priority, cpu in chain.from_iterable(statements):
        sums[priority] += cpu
    return to_work(sums)


def to_work(sums: dict[int, int]) -> Work:
    """Return room by priority as a statement, at most the most urgent priorities."""
    parts = [WaitingWork(priority, sums[priority]) for priority in sorted(sums)]
    return tuple(part for part in parts if part.cpu > 0)[:MAX_PRIORITIES]


def room_of(work: Work, lowest: int = LOWEST_PRIORITY) -> int:
    """Return the room of a priority and of all more urgent ones."""
    return sum(part.cpu for part in work if part.priority <= lowest)


def reserved_for_others(reserved: Work, own: Work, priority: int) -> int:
    """Return the room that a run must leave to more urgent work of other entries.

    Args:
      reserved: what the sidecar reserves for all entries.
      own: what the entry that places the run has stated to it.
      priority: priority of the run.
    """
    stated = dict(own)
    return sum(
        max(part.cpu - stated.get(part.priority, 0), 0)
        for part in reserved
        if part.priority < priority
    )
