"""The room that a sidecar reserves on its worker for urgent work that is queued.

Load addressed: bursts in which workers are full. Each entry orders only its own queue,
so without a reservation an entry with only long jobs would take the room for which
urgent jobs of another entry are waiting.

The reservation is advice in reports. The sidecar refuses nothing because of it, since
entries of earlier versions don't know it.
"""

import logging
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from returns.pipeline import is_successful

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs.messages import WaitingWork
from gypsumspoke.runs.urgent_work import Work, add_up, room_of, validate
from gypsumspoke.runs.values import StatementFault

# Share of a worker's processors that is never reserved, so that less urgent work of
# other entries can't be kept away for good.
UNRESERVED_SHARE = 0.25
# One log line covers all dropped statements of an interval, and reservations that end
# for a shorter time count as one: they come and go with each burst.
LOG_INTERVAL = timedelta(seconds=1)

_MILLISECOND = timedelta(milliseconds=1)


class RunRoom(NamedTuple):
    """Priority and processors of a run on the worker."""

    priority: int
    cpu: int


class _Statement(NamedTuple):
    """What an entry has stated, and when that arrived."""

    at: datetime
    work: Work


def reserve(waiting: Work, runs: Iterable[RunRoom], capacity: int) -> Work:
    """Return the room reserved for each priority, the most urgent first.

    Args:
      waiting: queued work of all entries, by priority.
      runs: the runs that are on the worker or wait there.
      capacity: processors of the worker, in thousandths of a core.
    """
    if not waiting:
        return ()
    runs = tuple(runs)
    limit = int(capacity * (1 - UNRESERVED_SHARE))
    reserved: list[WaitingWork] = []
    for priority, cpu in sorted(waiting):
        in_use = sum(run.cpu for run in runs if run.priority <= priority)
        left = limit - in_use - room_of(tuple(reserved))
        if min(cpu, left) > 0:
            reserved.append(WaitingWork(priority, min(cpu, left)))
    return tuple(reserved)


class StatedWork:
    """The latest statements of the connected entries.

    Args:
      max_age: time after which a statement expires.
    """

    def __init__(self, max_age: timedelta) -> None:
        self._max_age = max_age
        self._statements: dict[str, _Statement] = {}
        self._dropped = 0
        self._dropped_logged_at: datetime | None = None
        self._reserving_since: datetime | None = None
        self._reserved_at: datetime | None = None
        self._most_reserved = 0
        self.reserved_cpu = 0

    def record(
        self, entry: str, work: Work, capacity: int | None, now: datetime
    ) -> list[Effect]:
        """Keep an entry's statement, or drop it and any earlier one if it is invalid.

        Args:
          entry: the entry.
          work: its statement; empty if nothing is queued or it states nothing.
          capacity: processors of the worker; None if unknown.
          now: the current time.
        """
        self._statements.pop(entry, None)
        if not work:
            return []
        result = validate(work, capacity)
        if is_successful(result):
            self._statements[entry] = _Statement(now, result.unwrap())
            return []
        return self._record_dropped(entry, result.failure(), now)

    def forget(self, entry: str) -> None:
        """Drop the statement of an entry whose connection is lost."""
        self._statements.pop(entry, None)

    def sums(self, now: datetime) -> Work:
        """Return the stated work of all entries by priority."""
        if not self._statements:
            return ()
        expired = [
            entry
            for entry, statement in self._statements.items()
            if now - statement.at >= self._max_age
        ]
        for entry in expired:
            del self._statements[entry]
        return add_up(statement.work for statement in self._statements.values())

    def log_reserved(self, reserved: Work, now: datetime) -> list[Effect]:
        """Log when a reservation begins and when it has ended. Called at each tick."""
        self.reserved_cpu = room_of(reserved)
        if reserved:
            self._reserved_at = now
            self._most_reserved = max(self._most_reserved, self.reserved_cpu)
            if self._reserving_since is not None:
                return []
            self._reserving_since = now
            fields = (
                ("reserved_cpu", self.reserved_cpu),
                ("priority", reserved[0].priority),
                ("entries", len(self._statements)),
            )
            return [Log(logging.INFO, "room reserved", fields=fields)]
        if self._reserving_since is None or now - self._reserved_at < LOG_INTERVAL:
            return []
        lasted = (self._reserved_at - self._reserving_since) // _MILLISECOND
        fields = (("most_cpu", self._most_reserved), ("lasted_ms", lasted))
        self._reserving_since = None
        self._most_reserved = 0
        return [Log(logging.INFO, "reservation ended", fields=fields)]

    def _record_dropped(
        self, entry: str, fault: StatementFault, now: datetime
    ) -> list[Effect]:
        self._dropped += 1
        effects: list[Effect] = [Count(fault)]
        logged_at = self._dropped_logged_at
        if logged_at is None or now - logged_at >= LOG_INTERVAL:
            fields = (
                ("entry", entry),
                ("reason", fault.value),
                ("dropped", self._dropped),
            )
            effects.append(Log(logging.WARNING, "statement dropped", fields=fields))
            self._dropped_logged_at = now
            self._dropped = 0
        return effects
