"""How long a caller has waited elsewhere before its job came here.

Load that it answers: entries are lost, and their callers send their jobs again to those
that are left or back, among the jobs of others. A job that comes again is late already
and looks like any other, so it took the room in which a new one would have been in
time, and both were late.

A request says how long its caller still waits, and that shrinks with each try. So an
entry learns for each route how long callers wait at least as a rule; one that waits
less has been waiting for a pause between two tries already. What was learned is kept in
the platform's store, since it is needed most when all processes have just been lost.
"""

from collections import deque
from datetime import datetime, timedelta
from typing import NamedTuple

# Requests of a route that are looked at, and how many tell anew what is usual.
MAX_SAMPLES = 200
SAMPLES_PER_UPDATE = 40
# So few callers of a route wait less than what counts as usual; a higher share would
# take many first copies for later ones, a lower one is decided by single callers.
USUAL_QUANTILE = 0.02
# What others learned before is believed for as long as a process has seen little else
# than the callers that come back after a loss.
STORED_VALID_FOR = timedelta(seconds=30)
# A changed value is kept no more often than this, and only if it changed clearly.
STORE_INTERVAL = timedelta(seconds=10)
MIN_RELATIVE_CHANGE = 0.2


class StoreCallerTimeouts(NamedTuple):
    """Effect: keep what is usual on each route, in place of what was kept before."""

    usual: tuple[tuple[str, timedelta], ...]


class CallerTimeoutsRead(NamedTuple):
    """Event: what earlier processes and other entries kept, one mapping for each."""

    stored: tuple[dict[str, timedelta], ...]


class CallerTimeouts:
    """What one entry knows of its callers' patience.

    Args:
      pause: the shortest pause between two tries of a caller.
      now: when the process starts.
    """

    def __init__(self, pause: timedelta, now: datetime) -> None:
        self._min_resend_delay = pause
        self._started = now
        self._stored: dict[str, timedelta] = {}
        self._recent: dict[str, deque[timedelta]] = {}
        self._samples_since_update: dict[str, int] = {}
        self._usual: dict[str, timedelta] = {}
        self._written: dict[str, timedelta] = {}
        self._written_at = now

    def update_stored(self, event: CallerTimeoutsRead) -> None:
        """Take what was kept; of several values for a route the middle one."""
        values: dict[str, list[timedelta]] = {}
        for usual in event.stored:
            for route, value in usual.items():
                values.setdefault(route, []).append(value)
        self._stored = {
            route: sorted(each)[len(each) // 2] for route, each in values.items()
        }

    def record(self, route: str, patience: timedelta) -> None:
        """Learn from one request."""
        recent = self._recent.setdefault(route, deque(maxlen=MAX_SAMPLES))
        recent.append(patience)
        self._samples_since_update[route] = self._samples_since_update.get(route, 0) + 1
        if self._samples_since_update[route] >= SAMPLES_PER_UPDATE:
            self._samples_since_update[route] = 0
            self._usual[route] = sorted(recent)[int(len(recent) * USUAL_QUANTILE)]

    def waited_elsewhere(
        self, route: str, patience: timedelta, now: datetime
    ) -> timedelta:
        """Return how long a caller has waited elsewhere at least; zero as a rule."""
        usual = self._usual.get(route)
        if usual is None or now - self._started < STORED_VALID_FOR:
            usual = max(usual or timedelta(), self._stored.get(route, timedelta()))
        short_of = usual - patience
        return (
            max(short_of, self._min_resend_delay)
            if short_of > timedelta()
            else timedelta()
        )

    def to_store(self, now: datetime) -> StoreCallerTimeouts | None:
        """Return what should be kept now, if it has changed clearly."""
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
            > max(kept, self._min_resend_delay) * MIN_RELATIVE_CHANGE
        )
