"""How an entry cancels jobs, and keeps a cancelled job from running again."""

import logging
from datetime import datetime

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.runs.admission import DEFAULT_RETRY_AFTER, Refusal
from gypsumspoke.runs.cancellations import CancelledJobsRead, CancelledJobsStored
from gypsumspoke.runs.coordinator_state import (
    CancelJobArrived,
    CoordinatorState,
    JobArrived,
)
from gypsumspoke.runs.job_ends import finish, refuse
from gypsumspoke.runs.values import JobEnd, RefusalReason


def handle_cancel(
    event: CancelJobArrived, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Stop a job, and acknowledge its cancel once the store has it.

    If it were acknowledged earlier, the loss of this entry could undo it. A job that
    isn't known here may be in progress at another entry, or its request may arrive
    again after it was given up here.
    """
    is_known = event.job_id in state.jobs or event.job_id in state.cancellations
    fields = (
        ("job", event.job_id),
        ("request", event.request),
        ("known", is_known),
    )
    log = Log(logging.INFO, "cancel arrived", fields=fields)
    effects = [log, *_end_cancelled(state, event.job_id, now)]
    effects += state.cancellations.add(event.job_id, event.request, is_known)
    return [*effects, *state.cancellations.to_store(now)]


def refuse_cancelled(state: CoordinatorState, event: JobArrived) -> list[Effect] | None:
    """Return the answer to a request whose job was cancelled, or None.

    It is the answer that the request for the job got when it was cancelled.
    """
    if event.job.id not in state.cancellations:
        return None
    refusal = Refusal(RefusalReason.CANCELLED, DEFAULT_RETRY_AFTER)
    return refuse(event.request, event.job.id, refusal, JobEnd.FAILED)


def handle_stored(
    event: CancelledJobsStored, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Acknowledge the cancels that the store has confirmed."""
    return [
        *state.cancellations.record_stored(event, now),
        *state.cancellations.to_store(now),
    ]


def handle_read(
    event: CancelledJobsRead, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """End the jobs here that were cancelled through another entry."""
    effects: list[Effect] = []
    found = state.cancellations.record_read(event, now)
    for job in sorted(found):
        effects += _end_cancelled(state, job, now)
    if found:
        fields = (("jobs", len(found)), ("known", len(state.cancellations)))
        effects.append(Log(logging.INFO, "cancelled jobs read", fields=fields))
    return effects


def _end_cancelled(state: CoordinatorState, job: str, now: datetime) -> list[Effect]:
    progress = state.jobs.get(job)
    if progress is None:
        return []
    return finish(state, progress, JobEnd.FAILED, RefusalReason.CANCELLED, now)
