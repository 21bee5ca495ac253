"""Messages between processes; ``wire`` gives each a thrift struct of the same fields.

A message names what it speaks of (key, task, partition, epoch) and never relies on
the connection or the order it came by, so a late or crossed answer can't be taken for
another's.
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
    """Entry to home: one copy of a submission. Safe to send again.

    Attributes:
      request: identity of this copy at the sending entry.
      partition: the partition that the entry computed.
      submission: the job.
      wait: False asks for a JOB_RUNNING answer at once.
    """

    request: str
    partition: int
    submission: Submission
    wait: bool = True


class QueryJob(NamedTuple):
    """Entry to home: what became of this key."""

    request: str
    partition: int
    key: JobKey


class CancelJob(NamedTuple):
    """Entry to home: start nothing more of this key."""

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
      attempt: identity of the try.
      partition: partition of the key; its epoch is in ``attempt``.
      submission_attempt, birth, digest, task_count: see StartRecord.
      service: upstream service.
      deadline: not started after this.
      not_repeatable: passed on to the upstream.
      body: body for the upstream.
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
    """Home to executor, after silence or a takeover: what became of this try.

    An executor that never saw it marks it refused for good before it answers
    NOT_RUN. While it runs, the outcome goes to the last home that asked.
    """

    attempt: AttemptId
    partition: int


class CancelTask(NamedTuple):
    """Home to executor: don't start this try if it still waits."""

    attempt: AttemptId
    partition: int


class TaskOutcome(NamedTuple):
    """Executor to home: the end of one try.

    Attributes:
      attempt: identity of the try.
      outcome: what became of it.
      result: the upstream's body when done.
      reason: why it is NOT_RUN or FAILED, in the words of ``RetryReason``; empty
        when done.
      load: the executor's load now.
      run_time: how long the upstream took; None unless it ran.
    """

    attempt: AttemptId
    outcome: Outcome
    result: bytes
    reason: str
    load: Load
    run_time: timedelta | None


class TaskRunning(NamedTuple):
    """Executor to home: the answer to AskAttempt while the try waits or runs."""

    attempt: AttemptId
    load: Load


class Fence(NamedTuple):
    """New home to executor: refuse epochs below this one and say what you know."""

    partition: int
    epoch: int


class FenceAck(NamedTuple):
    """Executor to new home: fenced; one chunk of all it knows of the partition.

    Attributes:
      partition, epoch: as in the fence.
      incarnation: the executor's incarnation.
      chunk, chunks: position of this chunk, from 0, and how many there are.
      started: start records, including ones remembered for other executors.
      closed: closed jobs.
      covers: incarnations all of whose records of the partition stand here.
      forgotten_before: records of submissions born before may have been dropped.
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
    """Executor to home: this executor has promised a higher epoch."""

    partition: int
    epoch: int
    highest: int


class CloseJob(NamedTuple):
    """Home to executor: confirm the epoch, and keep these final refusals.

    Sent before a home says that anything was not run; see docs/DESIGN.md, "Claims".

    Attributes:
      partition, epoch: the home's ownership, which the executor checks.
      confirmation: number chosen by the home, echoed.
      closed: jobs that started in part and end now; empty to only confirm.
    """

    partition: int
    epoch: int
    confirmation: int
    closed: tuple[ClosedRecord, ...]


class CloseAck(NamedTuple):
    """Executor to home: the epoch was current here and the records are kept."""

    partition: int
    epoch: int
    confirmation: int


class Remember(NamedTuple):
    """Keep another executor's records of a partition as if they were one's own.

    Sent by a new owner about its own executor, and by an executor that leaves.

    Attributes:
      partition: the partition.
      epoch: ownership under which a home tells; 0 from the leaving executor itself.
      source: name of what is told, for its acknowledgement.
      chunk, chunks: position of this chunk, from 0, and how many there are.
      started, closed: the records.
      covers: whose records stand in these messages in full.
      forgotten_before: records of submissions born before may have been dropped.
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
    """All chunks of a Remember are kept."""

    partition: int
    source: str


class Handoff(NamedTuple):
    """Leaving home to next home: one chunk of the ledger of a partition.

    Attributes:
      partition, epoch, version: the row that the next home must replace.
      chunk, chunks: position of this chunk, from 0, and how many there are.
      floor: ``born_before`` of the partition's floor, see core/ledger.py.
      lossy_before: unknown keys born before this are RECORDS_LOST; None if none.
      forgotten_before: keys born before this may have been dropped from the ledger.
      refused, finished: the ledger. A job that still runs stands in ``finished`` with
        kind JOB_RUNNING; the fence finds what it started.
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
    """Next home to leaving home: it owns the partition now, or never will."""

    partition: int
    epoch: int
    taken: bool


class Heartbeat(NamedTuple):
    """Any process to a peer: I am here, and this is how far I know.

    Attributes:
      incarnation: the sender.
      clock: the sender's time.
      manifest_version: version in force at the sender.
      members_version: highest version of a member row it has seen.
      partitions_version: highest version of a partition row it has seen.
      load: the executor's load; None from an entry.
      leaving: it takes no new work.
      answer: True when it answers a heartbeat; a heartbeat with False is answered.
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
    """Send me your manifest if it is newer than this version."""

    version: int


class ManifestUpdate(NamedTuple):
    """A manifest as it stands in the platform's table."""

    version: int
    text: str


class TeamUsage(NamedTuple):
    """Entry to entries: tasks that each team started in the last interval.

    Attributes:
      incarnation: the reporting entry.
      sequence: grows by one with each report.
      usage: (team, tasks per second offered, tasks per second admitted).
    """

    incarnation: str
    sequence: int
    usage: tuple[tuple[str, float, float], ...]


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
