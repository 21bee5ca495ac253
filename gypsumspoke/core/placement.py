"""Chooses the executor for each task.

A home knows the load of executors from answers and heartbeats, so a placement needs no
extra message. It samples a few executors at random and takes the one with the earliest
expected end of the task. A small sample keeps homes with the same stale view from all
choosing the same executor.

The manifest names the strategy; the others are baselines for ``tools.measure``.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta

from gypsumspoke.core.ejection import (
    due_probe,
    indicates_worker_health,
    schedule_probe,
    update_health,
)
from gypsumspoke.core.placement_state import (
    ALL,
    DEFAULT_STRATEGY,
    SMOOTHING,
    STRATEGIES,
    ExecutorView,
    PlacementState,
    Rank,
    ServicePool,
    Strategy,
    remove_executor,
    seconds_of,
    service_pool,
    smooth,
    update_pools,
)
from gypsumspoke.core.policy import Policy
from gypsumspoke.core.values import Load, Member, Outcome, Role

_DEFAULT_RUN_SECONDS = 0.3
_REFERENCE_SAMPLES = 3


def new_placement(seed: int, strategy: Strategy | None = None) -> PlacementState:
    """Return a state without executors.

    Args:
      seed: for random choices.
      strategy: strategy until ``set_policy`` names another; None for the default.
    """
    return PlacementState(seed, strategy or STRATEGIES[DEFAULT_STRATEGY])


def set_policy(state: PlacementState, policy: Policy) -> None:
    """Apply the manifest's policy; an unknown strategy name keeps the present one.

    Args:
      state: changed in place.
      policy: the manifest's policy.
    """
    state.message_weight = policy.message_weight
    state.strategy = STRATEGIES.get(policy.placement, state.strategy)
    for executor in state.executors.values():
        update_pools(state, executor)


def set_members(
    state: PlacementState,
    members: Iterable[Member],
    reachable: frozenset[str],
    own_worker: str,
) -> None:
    """Update the executors from the membership view.

    Ended members, entries and this home's own worker are left out: losing its own
    worker would lose the ledger and the start record together.

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
    for incarnation in set(state.executors) - set(offered):
        remove_executor(state, incarnation)
    for incarnation, member in offered.items():
        executor = state.executors.get(incarnation)
        if executor is None:
            executor = ExecutorView(member)
            state.executors[incarnation] = executor
            service_pool(state, member.service).registered.add(incarnation)
        executor.reachable = incarnation in reachable
        update_pools(state, executor)


def is_service_registered(state: PlacementState, service: str) -> bool:
    """Return whether a registered worker, reachable or not, offers the service."""
    return service in state.services and bool(state.services[service].registered)


def choose_executor(
    state: PlacementState, service: str, exclude: frozenset[str], now: datetime
) -> str | None:
    """Return the executor for one task; call ``record_placement`` if it is used.

    Args:
      state: its random generator advances.
      service: upstream service of the task.
      exclude: incarnations that refused this task before.
      now: the current time.

    Returns:
      An incarnation, or None when no executor is known to have a free slot.
    """
    pool = state.services.get(service)
    if pool is None:
        return None
    probe = due_probe(state, pool, exclude, seconds_of(now))
    if probe is not None:
        return probe
    drawn = _sample_candidates(state, pool, exclude)
    if not drawn:
        return None
    best = min(drawn, key=_ranking(state, pool, seconds_of(now)))
    return best if _is_acceptable(state, pool, best, seconds_of(now)) else None


def record_placement(state: PlacementState, incarnation: str, now: datetime) -> None:
    """Record that a task was sent to an executor."""
    executor = state.executors.get(incarnation)
    if executor is None:
        return
    if executor.in_flight == 0:
        executor.last_progress = seconds_of(now)
    executor.in_flight += 1
    service_pool(state, executor.member.service).in_flight += 1
    if executor.ejected:
        schedule_probe(state, executor, seconds_of(now))
    update_pools(state, executor)


def record_outcome(
    state: PlacementState,
    incarnation: str,
    outcome: Outcome,
    reason: str,
    load: Load | None,
    run_time: timedelta | None,
    now: datetime,
) -> bool:
    """Update an executor's statistics from the outcome of one placed task.

    Args:
      state: changed in place.
      incarnation: the executor.
      outcome: outcome of the task.
      reason: as in ``TaskOutcome``.
      load: load reported with the outcome; None without a report.
      run_time: time at the upstream; None unless it ran.
      now: the current time.

    Returns:
      True if this outcome made the home eject the worker.
    """
    executor = state.executors.get(incarnation)
    if executor is None:
        return False
    if executor.in_flight:
        executor.in_flight -= 1
        service_pool(state, executor.member.service).in_flight -= 1
    executor.last_progress = seconds_of(now)
    if outcome is Outcome.DONE and run_time is not None:
        _update_mean_run(state, executor, run_time.total_seconds())
    if load is not None:
        _apply_load(executor, load)
    was_ejected = executor.ejected
    if indicates_worker_health(outcome, reason):
        update_health(state, executor, outcome is not Outcome.DONE, seconds_of(now))
    update_pools(state, executor)
    return executor.ejected and not was_ejected


def update_load(
    state: PlacementState, incarnation: str, load: Load, now: datetime
) -> None:
    """Update an executor's load from a report without an outcome, as a heartbeat."""
    executor = state.executors.get(incarnation)
    if executor is None:
        return
    _apply_load(executor, load)
    update_pools(state, executor)


