"""Detection of an entry that is cut off from all sidecars.

An entry whose sidecars are all silent reports that it is not ready and gives up all
jobs at once, so that their callers can use other entries. It doesn't claim that these
jobs have not run; callers send them again after the time budget, when the old runs have
ended.

It reports that it is not ready well before that: the load balancer takes seconds to
move callers elsewhere, and if the sidecars are heard again nothing is lost.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.runs.coordinator_state import CoordinatorState
from gypsumspoke.runs.job_ends import finish
from gypsumspoke.runs.values import JobEnd, RefusalReason

# Longer than replacing all silent connections takes.
ISOLATION_TIMEOUT = timedelta(milliseconds=1250)
# Beyond the silence after which sidecars replace their connections.
UNREADY_MARGIN_TICKS = 1.5
# After such a pause between two ticks, messages of the sidecars may still be unread.
MIN_PROCESS_PAUSE = timedelta(milliseconds=500)


def check_isolation(state: CoordinatorState, now: datetime) -> list[Effect]:
    """Give up all jobs if all sidecars have been silent too long. Called at ticks."""
    if now - state.last_tick > MIN_PROCESS_PAUSE:
        state.running_since = now
    state.last_tick = now
    if state.isolated or not state.views:
        return []
    last_report = max(view.reported_at for view in state.views.values())
    # Unread messages don't count as silence.
    silence = state.arrival.heard - max(last_report, state.running_since)
    margin = state.budget.tick * UNREADY_MARGIN_TICKS
    state.hears_sidecars = silence < state.budget.idle_link_silence + margin
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
    """Accept jobs again after a message from a sidecar."""
    state.hears_sidecars = True
    if not state.isolated:
        return []
    state.isolated = False
    return [Log(logging.INFO, "sidecars heard again")]
