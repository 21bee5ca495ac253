"""State of the coordinator in an entry, its events and its effects."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from returns.result import Result

from gypsumspoke.core.events import Arrival
from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.caller_timeouts import CallerTimeouts
from gypsumspoke.runs.cancellations import BYTES_PER_JOB, Cancellations
from gypsumspoke.runs.cordons import NO_CORDONS
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.job_memory import DEFAULT_MAX_JOB_BYTES, job_bytes
from gypsumspoke.runs.load import LoadShedder
from gypsumspoke.runs.queued_tasks import QueuedTasks
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.sidecar_views import SidecarView
from gypsumspoke.runs.values import (
    DEFAULT_REMOTE_SLOWDOWN,
    NO_ROOM,
    Configuration,
    Job,
    JobEnd,
    RefusalReason,
    Route,
    RunId,
    TaskId,
)

# The ids of cancelled jobs may take this part of the memory for jobs, besides them.
_CANCELLATIONS_PART = 4
# A job is accepted if this many times its memory is free.
_ROOM_BEHIND_JOB = 4


class JobArrived(NamedTuple):
    """Event: a caller sent a job and waits for the answer.

    Attributes:
      request: id of the request at this entry.
      job: the job.
      route: the route that matched the request.
      deadline: when the caller stops waiting.
    """

    request: str
    job: Job
    route: Route
    deadline: datetime


class JobCallerLeft(NamedTuple):
    """Event: the caller closed its connection."""

    request: str


class CancelJobArrived(NamedTuple):
    """Event: a caller cancels a job.

    Attributes:
      request: id of the request at this entry, which waits for the answer.
      job_id: the job's id.
    """

    request: str
    job_id: str


class ConfigurationChanged(NamedTuple):
    """Event: a configuration was read from the store."""

    table: RoutingTable
    text: str


class FirstConfiguration(NamedTuple):
    """Effect: release the requests that wait for the first configuration."""


class AnswerJob(NamedTuple):
    """Effect: answer a request.

    Attributes:
      request: as in JobArrived.
      end: the outcome of the job.
      reason: why it was refused or given up; None otherwise.
      retry_after: how long the caller should wait before a retry; None if a retry
        doesn't help.
    """

    request: str
    end: JobEnd
    reason: RefusalReason | None = None
    retry_after: timedelta | None = None


class PlacingContinues(NamedTuple):
    """Effect, and the event that it is posted as: more tasks are placed next turn."""


class PlacedRun(NamedTuple):
    """A run together with the sidecar incarnation that it was placed on.

    A resubmitted job numbers its runs from 1 again, so that the id of a run alone is
    ambiguous while runs of an earlier request are left.
    """

    sidecar: str
    run: RunId


class TaskProgress:
    """Progress of one task of a job.

    Attributes:
      id: the task.
      run: its open or completed run; None while it waits for placement.
      view: the sidecar of that run; None while it waits for placement.
      placed_at: when its latest run was placed; None before the first.
      moved: its run that was withdrawn because the worker leaves; None without one.
      done: whether it is complete.
      failures: number of runs that failed.
      number: number of its latest run.
      avoided_hosts: instances where it failed or was refused.
      has_started: whether any of its ended or withdrawn runs had or may have started.
    """

    def __init__(self, task: TaskId) -> None:
        self.id = task
        self.run: RunId | None = None
        self.view: SidecarView | None = None
        self.placed_at: datetime | None = None
        self.moved: PlacedRun | None = None
        self.done = False
        self.failures = 0
        self.number = 0
        self.avoided_hosts: set[str] = set()
        self.has_started = False


class JobProgress:
    """Progress of one job whose callers wait.

    Attributes:
      job, route: the job, and the route that matched its request.
      requests: the requests that wait for the answer: the first and resubmissions.
      arrived: when the first of them arrived.
      waited_elsewhere: how long its caller had waited at other entries by then.
      due: when the job becomes late.
      deadline: when the last caller stops waiting.
      tasks: all tasks, by step.
      remaining: for each step, the number of its tasks that are not done.
      released: for each step, whether its tasks have been queued.
      placed: number of placed runs.
      task_count: number of all tasks.
    """

    def __init__(
        self, event: JobArrived, now: datetime, waited: timedelta = timedelta()
    ) -> None:
        self.waited_elsewhere = waited
        self.job = event.job
        self.route = event.route
        self.requests = [event.request]
        self.arrived = now
        self.due = now + time_allowed(event.job, event.route) - waited
        self.deadline = event.deadline
        self.tasks = [
            [TaskProgress(TaskId(event.job.id, number, i)) for i in range(step.count)]
            for number, step in enumerate(event.job.steps)
        ]
        self.remaining = [step.count for step in event.job.steps]
        self.released = [False] * len(event.job.steps)
        self.placed = 0
        self.task_count = sum(self.remaining)

    @property
    def id(self) -> str:
        """The job's id."""
        return self.job.id


def time_allowed(job: Job, route: Route) -> timedelta:
    """Return how long a job may take by the latency target of its route."""
    return longest_chain(job) * route.stretch + route.target_latency


