"""What a reducer is told: messages that arrived, connections, the table, time."""

from datetime import datetime, timedelta
from enum import Enum
from typing import Any, NamedTuple

from gypsumspoke.core.messages import Message
from gypsumspoke.core.policy import Manifest
from gypsumspoke.core.values import AttemptId, Member, Outcome, PartitionRow, Row


class Arrival(NamedTuple):
    """When an event had arrived, which may be long before it is handled.

    Attributes:
      heard: all that had arrived by then was read with it or before.
      earliest: it arrived no earlier.
      read: when it was read.
    """

    heard: datetime
    earliest: datetime
    read: datetime


class Timed(NamedTuple):
    """An event with its arrival, for reducers that ask for it."""

    arrival: Arrival
    event: Any


class Received(NamedTuple):
    """A message from a peer."""

    sender: str
    message: Message


class PeerConnected(NamedTuple):
    """A connection to or from this incarnation is up, after a valid hello."""

    incarnation: str


class PeerLost(NamedTuple):
    """A connection to this incarnation ended, and messages on it may be lost.

    If another one is up, PeerConnected follows at once.
    """

    incarnation: str


class UpstreamAnswered(NamedTuple):
    """The end of a StartUpstream.

    Attributes:
      attempt: which try.
      outcome: NOT_RUN only if no byte was sent to the upstream.
      result: body when done.
      reason: as in TaskOutcome.
    """

    attempt: AttemptId
    outcome: Outcome
    result: bytes
    reason: str


class UpstreamAnnounced(NamedTuple):
    """The upstream beside this executor said what it is, or that it leaves.

    Attributes:
      service: its service; never changes while the process lives.
      slots: tasks it runs at once.
      leaving: it gets nothing new from now on, until it is announced again.
    """

    service: str
    slots: int
    leaving: bool


class RowsRead(NamedTuple):
    """The end of a ReadRows; ``rows`` is None when the table did not answer."""

    request: str
    rows: tuple[Row, ...] | None


class WriteOutcome(Enum):
    """What is known of a transaction; LOST may have taken effect or not."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    LOST = "lost"


class RowsWritten(NamedTuple):
    """The end of a WriteRows; ``revision`` is the new version when committed."""

    request: str
    outcome: WriteOutcome
    revision: int


class MembersChanged(NamedTuple):
    """Local: the membership view changed; all rows, ended ones included."""

    members: tuple[Member, ...]


class PartitionsChanged(NamedTuple):
    """Local: rows of the partition map that changed."""

    rows: tuple[PartitionRow, ...]


class ReachabilityChanged(NamedTuple):
    """Local: incarnations that answer heartbeats now."""

    reachable: frozenset[str]


class ManifestChanged(NamedTuple):
    """Local: a newer manifest is in force in this process."""

    version: int
    manifest: Manifest


class Tick(NamedTuple):
    """Time has passed; the shell sends one every ``TICK``."""


TICK = timedelta(milliseconds=100)


class TurnEnded(NamedTuple):
    """The events that were queued are reduced; what serves all of them may follow."""


TURN_ENDED = TurnEnded()


class Drain(NamedTuple):
    """Stop gracefully: take no new work, finish what runs, then Exit."""


LocalEvent = (
    MembersChanged | PartitionsChanged | ReachabilityChanged | ManifestChanged | Drain
)
