"""What membership knows: the view, the table traffic and the peers of one process."""

import random
from collections.abc import Callable
from datetime import datetime
from enum import Enum
from typing import NamedTuple

from returns.result import Result

from gypsumspoke.core.clock_check import ClockCheck
from gypsumspoke.core.messages import Heartbeat
from gypsumspoke.core.policy import DEFAULT_POLICY, Manifest, Policy
from gypsumspoke.core.values import Load, Member, PartitionRow, Row

ParseManifest = Callable[[str], Result[Manifest, tuple[str, ...]]]


class ReceivedHeartbeat(NamedTuple):
    """The last heartbeat of a peer and our time when it came."""

    heartbeat: Heartbeat
    at: datetime


class Phase(Enum):
    """How far the registration is."""

    NEW = "new"
    REGISTERING = "registering"
    REGISTERED = "registered"
    LEAVING = "leaving"
    LEFT = "left"


class Pending(NamedTuple):
    """A request to the table that is not answered."""

    request: str
    sent: datetime


class MembershipState:
    """The view of one process; made by ``new_membership``.

    Outside of membership it is only read, by the functions of ``membership.py``.

    Attributes:
      due: when a prefix is to be read next; ``reads``: the reads under way.
      failures: reads and writes that failed one after another.
      map_readable: the members were read after the own registration, so that the
        partition map may be read now.
      members_version, partitions_version: highest version of a row seen, rows that
        were deleted since included.
      rejected_manifest: version of the newest manifest that could not be read.
      unanswered: when a peer was first asked without an answer since.
    """

    def __init__(
        self,
        member: Member,
        partition_count: int,
        seed: int,
        parse_manifest: ParseManifest,
    ) -> None:
        self.member = member
        self.partition_count = partition_count
        self.random = random.Random(seed)
        self.parse_manifest = parse_manifest
        self.phase = Phase.NEW
        self.draining = False
        self.load: Load | None = None
        # Table traffic: one read for each prefix and one write at a time.
        self.sequence = 0
        self.due: dict[str, datetime] = {}
        self.reads: dict[str, Pending] = {}
        self.last_read: dict[str, datetime] = {}
        self.failures = 0
        self.write: Pending | None = None
        self.cleaning: Pending | None = None
        self.next_cleaning: datetime | None = None
        self.leave_deadline: datetime | None = None
        self.map_readable = False
        self.map_read = False
        # The view.
        self.members_version = 0
        self.partitions_version = 0
        self.member_rows: dict[str, Row] = {}
        self.members: dict[str, Member] = {}
        self.own_row: Row | None = None
        self.own_ended = False
        self.partitions: dict[int, PartitionRow] = {}
        self.manifest: Manifest | None = None
        self.manifest_text = ""
        self.manifest_version = 0
        self.rejected_manifest = 0
        self.manifest_asked: datetime | None = None
        # Peers.
        self.next_heartbeat: datetime | None = None
        self.last_heartbeat: datetime | None = None
        self.reachable: set[str] = set()
        self.unanswered: dict[str, datetime] = {}
        self.clock_check = ClockCheck()
        self.clock_off = False
        self.heartbeats: dict[str, ReceivedHeartbeat] = {}
        self.last_tick: datetime | None = None

    @property
    def policy(self) -> Policy:
        """The policy in force, or the default before the first manifest."""
        return self.manifest.policy if self.manifest else DEFAULT_POLICY

    def all_members(self) -> tuple[Member, ...]:
        """Return all known members, ended ones included, ordered by name."""
        return tuple(member for _, member in sorted(self.members.items()))
