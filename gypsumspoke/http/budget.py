"""Decides which connections are closed when clients occupy too much.

Requests that are complete are never given up: only connections that are idle, whose
request is still being read, or whose client doesn't read its answer. Of these goes
first what holds much for long. A client that sends its request in one go has no age to
speak of, and so goes last.
"""

import heapq
from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple, Protocol

# What a connection takes besides the bytes that it holds.
CONNECTION_BYTES = 4 * 1024
# Room is made for more than the newest request, so that the choice is rarely made.
_ROOM_PART = 1 / 16


class Occupant(Protocol):
    """A connection, as far as its costs go."""

    @property
    def held(self) -> int:
        """Bytes of the request that is being read, or of the answer that isn't read."""

    @property
    def since(self) -> datetime:
        """When it became idle, its request began, or its answer was ready."""

    @property
    def is_waiting_for_client(self) -> bool:
        """Whether it may be closed: its client has to act next."""


class Occupancy(NamedTuple):
    """What all clients of a process occupy.

    Attributes:
      connections: number of open connections.
      held_bytes: size of all requests that are being read, and of the answers whose
        clients don't read them.
    """

    connections: int
    held_bytes: int


def connections_to_close(
    occupants: Iterable[Occupant], excess: Occupancy, limit: Occupancy, now: datetime
) -> list[Occupant]:
    """Return the connections to close to get below a limit, costliest first.

    Args:
      occupants: all open connections.
      excess: by how much the limit is exceeded.
      limit: the limit.
      now: current time.
    """
    waiting = [each for each in occupants if each.is_waiting_for_client]
    if excess.connections > 0:
        number = excess.connections + int(limit.connections * _ROOM_PART)
        return heapq.nlargest(
            number, waiting, key=lambda each: _cost(each, CONNECTION_BYTES, now)
        )
    to_free = excess.held_bytes + int(limit.held_bytes * _ROOM_PART)
    holding = [each for each in waiting if each.held]
    if len(holding) == 1:
        # A request inside the limits is served when it is alone, whatever its size.
        return []
    closed = []
    for each in sorted(holding, key=lambda each: _cost(each, 0, now), reverse=True):
        if to_free <= 0:
            break
        to_free -= each.held
        closed.append(each)
    return closed


def _cost(occupant: Occupant, more_bytes: int, now: datetime) -> float:
    """Return what a connection occupies times how long, in byte-seconds."""
    age = now - occupant.since
    return (occupant.held + more_bytes) * age.total_seconds()
