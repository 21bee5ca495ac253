"""Metrics whose library is imported some time after the process has started.

The import takes a large part of the start time, for which callers wait after all
processes were lost. Updates made before the import are queued and applied after it.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

import gevent

from gypsumspoke.core.effects import Count, Observe

if TYPE_CHECKING:
    from gypsumspoke.shell.metrics import Metrics

# Skips the peak load in the first seconds after all processes were lost.
LOAD_DELAY = timedelta(seconds=6)
# With more queued updates the library is imported at once.
MAX_PENDING = 20_000


class DeferredMetrics:
    """Queues updates and applies them to ``Metrics`` once that is imported.

    Args:
      role, worker: see ``Metrics``.
    """

    def __init__(self, role: str, worker: str) -> None:
        self._identity = (role, worker)
        self._pending: list[Callable[[Metrics], None]] = []
        self._metrics: Metrics | None = None
        self._greenlet = gevent.spawn_later(LOAD_DELAY.total_seconds(), self.load)

    def count(self, effect: Count) -> None:
        """Count one event, refusal or retry."""
        self._apply(lambda metrics: metrics.count(effect))

    def observe(self, effect: Observe) -> None:
        """Record one measured value."""
        self._apply(lambda metrics: metrics.observe(effect))

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge; see ``Metrics.gauge``."""
        self._apply(lambda metrics: metrics.gauge(name, description, read))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self.load().render()

    def load(self) -> "Metrics":
        """Import the library, if not done yet, and apply the queued updates."""
        if self._metrics is None:
            from gypsumspoke.shell.metrics import Metrics

            self._metrics = Metrics(*self._identity)
            for update in self._pending:
                update(self._metrics)
            self._pending.clear()
        return self._metrics

    def close(self) -> None:
        """Cancel the deferred import."""
        self._greenlet.kill()

    def _apply(self, update: Callable[["Metrics"], None]) -> None:
        if self._metrics is not None:
            update(self._metrics)
            return
        self._pending.append(update)
        if len(self._pending) >= MAX_PENDING:
            self.load()
