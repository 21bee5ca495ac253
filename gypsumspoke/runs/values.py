"""Value types of best-effort jobs.

A best-effort job isn't stored; its caller waits for the answer. The entry that accepts
it coordinates it: it places each task as a numbered *run* on a sidecar, which starts
the run on its worker. Runs end when their coordinator falls silent, so that a job that
is sent again after the loss of its entry doesn't run twice at once (``budget.py``).

The size of a task is its *room*: the processors, memory and accelerators that it takes.
"""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

# Factor on the run time of a task away from its data, if the platform sets none.
DEFAULT_REMOTE_SLOWDOWN = 1.5


class Room(NamedTuple):
    """Resources that a task needs or a worker has.

    Attributes:
      cpu: processor time in thousandths of a core.
      memory: memory in MB.
      gpu: number of accelerators.
    """

    cpu: int
    memory: int
    gpu: int


NO_ROOM = Room(0, 0, 0)


def add(one: Room, other: Room) -> Room:
    """Return the sum of both."""
    return Room(one.cpu + other.cpu, one.memory + other.memory, one.gpu + other.gpu)


def subtract(one: Room, other: Room) -> Room:
    """Return ``one`` minus ``other``; negative where ``other`` is larger."""
    return Room(one.cpu - other.cpu, one.memory - other.memory, one.gpu - other.gpu)


def fits(need: Room, free: Room) -> bool:
    """Return whether ``need`` can be taken from ``free``."""
    return need.cpu <= free.cpu and need.memory <= free.memory and need.gpu <= free.gpu


class TaskId(NamedTuple):
    """Id of a task: its job's id, and the indexes of its step and of itself."""

    job: str
    step: int
    index: int


class RunId(NamedTuple):
    """Id of one run of a task; ``number`` starts at 1 and rises with each run."""

    task: TaskId
    number: int


class Step(NamedTuple):
    """A set of identical tasks of a job.

    Attributes:
      count: number of tasks.
      room: the room that each needs.
      estimate: the caller's estimate of a task's run time.
      after: indexes of the steps whose tasks must all be done first.
      label: label that the worker must have; empty for any.
      rack: rack where the data is; empty for none. Tasks take longer elsewhere.
      per_worker: maximum number of the step's tasks on one worker; 0 for no bound.
    """

    count: int
    room: Room
    estimate: timedelta
    after: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    per_worker: int = 0


class Job(NamedTuple):
    """A best-effort job as its caller sent it.

    Attributes:
      id: id from the caller; the same in a resubmission.
      spec: text for the worker, the same for every task.
      steps: at least one.
    """

    id: str
    spec: str
    steps: tuple[Step, ...]


class Route(NamedTuple):
    """A route: the requests that it matches, their service and its conditions.

    Attributes:
      name: name in the configuration.
      host: the Host header of its requests.
      path_prefix: start of the path of its requests.
      service: service whose workers run its tasks.
      priority: 0 is the highest.
      attempts: number of failed runs of one task after which its job fails.
      timeout: how long a request may wait; None for no bound.
      target_latency: allowed time of a job beyond ``stretch`` times its work.
      stretch: factor on the estimate of a job's longest chain of steps.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    attempts: int
    timeout: timedelta | None
    target_latency: timedelta
    stretch: float


class RequestLimits(NamedTuple):
    """Bounds on the requests of one client.

    Attributes:
      header_bytes, body_bytes: maximum size of each.
      header_timeout: time from a request's first byte to the end of its header.
      idle_timeout: time that a connection may be idle between requests.
    """

    header_bytes: int
    body_bytes: int
    header_timeout: timedelta
    idle_timeout: timedelta


class Configuration(NamedTuple):
    """The operators' configuration, validated.

    Attributes:
      version: rises with each change, not always by one.
      routes: all routes.
      limits: bounds on requests.
      capacity_checking_services: services whose workers refuse runs that don't fit.
    """

    version: int
    routes: tuple[Route, ...]
    limits: RequestLimits
    capacity_checking_services: frozenset[str] = frozenset()


class WorkerReady(Enum):
    """Whether a worker accepts new runs, as it states in its heartbeats.

    The answer to a heartbeat with an unknown state contains the name of this class.
    """

    READY = "ready"
    DRAINING = "draining"


class Registration(NamedTuple):
    """A worker's heartbeat.

    Attributes:
      id: the worker's id.
      incarnation: start time of the worker process in Unix milliseconds.
      sequence: rises with each heartbeat of one incarnation.
      service: the service that it belongs to.
      state: whether it accepts new runs.
      capacity: its total room.
      labels: its kind and its rack.
      clock: its steady clock when it wrote the heartbeat.
      remaining: minimum time that a draining worker has left; None if unknown.
      cold: how much longer it is slow after its start.
    """

    id: str
    incarnation: int
    sequence: int
    service: str
    state: WorkerReady
    capacity: Room
    labels: tuple[str, ...]
    clock: timedelta
    remaining: timedelta | None = None
    cold: timedelta = timedelta()


class RunEnd(Enum):
    """Outcome of a run. Only FAILED counts against a task's attempts.

    DONE: the task is complete. FAILED: the task or the worker failed. STOPPED: the run
    was stopped. LOST: its worker or its lease is gone. NOT_RUN: it never started and
    never will.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    NOT_RUN = "not_run"