def longest_chain(job: Job) -> timedelta:
    """Return the estimated time of the longest chain of dependent steps."""
    ends: list[timedelta] = []
    for step in job.steps:
        before = max((ends[number] for number in step.after), default=timedelta())
        ends.append(before + step.estimate)
    return max(ends)


class CoordinatorState:
    """State of the coordinator.

    Changed only by the reducer and, before a job is read, by ``refuse_overloaded``.

    Attributes:
      views: sidecars by incarnation.
      disconnected: incarnations of the sidecars that are not connected.
      sidecar_counts: number of connected sidecars by service, as of the latest tick.
      jobs: jobs by id; changed by ``add_job`` and ``remove_job``.
      by_request: the job id of each waiting request.
      by_run: the job id of each open run that was not withdrawn.
      withdrawn: withdrawn runs that may still be running, by task.
      waiting: queued tasks by job id; none without a task.
      least_queued: no queued task needs less room, in each dimension.
      needs_placing_round: whether a queued task may fit on a worker since the last
        placing round.
      table: the configuration in force; None before the first.
      configuration_text: its text as the operators wrote it.
      cordons: the cordoned failure domains.
      arrival: arrival times of the current event.
      load_shedder: decides which jobs are refused while this entry is overloaded.
      refused_unread: jobs refused by it since the latest log line about them.
      refused_unread_logged_at: when that line was written.
      last_tick: time of the latest tick.
      running_since: when this process started or resumed after its latest pause.
      hears_sidecars: whether a sidecar was heard lately, or none is known.
      isolated: whether jobs are given up since all sidecars are silent.
      draining: when the graceful stop began; None before.
      stopped: whether the graceful stop is complete.
      peers: connected entries and sidecars.
      entries: connected entries.
      caller_timeouts: the usual timeouts of callers, by route.
      cancellations: the cancelled jobs.

    Args:
      parse_configuration: parses the text that another entry sent.
      directory: the addresses that this entry connects to.
      now: when it starts.
      budget: the time budget of all runs.
      remote_slowdown: factor on a task's run time away from its data.
      incarnation: unique id of this start of the process.
      max_job_bytes: maximum estimated memory of the jobs in progress.
    """

    def __init__(
        self,
        parse_configuration: Callable[[str], Result[Configuration, str]],
        directory: Directory,
        now: datetime,
        budget: Budget = DEFAULT_BUDGET,
        remote_slowdown: float = DEFAULT_REMOTE_SLOWDOWN,
        incarnation: str = "",
        max_job_bytes: int = DEFAULT_MAX_JOB_BYTES,
    ) -> None:
        self.budget = budget
        self._max_job_bytes = max_job_bytes
        self._job_bytes = 0
        self.remote_slowdown = remote_slowdown
        self.parse_configuration = parse_configuration
        self.started = now
        self.views: dict[str, SidecarView] = {}
        self.disconnected: set[str] = set()
        self.sidecar_counts: dict[str, int] = {}
        self.jobs: dict[str, JobProgress] = {}
        self.by_request: dict[str, str] = {}
        self.by_run: dict[PlacedRun, str] = {}
        self.withdrawn: dict[TaskId, set[PlacedRun]] = {}
        self.waiting: dict[str, QueuedTasks] = {}
        self.least_queued = NO_ROOM
        self.needs_placing_round = False
        self.table: RoutingTable | None = None
        self.configuration_text = ""
        self.cordons = NO_CORDONS
        self.arrival = Arrival(now, now, now)
        self.load_shedder = LoadShedder(budget.tick, now)
        self.refused_unread = 0
        self.refused_unread_logged_at = now
        self.last_tick = now
        self.running_since = now
        self.hears_sidecars = True
        self.isolated = False
        self.draining: datetime | None = None
        self.stopped = False
        self.peers: set[str] = set()
        self.entries: set[str] = set()
        self.caller_timeouts = CallerTimeouts(budget.bounds.resend, now)
        max_known = max_job_bytes // _CANCELLATIONS_PART // BYTES_PER_JOB
        self.cancellations = Cancellations(incarnation, now, max_known)
        self.directory = directory

    @property
    def job_bytes(self) -> int:
        """Estimated memory of the jobs in progress."""
        return self._job_bytes

    def has_memory_for(self, job: Job) -> bool:
        """Return whether a job may be added; a single one always may.

        A large job must leave room for others, so that it is refused before small ones.
        """
        needed = self._job_bytes + job_bytes(job) * _ROOM_BEHIND_JOB
        return not self.jobs or needed <= self._max_job_bytes

    def add_job(self, progress: JobProgress) -> None:
        """Add a job that has been accepted."""
        self.jobs[progress.id] = progress
        self._job_bytes += job_bytes(progress.job)

    def remove_job(self, progress: JobProgress) -> None:
        """Remove a job that has ended."""
        del self.jobs[progress.id]
        self._job_bytes -= job_bytes(progress.job)

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.table.configuration.version if self.table else 0
