"""Whether an entry is cut off from all sidecars.

Callers may still reach an entry that reaches no sidecar. Whatever it took would wait
there until it is too late, though other entries could serve it. So an entry that hears
no sidecar says that it is not ready, gives up what it has, and what comes, at once. It
claims nothing of these jobs: their callers send them again through another entry, after
the old runs are dead by the time budget.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.runs.coordinator_state import CoordinatorState
from gypsumspoke.runs.job_ends import finish
from gypsumspoke.runs.values import JobEnd, RefusalReason

# Longer than it takes to close connections that went silent and to make new ones: no
# sidecar at all is heard then, and yet none is out of reach.
ISOLATION_TIMEOUT = timedelta(milliseconds=1250)
# Several ticks. After a longer pause of this process what the sidecars sent meanwhile
# is still unread, and their silence says nothing.
MIN_PROCESS_PAUSE = timedelta(milliseconds=500)


def check_isolation(state: CoordinatorState, now: datetime) -> list[Effect]:
    """Give up all jobs if no sidecar was heard for too long. Called at each tick."""
    if now - state.last_tick > MIN_PROCESS_PAUSE:
        state.running_since = now
    state.last_tick = now
    if state.isolated or not state.views:
        return []
    heard = max(view.reported_at for view in state.views.values())
    # What this entry has not read yet, being behind, is no silence of the sidecars.
    silence = state.arrival.heard - max(heard, state.running_since)
    if silence < ISOLATION_TIMEOUT:
        return []
    state.isolated = True
    fields = (
        ("silence_ms", silence // timedelta(milliseconds=1)),
        ("sidecars", len(state.views)),
        ("jobs", len(state.jobs)),
    )
    effects: list[Effect] = [Log(logging.WARNING, "no sidecar heard", fields=fields)]
    for progress in list(state.jobs.values()):
        reason = RefusalReason.ISOLATED
        effects += finish(state, progress, JobEnd.GIVEN_UP, reason, now)
    return effects


def end_isolation(state: CoordinatorState) -> list[Effect]:
    """Take jobs again: a sidecar was heard."""
    if not state.isolated:
        return []
    state.isolated = False
    return [Log(logging.INFO, "sidecars heard again")]
