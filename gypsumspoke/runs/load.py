"""Load shedding: which share of new jobs an overloaded entry refuses.

An entry that accepts more jobs than its own processor can handle falls behind: its
placements reach sidecars too late and are refused, and tasks run again. Refusing jobs
early is cheap and keeps the other jobs fast.

The share depends on the standing lag, the smallest lag of events within some ticks. It
is near zero in an entry that catches up between bursts.
"""

from datetime import datetime, timedelta

# The standing lag is the minimum over the current and the previous window.
WINDOW_TICKS = 2.0
# The refused share grows from none to all jobs between these standing lags. At the
# upper one, sidecars still accept placements that are based on their latest reports:
# a report may be a tick and a half old, and the placement is decided a tick later.
MIN_REFUSING_LAG_TICKS = 0.25
FULL_REFUSING_LAG_TICKS = 1.0
# Up to this standing lag the entry also does work that can wait, so that this alone
# never makes it refuse jobs.
MAX_BULK_LAG_TICKS = MIN_REFUSING_LAG_TICKS / 2


class LoadShedder:
    """Decides which new jobs to refuse from the lag of handled events.

    Args:
      tick: the tick of the time budget.
      now: start of the first window.
    """

    def __init__(self, tick: timedelta, now: datetime) -> None:
        self._window = tick * WINDOW_TICKS
        self._min_refusing_lag = tick * MIN_REFUSING_LAG_TICKS
        self._full_refusing_lag = tick * FULL_REFUSING_LAG_TICKS
        self._max_bulk_lag = tick * MAX_BULK_LAG_TICKS
        self._window_start = now
        self._min_lag: timedelta | None = None
        self._previous_min_lag = timedelta()
        self._credit = 0.0

    @property
    def standing_lag(self) -> timedelta:
        """The smallest lag of the current and the previous window."""
        if self._min_lag is None:
            return self._previous_min_lag
        return min(self._min_lag, self._previous_min_lag)

    def record_lag(self, lag: timedelta, now: datetime) -> None:
        """Record the lag of an event that is being handled."""
        if now - self._window_start >= self._window:
            if self._min_lag is not None:
                self._previous_min_lag = self._min_lag
            self._min_lag = None
            self._window_start = now
        if self._min_lag is None or lag < self._min_lag:
            self._min_lag = lag

    @property
    def allows_bulk(self) -> bool:
        """Whether there is time for work that can wait."""
        return self.standing_lag <= self._max_bulk_lag

    @property
    def refused_share(self) -> float:
        """Share of new jobs to refuse, from 0 to 1."""
        return min(
            max(
                (self.standing_lag - self._min_refusing_lag)
                / (self._full_refusing_lag - self._min_refusing_lag),
                0,
            ),
            1,
        )

    def should_refuse(self) -> bool:
        """Return whether to refuse the next new job.

        Spreads the refusals evenly, so that they make up ``refused_share``.
        """
        share = self.refused_share
        self._credit = self._credit + share if share else 0.0
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
