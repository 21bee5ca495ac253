"""Who is there, who owns what, and which manifest is in force.

Each process registers its incarnation in the platform's table, reads the members,
the partition map and the manifest from there, and learns of changes from the versions
on its peers' heartbeats. The table is needed to join and to change something; while
it is down, peers, partitions and manifest stay as last read and heartbeats go on.

The order at the start is a safety rule: register first, read the partition map second.
A new owner writes the map first and reads the registrations second, so one of the two
always sees the other, and no executor serves a former owner unseen by the next.
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
    expire_unanswered,
    forgive_own_pause,
    heartbeat_soon,
    new_heartbeat,
    note_heard,
    note_lost,
    send_heartbeats,
)
from gypsumspoke.core.membership_state import (
    MembershipState,
    ParseManifest,
    Phase,
    ReceivedHeartbeat,
)
from gypsumspoke.core.membership_view import (
    merge_partitions,
    read_manifest,
    read_members,
    read_partitions,
    take_manifest,
)
from gypsumspoke.core.messages import Heartbeat, ManifestRequest, ManifestUpdate
from gypsumspoke.core.policy import Manifest
from gypsumspoke.core.registration import (
    abandon_overdue,
    begin_leaving,
    clean,
    leave_in_time,
    not_written,
    written,
)
from gypsumspoke.core.rows import MEMBERS_PREFIX, PARTITIONS_PREFIX
from gypsumspoke.core.table_reads import issue_reads, retry_later, want, want_spaced
from gypsumspoke.core.values import Load, Member, PartitionRow, Row


class Leave(NamedTuple):
    """Event: all work is done; end the registration. See ``has_left``."""


class ViewOutdated(NamedTuple):
    """Local event: members or map have changed, or seem to; read them again soon."""


def new_membership(
    member: Member, partition_count: int, seed: int, parse_manifest: ParseManifest
) -> MembershipState:
    """Return the state of a process that has not registered yet.

    Args:
      member: this process; ``registered`` is replaced by the time of registration.
      partition_count: number of partitions, the same in every process.
      seed: for the choice of peers and the spread of retries.
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
    """Return whether this incarnation stands in the table and has not ended."""
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
    """Return all known members, ended ones included, in the order of their names."""
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
    """Return the incarnations that answer heartbeats now."""
    return frozenset(state.reachable)


def last_heartbeats(state: MembershipState) -> dict[str, ReceivedHeartbeat]:
    """Return the last heartbeat of each peer that is heard, by incarnation."""
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
        want(state, MEMBERS_PREFIX, now)
    forgive_own_pause(state, now)
    effects = abandon_overdue(state, now)
    effects += leave_in_time(state, now)
    effects += issue_reads(state, now)
    effects += clean(state, now)
    effects += send_heartbeats(state, now)
    effects += expire_unanswered(state, now)
    return effects


@_on.register
def _on_drain(event: Drain, state: MembershipState, now: datetime) -> list[Effect]:
    if not state.draining:
        state.draining = True
        heartbeat_soon(state, now)
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
        retry_later(state, prefix, now)
        return []
    state.failures = 0
    if prefix == MEMBERS_PREFIX:
        return read_members(state, event.rows, now)
    if prefix == PARTITIONS_PREFIX:
        return read_partitions(state, event.rows, now)
    return read_manifest(state, event.rows, now)


@_on.register
def _on_rows_written(
    event: RowsWritten, state: MembershipState, now: datetime
) -> list[Effect]:
    if state.cleaning and state.cleaning.request == event.request:
        state.cleaning = None
        return []
    if state.write is None or state.write.request != event.request:
        return []
    state.write = None
    if event.outcome is WriteOutcome.COMMITTED:
        return written(state, now)
    return not_written(state, event.outcome, now)


@_on.register
def _on_partitions_changed(
    event: PartitionsChanged, state: MembershipState, now: datetime
) -> list[Effect]:
    # A home tells of rows that it wrote itself; its heartbeats then carry the version.
    if merge_partitions(state, event.rows):
        heartbeat_soon(state, now)
    return []


@_on.register
def _on_view_doubted(
    event: ViewOutdated, state: MembershipState, now: datetime
) -> list[Effect]:
    want_spaced(state, MEMBERS_PREFIX, now)
    want_spaced(state, PARTITIONS_PREFIX, now)
    return issue_reads(state, now)


@_on.register
def _on_peer_connected(
    event: PeerConnected, state: MembershipState, now: datetime
) -> list[Effect]:
    return note_heard(state, event.incarnation)


@_on.register
def _on_peer_lost(
    event: PeerLost, state: MembershipState, now: datetime
) -> list[Effect]:
    return note_lost(state, event.incarnation)


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
    effects = note_heard(state, sender)
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
    state.manifest_asked = None
    return take_manifest(state, message.version, message.text, now)
