"""The graceful stop of an entry.

It still accepts requests on open connections until the load balancer has noticed the
stop, and answers all jobs before it exits.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Exit, Log
from gypsumspoke.core.events import Drain
from gypsumspoke.runs.coordinator_state import CoordinatorState
from gypsumspoke.runs.job_ends import give_up
from gypsumspoke.runs.values import RefusalReason

# The load balancer sends nothing new after two failed readiness checks, a second apart.
# Until then a stopping entry takes requests on open connections.
MIN_DRAIN = timedelta(seconds=2.6)
# Ends before the platform sends SIGKILL.
MAX_DRAIN = timedelta(seconds=5.4)


def begin_stop(event: Drain, state: CoordinatorState, now: datetime) -> list[Effect]:
    """Begin the graceful stop, once."""
    if state.draining is not None:
        return []
    state.draining = now
    return [Log(logging.INFO, "stopping", fields=(("jobs", len(state.jobs)),))]


def continue_stop(state: CoordinatorState, now: datetime) -> list[Effect]:
    """Exit when all jobs and cancels are answered, or after ``MAX_DRAIN``."""
    if state.draining is None or state.stopped:
        return []
    since = now - state.draining
    is_busy = bool(state.jobs or state.cancellations.unstored)
    if since < MIN_DRAIN or (is_busy and since < MAX_DRAIN):
        return []
    effects: list[Effect] = []
    for progress in list(state.jobs.values()):
        effects += give_up(state, progress, RefusalReason.STOPPING, now)
    state.stopped = True
    return [*effects, Log(logging.INFO, "stopped"), Exit()]
