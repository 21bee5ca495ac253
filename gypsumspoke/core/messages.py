"""Messages between processes; ``wire`` maps each to a thrift struct of the same fields.

Each message identifies its subject (key, task, partition, epoch) and depends neither on
the connection nor on the order of arrival, so that a late or reordered answer is not
matched to the wrong request.
"""

from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.values import (
    Answer,
    AttemptId,
    ClosedRecord,
    FinishedRecord,
    JobKey,
    Load,
    Outcome,
    RefusedRecord,
    StartRecord,
    Submission,
)


class SubmitJob(NamedTuple):
    """Entry to home: a submission. Idempotent, so the entry may send it again.

    Attributes:
      request: identity of the caller's request at the sending entry.
      partition: partition of the key as computed by the entry.
      submission: the job.
      wait: False requests an immediate JOB_RUNNING answer.
    """

    request: str
    partition: int
    submission: Submission
    wait: bool = True


class QueryJob(NamedTuple):
    """Entry to home: request the state of a job."""

    request: str
    partition: int
    key: JobKey


class CancelJob(NamedTuple):
    """Entry to home: cancel the job; no further task of it starts."""

    request: str
    partition: int
    key: JobKey


class JobAnswer(NamedTuple):
    """Home to entry: the answer to one SubmitJob, QueryJob or CancelJob."""

    request: str
    key: JobKey
    answer: Answer


class StartTask(NamedTuple):
    """Home to executor: run one task, at most once.

    Attributes:
      attempt: identity of this placement.
      partition: partition of the key; its epoch is in ``attempt``.
      submission_attempt, birth, digest, task_count: see StartRecord.
      service: upstream service.
      deadline: the task is not started after this time.
      not_repeatable: passed on to the upstream.
      body: request body for the upstream.
    """

    attempt: AttemptId
    partition: int
    submission_attempt: int
    birth: datetime
    digest: bytes
    task_count: int
    service: str
    deadline: datetime
    not_repeatable: bool
    body: bytes


class AskAttempt(NamedTuple):
    """Home to executor, after silence or a takeover: request the state of an attempt.

    An executor that never received the attempt refuses it permanently before it
    answers NOT_RUN. The outcome of a running attempt goes to the last home that asked.
    """

    attempt: AttemptId
    partition: int


class CancelTask(NamedTuple):
    """Home to executor: don't start this attempt if it is still queued."""

    attempt: AttemptId
    partition: int


class TaskOutcome(NamedTuple):
    """Executor to home: the final outcome of one attempt.

    Attributes:
      attempt: the attempt.
      outcome: its outcome.
      result: the upstream's response body when done.
      reason: why it is NOT_RUN or FAILED, a value of ``RetryReason``; empty when done.
      load: the executor's current load.
      run_time: how long the upstream took; None unless it ran.
    """

    attempt: AttemptId
    outcome: Outcome
    result: bytes
    reason: str
    load: Load
    run_time: timedelta | None


class TaskRunning(NamedTuple):
    """Executor to home: the answer to AskAttempt while the attempt waits or runs."""

    attempt: AttemptId
    load: Load


class Fence(NamedTuple):
    """Home to executor: refuse lower epochs and return the partition's records."""

    partition: int
    epoch: int


class FenceAck(NamedTuple):
    """Executor to home: one chunk of the acknowledgement, with its records.

    Attributes:
      partition, epoch: as in the fence.
      incarnation: the executor's incarnation.
      chunk, chunks: position of this chunk, from 0, and how many there are.
      started: start records, including those kept for other executors.
      closed: closed jobs.
      covers: incarnations whose records of the partition are included in full.
      forgotten_before: records of submissions with an earlier birth may have been
        dropped.
    """

    partition: int
    epoch: int
    incarnation: str
    chunk: int
    chunks: int
    started: tuple[StartRecord, ...]
    closed: tuple[ClosedRecord, ...]
    covers: tuple[str, ...]
    forgotten_before: datetime


class FenceRefused(NamedTuple):
    """Executor to home: the executor has acknowledged a higher epoch."""

    partition: int
    epoch: int
    highest: int


class CloseJob(NamedTuple):
    """Home to executor: confirm the epoch and keep these closed jobs.

    Sent before a home answers that anything was not run; see docs/DESIGN.md, "Claims".

    Attributes:
      partition, epoch: the home's ownership, which the executor checks.
      confirmation: number chosen by the home and echoed in the acknowledgement.
      closed: partly started jobs that end now; empty to only confirm the epoch.
    """

    partition: int
    epoch: int
    confirmation: int
    closed: tuple[ClosedRecord, ...]


