"""Metrics whose library is loaded a while after the start.

Loading the metrics library takes a good part of the processor time that a role needs
before it serves. After a loss of all processes callers wait for that, while a scrape
some seconds later loses nothing: what is counted before is kept and counted then.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

import gevent

from gypsumspoke.core.effects import Count, Observe

if TYPE_CHECKING:
    from gypsumspoke.shell.metrics import Metrics

# The first seconds after a loss of all processes are those of the highest load.
LOAD_DELAY = timedelta(seconds=6)
# More than that is not kept: the library is loaded instead.
MAX_PENDING = 20_000


class DeferredMetrics:
    """Takes counts at once and hands them to ``Metrics`` once that is loaded.

    Args:
      role, worker: see ``Metrics``.
    """

    def __init__(self, role: str, worker: str) -> None:
        self._identity = (role, worker)
        self._kept: list[Callable[[Metrics], None]] = []
        self._metrics: Metrics | None = None
        self._greenlet = gevent.spawn_later(LOAD_DELAY.total_seconds(), self.load)

    def count(self, effect: Count) -> None:
        """Count one event, refusal or retry."""
        self._take(lambda metrics: metrics.count(effect))

    def observe(self, effect: Observe) -> None:
        """Record one measured value."""
        self._take(lambda metrics: metrics.observe(effect))

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge; see ``Metrics.gauge``."""
        self._take(lambda metrics: metrics.gauge(name, description, read))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self.load().render()

    def load(self) -> "Metrics":
        """Load the library, if it is not, and count what was kept."""
        if self._metrics is None:
            from gypsumspoke.shell.metrics import Metrics

            self._metrics = Metrics(*self._identity)
            for take in self._kept:
                take(self._metrics)
            self._kept.clear()
        return self._metrics

    def close(self) -> None:
        """Don't load the library any more."""
        self._greenlet.kill()

    def _take(self, take: Callable[["Metrics"], None]) -> None:
        if self._metrics is not None:
            take(self._metrics)
            return
        self._kept.append(take)
        if len(self._kept) >= MAX_PENDING:
            self.load()
