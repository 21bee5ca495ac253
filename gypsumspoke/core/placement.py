"""On which executor a task goes, decided by a home alone.

A home learns what it needs from answers and heartbeats that are sent anyway, so a
placement costs no message beyond the one that carries the task. It draws a few
executors at random and takes the one where the task is expected to end first. Drawing
few keeps homes that share the same stale view from all choosing the same executor.

Baselines that the measuring command compares with are strategies of the same form,
chosen by name in the manifest, so that all run through the same code.

Sets of free executors are kept up to date by each event, which makes ``choose``
independent of the number of workers unless a strategy asks to see them all.
"""

import heapq
import random
from collections.abc import Iterable
from datetime import datetime, timedelta
from enum import Enum
from typing import NamedTuple

from gypsumspoke.core.data import (
    Load,
    Member,
    Outcome,
    Policy,
    RetryReason,
    Role,
    ServicePolicy,
)

ALL = 0


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

_ASSUMED_RUN = 0.3
_REFERENCES = 3
_SMOOTHING = 0.1
_FAILURE_SMOOTHING = 0.3
_EJECT_ABOVE = 0.6
_REINSTATE_BELOW = 0.3
_EJECT_RELATIVE = 2.0
_MOST_EJECTED_SHARE = 1 / 3
_FIRST_PROBE = 5.0
_LAST_PROBE = 60.0
_PROBE_GROWTH = 3.0
_UNBOUNDED = 1 << 30
_BROKEN_UPSTREAM = frozenset(
    {
        RetryReason.UPSTREAM_REFUSED_CONNECTION.value,
        RetryReason.UPSTREAM_BROKEN.value,
    }
)


class _Executor:
    """What the home knows of one executor. Times are seconds of ``_seconds``."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.reachable = False
        self.slots = member.slots
        self.in_flight = 0
        self.foreign = 0
        self.mean_run: float | None = None
        self.quiet_since = 0.0
        self.failure_rate = 0.0
        self.ejected = False
        self.probe_at = 0.0
        self.probe_pause = _FIRST_PROBE

    @property
    def total(self) -> int:
        """Tasks there by the last report and this home's own count."""
        return self.in_flight + self.foreign


class _Pool:
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


class _Service:
    """The executors of one upstream service."""

    def __init__(self) -> None:
        self.known: set[str] = set()
        self.usable = _Pool()
        self.free = _Pool()
        self.probes: list[tuple[float, str]] = []
        self.in_flight = 0
        self.mean_run: float | None = None
        self.failure_rate = 0.0
        self.ejected = 0
        self.turn = 0


class PlacementState:
    """All that one home knows about executors; built by ``new_placement``."""

    def __init__(self, seed: int, strategy: Strategy) -> None:
        self._random = random.Random(seed)
        self._strategy = strategy
        self._message_weight = 0.0
        self._executors: dict[str, _Executor] = {}
        self._services: dict[str, _Service] = {}


def new_placement(seed: int, strategy: Strategy | None = None) -> PlacementState:
    """Return a state without executors.

    Args:
      seed: for the random draws.
      strategy: how to place until ``set_policy`` names another; the default one if
        None.
    """
    return PlacementState(seed, strategy or STRATEGIES[DEFAULT_STRATEGY])


def set_policy(
    state: PlacementState, policy: Policy, services: tuple[ServicePolicy, ...]
) -> None:
    """Take over what the manifest says; an unknown strategy leaves the present one.

    Args:
      state: changed in place.
      policy: the manifest's policy.
      services: the manifest's services; kept for the signature's sake, their limits
        are enforced at the executors.
    """
    state._message_weight = policy.message_weight
    state._strategy = STRATEGIES.get(policy.placement, state._strategy)
    for executor in state._executors.values():
        _refresh(state, executor)


def set_members(
    state: PlacementState,
    members: Iterable[Member],
    reachable: frozenset[str],
    own_worker: str,
) -> None:
    """Take over the membership view.

    Ended members, entries and this home's own worker are left out: a home that placed
    on its own worker would lose ledger and start record in one death.

    Args:
      state: changed in place.
      members: all registered members.
      reachable: incarnations that answer heartbeats.
      own_worker: worker this home runs on.
    """
    offered = {
        member.incarnation: member
        for member in members
        if member.role is Role.SIDECAR
        and member.ended is None
        and member.worker != own_worker
    }
    for incarnation in set(state._executors) - set(offered):
        _forget(state, incarnation)
    for incarnation, member in offered.items():
        executor = state._executors.get(incarnation)
        if executor is None:
            executor = _Executor(member)
            state._executors[incarnation] = executor
            _service(state, member.service).known.add(incarnation)
        executor.reachable = incarnation in reachable
        _refresh(state, executor)


