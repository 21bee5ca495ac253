"""Whether a job is taken or refused at once.

Load that it answers: more work arrives than the workers do, for seconds. Jobs that
can't end before their caller stops waiting would take room from those that can, and
the share of jobs in time falls to nothing. So a job that would end after its caller's
deadline, behind what waits already, is refused while it is still true that nothing of
it has run; on arrival, or as soon as it shows.
"""

from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.runs.coordinator_state import (
    CoordinatorState,
    JobArrived,
    JobProgress,
    longest_chain,
)
from gypsumspoke.runs.placement import serves
from gypsumspoke.runs.sidecar_views import SidecarView, fastest_pace
from gypsumspoke.runs.values import RefusalReason

# Most jobs that one entry coordinates; each holds some kilobytes.
MAX_JOBS = 2000
# Longest that a caller is told to stay away; troubles last seconds.
MAX_RETRY_AFTER = timedelta(seconds=10)
# When nothing is known, such as before any worker is, a caller should ask again soon.
DEFAULT_RETRY_AFTER = timedelta(seconds=1)


# Workers register with a sidecar that is new to them within a second or two, and a
# sidecar finds an entry in about a tenth of one.
WORKER_DISCOVERY_TIMEOUT = timedelta(seconds=2.5)
# The first configuration comes with one answer of the store, which may be slow, or of
# another entry.
FIRST_CONFIGURATION_TIMEOUT = timedelta(seconds=1)


class Refusal(NamedTuple):
    """Why a job is refused, and when coming back may help."""

    reason: RefusalReason
    retry_after: timedelta


def refuse_overloaded(state: CoordinatorState, job_id: str) -> Refusal | None:
    """Return why a request is refused unread, or None.

    Asked before a request costs more than its header. Copies of a job that runs here
    are never refused so: "not run" would be untrue. Nor is any by an entry that is cut
    off: it claims nothing, so that the caller tries another one.

    Args:
      state: the coordinator's state; what is refused is counted there for the logs.
      job_id: the job's id.
    """
    if state.isolated or job_id in state.jobs or not state.load_shedder.should_refuse():
        return None
    state.refused_unread += 1
    wait = DEFAULT_RETRY_AFTER + state.load_shedder.standing_lag
    return Refusal(RefusalReason.ENTRY_BEHIND, _bounded(wait))


def refuse_unservable(
    state: CoordinatorState, event: JobArrived, now: datetime
) -> Refusal | None:
    """Return why a job can't be served whatever the load, or None.

    Just after its start an entry does not know its workers yet, and "no worker" would
    be a guess: after a loss of all processes it would refuse jobs that can still be
    done in time. They wait until the workers show.
    """
    if len(state.jobs) >= MAX_JOBS:
        return Refusal(RefusalReason.TOO_MANY_JOBS, DEFAULT_RETRY_AFTER)
    if _is_discovering_workers(state, event.route.service, now):
        return None
    views = [
        view
        for view in state.views.values()
        if view.report is not None and view.report.service == event.route.service
    ]
    if not views:
        return Refusal(RefusalReason.NO_WORKER, DEFAULT_RETRY_AFTER)
    for step in event.job.steps:
        if not any(serves(view, event.route.service, step) for view in views):
            return Refusal(RefusalReason.NO_WORKER_FITS, MAX_RETRY_AFTER)
    return None


def configuration_timeout(state: CoordinatorState, now: datetime) -> timedelta:
    """Return how long a request waits for the first configuration; zero for not at all.

    An entry that has just started can't tell yet whether a request has a route, and a
    refusal is final for many callers; after a loss of all entries beside a slow store
    they would be refused for want of a moment. An entry that is still without a
    configuration after that has no word of when one comes, and refuses at once.
    """
    left = state.started + FIRST_CONFIGURATION_TIMEOUT - now
    return max(left, timedelta())


def _is_discovering_workers(
    state: CoordinatorState, service: str, now: datetime
) -> bool:
    """Return whether the entry is new and knows no worker of a service yet."""
    return now - state.started < WORKER_DISCOVERY_TIMEOUT and not has_worker(
        state, service
    )


def has_worker(state: CoordinatorState, service: str | None = None) -> bool:
    """Return whether a worker, of a service or of any, takes work."""
    return any(_takes_work(view, service) for view in state.views.values())


def _takes_work(view: SidecarView, service: str | None) -> bool:
    return (
        view.report is not None
        and view.report.takes_work
        and service in (None, view.report.service)
    )


def refuse_long_queue(
    state: CoordinatorState, event: JobArrived, now: datetime
) -> Refusal | None:
    """Return a refusal if what waits in front keeps a job beyond its deadline."""
    if _is_discovering_workers(state, event.route.service, now):
        return None
    wait = expected_wait(state, event.route.service, event.route.priority)
    chain = longest_chain(event.job) * fastest_pace(
        state.views.values(), event.route.service
    )
    excess = now + wait + chain - event.deadline
    if excess <= timedelta():
        return None
    return Refusal(RefusalReason.TOO_LATE, _bounded(excess))


def refuse_unreachable_deadline(
    state: CoordinatorState, progress: JobProgress, now: datetime
) -> Refusal | None:
    """Return a refusal if a job that has not run can't end before its deadline."""
    pace = fastest_pace(state.views.values(), progress.route.service)
    if now + longest_chain(progress.job) * pace <= progress.deadline:
        return None
    wait = expected_wait(state, progress.route.service, progress.route.priority)
    return Refusal(RefusalReason.TOO_LATE, _bounded(wait))


def expected_wait(state: CoordinatorState, service: str, priority: int) -> timedelta:
    """Return how long the work in front of a new job keeps the workers busy.

    Only what waits at this entry is known; the other entries take about as much of the
    workers, so this entry's share of them is one of all entries.
    """
    work = 0.0
    for job_id, tasks in state.waiting.items():
        progress = state.jobs[job_id]
        if progress.route.service != service or progress.route.priority > priority:
            continue
        for task in tasks:
            step = progress.job.steps[task.id.step]
            work += step.room.cpu * step.estimate.total_seconds()
    if not work:
        return timedelta()
    share = sum(
        view.report.capacity.cpu / view.pace
        for view in state.views.values()
        if view.connected and _takes_work(view, service)
    ) / (len(state.entries) + 1)
    # That no worker takes work is a matter of moments as a rule, and no reason to
    # refuse jobs whose callers wait for seconds.
    return timedelta(seconds=work / share) if share else DEFAULT_RETRY_AFTER


def _bounded(wait: timedelta) -> timedelta:
    return min(max(wait, timedelta()), MAX_RETRY_AFTER)
