"""State of placement: strategies, and what a home knows of executors.

``placement`` chooses executors, ``ejection`` ejects workers that fail tasks. The sets
of usable and free executors are updated with each event, so the cost of a choice
doesn't grow with the number of workers unless the strategy compares all of them.
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
    """Ranks candidates at random, in turn, by in-flight tasks or by expected end."""

    FIRST = "first"
    TURN = "turn"
    COUNT = "count"
    EXPECTED_END = "expected_end"


class Strategy(NamedTuple):
    """A placement strategy.

    Attributes:
      rank: how candidates are ranked.
      choices: how many candidates are sampled; ``ALL`` for every free executor.
      queue_share: maximum number of tasks queued at an executor, as a share of its
        slots; None for no bound at the home.
      ejects: whether workers that fail most tasks are ejected.
      patience: maximum ratio of the expected end of a task to that on the best of
        another sample, full executors included; above it the task waits at the home.
        None for no such bound.
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
    """What the home knows of one executor; times are POSIX timestamps.

    Attributes:
      in_flight: tasks that this home placed there.
      other_homes_tasks: tasks of other homes, by the last load report.
      mean_run: smoothed run time in seconds; None before the first.
      last_progress: when the last task ended, or the first of those in flight was sent.
      probe_at: when an ejected executor may get its next probe.
      probe_interval: seconds between probes.
    """

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
        """Tasks of all homes there."""
        return self.in_flight + self.other_homes_tasks


class IndexedSet:
    """A set of incarnations with indexed access, additions and removals in O(1)."""

    def __init__(self) -> None:
        self._items: list[str] = []
        self._positions: dict[str, int] = {}

    @property
    def items(self) -> list[str]:
        """All items; the caller must not change the list."""
        return self._items

    def add(self, item: str) -> None:
        """Add ``item`` unless it is present."""
        if item not in self._positions:
            self._positions[item] = len(self._items)
            self._items.append(item)

    def remove(self, item: str) -> None:
        """Remove ``item`` if present; the last item moves to its position."""
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
    """Executors and services known to a home; see ``placement.new_placement``."""

    def __init__(self, seed: int, strategy: Strategy) -> None:
        self.random = random.Random(seed)
        self.strategy = strategy
        self.message_weight = 0.0
        self.executors: dict[str, ExecutorView] = {}
        self.services: dict[str, ServicePool] = {}


def update_pools(state: PlacementState, executor: ExecutorView) -> None:
    """Update whether the executor is in the sets of usable and free ones."""
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
    """Return whether the home may place a task there now.

    An executor without tasks of this home is always free: load is reported with
    answers, so after one report of a full executor the home might never use it again.
    The executor's own queue limit still applies.
    """
    return executor.in_flight == 0 or executor.total < _max_tasks(state, executor)


def _max_tasks(state: PlacementState, executor: ExecutorView) -> float:
    """Return the maximum number of tasks at an executor.

    A higher message weight allows fewer queued tasks: each may be refused by a full
    queue, which wastes two messages.
    """
    share = state.strategy.queue_share
    if share is None:
        return _UNBOUNDED
    return executor.slots * (1 + share * (1 - state.message_weight))


def service_pool(state: PlacementState, name: str) -> ServicePool:
    return state.services.setdefault(name, ServicePool())


def remove_executor(state: PlacementState, incarnation: str) -> None:
    """Remove an executor that is no longer registered."""
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