def serves(state: PlacementState, service: str) -> bool:
    """Tell whether any registered worker, reachable or not, offers the service."""
    return service in state._services and bool(state._services[service].known)


def choose(
    state: PlacementState, service: str, exclude: frozenset[str], now: datetime
) -> str | None:
    """Return the executor for one task; call ``note_placed`` if it is used.

    Args:
      state: its random source advances.
      service: upstream service of the task.
      exclude: incarnations that refused this task before.
      now: the time.

    Returns:
      An incarnation, or None when no executor has room by what is known here.
    """
    pool = state._services.get(service)
    if pool is None:
        return None
    probe = _due_probe(state, pool, exclude, _seconds(now))
    if probe is not None:
        return probe
    drawn = _draw(state, pool, exclude)
    if not drawn:
        return None
    best = min(drawn, key=_ranking(state, pool, _seconds(now)))
    return best if _is_worth_it(state, pool, best, _seconds(now)) else None


def note_placed(state: PlacementState, incarnation: str, now: datetime) -> None:
    """Count a task as sent to an executor."""
    executor = state._executors.get(incarnation)
    if executor is None:
        return
    if executor.in_flight == 0:
        executor.quiet_since = _seconds(now)
    executor.in_flight += 1
    _service(state, executor.member.service).in_flight += 1
    if executor.ejected:
        _schedule_probe(state, executor, _seconds(now))
    _refresh(state, executor)


def note_outcome(
    state: PlacementState,
    incarnation: str,
    outcome: Outcome,
    reason: str,
    load: Load | None,
    run_time: timedelta | None,
    now: datetime,
) -> bool:
    """Learn from the end of one placed task.

    Args:
      state: changed in place.
      incarnation: where it was placed.
      outcome: what became of it.
      reason: as in ``TaskOutcome``.
      load: the executor's load; None when nothing was heard.
      run_time: time at the upstream; None unless it ran.
      now: the time.

    Returns:
      True if this outcome made the home eject the worker.
    """
    executor = state._executors.get(incarnation)
    if executor is None:
        return False
    if executor.in_flight:
        executor.in_flight -= 1
        _service(state, executor.member.service).in_flight -= 1
    executor.quiet_since = _seconds(now)
    if outcome is Outcome.DONE and run_time is not None:
        _learn_run(state, executor, run_time.total_seconds())
    if load is not None:
        _learn_load(executor, load)
    was_ejected = executor.ejected
    if _tells_of_health(outcome, reason):
        _learn_health(state, executor, outcome is not Outcome.DONE, _seconds(now))
    _refresh(state, executor)
    return executor.ejected and not was_ejected


def note_load(
    state: PlacementState, incarnation: str, load: Load, now: datetime
) -> None:
    """Learn from a load that came without an outcome, as on a heartbeat."""
    executor = state._executors.get(incarnation)
    if executor is None:
        return
    _learn_load(executor, load)
    _refresh(state, executor)


def expected_run(state: PlacementState, service: str) -> timedelta:
    """Return the mean run time of the service's tasks as observed.

    Without a task in flight it is the assumed one. A home refuses jobs by this value:
    after a time of slow runs it would refuse all, run none, and so never learn that
    runs are fast again. This way an idle home tries one job and learns from it.
    """
    pool = state._services.get(service)
    if pool is None or not pool.in_flight:
        return timedelta(seconds=_ASSUMED_RUN)
    return timedelta(seconds=_service_mean(pool))


def expected_wait(state: PlacementState, service: str, queued: int) -> timedelta:
    """Return how long a task behind ``queued`` others waits at this home.

    The other homes' tasks are taken to go on using the share of slots that they use
    now.

    Args:
      state: not changed.
      service: upstream service.
      queued: tasks that wait at this home in front.

    Returns:
      The time; that of a whole run per task when no executor is in sight; zero
      without a task in flight, for the reason given at ``expected_run``.
    """
    pool = state._services.get(service)
    if pool is not None and not pool.in_flight:
        return timedelta(0)
    rate = 0.0
    for incarnation in pool.known if pool else ():
        executor = state._executors[incarnation]
        if executor.reachable and not executor.ejected and executor.slots:
            share = (executor.in_flight + 1) / (executor.total + 1)
            rate += share * executor.slots / _mean(executor, pool)
    if not rate:
        return timedelta(seconds=queued * _service_mean(pool))
    return timedelta(seconds=queued / rate)


def ejected(state: PlacementState) -> frozenset[str]:
    """Return the incarnations that are taken out for failing."""
    return frozenset(
        incarnation
        for incarnation, executor in state._executors.items()
        if executor.ejected
    )


# ---------------------------------------------------------------------------
# Drawing and comparing


