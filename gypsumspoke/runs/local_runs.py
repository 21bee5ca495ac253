"""The runs on a sidecar, found by what its decisions ask for."""

from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING

from gypsumspoke.runs.values import NO_ROOM, Room, RunId, TaskId, add, subtract

if TYPE_CHECKING:
    from gypsumspoke.runs.supervisor_state import LocalRun


class LocalRuns:
    """The runs placed on a sidecar that have not ended, in the order of placement.

    Small runs may be there by the hundred, and a sidecar that went through all of them
    at each placement and each end would fall behind.
    """

    def __init__(self) -> None:
        self._runs: dict[RunId, LocalRun] = {}
        self._by_task: dict[TaskId, dict[RunId, LocalRun]] = {}
        self._waiting: dict[RunId, LocalRun] = {}
        self._waiting_room = NO_ROOM
        # Those that are neither waiting nor being stopped, by coordinator.
        self._working: dict[str, dict[RunId, LocalRun]] = {}
        self._stopping: dict[RunId, LocalRun] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, run: RunId) -> bool:
        return run in self._runs

    @property
    def waiting(self) -> "Collection[LocalRun]":
        """The runs that wait."""
        return self._waiting.values()

    @property
    def waiting_room(self) -> Room:
        """The room that they need."""
        return self._waiting_room

    def get(self, run: RunId) -> "LocalRun | None":
        """Return a run, or None if it isn't here."""
        return self._runs.get(run)

    def values(self) -> "Collection[LocalRun]":
        """Return all runs."""
        return self._runs.values()

    def of_task(self, task: TaskId) -> "list[LocalRun]":
        """Return the runs of a task."""
        return list(self._by_task.get(task, {}).values())

    def at_work(self) -> "Iterator[LocalRun]":
        """Return a run of each coordinator, and all that are being stopped.

        All runs of a coordinator that are not being stopped depend on it alike.
        """
        for runs in self._working.values():
            yield next(iter(runs.values()))
        yield from self._stopping.values()

    def add(self, local: "LocalRun") -> None:
        """Add a run that waits."""
        self._runs[local.run] = local
        self._by_task.setdefault(local.run.task, {})[local.run] = local
        self._waiting[local.run] = local
        self._waiting_room = add(self._waiting_room, local.room)

    def record_start(self, local: "LocalRun") -> None:
        """Record that a waiting run is started."""
        self._remove_waiting(local)
        self._working.setdefault(local.coordinator, {})[local.run] = local

    def record_stop(self, local: "LocalRun") -> None:
        """Record that a started run is being stopped."""
        self._remove_working(local)
        self._stopping[local.run] = local

    def remove(self, local: "LocalRun") -> None:
        """Remove a run that has ended."""
        del self._runs[local.run]
        of_task = self._by_task[local.run.task]
        del of_task[local.run]
        if not of_task:
            del self._by_task[local.run.task]
        self._remove_waiting(local)
        self._remove_working(local)
        self._stopping.pop(local.run, None)

    def _remove_waiting(self, local: "LocalRun") -> None:
        if self._waiting.pop(local.run, None) is not None:
            self._waiting_room = subtract(self._waiting_room, local.room)

    def _remove_working(self, local: "LocalRun") -> None:
        working = self._working.get(local.coordinator, {})
        working.pop(local.run, None)
        if not working:
            self._working.pop(local.coordinator, None)
