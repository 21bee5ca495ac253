"""The queued tasks of one job, with what placing and admission ask of all of them."""

from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from gypsumspoke.runs.values import NO_ROOM, Job, Room, Step, TaskId

if TYPE_CHECKING:
    from gypsumspoke.runs.coordinator_state import TaskProgress


class _Summary(NamedTuple):
    """Properties of the queued tasks of one job; see ``QueuedTasks``."""

    work: float
    least_room: Room
    longest_estimate: timedelta


class QueuedTasks:
    """The queued tasks of one job, in their order.

    A job may have a thousand tasks, and each arrival and each placing round looks at
    all queued jobs. Tasks of a step are alike, so that a look at the steps is enough,
    and only after a change.

    Args:
      job: the job.
    """

    def __init__(self, job: Job) -> None:
        self._job = job
        self._tasks: dict[TaskId, "TaskProgress"] = {}
        self._by_step: Counter[int] = Counter()
        self._summary: _Summary | None = None

    def __len__(self) -> int:
        return len(self._tasks)

    def __iter__(self) -> Iterator["TaskProgress"]:
        return iter(self._tasks.values())

    @property
    def steps(self) -> set[Step]:
        """The steps that they belong to."""
        return {self._job.steps[number] for number in self._by_step}

    @property
    def work(self) -> float:
        """Their estimated work, in thousandths of a core times seconds."""
        return self._summarize().work

    @property
    def least_room(self) -> Room:
        """No task needs less, in each dimension."""
        return self._summarize().least_room

    @property
    def longest_estimate(self) -> timedelta:
        """The longest estimate of a task."""
        return self._summarize().longest_estimate

    def append(self, task: "TaskProgress") -> None:
        """Add a task behind the others."""
        self._tasks[task.id] = task
        self._by_step[task.id.step] += 1
        self._summary = None

    def remove(self, tasks: Iterable["TaskProgress"]) -> None:
        """Remove tasks that are queued."""
        for task in tasks:
            del self._tasks[task.id]
            self._by_step[task.id.step] -= 1
            if not self._by_step[task.id.step]:
                del self._by_step[task.id.step]
        self._summary = None

    def _summarize(self) -> _Summary:
        if self._summary is None:
            steps = self._job.steps
            work = sum(
                count * steps[number].room.cpu * steps[number].estimate.total_seconds()
                for number, count in self._by_step.items()
            )
            rooms = [steps[number].room for number in self._by_step] or [NO_ROOM]
            estimates = [steps[number].estimate for number in self._by_step]
            self._summary = _Summary(
                work,
                Room(*map(min, zip(*rooms))),
                max(estimates, default=timedelta()),
            )
        return self._summary
