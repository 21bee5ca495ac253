"""Shows how far the event loop is behind: a histogram and bounded log lines."""

import logging
import time
from collections.abc import Callable
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Log, Observe
from gypsumspoke.core.events import Arrival

METRIC = "loop_lag_seconds"
# Label values of the metric: until an event is read, and from then until it is handled.
UNREAD, UNHANDLED = "unread", "unhandled"
# Ticks of lag from which on the loop counts as behind. The platform may withhold the
# processor for the rest of a tenth of a second, which is no lack of it yet.
BEHIND_TICKS = 2.0
# Behind until the lag has been this much smaller for as long as a line's interval.
CAUGHT_UP_SHARE = 0.5
LINE_INTERVAL = timedelta(seconds=1)

_MILLISECOND = timedelta(milliseconds=1)
_NONE = timedelta()


class LoopLag:
    """Takes the lag of each event and tells of it at each tick.

    Args:
      tick: how often the loop ticks.
      now: when it begins.
      processor_seconds: returns the processor time that this process has used.
    """

    def __init__(
        self,
        tick: timedelta,
        now: datetime,
        processor_seconds: Callable[[], float] = time.process_time,
    ) -> None:
        self._limit = tick * BEHIND_TICKS
        self._processor_seconds = processor_seconds
        self._unread = _NONE
        self._unhandled = _NONE
        self._behind_since: datetime | None = None
        self._above_at = now
        self._worst = _NONE
        self._worst_unread = _NONE
        self._told_at = now
        self._told_processor = processor_seconds()

    def record(self, arrival: Arrival, now: datetime) -> None:
        """Take the lag of one event that is handled now."""
        self._unread = max(self._unread, arrival.read - arrival.earliest)
        self._unhandled = max(self._unhandled, now - arrival.read)

    def report(self, now: datetime, queued: int) -> list[Observe | Log]:
        """Return what shows the worst lag since the last call.

        Args:
          now: the current time.
          queued: how many events wait.
        """
        lag = self._unread + self._unhandled
        effects: list[Observe | Log] = [
            Observe(METRIC, self._unread.total_seconds(), UNREAD),
            Observe(METRIC, self._unhandled.total_seconds(), UNHANDLED),
        ]
        self._worst = max(self._worst, lag)
        self._worst_unread = max(self._worst_unread, self._unread)
        self._unread = self._unhandled = _NONE
        if lag >= self._limit * CAUGHT_UP_SHARE:
            self._above_at = now
        line = self._line(lag, now, queued)
        return [*effects, line] if line is not None else effects

    def _line(self, lag: timedelta, now: datetime, queued: int) -> Log | None:
        if self._behind_since is None:
            if lag < self._limit:
                if now - self._told_at >= LINE_INTERVAL:
                    self._begin_interval(now)
                return None
            self._behind_since = now
            return self._tell_line(logging.WARNING, "event loop behind", now, queued)
        if now - self._above_at >= LINE_INTERVAL:
            line = self._tell_line(logging.INFO, "event loop caught up", now, queued)
            self._behind_since = None
            return line
        if now - self._told_at >= LINE_INTERVAL:
            return self._tell_line(logging.WARNING, "event loop behind", now, queued)
        return None

    def _tell_line(self, level: int, event: str, now: datetime, queued: int) -> Log:
        processor = self._processor_seconds() - self._told_processor
        fields = (
            ("lag_ms", self._worst // _MILLISECOND),
            ("unread_ms", self._worst_unread // _MILLISECOND),
            ("queued", queued),
            ("behind_ms", (now - self._behind_since) // _MILLISECOND),
            ("processor_ms", round(processor * 1000)),
            ("span_ms", (now - self._told_at) // _MILLISECOND),
        )
        self._begin_interval(now)
        return Log(level, event, fields=fields)

    def _begin_interval(self, now: datetime) -> None:
        self._told_at = now
        self._told_processor = self._processor_seconds()
        self._worst = self._worst_unread = _NONE
