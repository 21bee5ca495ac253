"""What a sidecar offers of a worker that is cold or about to leave.

The load that this answers: workers that come back cold, and would be filled within one
round of reports while they are still slow; and workers that are taken away a second or
two after a notice, while long runs are at work there.

A cold worker's room is offered in parts: a quarter at first, growing linearly to all of
it at the end of the cold time. The limit concerns reports only: a placement that was
sent before the entry knew the limit is not refused for it.
"""

import logging
import math
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.runs.values import Registration, Room, WorkerReady, subtract

# Share of a worker's room that is offered when its cold time begins.
INITIAL_SHARE = 0.25

_ZERO = timedelta()
_MILLISECOND = timedelta(milliseconds=1)


class WarmUp:
    """The cold time of the worker's current incarnation, from its heartbeats.

    A sidecar that restarts meanwhile takes the first statement that it reads for the
    whole cold time, and offers a quarter of the room again.
    """

    def __init__(self) -> None:
        self._incarnation: int | None = None
        self._first = _ZERO
        self._ends_at: datetime | None = None

    def record(self, registration: Registration, now: datetime) -> list[Effect]:
        """Record a heartbeat.

        Args:
          registration: the heartbeat, newer than those before.
          now: when it arrived.

        Returns:
          A log line if it is the first one that states a cold time.
        """
        if registration.incarnation != self._incarnation:
            self._incarnation = registration.incarnation
            self._first = _ZERO
        self._ends_at = now + registration.cold
        if self._first or not registration.cold:
            return []
        self._first = registration.cold
        fields = (
            ("worker", registration.id),
            ("born", registration.incarnation),
            ("cold_ms", registration.cold // _MILLISECOND),
        )
        return [Log(logging.INFO, "worker cold", fields=fields)]

    def share(self, now: datetime) -> float:
        """Return the share of the worker's room that may be in use now."""
        if self._ends_at is None or now >= self._ends_at:
            return 1.0
        left = min((self._ends_at - now) / self._first, 1.0)
        return 1.0 - (1.0 - INITIAL_SHARE) * left


def offered_room(capacity: Room, promised: Room, share: float) -> Room:
    """Return the room that is offered to entries; negative where too much is in use.

    Args:
      capacity: the worker's total room.
      promised: the room of all runs there, which counts towards the limit.
      share: share of the total room that may be in use.
    """
    if share >= 1.0:
        return subtract(capacity, promised)
    # Rounded up for accelerators, since a worker has few: a single one would otherwise
    # be offered only at the end of the cold time.
    limit = Room(
        int(capacity.cpu * share),
        int(capacity.memory * share),
        math.ceil(capacity.gpu * share),
    )
    return subtract(limit, promised)


def leaves_in(
    worker: Registration | None, registered_at: datetime | None, now: datetime
) -> timedelta | None:
    """Return how long a draining worker has left at least.

    Args:
      worker: its latest heartbeat; None before the first.
      registered_at: when that arrived.
      now: the current time.

    Returns:
      The time left; None if the worker isn't draining or doesn't say.
    """
    if worker is None or worker.state is not WorkerReady.DRAINING:
        return None
    if worker.remaining is None:
        return None
    return max(worker.remaining - (now - registered_at), _ZERO)
