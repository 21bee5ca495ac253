"""Adopts jobs of former owners, hands partitions over and replicates lost records.

A resubmission brings the task bodies and the executors' records show what started, so
a new home can resume a job: it follows running tasks, uses results that executors kept
and starts only tasks that certainly have not started. A handoff adds the ledger. After
it the previous home no longer answers for the partition, since the next home answers
from the ledger as it was handed over.
"""

from datetime import datetime

from gypsumspoke.core.chunks import split_into_chunks
from gypsumspoke.core.counters import Counter
from gypsumspoke.core.dispatch import enqueue, stop_tracking, track_adopted
from gypsumspoke.core.effects import Count, Effect, Send
from gypsumspoke.core.endings import begin_ending, complete_job
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.handoffs import begin_handoff
from gypsumspoke.core.home_state import (
    HomeState,
    ParkedRequest,
    RecordTransfer,
    answer_of,
    reply,
)
from gypsumspoke.core.jobs import Job, SlotState, Waiter
from gypsumspoke.core.messages import Handoff, RememberAck
from gypsumspoke.core.ownership import (
    AdoptedJob,
    HandedLedger,
    HandoffDue,
    Ownership,
    PartitionLost,
    PartitionServed,
    is_running,
)
from gypsumspoke.core.start_records import expiry_bound, remember_messages
from gypsumspoke.core.values import (
    Answer,
    ClosedRecord,
    FinishedRecord,
    JobKey,
    PartitionRow,
    RefusedRecord,
    StartRecord,
    Submission,
    TaskState,
)

# ---------------------------------------------------------------------------
# Taking over


def begin_serving(state: HomeState, notice: PartitionServed) -> list[ParkedRequest]:
    """Load the ledger and the adopted jobs of a partition.

    Returns:
      The requests that waited for the partition, to be handled now.
    """
    partition = notice.partition
    adopted = dict(notice.adopted)
    if notice.handed is not None:
        _adopt_ledger(state, partition, notice.handed, adopted)
    for closed in notice.closed:
        adopted.pop(closed.key, None)
        if state.ledger.finished(partition, closed.key) is None:
            state.ledger.keep_finished(partition, _finished_of_closed(closed))
    state.adopted[partition] = adopted
    return state.parked.pop(partition, [])


def _adopt_ledger(
    state: HomeState,
    partition: int,
    handed: HandedLedger,
    adopted: dict[JobKey, AdoptedJob],
) -> None:
    for refused in handed.refused:
        state.ledger.keep_refused(partition, refused)
    for finished in handed.finished:
        if is_running(finished):
            continue
        adopted.pop(finished.key, None)
        state.ledger.keep_finished(partition, finished)


def _finished_of_closed(closed: ClosedRecord) -> FinishedRecord:
    """Return the answer that is still known for a job that another home ended."""
    ran = closed.kind is ErrorKind.RESULT_LOST
    answer = Answer(closed.kind, Work.RAN if ran else Work.UNKNOWN)
    return FinishedRecord(
        closed.key, closed.birth, closed.submission_attempt, closed.digest, answer
    )


def resume(
    state: HomeState,
    ownership: Ownership,
    adopted: AdoptedJob,
    submission: Submission,
    waiter: Waiter,
    now: datetime,
) -> list[Effect]:
    """Resume a job that a former owner had accepted.

    Args:
      state: changed in place.
      ownership: the partition, which this home serves.
      adopted: the adopted job, which is removed from ``state.adopted``.
      submission: a resubmission with the same birth and digest.
      waiter: sender of the resubmission.
      now: the current time.
    """
    partition = ownership.partition
    state.adopted[partition].pop(submission.key, None)
    attempt = max(submission.attempt, adopted.submission_attempt)
    job = Job(submission._replace(attempt=attempt), partition, now)
    job.waiters.append(waiter)
    job.resumable = adopted.complete
    state.add_job(job)
    effects: list[Effect] = [Count(Counter.JOB_RESUMED)]
    for number in range(len(job.slots)):
        effects += _adopt_task(state, job, number, adopted, now)
    kind = _reason_to_end(job, adopted)
    if kind is not None:
        return effects + begin_ending(state, job, kind, now)
    if job.is_done:
        return effects + complete_job(state, job, now)
    enqueue(state, job)
    return effects


def _adopt_task(
    state: HomeState, job: Job, number: int, adopted: AdoptedJob, now: datetime
) -> list[Effect]:
    slot = job.slots[number]
    if number not in adopted.started:
        if not adopted.complete:
            slot.state = SlotState.UNKNOWN
        return []
    record, holder = adopted.started[number]
    slot.attempt = record.attempt
    slot.executor = holder
    if record.state is TaskState.RUNNING:
        slot.state = SlotState.PLACED
        return [track_adopted(state, job, number, now)]
    if record.state is TaskState.DONE:
        job.set_done(slot, record.result or b"")
    else:
        failed = record.state is TaskState.FAILED
        slot.state = SlotState.FAILED if failed else SlotState.UNKNOWN
    return []


