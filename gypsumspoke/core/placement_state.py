"""What a home knows of executors: the strategy, and the sets kept for quick choices.

``placement`` chooses, ``ejection`` takes out workers that fail. Sets of free executors
are kept up to date by each event, which makes a choice independent of the number of
workers unless a strategy asks to see them all.
"""

import random
from datetime import datetime
from enum import Enum
from typing import NamedTuple

from gypsumspoke.core.values import Member

ALL = 0
MIN_PROBE_INTERVAL = 5.0
SMOOTHING = 0.1
_UNBOUNDED = 1 << 30


class Rank(Enum):
    """How the drawn executors are compared."""

    FIRST = "first"
    TURN = "turn"
    COUNT = "count"
    EXPECTED_END = "expected_end"


class Strategy(NamedTuple):
    """A way to place, as data.

    Attributes:
      rank: how the drawn executors are compared.
      choices: how many are drawn; ``ALL`` for every free one.
      queue_share: tasks allowed to wait at an executor, as a share of its slots, by
        what the home knows; None for no bound at the home.
      ejects: whether workers that fail most tasks are taken out.
      patience: how many times longer than on the best of another draw, full ones
        included, a task may take; past that it waits at the home. None for no such
        bound.
    """

    rank: Rank
    choices: int
    queue_share: float | None
    ejects: bool
    patience: float | None = None


DEFAULT_STRATEGY = "expected_wait"

STRATEGIES: dict[str, Strategy] = {
    "expected_wait": Strategy(Rank.EXPECTED_END, 3, 0.0, True, 2.0),
    "two_choices": Strategy(Rank.COUNT, 2, None, False),
    "least_in_flight": Strategy(Rank.COUNT, ALL, None, False),
    "round_robin": Strategy(Rank.TURN, ALL, None, False),
    "random": Strategy(Rank.FIRST, 1, None, False),
}


class ExecutorView:
    """What the home knows of one executor. Times are seconds of ``seconds_of``."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.reachable = False
        self.slots = member.slots
        self.in_flight = 0
        self.other_homes_tasks = 0
        self.mean_run: float | None = None
        self.last_progress = 0.0
        self.failure_rate = 0.0
        self.ejected = False
        self.probe_at = 0.0
        self.probe_interval = MIN_PROBE_INTERVAL

    @property
    def total(self) -> int:
        """Tasks there by the last report and this home's own count."""
        return self.in_flight + self.other_homes_tasks


class IndexedSet:
    """A set of incarnations with random draws, additions and removals in O(1)."""

    def __init__(self) -> None:
        self._items: list[str] = []
        self._positions: dict[str, int] = {}

    @property
    def items(self) -> list[str]:
        """All members; not to be changed by the caller."""
        return self._items

    def add(self, item: str) -> None:
        """Add ``item`` unless it is in."""
        if item not in self._positions:
            self._positions[item] = len(self._items)
            self._items.append(item)

    def remove(self, item: str) -> None:
        """Remove ``item`` if it is in; the last one takes its place."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[position] = last
            self._positions[last] = position


class ServicePool:
    """The executors of one upstream service."""

    def __init__(self) -> None:
        self.registered: set[str] = set()
        self.usable = IndexedSet()
        self.free = IndexedSet()
        self.probes: list[tuple[float, str]] = []
        self.in_flight = 0
        self.mean_run: float | None = None
        self.failure_rate = 0.0
        self.ejected = 0
        self.last_index = 0


class PlacementState:
    """All that one home knows about executors; built by ``placement.new_placement``."""

    def __init__(self, seed: int, strategy: Strategy) -> None:
        self.random = random.Random(seed)
        self.strategy = strategy
        self.message_weight = 0.0
        self.executors: dict[str, ExecutorView] = {}
        self.services: dict[str, ServicePool] = {}


def update_pools(state: PlacementState, executor: ExecutorView) -> None:
    """Put the executor into the sets it belongs to and take it out of the others."""
    pool = service_pool(state, executor.member.service)
    incarnation = executor.member.incarnation
    _set_membership(pool.usable, incarnation, _is_usable(executor))
    _set_membership(
        pool.free, incarnation, _is_usable(executor) and _has_room(state, executor)
    )


def _set_membership(pool: IndexedSet, item: str, belongs: bool) -> None:
    if belongs:
        pool.add(item)
    else:
        pool.remove(item)


def _is_usable(executor: ExecutorView) -> bool:
    return executor.reachable and not executor.ejected and executor.slots > 0


def _has_room(state: PlacementState, executor: ExecutorView) -> bool:
    """Tell whether the home may place there now.

    An executor where this home has nothing is always free: only answers bring news,
    and one report of a full executor could otherwise keep the home away for good. The
    executor's own queue limit still holds.
    """
    return executor.in_flight == 0 or executor.total < _max_tasks(state, executor)


def _max_tasks(state: PlacementState, executor: ExecutorView) -> float:
    """Return the most tasks there by what the home knows.

    The more messages weigh, the fewer may wait there: each waiting task risks a
    refusal by a full queue, and that is two messages for nothing.
    """
    share = state.strategy.queue_share
    if share is None:
        return _UNBOUNDED
    return executor.slots * (1 + share * (1 - state.message_weight))


def service_pool(state: PlacementState, name: str) -> ServicePool:
    return state.services.setdefault(name, ServicePool())


def remove_executor(state: PlacementState, incarnation: str) -> None:
    """Drop an executor that is no longer registered."""
    executor = state.executors.pop(incarnation)
    pool = service_pool(state, executor.member.service)
    pool.in_flight -= executor.in_flight
    pool.registered.discard(incarnation)
    pool.usable.remove(incarnation)
    pool.free.remove(incarnation)
    if executor.ejected:
        pool.ejected -= 1


def smooth(mean: float | None, value: float, share: float) -> float:
    return value if mean is None else mean + share * (value - mean)


def seconds_of(time: datetime) -> float:
    return time.timestamp()
