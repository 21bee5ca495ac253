"""Handles submissions, queries and cancellations at a home.

A submission is matched with what is known of its key: a kept answer, a running job, a
job accepted by a former home, or a refusal. An unknown key starts a job only if its
birth and attempt number rule out that it ran or was refused before.
"""

import heapq
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core import adoption, dispatch, endings
from gypsumspoke.core.counters import Counter
from gypsumspoke.core.effects import Count, Effect
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.home_state import HomeState, ParkedRequest, answer_of, reply
from gypsumspoke.core.jobs import Job, Waiter
from gypsumspoke.core.messages import CancelJob, QueryJob, SubmitJob
from gypsumspoke.core.ownership import Ownership
from gypsumspoke.core.placement import (
    expected_run,
    expected_wait,
    is_service_registered,
)
from gypsumspoke.core.values import Answer, JobKey, Submission

PARK_TIMEOUT = timedelta(seconds=2)
MAX_PARKED_REQUESTS = 1_000
DRAIN_ACCEPT_TIMEOUT = timedelta(seconds=5)


def submit(
    state: HomeState, message: SubmitJob, sender: str, now: datetime
) -> list[Effect]:
    """Handle a submission or resubmission.

    Args:
      state: changed in place.
      message: the request.
      sender: the entry that sent it.
      now: the current time.
    """
    ownership = state.serving(message.partition)
    if ownership is None:
        return _park(state, sender, message, now)
    submission = message.submission
    waiter = Waiter(sender, message.request)
    kind = _validation_error(state, ownership, submission, now)
    if kind is not None:
        return [Count(kind), reply(waiter, submission.key, answer_of(kind))]
    effects = _answer_known(state, ownership, submission, waiter, now)
    if effects is None:
        effects = _accept_new(state, ownership, submission, waiter, now)
    job = state.job(message.partition, submission.key)
    if message.wait or job is None:
        return effects
    if waiter in job.waiters:
        job.waiters.remove(waiter)
    running = answer_of(ErrorKind.JOB_RUNNING)
    return effects + [reply(waiter, submission.key, running)]


def _validation_error(
    state: HomeState, ownership: Ownership, submission: Submission, now: datetime
) -> ErrorKind | None:
    """Return why a submission can't be accepted or matched here, or None."""
    policy = state.policy
    if state.clock_is_off:
        return ErrorKind.CLOCK_OFF
    if submission.birth > now + policy.clock_skew:
        return ErrorKind.BIRTH_IN_FUTURE
    forgotten_before = adoption.forgotten_before(state, ownership)
    if submission.birth < max(now - policy.retention, forgotten_before):
        # Its record may have expired, so its tasks could start a second time.
        return ErrorKind.KEY_EXPIRED
    if submission.attempt >= ownership.floor.ceiling:
        return ErrorKind.ATTEMPT_NOT_ISSUED
    return None


def _answer_known(
    state: HomeState,
    ownership: Ownership,
    submission: Submission,
    waiter: Waiter,
    now: datetime,
) -> list[Effect] | None:
    """Answer a submission whose key is known; return None if the key may run."""
    partition, key = ownership.partition, submission.key
    finished = state.ledger.finished(partition, key)
    job = state.job(partition, key)
    adopted = state.adopted.get(partition, {}).get(key)
    known = finished or adopted or (job.submission if job is not None else None)
    if known is not None:
        if (known.birth, known.digest) != (submission.birth, submission.digest):
            kind = ErrorKind.KEY_REUSED
            return [Count(kind), reply(waiter, key, answer_of(kind))]
    if finished is not None:
        return [
            Count(Counter.ANSWERED_FROM_KEPT),
            reply(waiter, key, finished.answer),
        ]
    if job is not None:
        return _attach_to_running(state, job, submission, waiter)
    if adopted is not None:
        return adoption.resume(state, ownership, adopted, submission, waiter, now)
    return _attach_to_refused(state, ownership, submission, waiter, now)


