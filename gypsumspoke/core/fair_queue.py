"""Weighted fair queueing of waiting tasks between teams.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each item gets a start tag, the
later of the queue's virtual time and its team's last finish tag, and the item with the
lowest start tag is served first. A team above its share only delays its own items. The
algorithm needs no service rate, which here changes with each worker.
"""

import heapq
from collections.abc import Callable
from typing import Any, NamedTuple

_MIN_WEIGHT = 1e-6
_MIN_COST = 1e-6


class _Entry(NamedTuple):
    """One waiting item; ordered by start tag, then by order of arrival."""

    start_tag: float
    number: int
    team: str
    item: Any


class FairQueue:
    """Queue of the items of all teams; see ``push`` and ``pop``."""

    def __init__(self) -> None:
        self._heap: list[_Entry] = []
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._pushed = 0

    def __len__(self) -> int:
        return len(self._heap)


def new_fair_queue() -> FairQueue:
    """Return an empty queue."""
    return FairQueue()


def push(queue: FairQueue, team: str, weight: float, cost: float, item: Any) -> None:
    """Add an item behind its team's earlier ones; O(log n).

    Args:
      queue: changed in place.
      team: team charged for the item.
      weight: the team's share; raised to a small positive minimum.
      cost: expected time of the item at a slot, in seconds.
      item: the value to return from ``pop``.
    """
    start = max(queue._virtual_time, queue._finish_tags.get(team, 0.0))
    share = max(weight, _MIN_WEIGHT)
    queue._finish_tags[team] = start + max(cost, _MIN_COST) / share
    heapq.heappush(queue._heap, _Entry(start, queue._pushed, team, item))
    queue._pushed += 1


def requeue(queue: FairQueue, team: str, item: Any) -> None:
    """Put a popped item back at the front; O(log n).

    Its team was charged for it by ``push`` and is not charged again.
    """
    start = queue._virtual_time
    heapq.heappush(queue._heap, _Entry(start, -queue._pushed, team, item))
    queue._pushed += 1


def pop(queue: FairQueue) -> Any | None:
    """Remove and return the next item, or None when empty; O(log n)."""
    if not queue._heap:
        return None
    entry = heapq.heappop(queue._heap)
    queue._virtual_time = entry.start_tag
    if not queue._heap:
        _reset_tags(queue)
    return entry.item


def peek(queue: FairQueue) -> Any | None:
    """Return the item that ``pop`` would remove, or None when empty."""
    return queue._heap[0].item if queue._heap else None


def discard(queue: FairQueue, predicate: Callable[[Any], bool]) -> list[Any]:
    """Remove all items for which ``predicate`` holds; O(n).

    Args:
      queue: changed in place.
      predicate: called once with each item.

    Returns:
      The removed items, in order of their tags. Their teams stay charged for them.
    """
    removed = []
    kept = []
    for entry in queue._heap:
        (removed if predicate(entry.item) else kept).append(entry)
    if not removed:
        return []
    heapq.heapify(kept)
    queue._heap = kept
    if not kept:
        _reset_tags(queue)
    return [entry.item for entry in sorted(removed, key=_order)]


def _order(entry: _Entry) -> tuple[float, int]:
    return entry.start_tag, entry.number


def _reset_tags(queue: FairQueue) -> None:
    """Reset virtual time and tags of an empty queue.

    Otherwise the tags of removed teams would stay for ever, and a team whose burst has
    been served would still be placed behind the others.
    """
    queue._finish_tags.clear()
    queue._virtual_time = 0.0