def expected_run(state: PlacementState, service: str) -> timedelta:
    """Return the observed mean run time of the service's tasks.

    Without a task in flight it is a default. A home refuses jobs by this value: after a
    period of slow runs it would otherwise refuse every job and never observe that runs
    are fast again.
    """
    pool = state.services.get(service)
    if pool is None or not pool.in_flight:
        return timedelta(seconds=_DEFAULT_RUN_SECONDS)
    return timedelta(seconds=_service_mean_run(pool))


def expected_wait(state: PlacementState, service: str, queued: int) -> timedelta:
    """Return how long a task behind ``queued`` others waits at this home.

    Other homes are assumed to keep the share of slots that they use now.

    Args:
      state: not changed.
      service: upstream service.
      queued: number of tasks ahead at this home.

    Returns:
      The expected wait: one run per queued task if no executor is usable, zero without
      a task in flight (see ``expected_run``).
    """
    pool = state.services.get(service)
    if pool is not None and not pool.in_flight:
        return timedelta(0)
    rate = 0.0
    for incarnation in pool.registered if pool else ():
        executor = state.executors[incarnation]
        if executor.reachable and not executor.ejected and executor.slots:
            share = (executor.in_flight + 1) / (executor.total + 1)
            rate += share * executor.slots / _mean_run(executor, pool)
    if not rate:
        return timedelta(seconds=queued * _service_mean_run(pool))
    return timedelta(seconds=queued / rate)


def ejected_executors(state: PlacementState) -> frozenset[str]:
    """Return the incarnations that are ejected for failing tasks."""
    return frozenset(
        incarnation
        for incarnation, executor in state.executors.items()
        if executor.ejected
    )


def _sample_candidates(
    state: PlacementState, pool: ServicePool, exclude: frozenset[str]
) -> list[str]:
    """Return the executors among which the strategy chooses."""
    items = pool.free.items
    wanted = state.strategy.choices
    if state.strategy.rank is Rank.TURN:
        return _next_round_robin(pool, exclude)
    if wanted == ALL or wanted >= len(items):
        return [item for item in items if item not in exclude]
    drawn = state.random.sample(items, wanted)
    drawn = [item for item in drawn if item not in exclude]
    if drawn:
        return drawn
    allowed = [item for item in items if item not in exclude]
    return state.random.sample(allowed, min(wanted, len(allowed)))


def _next_round_robin(pool: ServicePool, exclude: frozenset[str]) -> list[str]:
    items = pool.free.items
    for _ in range(len(items)):
        pool.last_index = (pool.last_index + 1) % len(items)
        if items[pool.last_index] not in exclude:
            return [items[pool.last_index]]
    return []


def _ranking(state: PlacementState, pool: ServicePool, now: float):
    """Return the sort key of candidates; the lowest is chosen."""
    if state.strategy.rank is Rank.EXPECTED_END:
        return lambda item: (
            _expected_end(state.executors[item], pool, now),
            state.random.random(),
        )
    if state.strategy.rank is Rank.COUNT:
        return lambda item: (
            state.executors[item].in_flight,
            state.random.random(),
        )
    return lambda item: state.random.random()


def _expected_end(executor: ExecutorView, pool: ServicePool, now: float) -> float:
    """Return the expected seconds until a task placed now would end there.

    With a free slot that is one mean run; otherwise the executor's tasks end first, at
    a rate of ``slots`` per mean run.
    """
    run = _mean_run(executor, pool)
    if executor.in_flight:
        # A hung worker reports no run times, so its mean stays as good as before. The
        # time since its last progress is a lower bound of the current runs.
        run = max(run, (now - executor.last_progress))
    return run * max(1.0, (executor.total + 1) / max(1, executor.slots))


def _is_acceptable(
    state: PlacementState, pool: ServicePool, best: str, now: float
) -> bool:
    """Return whether a task should go there rather than wait for a better executor.

    Otherwise a slow executor, free because it is avoided, would get tasks whenever the
    others are full, and delay whole jobs. The reference is sampled from full executors
    too. The wait is bounded: the expected end at a full executor that stops answering
    grows with time, and one without tasks of this home counts as free.
    """
    max_ratio = state.strategy.patience
    usable = pool.usable.items
    if max_ratio is None or not usable:
        return True
    drawn = state.random.sample(usable, min(_REFERENCE_SAMPLES, len(usable)))
    reference = min(_expected_end(state.executors[item], pool, now) for item in drawn)
    # A higher message weight keeps tasks at the home for longer: a task sent early to a
    # slow executor is more likely to be refused or cancelled, which costs messages.
    max_ratio -= state.message_weight * (max_ratio - 1) / 2
    return _expected_end(state.executors[best], pool, now) <= max_ratio * reference


def _mean_run(executor: ExecutorView, pool: ServicePool | None) -> float:
    return executor.mean_run or _service_mean_run(pool)


def _service_mean_run(pool: ServicePool | None) -> float:
    return (pool.mean_run if pool else None) or _DEFAULT_RUN_SECONDS


def _update_mean_run(state: PlacementState, executor: ExecutorView, run: float) -> None:
    """Update the mean run times; only finished tasks count, failed ones end early."""
    pool = service_pool(state, executor.member.service)
    executor.mean_run = smooth(executor.mean_run, run, SMOOTHING)
    pool.mean_run = smooth(pool.mean_run, run, SMOOTHING)


def _apply_load(executor: ExecutorView, load: Load) -> None:
    """Update slots, other homes' tasks and the mean run time from a load report.

    The executor's mean covers the tasks of all homes, so it replaces this home's.
    """
    executor.slots = load.slots
    executor.other_homes_tasks = max(0, load.running + load.queued - executor.in_flight)
    if load.mean_run is not None:
        executor.mean_run = load.mean_run.total_seconds()
