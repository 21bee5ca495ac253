"""The graceful stop of an entry.

It takes requests on open connections for a while, so that none is refused that the
balancer has already sent, and answers all of them before it ends.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Exit, Log
from gypsumspoke.core.events import Drain
from gypsumspoke.runs.coordinator_state import CoordinatorState
from gypsumspoke.runs.job_ends import give_up
from gypsumspoke.runs.values import RefusalReason

# A stopping entry goes on taking requests on open connections until the platform's
# balancer has missed two checks, a second apart, and sends nothing new.
MIN_DRAIN = timedelta(seconds=2.6)
# It ends at the latest then: before the platform kills it, some seconds after SIGTERM.
MAX_DRAIN = timedelta(seconds=5.4)


def begin_stop(event: Drain, state: CoordinatorState, now: datetime) -> list[Effect]:
    """Begin the graceful stop, once."""
    if state.draining is not None:
        return []
    state.draining = now
    return [Log(logging.INFO, "stopping", fields=(("jobs", len(state.jobs)),))]


def continue_stop(state: CoordinatorState, now: datetime) -> list[Effect]:
    """End the process when its jobs are answered, or time is up."""
    if state.draining is None or state.stopped:
        return []
    since = now - state.draining
    if since < MIN_DRAIN or (state.jobs and since < MAX_DRAIN):
        return []
    effects: list[Effect] = []
    for progress in list(state.jobs.values()):
        effects += give_up(state, progress, RefusalReason.STOPPING, now)
    state.stopped = True
    return [*effects, Log(logging.INFO, "stopped"), Exit()]
