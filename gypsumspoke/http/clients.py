"""The clients of all servers of a process, and the bounds on what they occupy."""

import logging
from collections import Counter
from datetime import datetime, timedelta

from gevent import get_hub

from gypsumspoke.core.clock import Clock, SteadyClock
from gypsumspoke.core.process_limits import DEFAULT_PROCESS_LIMITS
from gypsumspoke.http.budget import Occupancy, connections_to_close
from gypsumspoke.http.connection import ClientConnection
from gypsumspoke.http.limits import ClientLimits, SocketBuffers, client_limits
from gypsumspoke.http.pacing import PacedQueue, Work
from gypsumspoke.http.values import Unread

_CHECK_INTERVAL = timedelta(milliseconds=250)
_LOG_INTERVAL = timedelta(seconds=1)

_log = logging.getLogger(__name__)


class ClientRegistry:
    """The clients of all servers of a process, and the bounds on them.

    Args:
      limits: the bounds.
      clock: source of time.
    """

    def __init__(
        self,
        limits: ClientLimits = client_limits(DEFAULT_PROCESS_LIMITS),
        clock: Clock | None = None,
    ) -> None:
        self._limit = Occupancy(limits.connections, limits.held_bytes)
        self._buffers = limits.buffers
        self._clock = clock or SteadyClock()
        self._connections: set[ClientConnection] = set()
        self._held = 0
        self._paced = PacedQueue(self._clock)
        self._refused: Counter[str] = Counter()
        self._logged_at = self._clock.now()
        self._checker = get_hub().loop.timer(0, _CHECK_INTERVAL.total_seconds())
        self._checker.start(self._check)

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def buffers(self) -> SocketBuffers:
        """Buffers of a connection."""
        return self._buffers

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def held_bytes(self) -> int:
        """Bytes of requests that are being read, and of answers that aren't read."""
        return self._held

    def pace(self, work: Work) -> None:
        """Queue work on a large request."""
        self._paced.add(work)

    def add(self, connection: ClientConnection) -> None:
        """Add a connection, and close others if there are too many."""
        self._connections.add(connection)
        self._close_excess(
            Occupancy(len(self._connections) - self._limit.connections, 0)
        )

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def on_held(self, change: int) -> None:
        """Account for a change of the bytes held, and free some beyond the limit."""
        self._held += change
        if change > 0:
            self._close_excess(Occupancy(0, self._held - self._limit.held_bytes))

    def count(self, reason: Unread) -> None:
        """Count a request that was refused unread, for the log."""
        self._refused[reason.value] += 1

    def close(self) -> None:
        """Close all connections."""
        self._checker.stop()
        self._checker.close()
        self._paced.close()
        for connection in list(self._connections):
            connection.close()

    def _close_excess(self, excess: Occupancy) -> None:
        if max(excess) <= 0:
            return
        now = self._clock.now()
        for connection in connections_to_close(
            self._connections, excess, self._limit, now
        ):
            connection.drop()

    def _check(self) -> None:
        now = self._clock.now()
        for connection in list(self._connections):
            connection.check_timeouts(now)
        self._log_refused(now)

    def _log_refused(self, now: datetime) -> None:
        if not self._refused or now - self._logged_at < _LOG_INTERVAL:
            return
        details = {
            **self._refused,
            "connections": len(self._connections),
            "held_bytes": self._held,
        }
        _log.warning({"message": "requests refused unread", "details": details})
        self._refused.clear()
        self._logged_at = now
