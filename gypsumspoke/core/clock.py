"""Clock interface, which lets tests and the bench supply virtual time.

Reducers never read a clock: each event comes with ``now``. Only the shell holds a
``Clock``. Times are aware UTC datetimes because machines exchange births and
deadlines; durations are timedeltas.
"""

import time
from datetime import datetime, timedelta, timezone
from typing import Protocol


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> datetime:
        """Return the current time as an aware UTC datetime."""


class SystemClock:
    """The wall clock of the machine."""

    def now(self) -> datetime:
        """Return the machine's wall-clock time in UTC."""
        return datetime.now(timezone.utc)


class SteadyClock:
    """A monotonic clock that includes the time during which the machine is suspended.

    Leases and timeouts use it. With the wall clock, a step of the time of day would end
    all leases at once or extend them indefinitely. With ``time.monotonic``, which stops
    during suspension, outdated commands would seem recent.
    """

    def __init__(self) -> None:
        self._start = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._origin = datetime.now(timezone.utc)

    def now(self) -> datetime:
        """Return the wall-clock time at creation plus the time elapsed since."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._start
        return self._origin + timedelta(seconds=elapsed)


class ManualClock:
    """A clock that only ``advance`` moves.

    Args:
      start: the initial time, aware UTC.
    """

    def __init__(self, start: datetime) -> None:
        self._now = start

    def now(self) -> datetime:
        """Return the current time of this clock."""
        return self._now

    def advance(self, step: timedelta) -> datetime:
        """Move forward by ``step`` and return the new time."""
        self._now += step
        return self._now