def _attach_to_running(
    state: HomeState, job: Job, submission: Submission, waiter: Waiter
) -> list[Effect]:
    """Attach a resubmission to the running job, which takes the later deadline."""
    if waiter not in job.waiters:
        job.waiters.append(waiter)
    attempt = max(job.submission.attempt, submission.attempt)
    deadline = max(job.submission.deadline, submission.deadline)
    if deadline > job.submission.deadline:
        heapq.heappush(state.deadlines, (deadline, job.partition, submission.key))
    job.submission = job.submission._replace(attempt=attempt, deadline=deadline)
    return [Count(Counter.ATTACHED_TO_RUNNING)]


def _attach_to_refused(
    state: HomeState,
    ownership: Ownership,
    submission: Submission,
    waiter: Waiter,
    now: datetime,
) -> list[Effect] | None:
    known = state.ledger.refused(ownership.partition, submission.key)
    if known is None:
        return None
    if known.birth != submission.birth:
        kind = ErrorKind.KEY_REUSED
        return [Count(kind), reply(waiter, submission.key, answer_of(kind))]
    if submission.attempt > known.submission_attempt:
        return None
    return endings.refuse(
        state, ownership, waiter, submission, ErrorKind.ALREADY_REFUSED, now
    )


def _accept_new(
    state: HomeState,
    ownership: Ownership,
    submission: Submission,
    waiter: Waiter,
    now: datetime,
) -> list[Effect]:
    """Accept or refuse a key that this home has neither started nor answered."""
    if _is_drain_stuck(state, now):
        kind = ErrorKind.NOT_OWNER
        return [Count(kind), reply(waiter, submission.key, answer_of(kind))]
    floor = ownership.floor
    lossy_before = floor.lossy_before
    if lossy_before is not None and submission.birth < lossy_before:
        kind = ErrorKind.RECORDS_LOST
        return [
            Count(kind),
            Count(Counter.UNKNOWN_BY_DOUBT),
            reply(waiter, submission.key, answer_of(kind)),
        ]
    if submission.birth < floor.born_before and submission.attempt < floor.attempt:
        return endings.refuse_below_floor(state, ownership, waiter, submission)
    shortage = _capacity_refusal(state, submission, now)
    if shortage is not None:
        return endings.refuse(
            state,
            ownership,
            waiter,
            submission,
            shortage.kind,
            now,
            shortage.retry_after,
        )
    state.ledger.forget_refused(ownership.partition, submission.key)
    job = Job(submission, ownership.partition, now)
    job.waiters.append(waiter)
    state.add_job(job)
    dispatch.enqueue(state, job)
    return []


def _is_drain_stuck(state: HomeState, now: datetime) -> bool:
    """Return whether a draining home has not handed over all partitions in time.

    This happens, for example, while the table is down. The home then accepts no new
    jobs, so that those it has can end.
    """
    since = state.draining_since
    return since is not None and now - since >= DRAIN_ACCEPT_TIMEOUT


class CapacityRefusal(NamedTuple):
    """Why the home has no capacity for a new job, and when to retry."""

    kind: ErrorKind
    retry_after: timedelta | None


def _capacity_refusal(
    state: HomeState, submission: Submission, now: datetime
) -> CapacityRefusal | None:
    if not is_service_registered(state.placement, submission.service):
        return CapacityRefusal(ErrorKind.NO_WORKER_FITS, None)
    known = state.ledger.finished_count + state.job_count
    if known >= state.policy.ledger_limit:
        return CapacityRefusal(ErrorKind.LEDGER_FULL, None)
    ahead = _tasks_ahead(state, submission)
    wait = expected_wait(state.placement, submission.service, ahead)
    if ahead > state.policy.home_queue_limit:
        return CapacityRefusal(ErrorKind.QUEUE_FULL, wait)
    run = expected_run(state.placement, submission.service)
    # An empty queue accepts the job whatever the estimate says: otherwise an estimate
    # from slow upstreams would refuse every job and never be corrected.
    if state.queued and now + wait + run > submission.deadline:
        return CapacityRefusal(ErrorKind.DEADLINE_UNREACHABLE, wait)
    return None


