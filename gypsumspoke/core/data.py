"""The vocabulary: immutable tuples that everything else takes and returns.

Three groups. *Values* describe submissions, members and records. *Messages* travel
between processes; ``wire`` gives each a thrift struct of the same fields. *Effects*
are what a reducer wants done; the shell carries them out. Events that are not
messages from a peer stand at the end.

A message names what it speaks of (key, task, partition, epoch) and never relies on
the connection or the order it came by, so a late or crossed answer can't be taken for
another's. Times are aware UTC datetimes, durations are timedeltas, bodies are bytes.
"""

from datetime import datetime, timedelta, timezone
from enum import Enum
from typing import NamedTuple

from gypsumspoke.core.errors import ErrorKind, Work

# ---------------------------------------------------------------------------
# Values


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


class ServicePolicy(NamedTuple):
    """What the manifest says of one upstream service.

    Attributes:
      name: name of the service, as callers and members use it.
      connections: most connections an executor keeps to its upstream.
      connect_timeout: bound on opening a connection to the upstream.
      answer_timeout: bound on one task at the upstream; then it counts as UNKNOWN.
      queue_limit: most tasks that wait at one executor.
    """

    name: str
    connections: int
    connect_timeout: timedelta
    answer_timeout: timedelta
    queue_limit: int


class TeamPolicy(NamedTuple):
    """What the manifest says of one team.

    Attributes:
      name: name of the team.
      tasks_per_second: quota over all entries together.
      burst: tasks it may submit at once above that rate, over all entries together.
      weight: share when teams compete for slots.
    """

    name: str
    tasks_per_second: float
    burst: int
    weight: float


class Policy(NamedTuple):
    """What the manifest says of the whole system.

    Attributes:
      retention: how long a key is remembered, from its birth.
      clock_skew: most that two clocks may differ.
      retry_budget: placements beyond the first, as a share of first placements.
      task_attempts: most placements of one task.
      message_weight: 0 prefers response time, 1 prefers few messages.
      ledger_limit: most submissions that one home remembers.
      kept_bytes: most bytes of results that one process keeps.
      home_queue_limit: most tasks that wait at one home.
      unreachable_after: silence after which a started task counts as UNKNOWN.
      takeover_after: silence after which another home takes the partitions.
      placement: name of a strategy in ``placement.STRATEGIES``.
    """

    retention: timedelta
    clock_skew: timedelta
    retry_budget: float
    task_attempts: int
    message_weight: float
    ledger_limit: int
    kept_bytes: int
    home_queue_limit: int
    unreachable_after: timedelta
    takeover_after: timedelta
    placement: str = "expected_wait"


class Manifest(NamedTuple):
    """The operators' configuration, checked."""

    services: tuple[ServicePolicy, ...]
    teams: tuple[TeamPolicy, ...]
    policy: Policy


DEFAULT_POLICY = Policy(
    retention=timedelta(minutes=10),
    clock_skew=timedelta(seconds=1),
    retry_budget=1.0,
    task_attempts=4,
    message_weight=0.0,
    ledger_limit=50_000,
    kept_bytes=8_000_000,
    home_queue_limit=2_000,
    unreachable_after=timedelta(seconds=4),
    takeover_after=timedelta(seconds=3),
)


# ---------------------------------------------------------------------------
# Messages between processes. ``wire`` mirrors these field for field.


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


class RetryReason(Enum):
    """Why a message or a placement was made again; one counter for each."""

    EXECUTOR_QUEUE_FULL = "executor_queue_full"
    EXECUTOR_LEAVING = "executor_leaving"
    EXECUTOR_JOINING = "executor_joining"
    EXECUTOR_PAUSED = "executor_paused"
    STALE_EPOCH = "stale_epoch"
    ALREADY_STARTED = "already_started"
    REFUSED_FOR_GOOD = "refused_for_good"
    DEADLINE_PASSED = "deadline_passed"
    WRONG_SERVICE = "wrong_service"
    JOB_CLOSED = "job_closed"
    TASK_CANCELLED = "task_cancelled"
    UPSTREAM_REFUSED_CONNECTION = "upstream_refused_connection"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_BROKEN = "upstream_broken"
    NEVER_SEEN = "never_seen"
    CONNECTION_LOST = "connection_lost"
    SILENT_EXECUTOR = "silent_executor"
    SILENT_HOME = "silent_home"
    HOME_MOVED = "home_moved"
    TAKEOVER_IN_PROGRESS = "takeover_in_progress"
    TABLE_ANSWER_LOST = "table_answer_lost"
    TABLE_CONFLICT = "table_conflict"
    OTHER = "other"


class Counter(Enum):
    """Counted events that show that a safeguard acted; one metric for each."""

    REFUSED_BY_EPOCH = "refused_by_epoch"
    REFUSED_AS_DUPLICATE = "refused_as_duplicate"
    ATTACHED_TO_RUNNING = "attached_to_running"
    ANSWERED_FROM_KEPT = "answered_from_kept"
    UNKNOWN_BY_DOUBT = "unknown_by_doubt"
    FENCE_SENT = "fence_sent"
    FENCE_ACKNOWLEDGED = "fence_acknowledged"
    TAKEOVER_STARTED = "takeover_started"
    TAKEOVER_FINISHED = "takeover_finished"
    HANDOFF_SENT = "handoff_sent"
    HANDOFF_TAKEN = "handoff_taken"
    JOB_RESUMED = "job_resumed"
    JOB_COMPLETE = "job_complete"
    TASK_STARTED = "task_started"
    TASK_PLACED = "task_placed"
    LATE_ANSWER_DROPPED = "late_answer_dropped"
    MANIFEST_APPLIED = "manifest_applied"
    PEER_LOST = "peer_lost"
    WORKER_EJECTED = "worker_ejected"


