"""Heartbeats of incarnations of the worker other than the current one.

Incarnations can't be ordered by their start times, since the time of day may jump back
between two of them. A heartbeat with an earlier start time may come from a later
incarnation, or have been delayed on its way. Only answers of the worker tell which one
is running, so such a heartbeat is held until they do.
"""

from collections import OrderedDict
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.runs.values import Registration

# More than a worker has within the delay of a heartbeat.
MAX_INCARNATIONS = 16
# A running worker sends a heartbeat every second or two.
HELD_FOR = timedelta(seconds=5)


class HeldHeartbeat(NamedTuple):
    """The latest heartbeat of an incarnation, and when it arrived."""

    registration: Registration
    arrived: datetime


class WorkerHeartbeats:
    """Held heartbeats, and the incarnations that are known to have ended."""

    def __init__(self) -> None:
        self._held: OrderedDict[int, HeldHeartbeat] = OrderedDict()
        self._ended: OrderedDict[int, None] = OrderedDict()

    def has_ended(self, incarnation: int) -> bool:
        """Return whether another incarnation has replaced this one."""
        return incarnation in self._ended

    def hold(self, registration: Registration, arrived: datetime) -> bool:
        """Hold a heartbeat, unless its incarnation has ended or a later one is held.

        Returns:
          Whether it is the first one held of its incarnation.
        """
        incarnation = registration.incarnation
        if incarnation in self._ended:
            return False
        known = self._held.pop(incarnation, None)
        if known is not None and registration.sequence <= known.registration.sequence:
            registration, arrived = known
        self._held[incarnation] = HeldHeartbeat(registration, arrived)
        _drop_oldest(self._held)
        return known is None

    def record_end(self, incarnation: int) -> None:
        """Record that an incarnation has ended."""
        self._held.pop(incarnation, None)
        self._ended[incarnation] = None
        self._ended.move_to_end(incarnation)
        _drop_oldest(self._ended)

    def confirm(self, incarnation: int) -> HeldHeartbeat | None:
        """Record that an incarnation is running; return its heartbeat, if any."""
        self._ended.pop(incarnation, None)
        return self._held.pop(incarnation, None)

    def latest_of_other(self, worker: str, now: datetime) -> HeldHeartbeat | None:
        """Return the latest recent heartbeat of a worker with another id, if any."""
        recent = [
            held
            for held in self._held.values()
            if held.registration.id != worker and now - held.arrived < HELD_FOR
        ]
        return max(recent, key=lambda held: held.arrived, default=None)


def _drop_oldest(kept: OrderedDict) -> None:
    if len(kept) > MAX_INCARNATIONS:
        kept.popitem(last=False)