def _draw(state: PlacementState, pool: _Service, exclude: frozenset[str]) -> list[str]:
    """Return the executors that the strategy wants compared."""
    items = pool.free.items
    wanted = state._strategy.choices
    if state._strategy.rank is Rank.TURN:
        return _next_in_turn(pool, exclude)
    if wanted == ALL or wanted >= len(items):
        return [item for item in items if item not in exclude]
    drawn = state._random.sample(items, wanted)
    drawn = [item for item in drawn if item not in exclude]
    if drawn:
        return drawn
    allowed = [item for item in items if item not in exclude]
    return state._random.sample(allowed, min(wanted, len(allowed)))


def _next_in_turn(pool: _Service, exclude: frozenset[str]) -> list[str]:
    items = pool.free.items
    for _ in range(len(items)):
        pool.turn = (pool.turn + 1) % len(items)
        if items[pool.turn] not in exclude:
            return [items[pool.turn]]
    return []


def _ranking(state: PlacementState, pool: _Service, now: float):
    """Return the key function by which the least of the drawn ones is chosen."""
    if state._strategy.rank is Rank.EXPECTED_END:
        return lambda item: (
            _expected_end(state._executors[item], pool, now),
            state._random.random(),
        )
    if state._strategy.rank is Rank.COUNT:
        return lambda item: (
            state._executors[item].in_flight,
            state._random.random(),
        )
    return lambda item: state._random.random()


def _expected_end(executor: _Executor, pool: _Service, now: float) -> float:
    """Return seconds until a task placed now would end there.

    While a slot is free that is one run; else the tasks there drain first, at
    ``slots`` per mean run.
    """
    run = _mean(executor, pool)
    if executor.in_flight:
        # A worker that hangs sends no run times, so by these alone it would look as
        # fast as ever. The time since it last finished anything is a lower bound.
        run = max(run, (now - executor.quiet_since))
    return run * max(1.0, (executor.total + 1) / max(1, executor.slots))


def _is_worth_it(state: PlacementState, pool: _Service, best: str, now: float) -> bool:
    """Tell whether a task should go there rather than wait for a better executor.

    Without this a straggler, always free because it is avoided, takes the overflow
    whenever the others are full, and whole jobs wait for it. The reference is drawn
    from the full ones too. It can't hold a task for ever: a full executor that stops
    answering looks worse with each second, and one without tasks of this home is free.
    """
    patience = state._strategy.patience
    usable = pool.usable.items
    if patience is None or not usable:
        return True
    drawn = state._random.sample(usable, min(_REFERENCES, len(usable)))
    reference = min(_expected_end(state._executors[item], pool, now) for item in drawn)
    # The more messages weigh, the longer a task waits at the home: a task sent early
    # to a poor place is the one that is refused there or cancelled after its start.
    patience -= state._message_weight * (patience - 1) / 2
    return _expected_end(state._executors[best], pool, now) <= patience * reference


def _mean(executor: _Executor, pool: _Service | None) -> float:
    return executor.mean_run or _service_mean(pool)


def _service_mean(pool: _Service | None) -> float:
    return (pool.mean_run if pool else None) or _ASSUMED_RUN


# ---------------------------------------------------------------------------
# Learning


def _learn_run(state: PlacementState, executor: _Executor, run: float) -> None:
    """Smooth run times of finished tasks; failed ones would make it look fast."""
    pool = _service(state, executor.member.service)
    executor.mean_run = _smooth(executor.mean_run, run, _SMOOTHING)
    pool.mean_run = _smooth(pool.mean_run, run, _SMOOTHING)


def _learn_load(executor: _Executor, load: Load) -> None:
    """Take what other homes have there from a report.

    The executor's own mean covers all homes' tasks and so replaces this home's.
    """
    executor.slots = load.slots
    executor.foreign = max(0, load.running + load.queued - executor.in_flight)
    if load.mean_run is not None:
        executor.mean_run = load.mean_run.total_seconds()


def _smooth(mean: float | None, value: float, share: float) -> float:
    return value if mean is None else mean + share * (value - mean)


def _tells_of_health(outcome: Outcome, reason: str) -> bool:
    """Tell whether an outcome speaks of the worker rather than of load or callers."""
    if outcome is Outcome.NOT_RUN:
        return reason in _BROKEN_UPSTREAM
    return True


def _learn_health(
    state: PlacementState, executor: _Executor, failed: bool, now: float
) -> None:
    """Update failure rates; eject or reinstate."""
    pool = _service(state, executor.member.service)
    executor.failure_rate = _smooth(
        executor.failure_rate, float(failed), _FAILURE_SMOOTHING
    )
    pool.failure_rate = _smooth(pool.failure_rate, float(failed), _SMOOTHING)
    if executor.ejected:
        _judge_probe(state, executor, failed, now)
    elif failed and _is_outlier(state, executor, pool):
        executor.ejected = True
        pool.ejected += 1
        executor.probe_pause = _FIRST_PROBE
        _schedule_probe(state, executor, now)


