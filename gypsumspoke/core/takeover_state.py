"""State of partition ownership in one home, with its view of members and rows.

The modules ``takeover``, ``claims``, ``fences`` and ``handoffs`` read and change this
state and append notices to it, on which the home acts.
"""

import logging
from collections.abc import Iterable
from datetime import datetime

from gypsumspoke.core.effects import Log
from gypsumspoke.core.messages import Handoff
from gypsumspoke.core.ownership import Notice, Ownership, PartitionLost
from gypsumspoke.core.partitions import preferred_owner
from gypsumspoke.core.policy import DEFAULT_POLICY, Policy
from gypsumspoke.core.values import Member, PartitionRow, Role

REQUEST_PREFIX = "home:"


class TakeoverState:
    """State of partition ownership in one home.

    Args:
      member: this process.
      partition_count: number of partitions.

    Attributes:
      owned: ownerships by partition, including claims in progress.
      rows: newest known row of the partition map, by partition.
      map_known: whether the partition map has been read.
      joined: when the partition map was first read.
      unreachable_since: since when a sidecar or an owner is unreachable.
      preferred: cache of the preferred owner, by partition.
      incoming: received chunks of handoffs by (sender, partition, epoch), then number.
      notices: what the home must act on.
    """

    def __init__(self, member: Member, partition_count: int) -> None:
        self.incarnation = member.incarnation
        self.partition_count = partition_count
        self.policy: Policy = DEFAULT_POLICY
        self.owned: dict[int, Ownership] = {}
        self.rows: dict[int, PartitionRow] = {}
        self.members: dict[str, Member] = {}
        self.map_known = False
        self.joined: datetime | None = None
        self.reachable: frozenset[str] = frozenset()
        self.unreachable_since: dict[str, datetime] = {}
        self.leaving_peers: set[str] = set()
        self.leaving = False
        self.preferred: dict[int, Member | None] = {}
        self.last_claim: datetime | None = None
        self.incoming: dict[tuple[str, int, int], dict[int, Handoff]] = {}
        self.notices: list[Notice] = []

    @property
    def sidecars(self) -> list[Member]:
        """Registered sidecars that have not ended, including this one."""
        return [
            member
            for member in self.members.values()
            if member.role is Role.SIDECAR and member.ended is None
        ]

    def member(self, incarnation: str) -> Member | None:
        """Return a known member, which may have ended, or None."""
        return self.members.get(incarnation)

    def has_ended(self, incarnation: str) -> bool:
        """Return whether a process has ended for certain; its memory is lost."""
        member = self.members.get(incarnation)
        return member is not None and member.ended is not None

    def available_peers(self) -> list[str]:
        """Return the other sidecars that are reachable and not leaving, sorted."""
        return sorted(
            member.incarnation
            for member in self.sidecars
            if member.incarnation in self.reachable
            and member.incarnation != self.incarnation
            and member.incarnation not in self.leaving_peers
        )


def pop_notices(state: TakeoverState) -> list[Notice]:
    """Return and clear the notices on which the home must act."""
    notices, state.notices = state.notices, []
    return notices


def set_policy(state: TakeoverState, policy: Policy) -> None:
    """Apply the manifest's policy."""
    state.policy = policy


def set_leaving(state: TakeoverState) -> None:
    """Stop claiming partitions and begin to hand over those owned."""
    state.leaving = True
    state.preferred.clear()


def set_reachable(
    state: TakeoverState, reachable: frozenset[str], now: datetime
) -> None:
    """Apply the set of incarnations that are currently reachable."""
    state.reachable = reachable
    state.preferred.clear()
    update_unreachable(state, now)


def update_unreachable(state: TakeoverState, now: datetime) -> None:
    """Update since when sidecars, and owners that are not members, are unreachable."""
    names = {member.incarnation for member in state.sidecars}
    names |= {row.owner for row in state.rows.values()} - set(state.members)
    silent = names - state.reachable - {state.incarnation}
    state.unreachable_since = {
        name: state.unreachable_since.get(name, now) for name in silent
    }


def record_leaving(state: TakeoverState, incarnation: str, leaving: bool) -> None:
    """Record from a heartbeat that a peer leaves and takes no more partitions."""
    if leaving and incarnation not in state.leaving_peers:
        state.leaving_peers.add(incarnation)
        state.preferred.clear()


def set_rows(state: TakeoverState, rows: Iterable[PartitionRow], now: datetime) -> None:
    """Apply rows of the partition map; a higher epoch ends an ownership."""
    if not state.map_known:
        state.map_known = True
        state.joined = now
    for row in rows:
        known = state.rows.get(row.partition)
        if known is not None and known.epoch >= row.epoch:
            continue
        state.rows[row.partition] = row
        ownership = state.owned.get(row.partition)
        if ownership is not None and row.epoch > ownership.epoch:
            drop_ownership(state, ownership)
    update_unreachable(state, now)


def drop_ownership(state: TakeoverState, ownership: Ownership) -> None:
    """End an ownership and notify the home."""
    state.owned.pop(ownership.partition, None)
    state.notices.append(PartitionLost(ownership.partition))


def is_silent(state: TakeoverState, incarnation: str, now: datetime) -> bool:
    """Return whether a process has been unreachable for at least ``takeover_after``."""
    silent = state.unreachable_since.get(incarnation)
    return silent is not None and now - silent >= state.policy.takeover_after


def preferred(state: TakeoverState, partition: int) -> Member | None:
    """Return the preferred owner among the sidecars that can take the partition."""
    if partition not in state.preferred:
        candidates = [
            member for member in state.sidecars if _is_candidate(state, member)
        ]
        state.preferred[partition] = preferred_owner(partition, candidates)
    return state.preferred[partition]


def _is_candidate(state: TakeoverState, member: Member) -> bool:
    if member.incarnation == state.incarnation:
        return not state.leaving
    return (
        member.incarnation in state.reachable
        and member.incarnation not in state.leaving_peers
    )


def request_id(kind: str, ownership: Ownership) -> str:
    """Return the id of a table request about an ownership."""
    return f"{kind}:{ownership.partition}:{ownership.epoch}"


def ownership_of_request(state: TakeoverState, request: str) -> Ownership | None:
    """Return the ownership that a table request was about, or None if it ended."""
    partition, epoch = request.rsplit(":", 2)[1:]
    ownership = state.owned.get(int(partition))
    if ownership is None or ownership.epoch != int(epoch):
        return None
    return ownership


def ownership_log(event: str, ownership: Ownership, **more: str | int) -> Log:
    """Return a log line about an ownership with additional fields."""
    fields = (("partition", ownership.partition), ("epoch", ownership.epoch))
    return Log(logging.INFO, event, fields=(*fields, *more.items()))
