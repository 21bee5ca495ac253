"""Metrics whose library is imported when they are first read.

The import takes a large part of the start time, for which callers wait after all
processes were lost. Updates made before the import are queued and applied after it; a
process whose metrics nobody reads imports the library when there are too many.
"""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from gypsumspoke.core.effects import Count, Observe

if TYPE_CHECKING:
    from gypsumspoke.shell.metrics import Metrics

# With more queued observations the library is imported. Applying them must not delay
# the event loop for long.
MAX_PENDING = 4_000

Gauge = tuple[str, str, Callable[[], float]]


class DeferredMetrics:
    """Queues updates and applies them to ``Metrics`` once that is imported.

    Args:
      role, worker: see ``Metrics``.
    """

    def __init__(self, role: str, worker: str) -> None:
        self._identity = (role, worker)
        self._counts: Counter[Any] = Counter()
        self._observed: list[Observe] = []
        self._gauges: list[Gauge] = []
        self._metrics: Metrics | None = None

    def count(self, effect: Count) -> None:
        """Count one event, refusal or retry."""
        if self._metrics is None:
            self._counts[effect.what] += effect.amount
        else:
            self._metrics.count(effect)

    def observe(self, effect: Observe) -> None:
        """Record one measured value."""
        if self._metrics is not None:
            self._metrics.observe(effect)
            return
        self._observed.append(effect)
        if len(self._observed) >= MAX_PENDING:
            self.load()

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge; see ``Metrics.gauge``."""
        if self._metrics is None:
            self._gauges.append((name, description, read))
        else:
            self._metrics.gauge(name, description, read)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self.load().render()

    def load(self) -> "Metrics":
        """Import the library, if not done yet, and apply the queued updates."""
        if self._metrics is None:
            from gypsumspoke.shell.metrics import Metrics

            self._metrics = Metrics(*self._identity)
            for what, amount in self._counts.items():
                self._metrics.count(Count(what, amount))
            for effect in self._observed:
                self._metrics.observe(effect)
            for gauge in self._gauges:
                self._metrics.gauge(*gauge)
            self._counts.clear()
            self._observed.clear()
            self._gauges.clear()
        return self._metrics
