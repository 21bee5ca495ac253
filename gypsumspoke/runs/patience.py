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
WINDOW = 200
ENOUGH = 40
# So few callers of a route wait less than what counts as usual; a higher share would
# take many first copies for later ones, a lower one is decided by single callers.
SHARE_BELOW = 0.02
# What others learned before is believed for as long as a process has seen little else
# than the callers that come back after a loss.
STORED_COUNTS_FOR = timedelta(seconds=30)
# A changed value is kept no more often than this, and only if it changed clearly.
KEEP_INTERVAL = timedelta(seconds=10)
CLEAR_CHANGE = 0.2


class KeepPatience(NamedTuple):
    """Effect: keep what is usual on each route, in place of what was kept before."""

    usual: tuple[tuple[str, timedelta], ...]


class PatienceRead(NamedTuple):
    """Event: what earlier processes and other entries kept, one mapping for each."""

    kept: tuple[dict[str, timedelta], ...]


class Patience:
    """What one entry knows of its callers' patience.

    Args:
      pause: the shortest pause between two tries of a caller.
      now: when the process starts.
    """

    def __init__(self, pause: timedelta, now: datetime) -> None:
        self._pause = pause
        self._started = now
        self._stored: dict[str, timedelta] = {}
        self._recent: dict[str, deque[timedelta]] = {}
        self._unused: dict[str, int] = {}
        self._usual: dict[str, timedelta] = {}
        self._kept: dict[str, timedelta] = {}
        self._kept_at = now

    def take_stored(self, event: PatienceRead) -> None:
        """Take what was kept; of several values for a route the middle one."""
        values: dict[str, list[timedelta]] = {}
        for usual in event.kept:
            for route, value in usual.items():
                values.setdefault(route, []).append(value)
        self._stored = {
            route: sorted(each)[len(each) // 2] for route, each in values.items()
        }

    def note(self, route: str, patience: timedelta) -> None:
        """Learn from one request."""
        recent = self._recent.setdefault(route, deque(maxlen=WINDOW))
        recent.append(patience)
        self._unused[route] = self._unused.get(route, 0) + 1
        if self._unused[route] >= ENOUGH:
            self._unused[route] = 0
            self._usual[route] = sorted(recent)[int(len(recent) * SHARE_BELOW)]

    def waited(self, route: str, patience: timedelta, now: datetime) -> timedelta:
        """Return how long a caller has waited elsewhere at least; zero as a rule."""
        usual = self._usual.get(route)
        if usual is None or now - self._started < STORED_COUNTS_FOR:
            usual = max(usual or timedelta(), self._stored.get(route, timedelta()))
        short_of = usual - patience
        return max(short_of, self._pause) if short_of > timedelta() else timedelta()

    def to_keep(self, now: datetime) -> KeepPatience | None:
        """Return what should be kept now, if it has changed clearly."""
        if now - self._kept_at < KEEP_INTERVAL:
            return None
        if not any(map(self._has_changed, self._usual)):
            return None
        self._kept_at = now
        self._kept = dict(self._usual)
        return KeepPatience(tuple(sorted(self._usual.items())))

    def _has_changed(self, route: str) -> bool:
        kept = self._kept.get(route, self._stored.get(route))
        return (
            kept is None
            or abs(self._usual[route] - kept) > max(kept, self._pause) * CLEAR_CHANGE
        )
