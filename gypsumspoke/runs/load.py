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
SPAN_TICKS = 2.0
# From this standing lag on new jobs are refused, the more the larger it is. At one tick
# all are: a report may be a tick and a half old, and an order that is decided on it a
# tick later is still taken, within ORDER_FRESH_TICKS.
FIRST_REFUSALS_TICKS = 0.25
ALL_REFUSED_TICKS = 1.0


class Load:
    """How far an entry is behind.

    Args:
      tick: the tick of the time budget.
      now: when it begins.
    """

    def __init__(self, tick: timedelta, now: datetime) -> None:
        self._span = tick * SPAN_TICKS
        self._first = tick * FIRST_REFUSALS_TICKS
        self._all = tick * ALL_REFUSED_TICKS
        self._since = now
        self._smallest: timedelta | None = None
        self._smallest_before = timedelta()
        self._credit = 0.0

    @property
    def standing(self) -> timedelta:
        """The lag that does not go away between two bursts."""
        if self._smallest is None:
            return self._smallest_before
        return min(self._smallest, self._smallest_before)

    def note(self, lag: timedelta, now: datetime) -> None:
        """Take the lag of an event that is handled now."""
        if now - self._since >= self._span:
            if self._smallest is not None:
                self._smallest_before = self._smallest
            self._smallest = None
            self._since = now
        if self._smallest is None or lag < self._smallest:
            self._smallest = lag

    @property
    def refused_share(self) -> float:
        """Share of the new jobs that is refused now."""
        return min(max((self.standing - self._first) / (self._all - self._first), 0), 1)

    def refuses_next(self) -> bool:
        """Return whether the next new job is refused, so that the share is."""
        share = self.refused_share
        self._credit = self._credit + share if share else 0.0
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
