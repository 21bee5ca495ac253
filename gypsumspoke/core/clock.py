"""The clock as an interface, so that tests and the bench can supply virtual time.

Reducers never read a clock: each event comes with ``now``. Only the shell holds a
``Clock``. Times are aware UTC datetimes because births and deadlines travel between
machines; durations are timedeltas.
"""

import time
from datetime import datetime, timedelta, timezone
from typing import Protocol


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> datetime:
        """Return the current time as an aware UTC datetime."""


class SystemClock:
    """The machine's wall clock."""

    def now(self) -> datetime:
        """Return the machine's wall-clock time in UTC."""
        return datetime.now(timezone.utc)


class SteadyClock:
    """A clock that never jumps, and counts the time that the machine was suspended.

    Leases and silences are measured with it. With the wall clock, a step of the time of
    day would end all leases at once or keep them for good; with the usual monotonic
    clock, a process that was suspended would take old orders for fresh ones.
    """

    def __init__(self) -> None:
        self._start = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._origin = datetime.now(timezone.utc)

    def now(self) -> datetime:
        """Return the time since the start, added to the wall clock's time then."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._start
        return self._origin + timedelta(seconds=elapsed)


class ManualClock:
    """A clock that moves only when told to.

    Args:
      start: the first time it shows, aware UTC.
    """

    def __init__(self, start: datetime) -> None:
        self._now = start

    def now(self) -> datetime:
        """Return the time last set."""
        return self._now

    def advance(self, step: timedelta) -> datetime:
        """Move forward by ``step`` and return the new time."""
        self._now += step
        return self._now
