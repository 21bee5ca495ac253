"""Detection of resubmitted jobs by the remaining timeout of their callers.

When an entry is lost, its callers send their jobs again through other entries. These
jobs may be late already, and shouldn't delay new jobs that can still be in time.

A request says how long its caller still waits, and that shrinks with each try. So an
entry learns for each route how long callers wait at least as a rule; one that waits
less has been waiting for a pause between two tries already. The learned values are kept
in the platform's store, so that they are available after a restart of all processes.
"""

from collections import deque
from datetime import datetime, timedelta
from typing import NamedTuple

# Latest requests of a route that are evaluated, and requests between two evaluations.
MAX_SAMPLES = 200
SAMPLES_PER_UPDATE = 40
# The usual minimum is this quantile of the samples: a higher one takes first requests
# for resubmissions, a lower one depends on single callers.
USUAL_QUANTILE = 0.02
# Stored values are used for this long after a start, while many of the requests are
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
      pause: the shortest pause between two tries of a caller.
      now: when the process starts.
    """

    def __init__(self, pause: timedelta, now: datetime) -> None:
        self._pause = pause
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
        short_of = usual - timeout
        return max(short_of, self._pause) if short_of > timedelta() else timedelta()

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
        kept = self._written.get(route, self._stored.get(route))
        return (
            kept is None
            or abs(self._usual[route] - kept)
            > max(kept, self._pause) * MIN_RELATIVE_CHANGE
        )