def _tasks_ahead(state: HomeState, submission: Submission) -> int:
    """Return how many tasks fair queueing serves up to the job's last one.

    Other teams count only up to their share, so a team within its share isn't refused
    because another one floods the queue.
    """
    team = submission.key.team
    weight = state.team_weights.get(team, dispatch.DEFAULT_WEIGHT)
    own = state.team_queued.get(team, 0) + len(submission.tasks)
    ahead = own
    for other, queued in state.team_queued.items():
        if other != team:
            share = state.team_weights.get(other, dispatch.DEFAULT_WEIGHT) / weight
            ahead += min(queued, int(own * share) + 1)
    return ahead


def _park(state: HomeState, sender: str, message, now: datetime) -> list[Effect]:
    """Hold a request for at most ``PARK_TIMEOUT`` while a takeover is in progress."""
    partition = message.partition
    if partition not in state.takeover.owned:
        return _refuse_request(message, sender, ErrorKind.NOT_OWNER)
    parked = state.parked.setdefault(partition, [])
    if len(parked) >= MAX_PARKED_REQUESTS:
        return _refuse_request(message, sender, ErrorKind.TAKEOVER_IN_PROGRESS)
    parked.append(ParkedRequest(sender, message, now))
    return []


def _refuse_request(message, sender: str, kind: ErrorKind) -> list[Effect]:
    key = message.submission.key if isinstance(message, SubmitJob) else message.key
    waiter = Waiter(sender, message.request)
    effects: list[Effect] = [Count(kind), reply(waiter, key, answer_of(kind))]
    if kind is ErrorKind.TAKEOVER_IN_PROGRESS:
        effects.append(Count(Counter.UNKNOWN_BY_DOUBT))
    return effects


def expire_parked(state: HomeState, now: datetime) -> list[Effect]:
    """Refuse parked requests whose partition was not served within the timeout."""
    effects: list[Effect] = []
    for partition, parked in list(state.parked.items()):
        late = [one for one in parked if now - one.since >= PARK_TIMEOUT]
        for one in late:
            parked.remove(one)
            kind = ErrorKind.TAKEOVER_IN_PROGRESS
            effects += _refuse_request(one.message, one.sender, kind)
        if not parked:
            del state.parked[partition]
    return effects


def query(
    state: HomeState, message: QueryJob, sender: str, now: datetime
) -> list[Effect]:
    """Answer what is known of a key."""
    return _answer_or_park(state, message, sender, now)


def cancel(
    state: HomeState, message: CancelJob, sender: str, now: datetime
) -> list[Effect]:
    """Cancel a job: no further task starts, and the job ends."""
    job = state.job(message.partition, message.key)
    if job is None or state.serving(message.partition) is None:
        return _answer_or_park(state, message, sender, now)
    job.waiters.append(Waiter(sender, message.request))
    return endings.begin_ending(state, job, ErrorKind.CANCELLED, now)


def _answer_or_park(
    state: HomeState, message: QueryJob | CancelJob, sender: str, now: datetime
) -> list[Effect]:
    ownership = state.serving(message.partition)
    if ownership is None:
        return _park(state, sender, message, now)
    answer = _known_answer(state, ownership, message.key)
    return [reply(Waiter(sender, message.request), message.key, answer)]


def _known_answer(state: HomeState, ownership: Ownership, key: JobKey) -> Answer:
    """Return what is known of a key, claiming nothing that needs confirmation."""
    partition = ownership.partition
    finished = state.ledger.finished(partition, key)
    if finished is not None:
        return finished.answer
    if state.job(partition, key) is not None:
        return answer_of(ErrorKind.JOB_RUNNING)
    if key in state.adopted.get(partition, {}):
        detail = "Accepted by a former home; resubmit it to get its answer."
        return answer_of(ErrorKind.JOB_RUNNING, detail=detail)
    refused = state.ledger.refused(partition, key)
    if refused is not None:
        number = max(refused.submission_attempt + 1, ownership.floor.attempt)
        detail = "Refused before; resubmit it with the next attempt number."
        return Answer(
            ErrorKind.ALREADY_REFUSED,
            Work.UNKNOWN,
            next_attempt=number,
            detail=detail,
        )
    return answer_of(ErrorKind.JOB_NOT_FOUND)
