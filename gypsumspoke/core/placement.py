"""On which executor a task goes, decided by a home alone.

A home learns what it needs from answers and heartbeats that are sent anyway, so a
placement costs no message beyond the one that carries the task. It draws a few
executors at random and takes the one where the task is expected to end first. Drawing
few keeps homes that share the same stale view from all choosing the same executor.

Baselines that the measuring command compares with are strategies of the same form,
chosen by name in the manifest, so that all run through the same code.
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
      seed: for the random draws.
      strategy: how to place until ``set_policy`` names another; the default one if
        None.
    """
    return PlacementState(seed, strategy or STRATEGIES[DEFAULT_STRATEGY])


def set_policy(state: PlacementState, policy: Policy) -> None:
    """Take over what the manifest says; an unknown strategy leaves the present one.

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
    """Tell whether any registered worker, reachable or not, offers the service."""
    return service in state.services and bool(state.services[service].registered)


def choose_executor(
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
    """Count a task as sent to an executor."""
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
    """Learn from a load that came without an outcome, as on a heartbeat."""
    executor = state.executors.get(incarnation)
    if executor is None:
        return
    _apply_load(executor, load)
    update_pools(state, executor)


def expected_run(state: PlacementState, service: str) -> timedelta:
    """Return the mean run time of the service's tasks as observed.

    Without a task in flight it is the assumed one. A home refuses jobs by this value:
    after a time of slow runs it would refuse all, run none, and so never learn that
    runs are fast again. This way an idle home tries one job and learns from it.
    """
    pool = state.services.get(service)
    if pool is None or not pool.in_flight:
        return timedelta(seconds=_DEFAULT_RUN_SECONDS)
    return timedelta(seconds=_service_mean_run(pool))


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
    """Return the incarnations that are taken out for failing."""
    return frozenset(
        incarnation
        for incarnation, executor in state.executors.items()
        if executor.ejected
    )


def _sample_candidates(
    state: PlacementState, pool: ServicePool, exclude: frozenset[str]
) -> list[str]:
    """Return the executors that the strategy wants compared."""
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
    """Return the key function by which the least of the drawn ones is chosen."""
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
    """Return seconds until a task placed now would end there.

    While a slot is free that is one run; else the tasks there drain first, at
    ``slots`` per mean run.
    """
    run = _mean_run(executor, pool)
    if executor.in_flight:
        # A worker that hangs sends no run times, so by these alone it would look as
        # fast as ever. The time since it last finished anything is a lower bound.
        run = max(run, (now - executor.last_progress))
    return run * max(1.0, (executor.total + 1) / max(1, executor.slots))


def _is_acceptable(
    state: PlacementState, pool: ServicePool, best: str, now: float
) -> bool:
    """Tell whether a task should go there rather than wait for a better executor.

    Without this a straggler, always free because it is avoided, takes the overflow
    whenever the others are full, and whole jobs wait for it. The reference is drawn
    from the full ones too. It can't hold a task for ever: a full executor that stops
    answering looks worse with each second, and one without tasks of this home is free.
    """
    patience = state.strategy.patience
    usable = pool.usable.items
    if patience is None or not usable:
        return True
    drawn = state.random.sample(usable, min(_REFERENCE_SAMPLES, len(usable)))
    reference = min(_expected_end(state.executors[item], pool, now) for item in drawn)
    # The more messages weigh, the longer a task waits at the home: a task sent early
    # to a poor place is the one that is refused there or cancelled after its start.
    patience -= state.message_weight * (patience - 1) / 2
    return _expected_end(state.executors[best], pool, now) <= patience * reference


def _mean_run(executor: ExecutorView, pool: ServicePool | None) -> float:
    return executor.mean_run or _service_mean_run(pool)


def _service_mean_run(pool: ServicePool | None) -> float:
    return (pool.mean_run if pool else None) or _DEFAULT_RUN_SECONDS


def _update_mean_run(state: PlacementState, executor: ExecutorView, run: float) -> None:
    """Smooth run times of finished tasks; failed ones would make it look fast."""
    pool = service_pool(state, executor.member.service)
    executor.mean_run = smooth(executor.mean_run, run, SMOOTHING)
    pool.mean_run = smooth(pool.mean_run, run, SMOOTHING)


def _apply_load(executor: ExecutorView, load: Load) -> None:
    """Take what other homes have there from a report.

    The executor's own mean covers all homes' tasks and so replaces this home's.
    """
    executor.slots = load.slots
    executor.other_homes_tasks = max(0, load.running + load.queued - executor.in_flight)
    if load.mean_run is not None:
        executor.mean_run = load.mean_run.total_seconds()
