"""Ejects workers that fail tasks, and reinstates them after successful probes.

A worker that fails every task at once is always free, so it would attract the tasks of
all homes, and each failed task fails its job. A worker that fails far more than the
others gets only single probe tasks at growing intervals, until they succeed.
"""

import heapq

from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.placement_state import (
    MIN_PROBE_INTERVAL,
    SMOOTHING,
    ExecutorView,
    PlacementState,
    ServicePool,
    service_pool,
    smooth,
)
from gypsumspoke.core.values import Outcome

_FAILURE_SMOOTHING = 0.3
_EJECT_ABOVE = 0.6
_REINSTATE_BELOW = 0.3
_EJECT_RATIO = 2.0
_MAX_EJECTED_SHARE = 1 / 3
_MAX_PROBE_INTERVAL = 60.0
_PROBE_GROWTH = 3.0
_BROKEN_UPSTREAM = frozenset(
    {
        RetryReason.UPSTREAM_REFUSED_CONNECTION.value,
        RetryReason.UPSTREAM_BROKEN.value,
    }
)


def indicates_worker_health(outcome: Outcome, reason: str) -> bool:
    """Return whether an outcome depends on the worker, not on load or callers."""
    if outcome is Outcome.NOT_RUN:
        return reason in _BROKEN_UPSTREAM
    return True


def update_health(
    state: PlacementState, executor: ExecutorView, failed: bool, now: float
) -> None:
    """Update failure rates, and eject or reinstate the executor."""
    pool = service_pool(state, executor.member.service)
    executor.failure_rate = smooth(
        executor.failure_rate, float(failed), _FAILURE_SMOOTHING
    )
    pool.failure_rate = smooth(pool.failure_rate, float(failed), SMOOTHING)
    if executor.ejected:
        _handle_probe_result(state, executor, failed, now)
    elif failed and _is_outlier(state, executor, pool):
        executor.ejected = True
        pool.ejected += 1
        executor.probe_interval = MIN_PROBE_INTERVAL
        schedule_probe(state, executor, now)


def _is_outlier(
    state: PlacementState, executor: ExecutorView, pool: ServicePool
) -> bool:
    """Return whether a worker fails far more than the others.

    When all workers fail alike the jobs are the cause, and ejecting workers would only
    reduce capacity. The bound on the ejected share has the same purpose.
    """
    if not state.strategy.ejects:
        return False
    if executor.failure_rate < _EJECT_ABOVE:
        return False
    if executor.failure_rate < _EJECT_RATIO * _others_rate(state, executor, pool):
        return False
    return pool.ejected + 1 <= max(1, len(pool.registered) * _MAX_EJECTED_SHARE)


def _others_rate(
    state: PlacementState, executor: ExecutorView, pool: ServicePool
) -> float:
    """Return the mean failure rate of the service's other executors."""
    others = [
        state.executors[incarnation].failure_rate
        for incarnation in pool.registered
        if incarnation != executor.member.incarnation
    ]
    return sum(others) / len(others) if others else 0.0


def _handle_probe_result(
    state: PlacementState, executor: ExecutorView, failed: bool, now: float
) -> None:
    """Lengthen the interval while probes fail; reinstate after a few successes."""
    pool = service_pool(state, executor.member.service)
    if failed:
        executor.probe_interval = min(
            _MAX_PROBE_INTERVAL, _PROBE_GROWTH * executor.probe_interval
        )
        schedule_probe(state, executor, now)
    elif executor.failure_rate < _REINSTATE_BELOW:
        executor.ejected = False
        pool.ejected -= 1
    else:
        executor.probe_interval = MIN_PROBE_INTERVAL
        schedule_probe(state, executor, now)


def schedule_probe(state: PlacementState, executor: ExecutorView, now: float) -> None:
    """Schedule the next probe after the interval, replacing an earlier one."""
    executor.probe_at = now + executor.probe_interval
    pool = service_pool(state, executor.member.service)
    heapq.heappush(pool.probes, (executor.probe_at, executor.member.incarnation))


def due_probe(
    state: PlacementState, pool: ServicePool, exclude: frozenset[str], now: float
) -> str | None:
    """Return an ejected executor whose probe is due, or None."""
    while pool.probes and pool.probes[0][0] <= now:
        due, incarnation = pool.probes[0]
        executor = state.executors.get(incarnation)
        if executor is None or not executor.ejected or executor.probe_at != due:
            heapq.heappop(pool.probes)
            continue
        if incarnation in exclude:
            return None
        if executor.in_flight or not executor.reachable:
            schedule_probe(state, executor, now)
            continue
        return incarnation
    return None
