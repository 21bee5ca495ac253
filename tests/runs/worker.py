"""A worker as a value: what it runs, under which lease, and what went wrong.

It follows the platform's description of workers as far as best-effort jobs need it, on
a steady clock of its own that may be slow. It does not guard its capacity; whoever
tells it to start too much breaks a promise, which is recorded in ``violations``.
"""

from datetime import timedelta
from typing import NamedTuple

from gypsumspoke.runs.values import NO_ROOM, Room, RunEnd, RunId, TaskId, add, fits
from gypsumspoke.runs.worker_commands import (
    CommandResult,
    EndedRun,
    RenewCommand,
    RunningRun,
    StartCommand,
    StopCommand,
)

ZERO = timedelta()
LONGEST_HOLD = timedelta(seconds=1)
STOP_LASTS = timedelta(milliseconds=45)


class Running(NamedTuple):
    """One run at work: what it takes, how long, and since when."""

    run: RunId
    room: Room
    began: timedelta
    takes: timedelta


class FakeWorker:
    """One life of a worker.

    Args:
      capacity: what it has.
      rooms: what a task takes.
      takes: how long a task runs here.
      fails: whether a run of this task ends failed.
    """

    def __init__(self, capacity, rooms, takes, fails=lambda run: False) -> None:
        self.capacity = capacity
        self.rooms = rooms
        self.takes = takes
        self.fails = fails
        self.running: dict[RunId, Running] = {}
        # Runs that are being stopped: at work, and in neither list.
        self.stopping: dict[RunId, tuple[Running, timedelta]] = {}
        self.ended: list[EndedRun] = []
        self.lease_end = ZERO
        self.token = 0
        self.highest: dict[TaskId, int] = {}
        self.count = 0
        self.stuck = False
        self.violations: list[str] = []
        self.starts: list[RunId] = []

    def advance(self, clock: timedelta) -> None:
        """End what is complete, and everything when the lease has ended."""
        for run, (_, until) in list(self.stopping.items()):
            if until <= clock:
                del self.stopping[run]
                self._list_end(run, RunEnd.STOPPED)
        for at_work in list(self.running.values()):
            ends = at_work.began + at_work.takes
            if not self.stuck and ends <= min(clock, self.lease_end):
                failed = self.fails(at_work.run)
                self._end(at_work.run, RunEnd.FAILED if failed else RunEnd.DONE)
        if clock > self.lease_end:
            for run in list(self.running):
                self._end(run, RunEnd.LOST, lapsed=True)

    def start(self, order: StartCommand, clock: timedelta) -> CommandResult:
        """Carry out a start."""
        self.advance(clock)
        if order.token < self.token:
            return CommandResult.FENCED
        self.token = order.token
        if order.run in self.running:
            return CommandResult.ACCEPTED
        if order.lease_end <= clock:
            return CommandResult.LATE
        self._extend(order.lease_end, clock)
        if order.run.number <= self.highest.get(order.run.task, 0):
            return CommandResult.NUMBER_TOO_LOW
        self._begin(order.run, clock)
        return CommandResult.ACCEPTED

    def stop(self, order: StopCommand, clock: timedelta) -> CommandResult:
        """Carry out a stop, also of a run that is not there yet."""
        self.advance(clock)
        if order.token < self.token:
            return CommandResult.FENCED
        self.token = order.token
        known = self.highest.get(order.run.task, 0)
        self.highest[order.run.task] = max(known, order.run.number)
        if order.run in self.running:
            at_work = self.running.pop(order.run)
            self.stopping[order.run] = (at_work, clock + STOP_LASTS)
        return CommandResult.ACCEPTED

    def hold(self, order: RenewCommand, clock: timedelta) -> CommandResult:
        """Extend the lease."""
        self.advance(clock)
        if order.token < self.token:
            return CommandResult.FENCED
        self.token = order.token
        if order.lease_end is not None:
            self._extend(order.lease_end, clock)
        self.ended = [end for end in self.ended if end.number > order.last_seen]
        return CommandResult.ACCEPTED

    def listed(self, clock: timedelta) -> tuple[RunningRun, ...]:
        """Return what runs, with its progress."""
        return tuple(
            RunningRun(each.run, self._percent(each, clock))
            for each in self.running.values()
        )

    def _percent(self, each: Running, clock: timedelta) -> int:
        if self.stuck:
            return 0
        return min(99, int((clock - each.began) / each.takes * 100))

    def _extend(self, lease_end: timedelta, clock: timedelta) -> None:
        self.lease_end = max(self.lease_end, min(lease_end, clock + LONGEST_HOLD))

    def _begin(self, run: RunId, clock: timedelta) -> None:
        self.starts.append(run)
        room = self.rooms(run.task)
        held = NO_ROOM
        stopping = [each for each, _ in self.stopping.values()]
        for each in [*self.running.values(), *stopping]:
            held = add(held, each.room)
            if each.run.task == run.task:
                self.violations.append(f"two runs of {run.task} on one worker")
        if not fits(add(held, room), self.capacity):
            self.violations.append(f"{run} started over the capacity")
        self.running[run] = Running(run, room, clock, self.takes(run.task))

    def _end(self, run: RunId, end: RunEnd, lapsed: bool = False) -> None:
        del self.running[run]
        self._list_end(run, end, lapsed)

    def _list_end(self, run: RunId, end: RunEnd, lapsed: bool = False) -> None:
        self.count += 1
        known = self.highest.get(run.task, 0)
        self.highest[run.task] = max(known, run.number)
        self.ended.append(EndedRun(self.count, run, end, lapsed))
