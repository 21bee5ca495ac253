"""What an entry knows of the jobs that it coordinates."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from returns.result import Result

from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.fleet import SidecarView
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.values import (
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
        self.failed = 0
        self.number = 0
        self.avoided: set[str] = set()
        self.has_started = False


class JobProgress:
    """One job whose caller waits.

    Attributes:
      request: identity of the request.
      job, route: what was sent, and by which route.
      arrived, deadline: times of the caller.
      tasks: all tasks, by step.
      left: for each step, how many of its tasks are not done.
    """

    def __init__(self, event: JobArrived, now: datetime) -> None:
        self.request = event.request
        self.job = event.job
        self.route = event.route
        self.arrived = now
        self.deadline = event.deadline
        self.tasks = [
            [TaskProgress(TaskId(event.job.id, number, i)) for i in range(step.count)]
            for number, step in enumerate(event.job.steps)
        ]
        self.left = [step.count for step in event.job.steps]
        self.opened = [False] * len(event.job.steps)


class CoordinatorState:
    """State of the coordinator; changed only by ``coordinator.reduce``.

    Attributes:
      views: sidecars by incarnation.
      jobs: jobs by request.
      by_id: the latest request of a job id.
      by_run: the job of each open run.
      waiting: tasks without a place, by request.
      table: the configuration in force; None before the first.
      text: its text as the operators wrote it.
      draining: when the graceful stop began.
      left: the stop is complete.
      entries: connected entries.

    Args:
      parse_configuration: reads a text that another entry sent.
      directory: whom this entry connects to.
    """

    def __init__(
        self,
        parse_configuration: Callable[[str], Result[Configuration, str]],
        directory: Directory,
    ) -> None:
        self.parse_configuration = parse_configuration
        self.views: dict[str, SidecarView] = {}
        self.jobs: dict[str, JobProgress] = {}
        self.by_id: dict[str, str] = {}
        self.by_run: dict[RunId, str] = {}
        self.waiting: dict[str, list[TaskProgress]] = {}
        self.table: RoutingTable | None = None
        self.text = ""
        self.draining: datetime | None = None
        self.left = False
        self.entries: set[str] = set()
        self.directory = directory
