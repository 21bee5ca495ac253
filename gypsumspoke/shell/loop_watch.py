"""How late the event loop is: when what it handles now had arrived.

A process that gets too little processor time reads late and handles late, and nothing
in what it reads tells so. The polls of its loop bound it: what is read after a poll
that found something at once has arrived since the poll before.
"""

from datetime import timedelta

from gevent import get_hub

from gypsumspoke.core.clock import Clock
from gypsumspoke.core.events import Arrival

# A poll that took longer found nothing at once and waited.
_WAITED = timedelta(milliseconds=1)


class LoopWatch:
    """Watches the polls of this thread's event loop.

    Args:
      clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._restart()
        loop = get_hub().loop
        self._before = loop.prepare(ref=False)
        self._after = loop.check(ref=False)

    @property
    def arrival(self) -> Arrival:
        """When what is read after the latest poll arrived."""
        return self._arrival

    def start(self) -> None:
        """Begin to watch."""
        self._restart()
        # Before anything that the poll has found is handled.
        self._after.priority = get_hub().loop.MAXPRI
        self._before.start(self._take_poll)
        self._after.start(self._take_found)

    def close(self) -> None:
        """Stop watching."""
        for watcher in (self._before, self._after):
            watcher.stop()
            watcher.close()

    def _restart(self) -> None:
        self._polled = self._polled_before = now = self._clock.now()
        self._arrival = Arrival(now, now, now)

    def _take_poll(self) -> None:
        self._polled_before = self._polled
        self._polled = self._clock.now()

    def _take_found(self) -> None:
        now = self._clock.now()
        if now - self._polled >= _WAITED:
            self._arrival = Arrival(self._polled, now, now)
        else:
            self._arrival = Arrival(self._polled_before, self._polled_before, now)
