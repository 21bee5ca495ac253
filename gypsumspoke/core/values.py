"""What submissions, members and records are: immutable tuples that all else takes.

Times are aware UTC datetimes, durations are timedeltas, bodies are bytes.
"""

from datetime import datetime, timedelta, timezone
from enum import Enum
from typing import NamedTuple

from gypsumspoke.core.errors import ErrorKind, Work


class JobKey(NamedTuple):
    """Identity of a submission: the team and the caller's idempotency key."""

    team: str
    key: str


class Task(NamedTuple):
    """One task of a job: the body for the upstream and the declared run time."""

    body: bytes
    declared: timedelta | None = None


class Submission(NamedTuple):
    """A job as the caller sent it.

    Attributes:
      key: identity; the same on every resubmission.
      birth: time of the first submission; the same on every resubmission.
      attempt: 0 at first; a later value only as a refusal handed it out.
      service: name of the upstream service.
      deadline: when the caller stops waiting.
      not_repeatable: the caller's mark, passed on to the upstream.
      tasks: 1 to ``MAX_TASKS`` tasks.
      digest: hash of service, mark and bodies; tells a reused key from a copy.
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
      work: what is claimed about the tasks.
      results: one body per task, in order; empty unless complete.
      outcomes: one per task for a failed job that started; else empty.
      next_attempt: with which attempt the caller may resubmit after "not run".
      retry_after: when coming back helps; None where it does not.
      detail: one sentence for a person.
    """

    kind: ErrorKind | None
    work: Work
    results: tuple[bytes, ...] = ()
    outcomes: tuple["Outcome", ...] = ()
    next_attempt: int | None = None
    retry_after: timedelta | None = None
    detail: str = ""


class Outcome(Enum):
    """The closed list of what can become of a task."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptId(NamedTuple):
    """One try to run one task at one executor.

    Attributes:
      key: the submission.
      task: index of the task in the job, from 0.
      number: counts the home's placements of this task, from 1.
      epoch: the partition's epoch under which the home placed it.
    """

    key: JobKey
    task: int
    number: int
    epoch: int


class TaskState(Enum):
    """What an executor knows of a task."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


class StartRecord(NamedTuple):
    """An executor's memory of one started task.

    Attributes:
      attempt: which try started it.
      submission_attempt: the caller's attempt number under which it started.
      birth: birth of the submission; the record is kept until it expires.
      digest: digest of the submission.
      task_count: number of tasks of the job.
      state: how far it is.
      result: the upstream's body if still kept; None when dropped or not done.
    """

    attempt: AttemptId
    submission_attempt: int
    birth: datetime
    digest: bytes
    task_count: int
    state: TaskState
    result: bytes | None


class ClosedRecord(NamedTuple):
    """A job that got a final answer other than complete; nothing of it may start."""

    key: JobKey
    birth: datetime
    submission_attempt: int
    digest: bytes
    kind: ErrorKind


class RefusedRecord(NamedTuple):
    """A "not run" that a home gave; a copy up to this attempt stays refused."""

    key: JobKey
    birth: datetime
    submission_attempt: int
    kind: ErrorKind


class FinishedRecord(NamedTuple):
    """A final answer that a home keeps."""

    key: JobKey
    birth: datetime
    submission_attempt: int
    digest: bytes
    answer: Answer


class Role(Enum):
    """The roles of the one binary that are members of the system."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class Member(NamedTuple):
    """One incarnation of a process, as registered in the platform's table.

    Attributes:
      incarnation: unique for each start of a process.
      worker: name of the worker it runs on; the platform runs one process for it
        at a time.
      role: entry or sidecar.
      host: IP number for peers.
      port: TCP port for peers.
      failure_domain: name of the failure domain.
      rack: name of the rack.
      service: upstream service beside it; empty for an entry.
      slots: tasks it runs at once; 0 for an entry.
      registered: time of registration.
      ended: when a newer incarnation, a clean leave or an operator ended it.
      admin_port: TCP port for metrics, health and administration.
      draining: an operator asked it to drain; the process acts when it reads this.
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
    """Who owns a partition.

    Attributes:
      partition: number of the partition.
      owner: incarnation of the home; empty when given up.
      epoch: grows by one with every change.
      since: time of the change, by the owner's clock.
      version: version of the table's row, for compare-and-set.
    """

    partition: int
    owner: str
    epoch: int
    since: datetime
    version: int


class Load(NamedTuple):
    """What an executor says about itself on each answer.

    Attributes:
      running: tasks at the upstream.
      queued: tasks waiting for a slot.
      slots: tasks it may run at once; 0 while it takes none.
      mean_run: smoothed run time of finished tasks; None before the first.
    """

    running: int
    queued: int
    slots: int
    mean_run: timedelta | None


class Row(NamedTuple):
    """One row of the platform's table; ``value`` is None when absent.

    ``version`` is 0 when absent, and never falls or repeats for one key.
    """

    key: str
    version: int
    value: str | None
