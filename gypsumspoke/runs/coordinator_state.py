"""What an entry knows of the jobs that it coordinates."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from returns.result import Result

from gypsumspoke.core.events import Arrival
from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.caller_timeouts import CallerTimeouts
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.load_shedding import LoadShedder
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.sidecar_views import SidecarView
from gypsumspoke.runs.values import (
    DEFAULT_REMOTE_SLOWDOWN,
    Configuration,
    Job,
    JobEnd,
    RefusalReason,
    Route,
    RunId,
    TaskId,
)


class JobArrived(NamedTuple):
    """Event: a caller sent a job and waits.

    Attributes:
      request: identity of this request at this entry.
      job: the job.
      route: the route it came by.
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
    """Event: a caller cancels a job by its id."""

    job_id: str


class ConfigurationChanged(NamedTuple):
    """Event: a configuration was read; older ones are ignored."""

    table: RoutingTable
    text: str


class FirstConfiguration(NamedTuple):
    """Effect: requests that wait for the first configuration may go on."""


class AnswerJob(NamedTuple):
    """Effect: hand the final answer to the caller.

    Attributes:
      request: as in JobArrived.
      end: what became of the job.
      reason: why it was refused or given up; None otherwise.
      retry_after: when coming back helps; None where it does not.
    """

    request: str
    end: JobEnd
    reason: RefusalReason | None = None
    retry_after: timedelta | None = None


class PlacedRun(NamedTuple):
    """A run where it was placed.

    Copies of a job number their runs anew, so the number alone does not tell the run of
    one from that of another, which a sidecar may still have.
    """

    sidecar: str
    run: RunId


class TaskProgress:
    """One task of a job.

    Attributes:
      id: the task.
      run: its latest run; None before the first.
      view: the sidecar of that run; None while it waits for a place.
      done: whether it is complete.
      failed: how many runs ended failed.
      number: number of its latest run.
      avoided: instances where it failed or was refused.
      has_started: whether an ended run of it had started.
    """

    def __init__(self, task: TaskId) -> None:
        self.id = task
        self.run: RunId | None = None
        self.view: SidecarView | None = None
        self.done = False
        self.failures = 0
        self.number = 0
        self.avoided_hosts: set[str] = set()
        self.has_started = False


class JobProgress:
    """One job whose callers wait.

    Attributes:
      job, route: what was sent, and by which route.
      requests: the requests that wait for the answer; more than one where copies came.
      arrived: when the first copy came.
      waited: how long its caller had waited elsewhere then.
      aim: when the job is late.
      deadline: when the last caller stops waiting.
      tasks: all tasks, by step.
      left: for each step, how many of its tasks are not done.
      opened: for each step, whether its tasks may run.
      placed: how many runs were placed.
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

    @property
    def id(self) -> str:
        """The job's id."""
        return self.job.id


def time_allowed(job: Job, route: Route) -> timedelta:
    """Return how long a job may take by the terms of its route."""
    return longest_chain(job) * route.stretch + route.target_latency


def longest_chain(job: Job) -> timedelta:
    """Return the estimated time of the steps that must run one after another."""
    ends: list[timedelta] = []
    for step in job.steps:
        before = max((ends[number] for number in step.after), default=timedelta())
        ends.append(before + step.estimate)
    return max(ends)


class CoordinatorState:
    """State of the coordinator; changed only by ``coordinator.reduce``.

    Attributes:
      views: sidecars by incarnation.
      lost: those of them that are not connected.
      jobs: jobs by id.
      by_request: the job id of each waiting request.
      by_run: the job id of each open run that was not withdrawn.
      ending: withdrawn runs that may still be at work, by task.
      waiting: tasks without a place, by job id.
      has_new_room: whether tasks may find a place that found none when last tried.
      table: the configuration in force; None before the first.
      text: its text as the operators wrote it.
      arrival: when the event that is handled now had arrived.
      load: how far this entry is behind.
      refused_behind: jobs refused for that since the latest log line of them.
      refused_behind_told: when that line was written.
      ticked: when the latest tick came.
      awake_since: when this process started, or went on after its latest pause.
      isolated: whether no sidecar at all is heard.
      draining: when the graceful stop began.
      left: the stop is complete.
      entries: connected entries.
      patience: how long callers wait as a rule.

    Args:
      parse_configuration: reads a text that another entry sent.
      directory: whom this entry connects to.
      now: when it starts.
      budget: the time budget of all runs.
      remote_slowdown: factor on a task's run time away from its data.
    """

    def __init__(
        self,
        parse_configuration: Callable[[str], Result[Configuration, str]],
        directory: Directory,
        now: datetime,
        budget: Budget = DEFAULT_BUDGET,
        remote_slowdown: float = DEFAULT_REMOTE_SLOWDOWN,
    ) -> None:
        self.budget = budget
        self.remote_slowdown = remote_slowdown
        self.parse_configuration = parse_configuration
        self.started = now
        self.views: dict[str, SidecarView] = {}
        self.disconnected: set[str] = set()
        self.jobs: dict[str, JobProgress] = {}
        self.by_request: dict[str, str] = {}
        self.by_run: dict[PlacedRun, str] = {}
        self.withdrawn: dict[TaskId, set[PlacedRun]] = {}
        self.waiting: dict[str, list[TaskProgress]] = {}
        self.needs_placing_round = False
        self.table: RoutingTable | None = None
        self.text = ""
        self.arrival = Arrival(now, now, now)
        self.load_shedder = LoadShedder(budget.tick, now)
        self.refused_unread = 0
        self.refused_unread_logged_at = now
        self.last_tick = now
        self.running_since = now
        self.isolated = False
        self.draining: datetime | None = None
        self.stopped = False
        self.entries: set[str] = set()
        self.caller_timeouts = CallerTimeouts(budget.bounds.resend, now)
        self.directory = directory

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.table.configuration.version if self.table else 0
