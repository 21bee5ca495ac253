"""How far the worker's lease may be extended.

All runs of a worker share one lease. A task may be placed elsewhere ``run_expiry``
after its coordinator was last heard: by that coordinator, or by another entry for a
resubmission. So neither a renewal nor a start extends the lease further than the
budget allows for any run at work. A run whose stop the worker has accepted no
longer counts: it ends within the bound on a stop.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs.supervisor_incarnation import worker_clock
from gypsumspoke.runs.supervisor_state import LocalRun, Phase, SupervisorState
from gypsumspoke.runs.values import LeaseEvent

_MILLISECOND = timedelta(milliseconds=1)


def last_heard(state: SupervisorState, local: LocalRun) -> datetime:
    """Return when a run's coordinator was last heard while it wanted the run.

    Messages after a stop was requested don't keep the run alive.
    """
    if local.phase is Phase.STOPPING:
        return local.heard_before_stop
    return state.heard.get(local.coordinator, state.origin)


def allowed_lease(state: SupervisorState, now: datetime) -> timedelta:
    """Return the longest lease that may be granted now; zero or less for none."""
    oldest = _longest_unheard_run(state)
    if oldest is None:
        return state.budget.lease
    return state.budget.allowed_lease(now - last_heard(state, oldest))


def lease_allows_start(state: SupervisorState, now: datetime) -> bool:
    """Return whether the lease permits a new run of an entry that was just heard."""
    if allowed_lease(state, now) < state.budget.min_lease:
        return False
    return _lease_ends_within_budget(state, now - state.budget.tick)


def lease_allows_run(state: SupervisorState, local: LocalRun, now: datetime) -> bool:
    """Return whether a waiting run's coordinator was heard recently enough."""
    heard = last_heard(state, local)
    if state.budget.allowed_lease(now - heard) < state.budget.min_lease:
        return False
    return _lease_ends_within_budget(state, heard)


def _lease_ends_within_budget(state: SupervisorState, heard: datetime) -> bool:
    """Return whether the lease ends within the budget of an entry heard at that time.

    A lease is never shortened. It may be too long if it was extended for entries heard
    later, or on the clock of a previous incarnation of the worker.
    """
    longest = state.budget.entry_silence + state.budget.lease_on_slow_clock
    return state.lease.ends_by <= heard + longest


def extend_lease(state: SupervisorState, now: datetime) -> timedelta | None:
    """Extend the lease as allowed; return its end on the worker's clock, or None."""
    left = allowed_lease(state, now)
    if left <= timedelta():
        return None
    ends_by = max(state.lease.ends_by, now + state.budget.on_slow_clock(left))
    state.lease = state.lease._replace(ends_by=ends_by)
    return worker_clock(state, now) + left


def update_lease_withheld(state: SupervisorState, now: datetime) -> list[Effect]:
    """Update whether the lease is short; log when an unanswered stop holds it back."""
    state.is_lease_short = not lease_allows_start(state, now)
    oldest = _longest_unheard_run(state)
    is_withheld = (
        oldest is not None
        and oldest.phase is Phase.STOPPING
        and allowed_lease(state, now) < state.budget.lease
    )
    if is_withheld is (state.lease_withheld_since is not None):
        return []
    if not is_withheld:
        held_back = (now - state.lease_withheld_since) // _MILLISECOND
        state.lease_withheld_since = None
        fields = (("withheld_ms", held_back),)
        return [Log(logging.INFO, "lease extended again", fields=fields)]
    state.lease_withheld_since = now
    fields = (
        ("job", oldest.run.task.job),
        ("step", oldest.run.task.step),
        ("run", oldest.run.number),
        ("entry", oldest.coordinator),
        ("reason", oldest.stop_reason.value),
        ("stop_unanswered_ms", (now - oldest.stop_requested_at) // _MILLISECOND),
        ("last_word_ms", (now - oldest.heard_before_stop) // _MILLISECOND),
        ("runs", len(state.runs)),
    )
    task = oldest.run.task.index
    return [
        Count(LeaseEvent.WITHHELD),
        Log(logging.WARNING, "lease withheld", task=task, fields=fields),
    ]


def _longest_unheard_run(state: SupervisorState) -> LocalRun | None:
    """Return the run at work whose coordinator has been silent the longest."""
    at_work = (local for local in state.runs.at_work() if local.stop_clock is None)
    return min(
        at_work,
        key=lambda local: (last_heard(state, local), local.placement_number),
        default=None,
    )
