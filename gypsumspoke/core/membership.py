"""Membership: the registered processes, the partition map and the manifest in force.

Each process registers its incarnation in the platform's table and reads the members,
the partition map and the manifest from it. The versions on its peers' heartbeats show
when to read again. The table is needed to join and to make changes; while it is down,
the last view stays in use and heartbeats go on.

The order at the start matters for safety: a process registers before it reads the
partition map, and a new owner writes the map before it reads the registrations. One of
the two always sees the other, so the new owner misses no executor that might still
serve a former owner.
"""

from datetime import datetime
from functools import singledispatch
from typing import NamedTuple

from gypsumspoke.core.effects import Effect, Send
from gypsumspoke.core.events import (
    Drain,
    PartitionsChanged,
    PeerConnected,
    PeerLost,
    Received,
    RowsRead,
    RowsWritten,
    Tick,
    WriteOutcome,
)
from gypsumspoke.core.heartbeats import (
    catch_up,
    check_clock,
    expedite_heartbeat,
    expire_unanswered,
    new_heartbeat,
    record_reachable,
    record_unreachable,
    reset_after_own_pause,
    send_heartbeats,
)
from gypsumspoke.core.membership_state import (
    MembershipState,
    ParseManifest,
    Phase,
    ReceivedHeartbeat,
)
from gypsumspoke.core.membership_view import (
    apply_manifest,
    apply_manifest_rows,
    apply_member_rows,
    apply_partition_rows,
    merge_partitions,
)
from gypsumspoke.core.messages import Heartbeat, ManifestRequest, ManifestUpdate
from gypsumspoke.core.policy import Manifest
from gypsumspoke.core.registration import (
    begin_leaving,
    delete_ended_row,
    expire_table_requests,
    handle_write_committed,
    handle_write_failed,
    leave_on_timeout,
)
from gypsumspoke.core.rows import MEMBERS_PREFIX, PARTITIONS_PREFIX
from gypsumspoke.core.table_reads import (
    issue_reads,
    schedule_read,
    schedule_retry,
    schedule_spaced_read,
)
from gypsumspoke.core.values import Load, Member, PartitionRow, Row


class Leave(NamedTuple):
    """Event: all work is done; end the registration.

    ``has_left`` returns whether that is finished.
    """


class ViewOutdated(NamedTuple):
    """Local event: the members or the partition map may be outdated; read them soon."""


def new_membership(
    member: Member, partition_count: int, seed: int, parse_manifest: ParseManifest
) -> MembershipState:
    """Return the state of a process that has not registered yet.

    Args:
      member: this process; ``registered`` is replaced by the time of registration.
      partition_count: number of partitions, the same in every process.
      seed: seed for the choice of peers and the jitter of retries.
      parse_manifest: turns a manifest's text into a checked manifest.
    """
    return MembershipState(member, partition_count, seed, parse_manifest)


def reduce(state: MembershipState, event, now: datetime) -> list[Effect]:
    """Apply one event; events that don't concern membership have no effect.

    Args:
      state: changed in place.
      event: a message wrapped in Received, or another event of ``core.events``.
      now: the time of the event.

    Returns:
      What the process has to do.
    """
    return _on(event, state, now)


def is_registered(state: MembershipState) -> bool:
    """Return whether this incarnation is registered and has not been ended."""
    return state.phase is Phase.REGISTERED and not state.own_ended


def has_left(state: MembershipState) -> bool:
    """Return whether, after a Leave, the process may exit."""
    return state.phase is Phase.LEFT


def was_ended(state: MembershipState) -> bool:
    """Return whether another process or an operator ended this incarnation."""
    return state.own_ended


def clock_is_off(state: MembershipState) -> bool:
    """Return whether most peers' clocks contradict this process's clock."""
    return state.clock_off


def is_self(state: MembershipState, incarnation: str) -> bool:
    """Return whether this process is that incarnation."""
    return state.member.incarnation == incarnation


def members(state: MembershipState) -> tuple[Member, ...]:
    """Return all known members, including ended ones, ordered by incarnation."""
    return state.all_members()


def member_rows(state: MembershipState) -> dict[str, Row]:
    """Return the rows that ``members`` were read from, by incarnation."""
    return dict(state.member_rows)


def partition_rows(state: MembershipState) -> dict[int, PartitionRow]:
    """Return the known rows of the partition map, by number."""
    return dict(state.partitions)


def manifest(state: MembershipState) -> Manifest | None:
    """Return the manifest in force, or None before the first."""
    return state.manifest


def manifest_version(state: MembershipState) -> int:
    """Return the version of the manifest in force; 0 before the first."""
    return state.manifest_version


def reachable(state: MembershipState) -> frozenset[str]:
    """Return the incarnations that currently answer heartbeats."""
    return frozenset(state.reachable)