class CloseAck(NamedTuple):
    """Executor to home: the epoch is current here and the records are kept."""

    partition: int
    epoch: int
    confirmation: int


class Remember(NamedTuple):
    """One chunk of records of a partition for another executor to keep as its own.

    Sent by a home for its own or a lost executor, and by an executor that leaves.

    Attributes:
      partition: the partition.
      epoch: epoch of the sending home; 0 from the leaving executor itself.
      source: identifies the set of records; echoed in the acknowledgement.
      chunk, chunks: position of this chunk, from 0, and how many there are.
      started, closed: the records.
      covers: incarnations whose records are included in full.
      forgotten_before: records of submissions with an earlier birth may have been
        dropped.
    """

    partition: int
    epoch: int
    source: str
    chunk: int
    chunks: int
    started: tuple[StartRecord, ...]
    closed: tuple[ClosedRecord, ...]
    covers: tuple[str, ...]
    forgotten_before: datetime


class RememberAck(NamedTuple):
    """All chunks of the Remember messages of this source are kept."""

    partition: int
    source: str


class Handoff(NamedTuple):
    """Previous home to next home: one chunk of the ledger of a partition.

    Attributes:
      partition, epoch, version: the row that the next home must replace.
      chunk, chunks: position of this chunk, from 0, and how many there are.
      floor: unknown keys with an earlier birth need a higher attempt number; see
        ``Floor`` in core/ledger.py.
      lossy_before: records of unknown keys with an earlier birth may be lost, so they
        are answered RECORDS_LOST; None if no record can be lost.
      forgotten_before: keys with an earlier birth may have been dropped from the
        ledger.
      refused, finished: the ledger. A running job is in ``finished`` with kind
        JOB_RUNNING; the fence collects what it started.
    """

    partition: int
    epoch: int
    version: int
    chunk: int
    chunks: int
    floor: datetime
    lossy_before: datetime | None
    forgotten_before: datetime
    refused: tuple[RefusedRecord, ...]
    finished: tuple[FinishedRecord, ...]


class HandoffAck(NamedTuple):
    """Next home to previous home: whether it took the partition over.

    Attributes:
      partition, epoch: as in the handoff.
      taken: True if it owns the partition now; False if it never will.
    """

    partition: int
    epoch: int
    taken: bool


class Heartbeat(NamedTuple):
    """Any process to a peer: liveness, and the versions of the rows it has read.

    Attributes:
      incarnation: the sender.
      clock: the sender's time.
      manifest_version: version of the manifest in force at the sender.
      members_version: highest version of a member row that it has read.
      partitions_version: highest version of a partition row that it has read.
      load: the executor's load; None from an entry.
      leaving: it accepts no new work.
      answer: True in the reply to a heartbeat, which is not answered in turn.
    """

    incarnation: str
    clock: datetime
    manifest_version: int
    members_version: int
    partitions_version: int
    load: Load | None
    leaving: bool
    answer: bool


class ManifestRequest(NamedTuple):
    """Any process to a peer: send the manifest if it is newer than this version."""

    version: int


class ManifestUpdate(NamedTuple):
    """A manifest as stored in the platform's table."""

    version: int
    text: str


class TeamRates(NamedTuple):
    """Rates of one team: tasks per second offered, and admitted."""

    team: str
    offered: float
    admitted: float


class TeamUsage(NamedTuple):
    """Entry to other entries: each team's rate of tasks over the last interval.

    Attributes:
      incarnation: the reporting entry.
      sequence: incremented with each report.
      usage: the rates of each team.
    """

    incarnation: str
    sequence: int
    usage: tuple[TeamRates, ...]


Message = (
    SubmitJob
    | QueryJob
    | CancelJob
    | JobAnswer
    | StartTask
    | AskAttempt
    | CancelTask
    | TaskOutcome
    | TaskRunning
    | Fence
    | FenceAck
    | FenceRefused
    | CloseJob
    | CloseAck
    | Remember
    | RememberAck
    | Handoff
    | HandoffAck
    | Heartbeat
    | ManifestRequest
    | ManifestUpdate
    | TeamUsage
)
