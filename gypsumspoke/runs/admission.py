"""Admission control: which jobs an entry accepts and which it refuses.

A job that would miss its caller's deadline behind the queued work is refused before
any of it runs, on arrival or later. During overload such jobs would otherwise use the
room of jobs that can still meet their deadlines.
"""

from collections.abc import Iterable
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
from gypsumspoke.runs.values import RefusalReason, Step

# Bounds the time that it takes to go through all jobs.
MAX_JOBS = 2000
# Most faults last seconds, so no caller is told to wait for longer.
MAX_RETRY_AFTER = timedelta(seconds=10)
# Used where no wait can be estimated, such as before any worker is known.
DEFAULT_RETRY_AFTER = timedelta(seconds=1)

# Time after an entry's start in which its workers register through their sidecars: they
# register with a new sidecar within a second or two, and it finds an entry in a tenth.
WORKER_DISCOVERY_TIMEOUT = timedelta(seconds=2.5)
# Time after an entry's start in which the store or a peer sends a configuration. It
# comes with one answer, but the store may be slow.
FIRST_CONFIGURATION_TIMEOUT = timedelta(seconds=1)


class Refusal(NamedTuple):
    """Why a job is refused, and how long its caller should wait before a retry."""

    reason: RefusalReason
    retry_after: timedelta


def refuse_overloaded(state: CoordinatorState, job_id: str) -> Refusal | None:
    """Return a refusal if the entry is overloaded, or None.

    Called before the body is read. A resubmission of a job that this entry
    coordinates or knows as cancelled is never refused: the answer "not run" could be
    false. An isolated entry refuses nothing here, as it can't claim that a job has not
    run.

    Args:
      state: the coordinator's state; counts the refusals for the log.
      job_id: the job's id.
    """
    if state.isolated or not state.load_shedder.should_refuse():
        return None
    if job_id in state.jobs or job_id in state.cancellations:
        return None
    state.refused_unread += 1
    wait = DEFAULT_RETRY_AFTER + state.load_shedder.standing_lag
    return Refusal(RefusalReason.ENTRY_BEHIND, _bounded(wait))


def refuse_unservable(
    state: CoordinatorState, event: JobArrived, now: datetime
) -> Refusal | None:
    """Return a refusal if no worker can serve the job, whatever the load, or None.

    An entry that has just started doesn't know its workers yet, so that jobs wait for
    them instead of being refused.
    """
    if len(state.jobs) >= MAX_JOBS or not state.has_memory_for(event.job):
        return Refusal(RefusalReason.TOO_MANY_JOBS, DEFAULT_RETRY_AFTER)
    if _is_discovering_workers(state, event.route.service, now):
        return None
    return refuse_unfit(state, event.route.service, event.job.steps)


def refuse_unfit(
    state: CoordinatorState, service: str, steps: Iterable[Step]
) -> Refusal | None:
    """Return a refusal if a step fits on no worker that may take work, or None."""
    unfit = [step for step in steps if not _has_open_worker(state, service, step)]
    if not unfit:
        return None
    views = [
        view
        for view in state.views.values()
        if view.report is not None and view.report.service == service
    ]
    if not views:
        return Refusal(RefusalReason.NO_WORKER, DEFAULT_RETRY_AFTER)
    if any(serves(view, service, unfit[0]) for view in views):
        return _refuse_cordoned(views)
    return _refuse_unknown_fit(views, service, unfit[0])


def _has_open_worker(state: CoordinatorState, service: str, step: Step) -> bool:
    """Return whether a worker that is not cordoned could run tasks of a step."""
    return any(
        serves(view, service, step) and not view.report.cordoned
        for view in state.views.values()
    )


def _refuse_cordoned(views: list[SidecarView]) -> Refusal:
    """Refuse a job that only workers in cordoned failure domains could run.

    An entry that is connected to a part of the workers only may not know the others.
    """
    is_partial = any(view.report.partial for view in views)
    reason = (
        RefusalReason.NO_WORKER_IN_GROUP
        if is_partial
        else RefusalReason.DOMAINS_CORDONED
    )
    return Refusal(reason, DEFAULT_RETRY_AFTER)


def _refuse_unknown_fit(views: list[SidecarView], service: str, step: Step) -> Refusal:
    """Refuse a job with a step that no connected worker can run.

    Only a label may be found elsewhere: an entry that is connected to a part of the
    workers only may know none that has it.
    """
    is_partial = any(view.report.partial for view in views)
    unlabelled = step._replace(label="")
    if is_partial and any(serves(view, service, unlabelled) for view in views):
        return Refusal(RefusalReason.NO_WORKER_IN_GROUP, DEFAULT_RETRY_AFTER)
    return Refusal(RefusalReason.NO_WORKER_FITS, MAX_RETRY_AFTER)


def configuration_timeout(state: CoordinatorState, now: datetime) -> timedelta:
    """Return how long a request may wait for the first configuration.

    An entry that has just started can't route requests before its configuration has
    arrived. After ``FIRST_CONFIGURATION_TIMEOUT`` it refuses them at once.
    """
    remaining = state.started + FIRST_CONFIGURATION_TIMEOUT - now
    return max(remaining, timedelta())


def _is_discovering_workers(
    state: CoordinatorState, service: str, now: datetime
) -> bool:
    """Return whether the entry has just started and knows no worker of a service."""
    return now - state.started < WORKER_DISCOVERY_TIMEOUT and not has_worker(
        state, service
    )


def has_worker(state: CoordinatorState, service: str | None = None) -> bool:
    """Return whether a worker of a service, or of any service, accepts tasks."""
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
    """Return a refusal if a new job would miss its deadline behind the queue."""
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
    """Return a refusal if a queued job would miss its deadline even if it ran now."""
    pace = fastest_pace(state.views.values(), progress.route.service)
    if now + longest_chain(progress.job) * pace <= progress.deadline:
        return None
    wait = expected_wait(state, progress.route.service, progress.route.priority)
    return Refusal(RefusalReason.TOO_LATE, _bounded(wait))


def expected_wait(state: CoordinatorState, service: str, priority: int) -> timedelta:
    """Return how long the queued work of the same or higher priority takes.

    An entry sees only its own queue. It assumes that all entries connected to a worker
    use equal shares of it.
    """
    work = 0.0
    for job_id, queued in state.waiting.items():
        route = state.jobs[job_id].route
        if route.service == service and route.priority <= priority:
            work += queued.work
    if not work:
        return timedelta()
    share = sum(
        view.report.capacity.cpu / view.pace / max(view.report.entries, 1)
        for view in state.views.values()
        if view.connected and _takes_work(view, service)
    )
    # Workers that take no work at the moment usually do so again soon.
    return timedelta(seconds=work / share) if share else DEFAULT_RETRY_AFTER


def _bounded(wait: timedelta) -> timedelta:
    return min(max(wait, timedelta()), MAX_RETRY_AFTER)
