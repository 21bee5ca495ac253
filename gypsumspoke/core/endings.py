"""Refuses and ends jobs, and confirms the epoch before each "not run" answer.

A home that was paused may have been replaced without knowing it, and its "not run"
would then be wrong for a job that the new home runs. So a refusal is answered only
after an executor has confirmed the epoch: a new home that serves the partition has
fenced all executors. One confirmation covers all refusals of its partition that were
decided before it was sent. Without a confirmation the answer claims nothing.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.counters import Counter
from gypsumspoke.core.effects import Count, Effect, Log, Observe, Send
from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind, Work
from gypsumspoke.core.home_state import (
    Confirmation,
    HomeState,
    Refusal,
    answer_of,
    reply,
)
from gypsumspoke.core.jobs import (
    MAX_ANSWER_BYTES,
    Job,
    SlotState,
    Waiter,
    complete_answer,
    failed_answer,
    outcomes,
)
from gypsumspoke.core.ledger import (
    MAX_REFUSALS,
    floor_birth,
    needs_new_generation,
    next_attempt,
)
from gypsumspoke.core.messages import CancelTask, CloseAck, CloseJob
from gypsumspoke.core.ownership import Ownership
from gypsumspoke.core.values import (
    Answer,
    ClosedRecord,
    FinishedRecord,
    RefusedRecord,
    Submission,
)

CONFIRMATION_TIMEOUT = timedelta(milliseconds=500)
MAX_CONFIRMATION_ATTEMPTS = 2
ENDING_TIMEOUT = timedelta(milliseconds=300)


def refuse(
    state: HomeState,
    ownership: Ownership,
    waiter: Waiter,
    submission: Submission,
    kind: ErrorKind,
    now: datetime,
    retry_after: timedelta | None = None,
    detail: str = "",
) -> list[Effect]:
    """Refuse this attempt; the answer is sent once the epoch is confirmed.

    Args:
      state: changed in place.
      ownership: the partition, served here.
      waiter: the request to answer.
      submission: the submission; no task of it has started.
      kind: a kind that claims "not run".
      now: the current time.
      retry_after: when to retry; None for the default of the kind.
      detail: one sentence for a person.
    """
    key = submission.key
    partition = ownership.partition
    known = state.ledger.refused(partition, key)
    refused = submission.attempt
    if known is not None:
        refused = max(refused, known.submission_attempt)
    record = RefusedRecord(key, submission.birth, refused, kind)
    state.ledger.keep_refused(partition, record)
    _raise_floor_if_full(state, ownership, refused, now)
    if retry_after is None:
        retry_after = ANSWER_RULES[kind].retry_after
    answer = Answer(
        kind,
        Work.NOT_RUN,
        next_attempt=next_attempt(refused, ownership.floor),
        retry_after=retry_after,
        detail=detail,
    )
    return _queue_refusal(state, ownership, Refusal(waiter, key, answer))


def refuse_below_floor(
    state: HomeState, ownership: Ownership, waiter: Waiter, submission: Submission
) -> list[Effect]:
    """Refuse a key that was possibly refused by a former owner or under an older floor.

    No record is needed: the floor refuses all attempts below its own.
    """
    kind = ErrorKind.BORN_BEFORE_TAKEOVER
    answer = Answer(
        kind,
        Work.NOT_RUN,
        next_attempt=ownership.floor.attempt,
        retry_after=ANSWER_RULES[kind].retry_after,
    )
    return _queue_refusal(state, ownership, Refusal(waiter, submission.key, answer))


def _raise_floor_if_full(
    state: HomeState, ownership: Ownership, refused: int, now: datetime
) -> None:
    """Replace the refusal records by a higher floor when their table is full."""
    full = state.ledger.refused_count(ownership.partition) >= MAX_REFUSALS
    if not full and not needs_new_generation(refused, ownership.floor):
        return
    born_before = floor_birth(now, state.policy.clock_skew)
    ownership.floor = ownership.floor.raised(born_before)
    state.ledger.clear_refused(ownership.partition)


# ---------------------------------------------------------------------------
# Confirmations


def _unsent_confirmation(state: HomeState, ownership: Ownership) -> Confirmation:
    partition = ownership.partition
    confirmation = state.unsent_confirmations.get(partition)
    if confirmation is None or confirmation.epoch != ownership.epoch:
        confirmation = Confirmation(partition, ownership.epoch)
        state.unsent_confirmations[partition] = confirmation
    return confirmation


def _queue_refusal(
    state: HomeState, ownership: Ownership, refusal: Refusal
) -> list[Effect]:
    _unsent_confirmation(state, ownership).refusals.append(refusal)
    return []


def send_confirmations(state: HomeState, now: datetime) -> list[Effect]:
    """Send collected confirmations, one at a time for each partition."""
    effects: list[Effect] = []
    for partition in list(state.unsent_confirmations):
        if partition not in state.confirmations:
            confirmation = state.unsent_confirmations.pop(partition)
            effects += _send_to_next(state, confirmation, now)
    return effects


def _send_to_next(
    state: HomeState, confirmation: Confirmation, now: datetime
) -> list[Effect]:
    """Send to an executor that was not asked yet, or resolve as unconfirmed."""
    partition = confirmation.partition
    others = [
        name
        for name in state.takeover.available_peers()
        if name not in confirmation.asked
    ]
    if not others or len(confirmation.asked) >= MAX_CONFIRMATION_ATTEMPTS:
        state.confirmations.pop(partition, None)
        return _resolve_confirmation(state, confirmation, confirmed=False, now=now)
    state.confirmation_number += 1
    number = state.confirmation_number
    executor = others[number % len(others)]
    confirmation.asked.append(executor)
    confirmation.sent = now
    state.confirmations[partition] = (number, confirmation)
    closed = tuple(_closed_record(job) for job in confirmation.jobs if job.has_started)
    question = CloseJob(partition, confirmation.epoch, number, closed)
    return [Send(executor, question)]


def _closed_record(job: Job) -> ClosedRecord:
    submission = job.submission
    return ClosedRecord(
        submission.key,
        submission.birth,
        submission.attempt,
        submission.digest,
        job.ending or ErrorKind.INTERNAL,
    )


def handle_close_ack(
    state: HomeState, message: CloseAck, now: datetime
) -> list[Effect]:
    """Send the answers that waited for this confirmation."""
    number, confirmation = state.confirmations.get(message.partition, (0, None))
    if confirmation is None or number != message.confirmation:
        return []
    del state.confirmations[message.partition]
    return _resolve_confirmation(state, confirmation, confirmed=True, now=now)


def _resolve_confirmation(
    state: HomeState, confirmation: Confirmation, confirmed: bool, now: datetime
) -> list[Effect]:
    effects: list[Effect] = []
    for refusal in confirmation.refusals:
        answer = refusal.answer
        if not confirmed:
            answer = answer_of(ErrorKind.OWNERSHIP_UNCONFIRMED)
        if answer.kind is not None:
            effects.append(Count(answer.kind))
        effects.append(reply(refusal.waiter, refusal.key, answer))
    for job in confirmation.jobs:
        if not job.dropped:
            job.confirmed = confirmed
            job.ending_since = job.ending_since or now
            effects += _finish_if_due(state, job, now, waited=not confirmed)
    return effects


# ---------------------------------------------------------------------------
# Ends of jobs


def begin_ending(
    state: HomeState, job: Job, kind: ErrorKind, now: datetime, detail: str = ""
) -> list[Effect]:
    """Stop a job: no further task starts, and its answer follows.

    The answer waits for one confirmation and, at most ``ENDING_TIMEOUT``, for the
    executors' answers to the cancellations.
    """
    if job.is_ending or job.dropped:
        return []
    job.ending = kind
    job.detail = detail
    job.ending_since = now
    effects: list[Effect] = []
    for slot in job.slots:
        if slot.state is SlotState.PLACED and slot.attempt and not slot.is_running:
            effects.append(Send(slot.executor, CancelTask(slot.attempt, job.partition)))
            job.messages += 1
    ownership = state.takeover.owned[job.partition]
    _unsent_confirmation(state, ownership).jobs.append(job)
    return effects


def finish_if_settled(state: HomeState, job: Job, now: datetime) -> list[Effect]:
    """Finish an ending job unless it waits for a confirmation or a placed task."""
    return _finish_if_due(state, job, now, waited=False)


def _finish_if_due(
    state: HomeState, job: Job, now: datetime, waited: bool
) -> list[Effect]:
    if not waited and (not job.confirmed or job.has_open_slots):
        return []
    return _finish(state, job, now)


def _finish(state: HomeState, job: Job, now: datetime) -> list[Effect]:
    """Record and send the final answer of an ending job."""
    answer = failed_answer(job, job.confirmed)
    submission = job.submission
    state.remove_job(job)
    job.dropped = True
    effects = _job_metrics(job, now)
    if answer.kind is not None:
        effects.append(Count(answer.kind))
    if answer.work is Work.NOT_RUN:
        record = RefusedRecord(
            submission.key, submission.birth, submission.attempt, answer.kind
        )
        ownership = state.takeover.owned[job.partition]
        state.ledger.keep_refused(job.partition, record)
        _raise_floor_if_full(state, ownership, submission.attempt, now)
        number = next_attempt(submission.attempt, ownership.floor)
        answer = answer._replace(next_attempt=number)
    else:
        _record_finished(state, job, answer)
    effects.append(
        Log(
            logging.INFO,
            "job ended",
            submission.key,
            attempt=submission.attempt,
            fields=(("kind", answer.kind.value), ("work", answer.work.value)),
        )
    )
    return effects + _answer_waiters(job, answer)


def complete_job(state: HomeState, job: Job, now: datetime) -> list[Effect]:
    """Record and send the answer of a job whose tasks are all done.

    Results too large for a frame are replaced by an answer that the work ran; otherwise
    the caller would get no answer until its deadline, and then "unknown".
    """
    if job.is_too_large:
        return _complete_too_large(state, job, now)
    answer = complete_answer(job)
    state.remove_job(job)
    job.dropped = True
    _record_finished(state, job, answer)
    effects = [Count(Counter.JOB_COMPLETE), *_job_metrics(job, now)]
    response = now - job.accepted_at
    team = job.submission.key.team
    effects.append(Observe("response_seconds", response.total_seconds(), team))
    if job.longest_run:
        ratio = response / job.longest_run
        effects.append(Observe("response_over_ideal", ratio, team))
    return effects + _answer_waiters(job, answer)


def _complete_too_large(state: HomeState, job: Job, now: datetime) -> list[Effect]:
    """Answer that the job ran, without its results."""
    detail = f"the results total {job.result_bytes} bytes, over {MAX_ANSWER_BYTES}"
    answer = Answer(
        ErrorKind.RESULT_LOST, Work.RAN, outcomes=outcomes(job), detail=detail
    )
    state.remove_job(job)
    job.dropped = True
    _record_finished(state, job, answer)
    log = Log(
        logging.WARNING,
        "results too large",
        job.submission.key,
        attempt=job.submission.attempt,
        fields=(("bytes", job.result_bytes),),
    )
    effects = [Count(ErrorKind.RESULT_LOST), log, *_job_metrics(job, now)]
    return effects + _answer_waiters(job, answer)


def _record_finished(state: HomeState, job: Job, answer: Answer) -> None:
    submission = job.submission
    record = FinishedRecord(
        submission.key,
        submission.birth,
        submission.attempt,
        submission.digest,
        answer,
    )
    state.ledger.keep_finished(job.partition, record)


def _job_metrics(job: Job, now: datetime) -> list[Effect]:
    per_task = job.messages / len(job.slots)
    return [
        Observe("messages_per_task", per_task, job.submission.key.team),
        *(
            Observe("wasted_messages", float(messages), reason)
            for reason, messages in sorted(job.wasted.items())
        ),
    ]


def _answer_waiters(job: Job, answer: Answer) -> list[Effect]:
    key = job.submission.key
    return [reply(waiter, key, answer) for waiter in job.waiters]


def tick(state: HomeState, now: datetime) -> list[Effect]:
    """Resend overdue confirmations, and finish ending jobs whose timeout passed."""
    effects: list[Effect] = []
    for _, confirmation in list(state.confirmations.values()):
        if confirmation.sent is None or now - confirmation.sent >= CONFIRMATION_TIMEOUT:
            effects += _send_to_next(state, confirmation, now)
    for job in state.all_jobs():
        since = job.ending_since
        if since is None or not job.confirmed:
            continue
        if now - since >= ENDING_TIMEOUT:
            effects += _finish_if_due(state, job, now, waited=True)
    return effects
