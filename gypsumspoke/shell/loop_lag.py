"""Reports the lag of the event loop: a histogram and rate-limited log lines."""

import logging
import time
from collections.abc import Callable
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Log, Observe
from gypsumspoke.core.events import Arrival

METRIC = "loop_lag_seconds"
# Labels of the metric: time until an event is read, and from then until it is handled.
UNREAD, UNHANDLED = "unread", "unhandled"
# The loop is behind from this lag on. CPU throttling alone may delay it by one tick.
MAX_LAG_TICKS = 2.0
# It has caught up after LINE_INTERVAL with a lag below this share of the maximum.
CAUGHT_UP_RATIO = 0.5
LINE_INTERVAL = timedelta(seconds=1)

_MILLISECOND = timedelta(milliseconds=1)
_ZERO = timedelta()


class LoopLag:
    """Records the lag of each event and reports the maximum at each tick.

    Args:
      tick: interval between ticks of the loop.
      now: the current time.
      processor_seconds: returns the processor time used by this process.
    """

    def __init__(
        self,
        tick: timedelta,
        now: datetime,
        processor_seconds: Callable[[], float] = time.process_time,
    ) -> None:
        self._max_lag = tick * MAX_LAG_TICKS
        self._processor_seconds = processor_seconds
        self._unread = _ZERO
        self._unhandled = _ZERO
        self._behind_since: datetime | None = None
        self._last_lagging = now
        self._worst = _ZERO
        self._worst_unread = _ZERO
        self._interval_start = now
        self._interval_processor = processor_seconds()

    def record(self, arrival: Arrival, now: datetime) -> None:
        """Record the lag of an event that is handled at ``now``."""
        self._unread = max(self._unread, arrival.read - arrival.earliest)
        self._unhandled = max(self._unhandled, now - arrival.read)

    def report(self, now: datetime, queued: int) -> list[Observe | Log]:
        """Return observations and log lines for the worst lag since the last call.

        Args:
          now: the current time.
          queued: number of queued events.
        """
        lag = self._unread + self._unhandled
        effects: list[Observe | Log] = [
            Observe(METRIC, self._unread.total_seconds(), UNREAD),
            Observe(METRIC, self._unhandled.total_seconds(), UNHANDLED),
        ]
        self._worst = max(self._worst, lag)
        self._worst_unread = max(self._worst_unread, self._unread)
        self._unread = self._unhandled = _ZERO
        if lag >= self._max_lag * CAUGHT_UP_RATIO:
            self._last_lagging = now
        line = self._log_line(lag, now, queued)
        return [*effects, line] if line is not None else effects

    def _log_line(self, lag: timedelta, now: datetime, queued: int) -> Log | None:
        if self._behind_since is None:
            if lag < self._max_lag:
                if now - self._interval_start >= LINE_INTERVAL:
                    self._begin_interval(now)
                return None
            self._behind_since = now
            return self._behind_line(logging.WARNING, "event loop behind", now, queued)
        if now - self._last_lagging >= LINE_INTERVAL:
            line = self._behind_line(logging.INFO, "event loop caught up", now, queued)
            self._behind_since = None
            return line
        if now - self._interval_start >= LINE_INTERVAL:
            return self._behind_line(logging.WARNING, "event loop behind", now, queued)
        return None

    def _behind_line(self, level: int, event: str, now: datetime, queued: int) -> Log:
        processor = self._processor_seconds() - self._interval_processor
        fields = (
            ("lag_ms", self._worst // _MILLISECOND),
            ("unread_ms", self._worst_unread // _MILLISECOND),
            ("queued", queued),
            ("behind_ms", (now - self._behind_since) // _MILLISECOND),
            ("processor_ms", round(processor * 1000)),
            ("span_ms", (now - self._interval_start) // _MILLISECOND),
        )
        self._begin_interval(now)
        return Log(level, event, fields=fields)

    def _begin_interval(self, now: datetime) -> None:
        self._interval_start = now
        self._interval_processor = self._processor_seconds()
        self._worst = self._worst_unread = _ZERO
