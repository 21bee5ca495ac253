"""The end of a job: answers to its callers and withdrawal of its runs."""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Log, Observe, Send
from gypsumspoke.runs.admission import DEFAULT_RETRY_AFTER, Refusal
from gypsumspoke.runs.coordinator_state import (
    AnswerJob,
    CoordinatorState,
    JobProgress,
    PlacedRun,
    TaskProgress,
)
from gypsumspoke.runs.messages import WithdrawRun
from gypsumspoke.runs.values import JobEnd, RefusalReason

_FINAL_ENDS = frozenset({JobEnd.COMPLETED, JobEnd.FAILED})
_MILLISECOND = timedelta(milliseconds=1)


def refuse(
    request: str, job_id: str, refusal: Refusal, end: JobEnd = JobEnd.NOT_RUN
) -> list[Effect]:
    """Refuse a request for a job that this entry doesn't coordinate."""
    fields = (
        ("job", job_id),
        ("request", request),
        ("end", end.value),
        ("reason", refusal.reason.value),
        ("retry_after_ms", refusal.retry_after // _MILLISECOND),
    )
    return [
        Count(refusal.reason),
        Log(logging.INFO, "job refused", fields=fields),
        AnswerJob(request, end, refusal.reason, refusal.retry_after),
    ]


def end_of_refusal(reason: RefusalReason) -> JobEnd:
    """Return how a job that has not run is answered when it is refused."""
    # "Not run" is final for many callers, but another entry may serve such a job.
    is_local = reason is RefusalReason.NO_WORKER_IN_GROUP
    return JobEnd.GIVEN_UP if is_local else JobEnd.NOT_RUN


def give_up(
    state: CoordinatorState,
    progress: JobProgress,
    reason: RefusalReason,
    now: datetime,
    retry_after: timedelta = DEFAULT_RETRY_AFTER,
) -> list[Effect]:
    """End a job early, as "not run" only if none of its runs can have started."""
    end = end_of_refusal(reason)
    if may_have_run(progress):
        end = JobEnd.GIVEN_UP
    return finish(state, progress, end, reason, now, retry_after)


def may_have_run(progress: JobProgress) -> bool:
    """Return whether any run of the job has started or is uncertain."""
    return any(
        task.done or task.has_started or task.run is not None
        for tasks in progress.tasks
        for task in tasks
    )


def has_open_run(progress: JobProgress) -> bool:
    """Return whether a run of the job may be at work."""
    return any(
        task.run is not None and not task.done
        for tasks in progress.tasks
        for task in tasks
    )


def finish(
    state: CoordinatorState,
    progress: JobProgress,
    end: JobEnd,
    reason: RefusalReason | None,
    now: datetime,
    retry_after: timedelta = DEFAULT_RETRY_AFTER,
) -> list[Effect]:
    """Answer all callers of a job and withdraw its open runs."""
    effects: list[Effect] = []
    for tasks in progress.tasks:
        for task in tasks:
            effects += withdraw(state, task)
    state.remove_job(progress)
    state.waiting.pop(progress.id, None)
    effects += _report_end(progress, end, reason, now)
    if end in _FINAL_ENDS:
        retry_after = None
    for request in progress.requests:
        state.by_request.pop(request, None)
        effects.append(AnswerJob(request, end, reason, retry_after))
    return effects


def withdraw(state: CoordinatorState, task: TaskProgress) -> list[Effect]:
    """Withdraw the open run of a task: the sidecar stops it or doesn't start it."""
    if task.run is None:
        return []
    placed = PlacedRun(task.view.incarnation, task.run)
    if state.by_run.pop(placed, None) is None:
        return []
    state.withdrawn.setdefault(task.id, set()).add(placed)
    return [Send(placed.sidecar, WithdrawRun(placed.run))]


def _report_end(
    progress: JobProgress, end: JobEnd, reason: RefusalReason | None, now: datetime
) -> list[Effect]:
    took = (now - progress.arrived) / _MILLISECOND
    fields = (
        ("job", progress.job.id),
        ("request", progress.requests[0] if progress.requests else ""),
        ("route", progress.route.name),
        ("end", end.value),
        ("reason", reason.value if reason else ""),
        ("took_ms", round(took, 1)),
        ("late", now > progress.due),
        ("runs", progress.placed),
    )
    effects: list[Effect] = [
        Log(logging.INFO, "job answered", fields=fields),
        Observe("job_seconds", took / 1000, progress.route.name),
    ]
    if reason is not None:
        effects.append(Count(reason))
    return effects
