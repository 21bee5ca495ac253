"""Detection of resubmitted jobs by the remaining timeout of their callers.

When an entry is lost, its callers resubmit their jobs through other entries. These jobs
may be late already and must not delay new jobs that can still meet their deadline.

Each request carries the remaining timeout of its caller, which shrinks with every
attempt. An entry therefore estimates the usual minimum for each route; a caller with a
shorter timeout has tried elsewhere and has waited for at least one retry delay. The
estimates are kept in the platform's store, so that they survive a restart of all
processes.
"""

from collections import deque
from datetime import datetime, timedelta
from typing import NamedTuple

# Latest requests that an estimate uses, and requests between two estimates.
MAX_SAMPLES = 200
SAMPLES_PER_UPDATE = 40
# The usual minimum is this quantile of the samples, so that no single caller sets it. A
# higher one would take many first requests for resubmissions.
USUAL_QUANTILE = 0.02
# Stored values are used for this long after a start, when many requests are
# resubmissions.
STORED_VALID_FOR = timedelta(seconds=30)
# Values are stored at most this often, and only after such a relative change.
STORE_INTERVAL = timedelta(seconds=10)
MIN_RELATIVE_CHANGE = 0.2


class StoreCallerTimeouts(NamedTuple):
    """Effect: replace the stored usual timeouts of this entry, by route."""

    usual: tuple[tuple[str, timedelta], ...]


class CallerTimeoutsRead(NamedTuple):
    """Event: the stored usual timeouts were read, one mapping for each entry."""

    stored: tuple[dict[str, timedelta], ...]


class CallerTimeouts:
    """The usual timeouts of callers at one entry, by route.

    Args:
      retry_delay: the shortest delay between two attempts of a caller.
      now: when the process starts.
    """

    def __init__(self, retry_delay: timedelta, now: datetime) -> None:
        self._retry_delay = retry_delay
        self._started = now
        self._stored: dict[str, timedelta] = {}
        self._recent: dict[str, deque[timedelta]] = {}
        self._samples_since_update: dict[str, int] = {}
        self._usual: dict[str, timedelta] = {}
        self._written: dict[str, timedelta] = {}
        self._written_at = now

    def update_stored(self, event: CallerTimeoutsRead) -> None:
        """Use stored values: for each route, the median over the entries."""
        values: dict[str, list[timedelta]] = {}
        for usual in event.stored:
            for route, value in usual.items():
                values.setdefault(route, []).append(value)
        self._stored = {
            route: sorted(each)[len(each) // 2] for route, each in values.items()
        }

    def record(self, route: str, timeout: timedelta) -> None:
        """Record the remaining timeout of one request."""
        recent = self._recent.setdefault(route, deque(maxlen=MAX_SAMPLES))
        recent.append(timeout)
        self._samples_since_update[route] = self._samples_since_update.get(route, 0) + 1
        if self._samples_since_update[route] >= SAMPLES_PER_UPDATE:
            self._samples_since_update[route] = 0
            self._usual[route] = sorted(recent)[int(len(recent) * USUAL_QUANTILE)]

    def waited_elsewhere(
        self, route: str, timeout: timedelta, now: datetime
    ) -> timedelta:
        """Return how long a caller has waited elsewhere; zero for a first request."""
        usual = self._usual.get(route)
        if usual is None or now - self._started < STORED_VALID_FOR:
            usual = max(usual or timedelta(), self._stored.get(route, timedelta()))
        shortfall = usual - timeout
        return (
            max(shortfall, self._retry_delay)
            if shortfall > timedelta()
            else timedelta()
        )

    def to_store(self, now: datetime) -> StoreCallerTimeouts | None:
        """Return the values to store now, or None if they have hardly changed."""
        if now - self._written_at < STORE_INTERVAL:
            return None
        if not any(map(self._has_changed, self._usual)):
            return None
        self._written_at = now
        self._written = dict(self._usual)
        return StoreCallerTimeouts(tuple(sorted(self._usual.items())))

    def _has_changed(self, route: str) -> bool:
        stored = self._written.get(route, self._stored.get(route))
        return (
            stored is None
            or abs(self._usual[route] - stored)
            > max(stored, self._retry_delay) * MIN_RELATIVE_CHANGE
        )
