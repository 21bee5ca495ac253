"""The vocabulary of best-effort jobs.

A best-effort job is answered when it has ended and is not stored. The entry that took
it coordinates it: it places each task as a numbered *run* on a sidecar, which starts
the run on its worker. A run lives only while its coordinator is heard, so a caller that
sends its job again after losing the entry finds no old run at work (``budget.py``).

Work is sized by what it takes of a worker instead of in slots.
"""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

# Where the platform does not say how much longer a task takes away from its data.
DEFAULT_REMOTE_SLOWDOWN = 1.5


class Room(NamedTuple):
    """What a task needs, or a worker has.

    Attributes:
      cpu: thousandths of a core.
      memory: MB.
      gpu: accelerators.
    """

    cpu: int
    memory: int
    gpu: int


NO_ROOM = Room(0, 0, 0)


def add(one: Room, other: Room) -> Room:
    """Return the sum of both."""
    return Room(one.cpu + other.cpu, one.memory + other.memory, one.gpu + other.gpu)


def subtract(one: Room, other: Room) -> Room:
    """Return what is left of ``one``; negative where ``other`` is larger."""
    return Room(one.cpu - other.cpu, one.memory - other.memory, one.gpu - other.gpu)


def fits(need: Room, free: Room) -> bool:
    """Return whether ``need`` can be taken from ``free``."""
    return need.cpu <= free.cpu and need.memory <= free.memory and need.gpu <= free.gpu


class TaskId(NamedTuple):
    """Name of a task: its job's id, the step's number and its own, both from 0."""

    job: str
    step: int
    index: int


class RunId(NamedTuple):
    """One start of a task; ``number`` counts from 1 and rises with each start."""

    task: TaskId
    number: int


class Step(NamedTuple):
    """Tasks of one job that are alike.

    Attributes:
      count: how many tasks.
      room: what each needs.
      estimate: the caller's rough estimate of a task's run time.
      after: numbers of the steps whose tasks must all be done first.
      label: label that the worker must have; empty for any.
      rack: rack where the data is; empty for none. Elsewhere tasks take longer.
      per_worker: most tasks of the step on one worker; 0 for no bound.
    """

    count: int
    room: Room
    estimate: timedelta
    after: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    per_worker: int = 0


class Job(NamedTuple):
    """A best-effort job as a caller sent it.

    Attributes:
      id: the caller's id; the same when the job is sent again.
      spec: text for the worker, the same for every task.
      steps: at least one.
    """

    id: str
    spec: str
    steps: tuple[Step, ...]


class Route(NamedTuple):
    """Which jobs go to which service, and on what terms.

    Attributes:
      name: name in the configuration.
      host: the Host header of its requests.
      path_prefix: start of the path of its requests.
      service: service whose workers run its tasks.
      priority: 0 comes first.
      attempts: most runs of one task that may end failed.
      timeout: longest that a request is kept waiting; None for no bound.
      target_latency: what a job may take beyond ``stretch`` times its work.
      stretch: factor on the longest chain of a job's work.
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
    """Bounds on what one client may send.

    Attributes:
      header_bytes, body_bytes: most bytes of each.
      header_timeout: longest from a request's first byte to the end of its header.
      idle_timeout: longest that a connection may wait between requests.
    """

    header_bytes: int
    body_bytes: int
    header_timeout: timedelta
    idle_timeout: timedelta


class Configuration(NamedTuple):
    """The operators' configuration, checked.

    Attributes:
      version: rises with each change, in uneven steps.
      routes: all routes.
      limits: bounds on requests.
      guarding_services: services whose workers refuse what does not fit themselves.
    """

    version: int
    routes: tuple[Route, ...]
    limits: RequestLimits
    capacity_checking_services: frozenset[str] = frozenset()


class WorkerState(Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Registration(NamedTuple):
    """What a worker says of itself in a heartbeat.

    Attributes:
      id: the worker's id.
      born: when this life of it began, in Unix milliseconds; tells two lives apart.
      sequence: rises with each heartbeat of one life.
      service: the service it belongs to.
      state: whether it takes new work.
      capacity: what it has.
      labels: its kind and its rack.
      clock: its steady clock when it wrote the heartbeat.
    """

    id: str
    incarnation: int
    sequence: int
    service: str
    state: WorkerState
    capacity: Room
    labels: tuple[str, ...]
    clock: timedelta


class RunEnd(Enum):
    """What can become of a run. Only FAILED counts against a task's attempts.

    DONE: the task is complete. FAILED: through its own fault or the worker's. STOPPED:
    it was stopped. LOST: its worker or its lease is gone, and so is it. NOT_RUN: it
    never started and never will.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    NOT_RUN = "not_run"


class EndReason(Enum):
    """Why a run ended as it did; one counter for each."""

    COMPLETED = "completed"
    TASK_FAILED = "task_failed"
    WITHDRAWN = "withdrawn"
    SUPERSEDED = "superseded"
    COORDINATOR_SILENT = "coordinator_silent"
    STALLED = "stalled"
    LEASE_LAPSED = "lease_lapsed"
    WORKER_GONE = "worker_gone"
    WORKER_DRAINING = "worker_draining"
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
    """What happened to a worker's lease beside its regular extension.

    WITHHELD: a stop without an answer keeps it from being extended in full.
    """

    WITHHELD = "withheld"


class JobEnd(Enum):
    """The closed list of answers to a best-effort job."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    GIVEN_UP = "given_up"


class RefusalReason(Enum):
    """Why a best-effort job was refused or given up; one counter for each."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    INVALID_JOB = "invalid_job"
    BODY_TOO_LARGE = "body_too_large"
    NOT_SUPPORTED = "not_supported"
    NO_WORKER = "no_worker"
    ISOLATED = "isolated"
    NO_WORKER_FITS = "no_worker_fits"
    TOO_LATE = "too_late"
    ENTRY_BEHIND = "entry_behind"
    TOO_MANY_JOBS = "too_many_jobs"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CALLER_LEFT = "caller_left"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded"
    STOPPING = "stopping"