def last_heartbeats(state: MembershipState) -> dict[str, ReceivedHeartbeat]:
    """Return the last heartbeat of each reachable peer, by incarnation."""
    return dict(state.heartbeats)


def set_load(state: MembershipState, load: Load) -> None:
    """Set the load that the next heartbeats carry."""
    state.load = load


# ---------------------------------------------------------------------------
# Events


@singledispatch
def _on(event, state: MembershipState, now: datetime) -> list[Effect]:
    return []


@_on.register
def _on_tick(event: Tick, state: MembershipState, now: datetime) -> list[Effect]:
    if state.phase is Phase.LEFT:
        return []
    if state.phase is Phase.NEW and not state.reads and not state.due:
        schedule_read(state, MEMBERS_PREFIX, now)
    reset_after_own_pause(state, now)
    effects = expire_table_requests(state, now)
    effects += leave_on_timeout(state, now)
    effects += issue_reads(state, now)
    effects += delete_ended_row(state, now)
    effects += send_heartbeats(state, now)
    effects += expire_unanswered(state, now)
    return effects


@_on.register
def _on_drain(event: Drain, state: MembershipState, now: datetime) -> list[Effect]:
    if not state.draining:
        state.draining = True
        expedite_heartbeat(state, now)
    return []


@_on.register
def _on_leave(event: Leave, state: MembershipState, now: datetime) -> list[Effect]:
    return begin_leaving(state, now)


@_on.register
def _on_rows_read(
    event: RowsRead, state: MembershipState, now: datetime
) -> list[Effect]:
    for prefix, pending in state.reads.items():
        if pending.request == event.request:
            break
    else:
        return []
    del state.reads[prefix]
    if event.rows is None:
        schedule_retry(state, prefix, now)
        return []
    state.failures = 0
    if prefix == MEMBERS_PREFIX:
        return apply_member_rows(state, event.rows, now)
    if prefix == PARTITIONS_PREFIX:
        return apply_partition_rows(state, event.rows, now)
    return apply_manifest_rows(state, event.rows, now)


@_on.register
def _on_rows_written(
    event: RowsWritten, state: MembershipState, now: datetime
) -> list[Effect]:
    if state.deletion and state.deletion.request == event.request:
        state.deletion = None
        return []
    if state.write is None or state.write.request != event.request:
        return []
    state.write = None
    if event.outcome is WriteOutcome.COMMITTED:
        return handle_write_committed(state, now)
    return handle_write_failed(state, event.outcome, now)


@_on.register
def _on_partitions_changed(
    event: PartitionsChanged, state: MembershipState, now: datetime
) -> list[Effect]:
    # A home reports rows that it wrote itself; heartbeats then carry their version.
    if merge_partitions(state, event.rows):
        expedite_heartbeat(state, now)
    return []


@_on.register
def _on_view_doubted(
    event: ViewOutdated, state: MembershipState, now: datetime
) -> list[Effect]:
    schedule_spaced_read(state, MEMBERS_PREFIX, now)
    schedule_spaced_read(state, PARTITIONS_PREFIX, now)
    return issue_reads(state, now)


@_on.register
def _on_peer_connected(
    event: PeerConnected, state: MembershipState, now: datetime
) -> list[Effect]:
    return record_reachable(state, event.incarnation)


@_on.register
def _on_peer_lost(
    event: PeerLost, state: MembershipState, now: datetime
) -> list[Effect]:
    return record_unreachable(state, event.incarnation)


@_on.register
def _on_received(
    event: Received, state: MembershipState, now: datetime
) -> list[Effect]:
    return _on_message(event.message, state, event.sender, now)


@singledispatch
def _on_message(
    message, state: MembershipState, sender: str, now: datetime
) -> list[Effect]:
    return []


@_on_message.register
def _on_heartbeat(
    message: Heartbeat, state: MembershipState, sender: str, now: datetime
) -> list[Effect]:
    effects = record_reachable(state, sender)
    state.heartbeats[sender] = ReceivedHeartbeat(message, now)
    if message.answer:
        effects += check_clock(state, sender, message.clock, now)
        state.unanswered.pop(sender, None)
    else:
        effects.append(Send(sender, new_heartbeat(state, now, answer=True)))
    effects += catch_up(state, sender, message, now)
    return effects


@_on_message.register
def _on_manifest_request(
    message: ManifestRequest, state: MembershipState, sender: str, now: datetime
) -> list[Effect]:
    if state.manifest_version <= message.version:
        return []
    update = ManifestUpdate(state.manifest_version, state.manifest_text)
    return [Send(sender, update)]


@_on_message.register
def _on_manifest_update(
    message: ManifestUpdate, state: MembershipState, sender: str, now: datetime
) -> list[Effect]:
    state.manifest_requested = None
    return apply_manifest(state, message.version, message.text, now)