class EndReason(Enum):
    """Reason for the outcome of a run; each has a counter."""

    COMPLETED = "completed"
    TASK_FAILED = "task_failed"
    WITHDRAWN = "withdrawn"
    SUPERSEDED = "superseded"
    COORDINATOR_SILENT = "coordinator_silent"
    STALLED = "stalled"
    LEASE_LAPSED = "lease_lapsed"
    WORKER_GONE = "worker_gone"
    WORKER_DRAINING = "worker_draining"
    DOMAIN_CORDONED = "domain_cordoned"
    WORKER_UNKNOWN = "worker_unknown"
    WORKER_UNHEALTHY = "worker_unhealthy"
    WORKER_REFUSED_ROOM = "worker_refused_room"
    START_UNANSWERED = "start_unanswered"
    START_LATE = "start_late"
    ORDER_STALE = "order_stale"
    NUMBER_TOO_LOW = "number_too_low"
    NEVER_SEEN = "never_seen"
    NO_ROOM_EVER = "no_room_ever"
    ROOM_TAKEN = "room_taken"
    DEADLINE_PASSED = "deadline_passed"
    SIDECAR_STOPPING = "sidecar_stopping"
    SIDECAR_SILENT = "sidecar_silent"
    STOPPED_BY_WORKER = "stopped_by_worker"


class LeaseEvent(Enum):
    """An exceptional event of a worker's lease.

    WITHHELD: an unanswered stop prevents its full extension.
    """

    WITHHELD = "withheld"


class SidecarRetry(Enum):
    """Reason why a sidecar repeats something; each has a counter.

    CONNECTION_SILENT: it makes a second connection to an entry. START_UNANSWERED: it
    sends a start again.
    """

    CONNECTION_SILENT = "connection_silent"
    START_UNANSWERED = "start_unanswered"


class WorkerFailure(Enum):
    """How a command to the worker failed without an answer; each has a counter.

    REFUSED: no connection was made. CLOSED: the connection ended without an answer.
    TIMED_OUT: there was no answer in time. After the last two the command may have been
    carried out, or may be carried out later.
    """

    REFUSED = "refused"
    CLOSED = "closed"
    TIMED_OUT = "timed_out"


class IgnoredHeartbeat(Enum):
    """Why a sidecar doesn't use a heartbeat; each has a counter.

    LATE: a later one of its incarnation came before. INCARNATION_ENDED: answers of the
    worker have named another incarnation since. UNCONFIRMED: its incarnation started
    before the known one, by the time of day; it is held until the worker's answers name
    it.
    """

    LATE = "late"
    INCARNATION_ENDED = "incarnation_ended"
    UNCONFIRMED = "unconfirmed"


class WorkerRecordEvent(Enum):
    """What became of the stored record of a sidecar's worker; each has a counter.

    RESTORED: the worker is known from it. PACE_RESTORED: a heartbeat came first, and
    the pace is known from it. MISSING: there was none. WRITTEN: a new one was passed to
    the store. The others are reasons why it was dropped.
    """

    RESTORED = "restored"
    MISSING = "missing"
    WRITTEN = "written"
    UNREADABLE = "unreadable"
    OTHER_SERVICE = "other_service"
    OTHER_INCARNATION = "other_incarnation"
    PACE_RESTORED = "pace_restored"
    WORKER_LEFT = "worker_left"


class LeavingRun(Enum):
    """What an entry decides on a run whose worker leaves; each has a counter.

    WITHDRAWN: its task is queued again. ENDS_IN_TIME: it is expected to end before its
    worker. MOVED_BEFORE: another run of its task was withdrawn before. NOT_SOONER: no
    other worker would finish the task before the loss is detected.
    """

    WITHDRAWN = "withdrawn"
    ENDS_IN_TIME = "ends_in_time"
    MOVED_BEFORE = "moved_before"
    NOT_SOONER = "not_sooner"


class DisplacementReason(Enum):
    """Why a new run displaced one that waited at a sidecar; each has a counter.

    PRIORITY: the new run is more urgent. IN_TIME: of the two only the new run can still
    be in time. DUE_EARLIER: the new run is due earlier.
    """

    PRIORITY = "priority"
    IN_TIME = "in_time"
    DUE_EARLIER = "due_earlier"


class JobEnd(Enum):
    """Outcome of a best-effort job, as its caller is told."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    GIVEN_UP = "given_up"


class RefusalReason(Enum):
    """Why a best-effort job was refused or given up; each has a counter."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    MALFORMED_REQUEST = "malformed_request"
    HEADER_TOO_LARGE = "header_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    CLIENTS_PRESS = "clients_press"
    INVALID_JOB = "invalid_job"
    BODY_TOO_LARGE = "body_too_large"
    NOT_SUPPORTED = "not_supported"
    NO_WORKER = "no_worker"
    ISOLATED = "isolated"
    NO_WORKER_FITS = "no_worker_fits"
    NO_WORKER_IN_GROUP = "no_worker_in_group"
    DOMAINS_CORDONED = "domains_cordoned"
    TOO_LATE = "too_late"
    ENTRY_BEHIND = "entry_behind"
    TOO_MANY_JOBS = "too_many_jobs"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CALLER_LEFT = "caller_left"
    CANCELLED = "cancelled"
    CANCEL_NOT_STORED = "cancel_not_stored"
    SUPERSEDED = "superseded"
    STOPPING = "stopping"