def _reason_to_end(job: Job, adopted: AdoptedJob) -> ErrorKind | None:
    states = {slot.state for slot in job.slots}
    if SlotState.FAILED in states:
        return ErrorKind.TASK_FAILED
    if SlotState.UNKNOWN in states:
        return ErrorKind.WORKER_LOST
    for record, _ in adopted.started.values():
        if record.state is TaskState.DONE and record.result is None:
            return ErrorKind.RESULT_LOST
    return None


def expire(state: HomeState, now: datetime) -> None:
    """Drop the records of submissions older than the retention."""
    policy = state.policy
    bound = expiry_bound(now, policy.retention, policy.clock_skew)
    state.ledger.expire(bound)
    for adopted in state.adopted.values():
        old = [key for key, job in adopted.items() if job.birth < bound]
        for key in old:
            del adopted[key]


# ---------------------------------------------------------------------------
# Handing over


def drop_partition(
    state: HomeState, notice: PartitionLost, now: datetime
) -> list[Effect]:
    """Drop a partition that another home owns and answer its callers NOT_OWNER."""
    partition = notice.partition
    effects = _release(state, partition, now)
    answer = answer_of(ErrorKind.NOT_OWNER)
    for parked in state.parked.pop(partition, []):
        waiter = Waiter(parked.sender, parked.message.request)
        effects.append(reply(waiter, _key_of(parked), answer))
    return effects


def _key_of(parked: ParkedRequest) -> JobKey:
    message = parked.message
    key = getattr(message, "key", None)
    return key if key is not None else message.submission.key


def _release(state: HomeState, partition: int, now: datetime) -> list[Effect]:
    """Drop the jobs, refusals and records of a partition; answer NOT_OWNER."""
    effects: list[Effect] = []
    answer = answer_of(ErrorKind.NOT_OWNER)
    for job in list(state.jobs.get(partition, {}).values()):
        state.remove_job(job)
        job.dropped = True
        stop_tracking(state, job, now)
        key = job.submission.key
        effects += [reply(waiter, key, answer) for waiter in job.waiters]
    waiting = [state.unsent_confirmations.pop(partition, None)]
    waiting.append(state.confirmations.pop(partition, (0, None))[1])
    for confirmation in waiting:
        for refusal in confirmation.refusals if confirmation else ():
            effects.append(reply(refusal.waiter, refusal.key, answer))
    state.ledger.drop(partition)
    state.adopted.pop(partition, None)
    return effects


def hand_over(state: HomeState, notice: HandoffDue, now: datetime) -> list[Effect]:
    """Send a partition's complete ledger to the next home and stop serving it."""
    ownership = state.serving(notice.partition)
    if ownership is None:
        return []
    handed = _snapshot(state, ownership)
    row = begin_handoff(state.takeover, notice.partition, handed, now)
    effects = _release(state, notice.partition, now)
    chunks = _handoff_chunks(handed, row, ownership)
    effects.append(Count(Counter.HANDOFF_SENT))
    return effects + [Send(notice.target, chunk) for chunk in chunks]


def forgotten_before(state: HomeState, ownership: Ownership) -> datetime:
    """Return the birth before which keys may have run without a record here."""
    return max(ownership.forgotten_before, state.ledger.forgotten_before)


def _snapshot(state: HomeState, ownership: Ownership) -> HandedLedger:
    partition = ownership.partition
    finished = state.ledger.all_finished(partition)
    running = [
        _running_record(
            job.submission.key,
            job.submission.birth,
            job.submission.attempt,
            job.submission.digest,
        )
        for job in state.jobs.get(partition, {}).values()
    ]
    adopted = [
        _running_record(key, job.birth, job.submission_attempt, job.digest)
        for key, job in state.adopted.get(partition, {}).items()
    ]
    floor = ownership.floor
    return HandedLedger(
        floor.born_before,
        floor.lossy_before,
        forgotten_before(state, ownership),
        tuple(state.ledger.all_refused(partition)),
        tuple(finished + running + adopted),
    )


def _running_record(
    key: JobKey, birth: datetime, attempt: int, digest: bytes
) -> FinishedRecord:
    answer = Answer(ErrorKind.JOB_RUNNING, Work.RUNNING)
    return FinishedRecord(key, birth, attempt, digest, answer)


