"""Immutable value types shared by the whole package: submissions, records, members.

Times are aware UTC datetimes, durations are timedeltas, bodies are bytes.
"""

from datetime import datetime, timedelta, timezone
from enum import Enum
from typing import NamedTuple

from gypsumspoke.core.errors import ErrorKind, Work


class JobKey(NamedTuple):
    """Identity of a submission: the team and its caller's idempotency key."""

    team: str
    key: str


class Task(NamedTuple):
    """One task of a job: the request body for the upstream and its declared run time.

    Attributes:
      body: sent to the upstream unchanged.
      declared: the run time that the caller expects; None if not declared.
    """

    body: bytes
    declared: timedelta | None = None


class Submission(NamedTuple):
    """A job as the caller submitted it.

    Attributes:
      key: identity; the same on every resubmission.
      birth: time of the first submission by the caller's clock; the same on every
        resubmission. Its age decides when records of the key expire.
      attempt: 0 at first; a higher number only if a refusal issued it as
        ``next_attempt``.
      service: name of the upstream service.
      deadline: when the caller stops waiting.
      not_repeatable: set by the caller and passed on to the upstream.
      tasks: 1 to ``MAX_TASKS`` tasks.
      digest: hash of service, ``not_repeatable`` and bodies; distinguishes a reused
        key from a resubmission.
    """

    key: JobKey
    birth: datetime
    attempt: int
    service: str
    deadline: datetime
    not_repeatable: bool
    tasks: tuple[Task, ...]
    digest: bytes


MAX_TASKS = 130
MAX_RETENTION = timedelta(days=1)
NOTHING_FORGOTTEN = datetime(1970, 1, 1, tzinfo=timezone.utc)


class Answer(NamedTuple):
    """The final answer to a submission.

    Attributes:
      kind: None when complete, else the reason.
      work: what the answer claims about the tasks.
      results: one body per task, in order; empty unless complete.
      outcomes: one per task for a failed job that started; else empty.
      next_attempt: attempt number with which the caller may resubmit after "not run".
      retry_after: delay after which a retry may succeed; None if it can't.
      detail: one sentence for a human reader.
    """

    kind: ErrorKind | None
    work: Work
    results: tuple[bytes, ...] = ()
    outcomes: tuple["Outcome", ...] = ()
    next_attempt: int | None = None
    retry_after: timedelta | None = None
    detail: str = ""


class Outcome(Enum):
    """The final outcome of a task."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptId(NamedTuple):
    """Identity of one attempt to run one task on one executor.

    Attributes:
      key: the submission.
      task: index of the task in the job, from 0.
      number: counts all placements of the home, from 1; unique within an epoch.
      epoch: the partition's epoch under which the home placed it.
    """

    key: JobKey
    task: int
    number: int
    epoch: int


class TaskState(Enum):
    """State of a started task in its executor's record."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


class StartRecord(NamedTuple):
    """An executor's record that a task was started.

    Attributes:
      attempt: the attempt that started it.
      submission_attempt: the caller's attempt number under which it started.
      birth: birth of the submission; the record is kept until that expires.
      digest: digest of the submission.
      task_count: number of tasks of the job.
      state: state of the task.
      result: the upstream's response body; None when not done or no longer kept.
    """

    attempt: AttemptId
    submission_attempt: int
    birth: datetime
    digest: bytes
    task_count: int
    state: TaskState
    result: bytes | None


class ClosedRecord(NamedTuple):
    """A job with a final answer other than complete; none of its tasks may start."""

    key: JobKey
    birth: datetime
    submission_attempt: int
    digest: bytes
    kind: ErrorKind


class RefusedRecord(NamedTuple):
    """A "not run" answer of a home; submissions up to this attempt stay refused."""

    key: JobKey
    birth: datetime
    submission_attempt: int
    kind: ErrorKind


class FinishedRecord(NamedTuple):
    """A final answer kept in a home's ledger for resubmissions."""

    key: JobKey
    birth: datetime
    submission_attempt: int
    digest: bytes
    answer: Answer


class Role(Enum):
    """The roles of processes that register as members."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class Member(NamedTuple):
    """One incarnation of a process, as registered in the platform's table.

    Attributes:
      incarnation: unique for each start of a process.
      worker: name of the worker that it serves; the platform runs one process per
        worker at a time.
      role: entry or sidecar.
      host: IP address for peers.
      port: TCP port for peers.
      failure_domain: name of the failure domain.
      rack: name of the rack.
      service: service of its upstream; empty for an entry.
      slots: maximum number of concurrent tasks; 0 for an entry.
      registered: time of registration.
      ended: when the registration was ended by a newer incarnation, by a graceful
        stop or by an operator; None while it is current.
      admin_port: TCP port for metrics, health and administration.
      draining: an operator requested a drain; the process starts it on reading this.
    """

    incarnation: str
    worker: str
    role: Role
    host: str
    port: int
    failure_domain: str
    rack: str
    service: str
    slots: int
    registered: datetime
    ended: datetime | None
    admin_port: int
    draining: bool = False


class PartitionRow(NamedTuple):
    """The row of the partition map that names a partition's owner.

    Attributes:
      partition: number of the partition.
      owner: incarnation of the home; empty after it released the partition.
      epoch: incremented with every change of owner; a lower epoch is stale.
      since: time of the change by the owner's clock.
      version: version of the row in the table, for compare-and-set.
    """

    partition: int
    owner: str
    epoch: int
    since: datetime
    version: int


class Load(NamedTuple):
    """An executor's load, reported with each of its answers.

    Attributes:
      running: tasks at the upstream.
      queued: tasks waiting for a slot.
      slots: maximum number of concurrent tasks; 0 while it accepts none.
      mean_run: moving average of the run time of completed tasks; None before the
        first.
    """

    running: int
    queued: int
    slots: int
    mean_run: timedelta | None


class Row(NamedTuple):
    """One row of the platform's table; ``value`` is None when the row is absent.

    ``version`` is 0 when absent, and never decreases or repeats for one key.
    """

    key: str
    version: int
    value: str | None
