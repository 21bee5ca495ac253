"""Heartbeats: reachability of peers, newer versions at peers and clock skew."""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.counters import Counter
from gypsumspoke.core.effects import Count, Effect, Local, Log, Send
from gypsumspoke.core.events import ReachabilityChanged
from gypsumspoke.core.membership_state import MembershipState, Phase
from gypsumspoke.core.messages import Heartbeat, ManifestRequest
from gypsumspoke.core.rows import MEMBERS_PREFIX, PARTITIONS_PREFIX
from gypsumspoke.core.table_reads import issue_reads, schedule_spaced_read

HEARTBEAT_INTERVAL = timedelta(seconds=1)
MIN_HEARTBEAT_INTERVAL = timedelta(milliseconds=200)
ANSWER_TIMEOUT = timedelta(seconds=3)
MAX_FULL_MESH_PEERS = 16
RING_PEERS = 4
RANDOM_PEERS = 4
MANIFEST_RETRY_DELAY = timedelta(seconds=1)
MIN_OWN_PAUSE = timedelta(seconds=1)


def new_heartbeat(state: MembershipState, now: datetime, answer: bool) -> Heartbeat:
    """Return a heartbeat with the current state of this process."""
    return Heartbeat(
        incarnation=state.member.incarnation,
        clock=now,
        manifest_version=state.manifest_version,
        members_version=state.members_version,
        partitions_version=state.partitions_version,
        load=state.load,
        leaving=state.draining,
        answer=answer,
    )


def expedite_heartbeat(state: MembershipState, now: datetime) -> None:
    """Send the next heartbeat early, so that a change spreads quickly."""
    earliest = now
    if state.last_heartbeat is not None:
        earliest = max(now, state.last_heartbeat + MIN_HEARTBEAT_INTERVAL)
    if state.next_heartbeat is None or earliest < state.next_heartbeat:
        state.next_heartbeat = earliest


def send_heartbeats(state: MembershipState, now: datetime) -> list[Effect]:
    """Return the heartbeats that are due."""
    if state.phase is not Phase.REGISTERED or not state.map_readable:
        return []
    if state.next_heartbeat is not None and now < state.next_heartbeat:
        return []
    state.last_heartbeat = now
    state.next_heartbeat = now + HEARTBEAT_INTERVAL
    message = new_heartbeat(state, now, answer=False)
    effects: list[Effect] = []
    for peer in _heartbeat_peers(state):
        state.unanswered.setdefault(peer, now)
        effects.append(Send(peer, message))
    return effects


def _heartbeat_peers(state: MembershipState) -> list[str]:
    """Return all peers if they are few, else some ring successors and random peers.

    The successors ensure that every process is monitored. The random peers spread
    versions to all processes in a logarithmic number of rounds.
    """
    own = state.member.incarnation
    peers = sorted(
        incarnation
        for incarnation, member in state.members.items()
        if member.ended is None and incarnation != own
    )
    if len(peers) <= MAX_FULL_MESH_PEERS:
        return peers
    start = sum(peer < own for peer in peers)
    ring = [peers[(start + step) % len(peers)] for step in range(RING_PEERS)]
    others = [peer for peer in peers if peer not in ring]
    return ring + state.random.sample(others, RANDOM_PEERS)


def record_reachable(state: MembershipState, peer: str) -> list[Effect]:
    """Mark a peer as reachable, unless its registration has ended."""
    member = state.members.get(peer)
    has_ended = member is not None and member.ended is not None
    if has_ended or peer in state.reachable:
        return []
    state.reachable.add(peer)
    return [_reachability(state)]


def record_unreachable(state: MembershipState, peer: str) -> list[Effect]:
    """Mark a peer as unreachable and discard its heartbeats and clock samples."""
    state.unanswered.pop(peer, None)
    state.heartbeats.pop(peer, None)
    state.clock_check.forget(peer)
    if peer not in state.reachable:
        return []
    state.reachable.discard(peer)
    return [_reachability(state), Count(Counter.PEER_LOST)]


def _reachability(state: MembershipState) -> Local:
    return Local(ReachabilityChanged(frozenset(state.reachable)))


def expire_unanswered(state: MembershipState, now: datetime) -> list[Effect]:
    """Mark peers as unreachable that left a heartbeat unanswered for too long.

    This detects peers that hang although their connection is open.
    """
    effects: list[Effect] = []
    for peer, asked in list(state.unanswered.items()):
        if now - asked > ANSWER_TIMEOUT:
            effects += record_unreachable(state, peer)
    return effects


def reset_after_own_pause(state: MembershipState, now: datetime) -> None:
    """After a pause of this process, disregard heartbeats sent before it.

    Their answers are still unread in the receive buffers: all peers would seem silent
    and their clocks behind.
    """
    paused = state.last_tick is not None and now - state.last_tick > MIN_OWN_PAUSE
    state.last_tick = now
    if paused:
        state.unanswered.clear()


def drop_ended_peers(state: MembershipState) -> list[Effect]:
    """Discard the state of ended peers, which bounds memory use."""
    effects: list[Effect] = []
    for peer in sorted(state.reachable | set(state.unanswered)):
        member = state.members.get(peer)
        if member is not None and member.ended is not None:
            effects += record_unreachable(state, peer)
    return effects


def check_clock(
    state: MembershipState, peer: str, peer_time: datetime, now: datetime
) -> list[Effect]:
    """Compare clocks using an answered heartbeat; see ``clock_check``."""
    asked = state.unanswered.get(peer)
    if asked is None:
        return []
    skew = state.policy.clock_skew
    state.clock_check.record_answer(peer, asked, now, peer_time, skew)
    was_off = state.clock_off
    state.clock_off = state.clock_check.is_off()
    if state.clock_off == was_off:
        return []
    event = "clock is off" if state.clock_off else "clock agrees again"
    seconds = (peer_time - now).total_seconds()
    return [Log(logging.ERROR, event, fields=(("peer_ahead_seconds", seconds),))]


def catch_up(
    state: MembershipState, peer: str, heartbeat: Heartbeat, now: datetime
) -> list[Effect]:
    """Fetch newer rows from the table, and a newer manifest from the peer."""
    if state.phase is not Phase.REGISTERED:
        return []
    if heartbeat.members_version > state.members_version:
        schedule_spaced_read(state, MEMBERS_PREFIX, now)
    if heartbeat.partitions_version > state.partitions_version:
        schedule_spaced_read(state, PARTITIONS_PREFIX, now)
    effects = issue_reads(state, now)
    if heartbeat.manifest_version > max(
        state.manifest_version, state.rejected_manifest
    ):
        effects += _request_manifest(state, peer, now)
    return effects


def _request_manifest(state: MembershipState, peer: str, now: datetime) -> list[Effect]:
    asked = state.manifest_requested
    if asked is not None and now - asked < MANIFEST_RETRY_DELAY:
        return []
    state.manifest_requested = now
    return [Send(peer, ManifestRequest(state.manifest_version))]
