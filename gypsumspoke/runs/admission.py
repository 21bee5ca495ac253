"""Whether a job is taken or refused at once.

Load that it answers: more work arrives than the workers do, for seconds. Jobs that
can't end before their caller stops waiting would take room from those that can, and
the share of jobs in time falls to nothing. So a job whose tasks, placed as well as
they can be now, would end after the caller's deadline is refused while it is still true
that nothing of it has run.
"""

from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.runs.coordinator_state import CoordinatorState, JobArrived
from gypsumspoke.runs.placement import serves
from gypsumspoke.runs.values import RefusalReason

# Most jobs that one entry coordinates; each holds some kilobytes.
MOST_JOBS = 2000
# Longest that a caller is told to stay away; troubles last seconds.
LONGEST_RETRY_AFTER = timedelta(seconds=10)
# When nothing is known, such as before any worker is, a caller should ask again soon.
DEFAULT_RETRY_AFTER = timedelta(seconds=1)


class Refusal(NamedTuple):
    """Why a job is refused, and when coming back may help."""

    reason: RefusalReason
    retry_after: timedelta


def refuse_unservable(
    state: CoordinatorState, event: JobArrived, now: datetime
) -> Refusal | None:
    """Return why a job can't be served whatever the load, or None."""
    if len(state.jobs) >= MOST_JOBS:
        return Refusal(RefusalReason.TOO_MANY_JOBS, DEFAULT_RETRY_AFTER)
    views = [
        view
        for view in state.views.values()
        if view.report is not None and view.report.service == event.route.service
    ]
    if not views:
        return Refusal(RefusalReason.NO_WORKER, DEFAULT_RETRY_AFTER)
    for step in event.job.steps:
        if not any(serves(view, event.route.service, step) for view in views):
            return Refusal(RefusalReason.NO_WORKER_FITS, LONGEST_RETRY_AFTER)
    return None


def refuse_late(seconds: float, event: JobArrived, now: datetime) -> Refusal | None:
    """Return a refusal if the job would end after its caller's deadline.

    Args:
      seconds: expected time until its last task ends.
      event: the job.
      now: the current time.
    """
    patience = (event.deadline - now).total_seconds()
    if seconds <= patience:
        return None
    excess = timedelta(seconds=seconds - patience)
    return Refusal(
        RefusalReason.TOO_LATE, min(max(excess, timedelta()), LONGEST_RETRY_AFTER)
    )
