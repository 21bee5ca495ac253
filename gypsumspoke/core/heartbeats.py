"""Heartbeats: who is reachable, who knows more, and whether the clocks agree."""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.counters import Counter
from gypsumspoke.core.effects import Count, Effect, Local, Log, Send
from gypsumspoke.core.events import ReachabilityChanged
from gypsumspoke.core.membership_state import MembershipState, Phase
from gypsumspoke.core.messages import Heartbeat, ManifestRequest
from gypsumspoke.core.rows import MEMBERS_PREFIX, PARTITIONS_PREFIX
from gypsumspoke.core.table_reads import issue_reads, want_spaced

HEARTBEAT_INTERVAL = timedelta(seconds=1)
HEARTBEAT_SOONEST = timedelta(milliseconds=200)
ANSWER_WITHIN = timedelta(seconds=3)
FULL_MESH_LIMIT = 16
RING_PEERS = 4
RANDOM_PEERS = 4
MANIFEST_ASK_AGAIN = timedelta(seconds=1)
OWN_PAUSE = timedelta(seconds=1)


def new_heartbeat(state: MembershipState, now: datetime, answer: bool) -> Heartbeat:
    """Return what this process tells its peers now."""
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


def heartbeat_soon(state: MembershipState, now: datetime) -> None:
    """Bring the next heartbeat forward so that a change spreads without delay."""
    earliest = now
    if state.last_heartbeat is not None:
        earliest = max(now, state.last_heartbeat + HEARTBEAT_SOONEST)
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
    """Return all peers while they are few; else ring successors and random ones.

    The successors make sure that each process is watched by somebody; the random ones
    spread versions to everybody in a number of rounds that grows with the logarithm.
    """
    own = state.member.incarnation
    peers = sorted(
        incarnation
        for incarnation, member in state.members.items()
        if member.ended is None and incarnation != own
    )
    if len(peers) <= FULL_MESH_LIMIT:
        return peers
    start = sum(peer < own for peer in peers)
    ring = [peers[(start + step) % len(peers)] for step in range(RING_PEERS)]
    others = [peer for peer in peers if peer not in ring]
    return ring + state.random.sample(others, RANDOM_PEERS)


def note_heard(state: MembershipState, peer: str) -> list[Effect]:
    """Take a peer as reachable, unless its registration has ended."""
    member = state.members.get(peer)
    has_ended = member is not None and member.ended is not None
    if has_ended or peer in state.reachable:
        return []
    state.reachable.add(peer)
    return [_reachability(state)]


def note_lost(state: MembershipState, peer: str) -> list[Effect]:
    """Take a peer as unreachable and forget what it said."""
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
    """Take peers as lost that leave heartbeats unanswered over a live connection."""
    effects: list[Effect] = []
    for peer, asked in list(state.unanswered.items()):
        if now - asked > ANSWER_WITHIN:
            effects += note_lost(state, peer)
    return effects


def forgive_own_pause(state: MembershipState, now: datetime) -> None:
    """After our own pause, judge nobody by questions asked before it.

    The answers wait unread in our buffers: all peers would look silent for a moment,
    and their clocks behind ours.
    """
    paused = state.last_tick is not None and now - state.last_tick > OWN_PAUSE
    state.last_tick = now
    if paused:
        state.unanswered.clear()


def drop_ended_peers(state: MembershipState) -> list[Effect]:
    """Forget peers that ended, so that what is kept about peers stays bounded."""
    effects: list[Effect] = []
    for peer in sorted(state.reachable | set(state.unanswered)):
        member = state.members.get(peer)
        if member is not None and member.ended is not None:
            effects += note_lost(state, peer)
    return effects


def check_clock(
    state: MembershipState, peer: str, peer_time: datetime, now: datetime
) -> list[Effect]:
    """Compare clocks by an answered heartbeat; see ``clock_check``."""
    asked = state.unanswered.get(peer)
    if asked is None:
        return []
    skew = state.policy.clock_skew
    state.clock_check.note_answer(peer, asked, now, peer_time, skew)
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
    """Fetch what the peer has and we lack: rows from the table, a manifest from it."""
    if state.phase is not Phase.REGISTERED:
        return []
    if heartbeat.members_version > state.members_version:
        want_spaced(state, MEMBERS_PREFIX, now)
    if heartbeat.partitions_version > state.partitions_version:
        want_spaced(state, PARTITIONS_PREFIX, now)
    effects = issue_reads(state, now)
    if heartbeat.manifest_version > max(
        state.manifest_version, state.rejected_manifest
    ):
        effects += _ask_manifest(state, peer, now)
    return effects


def _ask_manifest(state: MembershipState, peer: str, now: datetime) -> list[Effect]:
    asked = state.manifest_asked
    if asked is not None and now - asked < MANIFEST_ASK_AGAIN:
        return []
    state.manifest_asked = now
    return [Send(peer, ManifestRequest(state.manifest_version))]
