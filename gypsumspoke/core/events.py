"""Inputs of the reducers: messages, connections, answers of the table, time."""

from datetime import datetime, timedelta
from enum import Enum
from typing import Any, NamedTuple

from gypsumspoke.core.messages import Message
from gypsumspoke.core.policy import Manifest
from gypsumspoke.core.values import AttemptId, Member, Outcome, PartitionRow, Row


class Arrival(NamedTuple):
    """Bounds on the arrival time of an event, which may be long before its handling.

    Attributes:
      heard: everything that had arrived by this time was read with it or before.
      earliest: lower bound on its arrival.
      read: when it was read.
    """

    heard: datetime
    earliest: datetime
    read: datetime


class Timed(NamedTuple):
    """An event with its arrival times, for reducers that need them."""

    arrival: Arrival
    event: Any


class Received(NamedTuple):
    """A message from a peer."""

    sender: str
    message: Message


class PeerConnected(NamedTuple):
    """A connection to or from this incarnation is established and its hello valid."""

    incarnation: str


class PeerLost(NamedTuple):
    """A connection to this incarnation ended; messages on it may be lost.

    If another connection to it is up, PeerConnected follows immediately.
    """

    incarnation: str


class UpstreamAnswered(NamedTuple):
    """The result of a StartUpstream.

    Attributes:
      attempt: the attempt.
      outcome: NOT_RUN only if no byte was sent to the upstream.
      result: response body when done.
      reason: as in TaskOutcome.
    """

    attempt: AttemptId
    outcome: Outcome
    result: bytes
    reason: str


class UpstreamAnnounced(NamedTuple):
    """This executor's upstream announced its service and size, or that it leaves.

    Attributes:
      service: its service; constant during the lifetime of the process.
      slots: maximum number of concurrent tasks.
      leaving: it accepts no new tasks until it is announced again.
    """

    service: str
    slots: int
    leaving: bool


class RowsRead(NamedTuple):
    """The result of a ReadRows; ``rows`` is None when the table did not answer."""

    request: str
    rows: tuple[Row, ...] | None


class WriteOutcome(Enum):
    """Outcome of a transaction; after LOST it is unknown whether it took effect."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    LOST = "lost"


class RowsWritten(NamedTuple):
    """The result of a WriteRows; ``revision`` is the new version when committed."""

    request: str
    outcome: WriteOutcome
    revision: int


class MembersChanged(NamedTuple):
    """Local: the membership view changed; carries all rows, ended ones included."""

    members: tuple[Member, ...]


class PartitionsChanged(NamedTuple):
    """Local: rows of the partition map changed; carries the changed ones."""

    rows: tuple[PartitionRow, ...]


class ReachabilityChanged(NamedTuple):
    """Local: the set of incarnations that answer heartbeats changed."""

    reachable: frozenset[str]


class ManifestChanged(NamedTuple):
    """Local: a newer manifest is in force in this process."""

    version: int
    manifest: Manifest


class Tick(NamedTuple):
    """Time has passed; the shell sends one every ``TICK`` interval."""


TICK = timedelta(milliseconds=100)


class TurnEnded(NamedTuple):
    """All queued events are reduced; work that is batched over them may follow."""


TURN_ENDED = TurnEnded()


class Drain(NamedTuple):
    """Stop gracefully: accept no new work, finish running work, then Exit."""


LocalEvent = (
    MembersChanged | PartitionsChanged | ReachabilityChanged | ManifestChanged | Drain
)
