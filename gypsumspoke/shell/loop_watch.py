"""Bounds the arrival times of the events that the event loop reads.

A process short of processor time reads its input late, which the input doesn't show.
The polls of its loop give bounds: if a poll returns at once, the events it found have
arrived since the previous poll.
"""

from datetime import timedelta

from gevent import get_hub

from gypsumspoke.core.clock import Clock
from gypsumspoke.core.events import Arrival

# A poll of at least this duration had to wait for events.
_MIN_WAIT = timedelta(milliseconds=1)


class LoopWatch:
    """Times the polls of this thread's event loop.

    Args:
      clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reset()
        loop = get_hub().loop
        self._prepare_watcher = loop.prepare(ref=False)
        self._check_watcher = loop.check(ref=False)

    @property
    def arrival(self) -> Arrival:
        """Bounds on the arrival of the events read after the latest poll."""
        return self._arrival

    def start(self) -> None:
        """Start timing the polls."""
        self._reset()
        # Run before the handlers of the events found by the poll.
        self._check_watcher.priority = get_hub().loop.MAXPRI
        self._prepare_watcher.start(self._on_prepare)
        self._check_watcher.start(self._on_check)

    def close(self) -> None:
        """Stop timing the polls."""
        for watcher in (self._prepare_watcher, self._check_watcher):
            watcher.stop()
            watcher.close()

    def _reset(self) -> None:
        self._last_poll = self._previous_poll = now = self._clock.now()
        self._arrival = Arrival(now, now, now)

    def _on_prepare(self) -> None:
        self._previous_poll = self._last_poll
        self._last_poll = self._clock.now()

    def _on_check(self) -> None:
        now = self._clock.now()
        if now - self._last_poll >= _MIN_WAIT:
            self._arrival = Arrival(self._last_poll, now, now)
        else:
            self._arrival = Arrival(self._previous_poll, self._previous_poll, now)