def _handoff_chunks(
    handed: HandedLedger, row: PartitionRow, ownership: Ownership
) -> list[Handoff]:
    parts = _finished_parts(handed.finished)
    refused = split_into_chunks(handed.refused, _no_bytes)
    count = len(parts) + len(refused)
    pairs: list[tuple[tuple[RefusedRecord, ...], tuple[FinishedRecord, ...]]] = [
        ((), part) for part in parts
    ]
    pairs += [(part, ()) for part in refused]
    return [
        Handoff(
            ownership.partition,
            ownership.epoch,
            row.version,
            number,
            count,
            handed.born_before,
            handed.lossy_before,
            handed.forgotten_before,
            refused_part,
            finished_part,
        )
        for number, (refused_part, finished_part) in enumerate(pairs)
    ]


def _finished_parts(
    records: tuple[FinishedRecord, ...],
) -> list[tuple[FinishedRecord, ...]]:
    """Split records into chunks that fit a frame; return at least one chunk."""
    return split_into_chunks(records, _answer_bytes) or [()]


def _no_bytes(record: RefusedRecord) -> int:
    return 0


def _answer_bytes(record: FinishedRecord) -> int:
    answer = record.answer
    outcomes = sum(len(outcome.value) for outcome in answer.outcomes)
    return sum(map(len, answer.results)) + outcomes + len(answer.detail)


# ---------------------------------------------------------------------------
# Records of lost executors


def replicate_lost_records(state: HomeState, lost: str, now: datetime) -> list[Effect]:
    """Replicate a lost executor's records to another one, for all owned partitions.

    This home holds the same start records. If it failed too, all keys with tasks at the
    lost executor would become unknown; the additional replica prevents that.
    """
    effects: list[Effect] = []
    for partition in list(state.takeover.owned):
        ownership = state.serving(partition)
        if ownership is None or ownership.floor.lossy_before is not None:
            continue
        # An uncovered executor may have started tasks that are unknown here.
        if lost not in ownership.uncovered:
            effects += _replicate_lost_records_of(state, ownership, lost, now)
    return effects


def _replicate_lost_records_of(
    state: HomeState, ownership: Ownership, lost: str, now: datetime
) -> list[Effect]:
    others = state.takeover.available_peers()
    if not others:
        return []
    partition = ownership.partition
    source = f"{lost}@{ownership.epoch}"
    state.record_transfers[partition, source] = RecordTransfer(lost, now)
    closed = [
        _closed_of_finished(record)
        for record in state.ledger.all_finished(partition)
        if record.answer.kind is not ErrorKind.RECORDS_LOST
    ]
    started = _records_held_by(state, partition, lost)
    target = others[state.placement_number % len(others)]
    messages = remember_messages(
        partition,
        ownership.epoch,
        source,
        started,
        closed,
        (lost,),
        forgotten_before(state, ownership),
    )
    return [Send(target, message) for message in messages]


def _closed_of_finished(record: FinishedRecord) -> ClosedRecord:
    kind = record.answer.kind or ErrorKind.RESULT_LOST
    return ClosedRecord(
        record.key, record.birth, record.submission_attempt, record.digest, kind
    )


def _records_held_by(state: HomeState, partition: int, lost: str) -> list[StartRecord]:
    """Return the start records of a partition that the lost executor held."""
    started = [
        record
        for job in state.adopted.get(partition, {}).values()
        for record, holder in job.started.values()
        if holder == lost
    ]
    for job in state.jobs.get(partition, {}).values():
        for slot in job.slots:
            # The last attempt of a task that waits again was answered "not run".
            has_run = slot.attempt is not None and slot.state is not SlotState.WAITING
            if slot.executor == lost and has_run:
                started.append(_record_of_slot(job, slot))
    return started


def _record_of_slot(job: Job, slot) -> StartRecord:
    submission = job.submission
    done = slot.state is SlotState.DONE
    return StartRecord(
        slot.attempt,
        submission.attempt,
        submission.birth,
        submission.digest,
        len(submission.tasks),
        TaskState.DONE if done else TaskState.UNKNOWN,
        slot.result if done else None,
    )


def handle_remember_ack(state: HomeState, message: RememberAck) -> None:
    """Record that another executor holds the records of a lost one."""
    state.record_transfers.pop((message.partition, message.source), None)


def resend_lost_records(state: HomeState, now: datetime) -> list[Effect]:
    """Resend unacknowledged records, except for partitions no longer owned."""
    effects: list[Effect] = []
    for place, transfer in list(state.record_transfers.items()):
        if now - transfer.sent < state.policy.takeover_after:
            continue
        del state.record_transfers[place]
        ownership = state.serving(place[0])
        if ownership is not None and place[1].endswith(f"@{ownership.epoch}"):
            effects += _replicate_lost_records_of(state, ownership, transfer.lost, now)
    return effects