# ---------------------------------------------------------------------------
# Effects


class Send(NamedTuple):
    """Send a message to a peer, over any live connection; lost if there is none."""

    to: str
    message: Message


class StartUpstream(NamedTuple):
    """Post the task's body to the upstream beside this executor.

    The shell answers with UpstreamAnswered.
    """

    attempt: AttemptId
    service: str
    not_repeatable: bool
    deadline: datetime
    body: bytes


class ReadRows(NamedTuple):
    """Read all rows whose key starts with ``prefix``; answered by RowsRead."""

    request: str
    prefix: str


class WriteRows(NamedTuple):
    """Write rows in one transaction if no checked row has changed.

    Attributes:
      request: echoed in RowsWritten.
      checks: rows with the version they must still have (0 = absent).
      writes: (key, new value or None to delete).
    """

    request: str
    checks: tuple[tuple[str, int], ...]
    writes: tuple[tuple[str, str | None], ...]


class Count(NamedTuple):
    """Count one event; the shell maps each enum to a metric."""

    what: Counter | RetryReason | ErrorKind
    amount: int = 1


class Observe(NamedTuple):
    """Record one measured value in the histogram of this name.

    ``name`` is one of: takeover_seconds, queue_wait_seconds, response_seconds,
    response_over_ideal, messages_per_task, wasted_messages.
    """

    name: str
    value: float
    label: str = ""


class Log(NamedTuple):
    """Write one log line.

    Attributes:
      level: as in ``logging``.
      event: fixed sentence without values.
      key, task, attempt: what it is about, where known.
      fields: further (name, value) pairs.
    """

    level: int
    event: str
    key: JobKey | None = None
    task: int | None = None
    attempt: int | None = None
    fields: tuple[tuple[str, str | int | float], ...] = ()


class Deliver(NamedTuple):
    """Entry only: hand this answer to the waiting caller of ``request``."""

    request: str
    answer: Answer


class ApplyManifest(NamedTuple):
    """This version of the manifest is in force in this process from now on."""

    version: int
    text: str


class Exit(NamedTuple):
    """The graceful stop is complete; end the process with status 0."""


class Local(NamedTuple):
    """Hand this event to the sibling reducers of the same process."""

    event: "LocalEvent"


Effect = (
    Local
    | Send
    | StartUpstream
    | ReadRows
    | WriteRows
    | Count
    | Observe
    | Log
    | Deliver
    | ApplyManifest
    | Exit
)


# ---------------------------------------------------------------------------
# Events that are not messages


class Received(NamedTuple):
    """A message from a peer."""

    sender: str
    message: Message


class PeerConnected(NamedTuple):
    """A connection to or from this incarnation is up, after a valid hello."""

    incarnation: str


class PeerLost(NamedTuple):
    """A connection to this incarnation ended, and messages on it may be lost.

    If another one is up, PeerConnected follows at once.
    """

    incarnation: str


class UpstreamAnswered(NamedTuple):
    """The end of a StartUpstream.

    Attributes:
      attempt: which try.
      outcome: NOT_RUN only if no byte was sent to the upstream.
      result: body when done.
      reason: as in TaskOutcome.
    """

    attempt: AttemptId
    outcome: Outcome
    result: bytes
    reason: str


class UpstreamAnnounced(NamedTuple):
    """The upstream beside this executor said what it is, or that it leaves.

    Attributes:
      service: its service; never changes while the process lives.
      slots: tasks it runs at once.
      leaving: it gets nothing new from now on, until it is announced again.
    """

    service: str
    slots: int
    leaving: bool


class RowsRead(NamedTuple):
    """The end of a ReadRows; ``rows`` is None when the table did not answer."""

    request: str
    rows: tuple[Row, ...] | None


class WriteOutcome(Enum):
    """What is known of a transaction; LOST may have taken effect or not."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    LOST = "lost"


class RowsWritten(NamedTuple):
    """The end of a WriteRows; ``revision`` is the new version when committed."""

    request: str
    outcome: WriteOutcome
    revision: int


class MembersChanged(NamedTuple):
    """Local: the membership view changed; all rows, ended ones included."""

    members: tuple[Member, ...]


class PartitionsChanged(NamedTuple):
    """Local: rows of the partition map that changed."""

    rows: tuple[PartitionRow, ...]


class ReachabilityChanged(NamedTuple):
    """Local: incarnations that answer heartbeats now."""

    reachable: frozenset[str]


class ManifestChanged(NamedTuple):
    """Local: a newer manifest is in force in this process."""

    version: int
    manifest: Manifest


class Tick(NamedTuple):
    """Time has passed; the shell sends one every ``TICK``."""


TICK = timedelta(milliseconds=100)


class Drain(NamedTuple):
    """Stop gracefully: take no new work, finish what runs, then Exit."""


LocalEvent = (
    MembersChanged | PartitionsChanged | ReachabilityChanged | ManifestChanged | Drain
)
