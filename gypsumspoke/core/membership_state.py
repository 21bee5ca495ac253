"""State of membership in one process: its view, table requests and peers."""

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
    """The last heartbeat of a peer and the local time of its arrival."""

    heartbeat: Heartbeat
    at: datetime


class Phase(Enum):
    """Stages of this process's registration."""

    NEW = "new"
    REGISTERING = "registering"
    REGISTERED = "registered"
    LEAVING = "leaving"
    LEFT = "left"


class Pending(NamedTuple):
    """A request to the table that has not been answered yet."""

    request: str
    sent: datetime


class MembershipState:
    """Membership state of one process; created by ``new_membership``.

    Other components read it only through the functions of ``membership.py``.

    Attributes:
      due: time of the next read, by key prefix.
      reads: reads in progress, by key prefix.
      failures: number of consecutive failed reads and writes.
      deletion: the deletion of an old member row in progress.
      map_readable: whether the members were read after this process registered, so
        that the partition map may be read.
      map_read: whether the partition map has been read.
      members_version, partitions_version: highest row version seen, including rows
        that were deleted since.
      own_ended: whether another process or an operator ended this incarnation.
      rejected_manifest: version of the newest manifest that was invalid.
      unanswered: time of the first heartbeat that a peer has not answered.
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
        # Table requests: one read for each prefix and one write at a time.
        self.sequence = 0
        self.due: dict[str, datetime] = {}
        self.reads: dict[str, Pending] = {}
        self.last_read: dict[str, datetime] = {}
        self.failures = 0
        self.write: Pending | None = None
        self.deletion: Pending | None = None
        self.next_deletion: datetime | None = None
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
        self.manifest_requested: datetime | None = None
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
        """The policy in force, or the default policy before the first manifest."""
        return self.manifest.policy if self.manifest else DEFAULT_POLICY

    def all_members(self) -> tuple[Member, ...]:
        """Return all known members, including ended ones, ordered by incarnation."""
        return tuple(member for _, member in sorted(self.members.items()))
