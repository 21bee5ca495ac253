"""Spreads the work on large requests, so that others are served in between."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

from gevent import get_hub

from gypsumspoke.core.clock import Clock

# Work goes on for this long at a time; peers and small requests wait for the end.
_TURN = timedelta(milliseconds=2)
# A turn, with all that it leads to until the event loop comes round, is followed by a
# pause of this many times its duration.
_PAUSE_FACTOR = 2
_MAX_PAUSE = timedelta(milliseconds=200)

# Does a part of some work; returns whether to end the turn.
Work = Callable[[], bool]


class PacedQueue:
    """Runs queued work in turns, each a bounded share of the event loop's time.

    Args:
      clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: deque[Work] = deque()
        self._timer = get_hub().loop.timer(0)
        self._is_running = False

    def add(self, work: Work) -> None:
        """Queue some work; it may add itself again."""
        self._queue.append(work)
        if not self._is_running:
            self._is_running = True
            self._start_timer(timedelta(), self._run_turn)

    def close(self) -> None:
        """Forget the work that is queued."""
        self._queue.clear()
        self._is_running = True
        self._timer.stop()
        self._timer.close()

    def _start_timer(self, delay: timedelta, callback: Callable[..., None], *args):
        self._timer.stop()
        self._timer.close()
        self._timer = get_hub().loop.timer(delay.total_seconds())
        self._timer.start(callback, *args)

    def _run_turn(self) -> None:
        started = self._clock.now()
        while self._queue:
            is_last = self._queue.popleft()()
            if is_last or self._clock.now() - started >= _TURN:
                break
        # The greenlets that were started run before the timer's callback.
        self._start_timer(timedelta(), self._pause, started)

    def _pause(self, started) -> None:
        if not self._queue:
            self._is_running = False
            return
        pause = min((self._clock.now() - started) * _PAUSE_FACTOR, _MAX_PAUSE)
        self._start_timer(pause, self._run_turn)