def _is_outlier(state: PlacementState, executor: _Executor, pool: _Service) -> bool:
    """Tell whether a worker fails far more than the rest.

    When all fail alike it is the jobs, and ejecting would only shrink the system; the
    bound on the ejected share holds for the same reason.
    """
    if not state._strategy.ejects:
        return False
    if executor.failure_rate < _EJECT_ABOVE:
        return False
    if executor.failure_rate < _EJECT_RELATIVE * _others_rate(state, executor, pool):
        return False
    return pool.ejected + 1 <= max(1, len(pool.known) * _MOST_EJECTED_SHARE)


def _others_rate(state: PlacementState, executor: _Executor, pool: _Service) -> float:
    """Return the mean failure rate of the service's other executors."""
    others = [
        state._executors[incarnation].failure_rate
        for incarnation in pool.known
        if incarnation != executor.member.incarnation
    ]
    return sum(others) / len(others) if others else 0.0


def _judge_probe(
    state: PlacementState, executor: _Executor, failed: bool, now: float
) -> None:
    """Space probes out while they fail; reinstate after a few good ones."""
    pool = _service(state, executor.member.service)
    if failed:
        executor.probe_pause = min(_LAST_PROBE, _PROBE_GROWTH * executor.probe_pause)
        _schedule_probe(state, executor, now)
    elif executor.failure_rate < _REINSTATE_BELOW:
        executor.ejected = False
        pool.ejected -= 1
    else:
        executor.probe_pause = _FIRST_PROBE
        _schedule_probe(state, executor, now)


def _schedule_probe(state: PlacementState, executor: _Executor, now: float) -> None:
    """Allow one task there after the pause; an earlier allowance lapses."""
    executor.probe_at = now + executor.probe_pause
    pool = _service(state, executor.member.service)
    heapq.heappush(pool.probes, (executor.probe_at, executor.member.incarnation))


def _due_probe(
    state: PlacementState, pool: _Service, exclude: frozenset[str], now: float
) -> str | None:
    """Return an ejected executor whose turn for one probing task has come."""
    while pool.probes and pool.probes[0][0] <= now:
        due, incarnation = pool.probes[0]
        executor = state._executors.get(incarnation)
        if executor is None or not executor.ejected or executor.probe_at != due:
            heapq.heappop(pool.probes)
            continue
        if incarnation in exclude:
            return None
        if executor.in_flight or not executor.reachable:
            _schedule_probe(state, executor, now)
            continue
        return incarnation
    return None


# ---------------------------------------------------------------------------
# Who has room


def _refresh(state: PlacementState, executor: _Executor) -> None:
    """Put the executor into the sets it belongs to and take it out of the others."""
    pool = _service(state, executor.member.service)
    incarnation = executor.member.incarnation
    _put(pool.usable, incarnation, _is_usable(executor))
    _put(pool.free, incarnation, _is_usable(executor) and _has_room(state, executor))


def _put(pool: _Pool, item: str, belongs: bool) -> None:
    if belongs:
        pool.add(item)
    else:
        pool.remove(item)


def _is_usable(executor: _Executor) -> bool:
    return executor.reachable and not executor.ejected and executor.slots > 0


def _has_room(state: PlacementState, executor: _Executor) -> bool:
    """Tell whether the home may place there now.

    An executor where this home has nothing is always free: only answers bring news,
    and one report of a full executor could otherwise keep the home away for good. The
    executor's own queue limit still holds.
    """
    return executor.in_flight == 0 or executor.total < _bound(state, executor)


def _bound(state: PlacementState, executor: _Executor) -> float:
    """Return the most tasks there by what the home knows.

    The more messages weigh, the fewer may wait there: each waiting task risks a
    refusal by a full queue, and that is two messages for nothing.
    """
    share = state._strategy.queue_share
    if share is None:
        return _UNBOUNDED
    return executor.slots * (1 + share * (1 - state._message_weight))


def _service(state: PlacementState, name: str) -> _Service:
    return state._services.setdefault(name, _Service())


def _forget(state: PlacementState, incarnation: str) -> None:
    """Drop an executor that is no longer registered."""
    executor = state._executors.pop(incarnation)
    pool = _service(state, executor.member.service)
    pool.in_flight -= executor.in_flight
    pool.known.discard(incarnation)
    pool.usable.remove(incarnation)
    pool.free.remove(incarnation)
    if executor.ejected:
        pool.ejected -= 1


def _seconds(time: datetime) -> float:
    return time.timestamp()
