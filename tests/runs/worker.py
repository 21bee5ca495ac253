"""A simulated worker: its runs, its lease and the invariants that were violated.

It implements the platform's worker as far as best-effort jobs need it, on a steady
clock of its own that may be slow. It does not enforce its capacity; starts beyond it
are recorded in ``violations``.
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
MAX_LEASE = timedelta(seconds=1)
STOP_DURATION = timedelta(milliseconds=45)


class Running(NamedTuple):
    """One running run: its room, its run time and when it began."""

    run: RunId
    room: Room
    began: timedelta
    run_time: timedelta


class FakeWorker:
    """One incarnation of a worker.

    Args:
      capacity: what it has.
      rooms: the room that a task needs.
      run_time: how long a task runs here.
      fails: whether a run of this task ends failed.
    """

    def __init__(self, capacity, rooms, run_time, fails=lambda run: False) -> None:
        self.capacity = capacity
        self.rooms = rooms
        self.run_time = run_time
        self.fails = fails
        self.running: dict[RunId, Running] = {}
        # Runs that are being stopped: still running, but in neither list.
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
        """End completed runs, and all runs when the lease has expired."""
        for run, (_, until) in list(self.stopping.items()):
            if until <= clock:
                del self.stopping[run]
                self._list_end(run, RunEnd.STOPPED)
        for running in list(self.running.values()):
            ends = running.began + running.run_time
            if not self.stuck and ends <= min(clock, self.lease_end):
                failed = self.fails(running.run)
                self._end(running.run, RunEnd.FAILED if failed else RunEnd.DONE)
        if clock > self.lease_end:
            for run in list(self.running):
                self._end(run, RunEnd.LOST, lapsed=True)

    def start(self, command: StartCommand, clock: timedelta) -> CommandResult:
        """Carry out a start."""
        self.advance(clock)
        if command.token < self.token:
            return CommandResult.FENCED
        self.token = command.token
        if command.run in self.running:
            return CommandResult.ACCEPTED
        if command.lease_end <= clock:
            return CommandResult.LATE
        self._extend(command.lease_end, clock)
        if command.run.number <= self.highest.get(command.run.task, 0):
            return CommandResult.NUMBER_TOO_LOW
        self._begin(command.run, clock)
        return CommandResult.ACCEPTED

    def stop(self, command: StopCommand, clock: timedelta) -> CommandResult:
        """Carry out a stop; a run that has not started is refused from then on."""
        self.advance(clock)
        if command.token < self.token:
            return CommandResult.FENCED
        self.token = command.token
        known = self.highest.get(command.run.task, 0)
        self.highest[command.run.task] = max(known, command.run.number)
        if command.run in self.running:
            running = self.running.pop(command.run)
            self.stopping[command.run] = (running, clock + STOP_DURATION)
        return CommandResult.ACCEPTED

    def renew(self, command: RenewCommand, clock: timedelta) -> CommandResult:
        """Extend the lease and drop the ends that were processed."""
        self.advance(clock)
        if command.token < self.token:
            return CommandResult.FENCED
        self.token = command.token
        if command.lease_end is not None:
            self._extend(command.lease_end, clock)
        self.ended = [end for end in self.ended if end.number > command.last_seen]
        return CommandResult.ACCEPTED

    def listed(self, clock: timedelta) -> tuple[RunningRun, ...]:
        """Return the running runs with their progress."""
        return tuple(
            RunningRun(each.run, self._percent(each, clock))
            for each in self.running.values()
        )

    def _percent(self, each: Running, clock: timedelta) -> int:
        if self.stuck:
            return 0
        return min(99, int((clock - each.began) / each.run_time * 100))

    def _extend(self, lease_end: timedelta, clock: timedelta) -> None:
        self.lease_end = max(self.lease_end, min(lease_end, clock + MAX_LEASE))

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
        self.running[run] = Running(run, room, clock, self.run_time(run.task))

    def _end(self, run: RunId, end: RunEnd, lapsed: bool = False) -> None:
        del self.running[run]
        self._list_end(run, end, lapsed)

    def _list_end(self, run: RunId, end: RunEnd, lapsed: bool = False) -> None:
        self.count += 1
        known = self.highest.get(run.task, 0)
        self.highest[run.task] = max(known, run.number)
        self.ended.append(EndedRun(self.count, run, end, lapsed))
