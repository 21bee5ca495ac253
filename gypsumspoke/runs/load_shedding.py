"""What share of new jobs an entry that is behind still takes.

Load that it answers: for seconds, more jobs come to an entry than its own processor
carries, while the workers have room. An entry that takes all of them gets later with
each: orders reach sidecars too old to be taken, work is done again, and the more jobs
come, the fewer it answers. Refused at the door, a job costs little, and the others are
answered as fast as before.

The processor is withheld for moments also where it suffices. So the lag that counts is
the standing one: the smallest within some ticks, which is near zero in an entry that
catches up between two bursts.
"""

from datetime import datetime, timedelta

# The standing lag is the smallest of one to two such spans.
WINDOW_TICKS = 2.0
# From this standing lag on new jobs are refused, the more the larger it is. At one tick
# all are: a report may be a tick and a half old, and an order that is decided on it a
# tick later is still taken, within MAX_PLACEMENT_AGE_TICKS.
MIN_REFUSING_LAG_TICKS = 0.25
FULL_REFUSING_LAG_TICKS = 1.0


class LoadShedder:
    """How far an entry is behind.

    Args:
      tick: the tick of the time budget.
      now: when it begins.
    """

    def __init__(self, tick: timedelta, now: datetime) -> None:
        self._window = tick * WINDOW_TICKS
        self._min_refusing_lag = tick * MIN_REFUSING_LAG_TICKS
        self._full_refusing_lag = tick * FULL_REFUSING_LAG_TICKS
        self._window_start = now
        self._min_lag: timedelta | None = None
        self._previous_min_lag = timedelta()
        self._credit = 0.0

    @property
    def standing_lag(self) -> timedelta:
        """The lag that does not go away between two bursts."""
        if self._min_lag is None:
            return self._previous_min_lag
        return min(self._min_lag, self._previous_min_lag)

    def record_lag(self, lag: timedelta, now: datetime) -> None:
        """Take the lag of an event that is handled now."""
        if now - self._window_start >= self._window:
            if self._min_lag is not None:
                self._previous_min_lag = self._min_lag
            self._min_lag = None
            self._window_start = now
        if self._min_lag is None or lag < self._min_lag:
            self._min_lag = lag

    @property
    def refused_share(self) -> float:
        """Share of the new jobs that is refused now."""
        return min(
            max(
                (self.standing_lag - self._min_refusing_lag)
                / (self._full_refusing_lag - self._min_refusing_lag),
                0,
            ),
            1,
        )

    def should_refuse(self) -> bool:
        """Return whether the next new job is refused, so that the share is."""
        share = self.refused_share
        self._credit = self._credit + share if share else 0.0
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
