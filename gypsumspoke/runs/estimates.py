"""Tells slow workers from wrong estimates.

A worker's pace is the ratio of run time to estimate. A slow worker is slow for all
tasks; where only tasks of some size take many times their estimate, it is their callers
who are wrong, and others must not be refused for it.
"""

import math
from datetime import datetime, timedelta
from typing import NamedTuple

# Ends of this age say nothing of the present.
MAX_AGE = timedelta(seconds=10)
# Workers that become slow do so by less than this factor; estimates may be off by any.
MAX_SLOWDOWN = 12.0
# Weight of the newest end in the smoothed pace of a size.
_WEIGHT = 0.1

_MILLISECOND = timedelta(milliseconds=1)


class _SizePace(NamedTuple):
    """The smoothed pace of tasks of a size, and when the latest of them ended."""

    pace: float
    ended: datetime


class EstimateCheck:
    """The paces of tasks on a worker, by the size of their estimates.

    Estimates of one size differ by less than a factor of two.
    """

    def __init__(self) -> None:
        self._by_size: dict[int, _SizePace] = {}

    def record(self, estimate: timedelta, pace: float, now: datetime) -> None:
        """Record the end of a run.

        Args:
          estimate: its estimate.
          pace: its run time over its estimate.
          now: the current time.
        """
        size = _size(estimate)
        known = self._by_size.get(size)
        if known is not None and now - known.ended <= MAX_AGE:
            pace = known.pace + _WEIGHT * (pace - known.pace)
        self._by_size[size] = _SizePace(pace, now)

    def is_wrong(self, estimate: timedelta, now: datetime) -> bool:
        """Return whether estimates of this size are too low, and others aren't."""
        own = self._by_size.get(_size(estimate))
        if own is None or own.pace <= MAX_SLOWDOWN:
            return False
        return own.pace > self._highest_pace(now)

    def bound_pace(self, pace: float, now: datetime) -> float:
        """Return a worker's smoothed pace without what wrong estimates did to it."""
        highest = self._highest_pace(now)
        if pace <= highest:
            return pace
        return max(each for each in self._recent(now) if each <= highest)

    def clear(self) -> None:
        """Forget everything."""
        self._by_size.clear()

    def _recent(self, now: datetime) -> list[float]:
        return [
            each.pace for each in self._by_size.values() if now - each.ended <= MAX_AGE
        ]

    def _highest_pace(self, now: datetime) -> float:
        """Return the highest pace that a slow worker may have."""
        lowest = min(self._recent(now), default=math.inf)
        return MAX_SLOWDOWN * max(lowest, 1.0)


def _size(estimate: timedelta) -> int:
    return (estimate // _MILLISECOND).bit_length()
