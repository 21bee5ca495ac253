"""How long the worker's lease may be named.

The lease is one for all that runs there. A run may be placed elsewhere
``runs_dead_after`` its coordinator's last word, by an entry that counts on the time
budget or for a caller that came back. So neither a hold nor a start names a later end
than the budget allows for any run at work. A run whose stop the worker has accepted no
longer counts: it ends within the bound on a stop.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs.supervisor_incarnation import worker_clock
from gypsumspoke.runs.supervisor_state import Phase, SupervisedRun, SupervisorState
from gypsumspoke.runs.values import LeaseEvent

_MILLISECOND = timedelta(milliseconds=1)


def last_word(state: SupervisorState, guarded: SupervisedRun) -> datetime:
    """Return when a run's coordinator was last known to count on it.

    What the coordinator says after it withdrew the run is no word for it.
    """
    if guarded.phase is Phase.STOPPING:
        return guarded.stop_word
    return state.heard.get(guarded.coordinator, state.origin)


def allowed_lease(state: SupervisorState, now: datetime) -> timedelta:
    """Return the longest lease that may be named now; zero or less for none."""
    oldest = _oldest(state)
    if oldest is None:
        return state.budget.lease
    return state.budget.allowed_lease(now - last_word(state, oldest))


def may_start(state: SupervisorState, now: datetime) -> bool:
    """Return whether the lease suits another run of an entry that was just heard."""
    if allowed_lease(state, now) < state.budget.min_lease:
        return False
    return _ends_in_budget(state, now - state.budget.tick)


def may_start_run(
    state: SupervisorState, guarded: SupervisedRun, now: datetime
) -> bool:
    """Return whether a waiting run's coordinator was heard lately enough for it."""
    word = last_word(state, guarded)
    if state.budget.allowed_lease(now - word) < state.budget.min_lease:
        return False
    return _ends_in_budget(state, word)


def _ends_in_budget(state: SupervisorState, word: datetime) -> bool:
    """Return whether the lease named so far is not too long for such a last word.

    It never shortens. Named for runs of entries that were heard later, or on the clock
    of an earlier life of the worker, it may be.
    """
    longest = state.budget.entry_silence + state.budget.lease_on_slow_clock
    return state.lease.ends_by <= word + longest


def name_lease_end(state: SupervisorState, now: datetime) -> timedelta | None:
    """Return the end that an order sent now names, on the worker's clock."""
    left = allowed_lease(state, now)
    if left <= timedelta():
        return None
    ends_by = max(state.lease.ends_by, now + state.budget.on_slow_clock(left))
    state.lease = state.lease._replace(ends_by=ends_by)
    return worker_clock(state, now) + left


def note_withheld(state: SupervisorState, now: datetime) -> list[Effect]:
    """Look whether the lease is short, and tell when an unanswered stop is why."""
    state.is_lease_short = not may_start(state, now)
    oldest = _oldest(state)
    is_withheld = (
        oldest is not None
        and oldest.phase is Phase.STOPPING
        and allowed_lease(state, now) < state.budget.lease
    )
    if is_withheld is (state.lease_withheld is not None):
        return []
    if not is_withheld:
        held_back = (now - state.lease_withheld) // _MILLISECOND
        state.lease_withheld = None
        fields = (("withheld_ms", held_back),)
        return [Log(logging.INFO, "lease extended again", fields=fields)]
    state.lease_withheld = now
    fields = (
        ("job", oldest.run.task.job),
        ("step", oldest.run.task.step),
        ("run", oldest.run.number),
        ("entry", oldest.coordinator),
        ("reason", oldest.stop_reason.value),
        ("stop_unanswered_ms", (now - oldest.stop_since) // _MILLISECOND),
        ("last_word_ms", (now - oldest.stop_word) // _MILLISECOND),
        ("runs", len(state.runs)),
    )
    task = oldest.run.task.index
    return [
        Count(LeaseEvent.WITHHELD),
        Log(logging.WARNING, "lease withheld", task=task, fields=fields),
    ]


def _oldest(state: SupervisorState) -> SupervisedRun | None:
    """Return the run at work whose coordinator's last word is the oldest."""
    at_work = (
        guarded
        for guarded in state.runs.values()
        if guarded.phase is not Phase.WAITING and guarded.stop_clock is None
    )
    return min(at_work, key=lambda guarded: last_word(state, guarded), default=None)
