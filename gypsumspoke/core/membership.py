"""Who is there, who owns what, and which manifest is in force.

Each process registers its incarnation in the platform's table, reads the members,
the partition map and the manifest from there, and learns of changes from the versions
on its peers' heartbeats. The table is needed to join and to change something; while
it is down, peers, partitions and manifest stay as last read and heartbeats go on.

The order at the start is a safety rule: register first, read the partition map second.
A new owner writes the map first and reads the registrations second, so one of the two
always sees the other, and no executor serves a former owner unseen by the next.
"""

import logging
import random
from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum
from functools import singledispatch
from typing import NamedTuple

from returns.result import Result, Success

from gypsumspoke.core.clock_check import ClockCheck
from gypsumspoke.core.data import (
    DEFAULT_POLICY,
    ApplyManifest,
    Count,
    Counter,
    Drain,
    Effect,
    Heartbeat,
    Load,
    Local,
    Log,
    Manifest,
    ManifestChanged,
    ManifestRequest,
    ManifestUpdate,
    Member,
    MembersChanged,
    PartitionRow,
    PartitionsChanged,
    PeerConnected,
    PeerLost,
    Policy,
    ReachabilityChanged,
    ReadRows,
    Received,
    RetryReason,
    Role,
    Row,
    RowsRead,
    RowsWritten,
    Send,
    Tick,
    WriteOutcome,
    WriteRows,
)
from gypsumspoke.core.rows import (
    MANIFEST_KEY,
    MEMBERS_PREFIX,
    PARTITIONS_PREFIX,
    member_from_row,
    member_key,
    member_value,
    partition_from_row,
)

NAME = "membership"
HEARTBEAT_INTERVAL = timedelta(seconds=1)
HEARTBEAT_SOONEST = timedelta(milliseconds=200)
ANSWER_WITHIN = timedelta(seconds=3)
FULL_MESH_LIMIT = 16
RING_PEERS = 4
RANDOM_PEERS = 4
ENTRY_READ_INTERVAL = timedelta(seconds=3)
RETRY_SHORTEST = timedelta(milliseconds=500)
RETRY_LONGEST = timedelta(seconds=8)
TABLE_ANSWER_WITHIN = timedelta(seconds=15)
MANIFEST_ASK_AGAIN = timedelta(seconds=1)
CLEANING_INTERVAL = timedelta(seconds=10)
SKEWS_BEFORE_CLEANING = 10
OWN_PAUSE = timedelta(seconds=1)
READ_SPACING = timedelta(milliseconds=500)
LEAVE_WITHIN = timedelta(seconds=3)

ParseManifest = Callable[[str], Result[Manifest, tuple[str, ...]]]


class Leave(NamedTuple):
    """Event: all work is done; end the registration. See ``has_left``."""


class ViewDoubted(NamedTuple):
    """Local event: members or map have changed, or seem to; read them again soon."""


class Heard(NamedTuple):
    """The last heartbeat of a peer and our time when it came."""

    heartbeat: Heartbeat
    at: datetime


class _Phase(Enum):
    """How far the registration is."""

    NEW = "new"
    REGISTERING = "registering"
    REGISTERED = "registered"
    LEAVING = "leaving"
    LEFT = "left"


class _Pending(NamedTuple):
    """A request to the table that is not answered."""

    request: str
    sent: datetime


class MembershipState:
    """The view of one process; made by ``new_membership``."""

    def __init__(
        self,
        member: Member,
        partition_count: int,
        seed: int,
        parse_manifest: ParseManifest,
    ) -> None:
        self._member = member
        self._partition_count = partition_count
        self._random = random.Random(seed)
        self._parse_manifest = parse_manifest
        self._phase = _Phase.NEW
        self._draining = False
        self._load: Load | None = None
        # Table traffic: one read for each prefix and one write at a time.
        self._sequence = 0
        self._due: dict[str, datetime] = {}
        self._reads: dict[str, _Pending] = {}
        self._last_read: dict[str, datetime] = {}
        self._failures = 0
        self._write: _Pending | None = None
        self._cleaning: _Pending | None = None
        self._next_cleaning: datetime | None = None
        self._leave_deadline: datetime | None = None
        self._map_readable = False
        self._map_read = False
        # The view.
        self._members_version = 0
        self._partitions_version = 0
        self._member_rows: dict[str, Row] = {}
        self._members: dict[str, Member] = {}
        self._own_row: Row | None = None
        self._own_ended = False
        self._partitions: dict[int, PartitionRow] = {}
        self._manifest: Manifest | None = None
        self._manifest_text = ""
        self._manifest_version = 0
        self._rejected_manifest = 0
        self._manifest_asked: datetime | None = None
        # Peers.
        self._next_heartbeat: datetime | None = None
        self._last_heartbeat: datetime | None = None
        self._reachable: set[str] = set()
        self._unanswered: dict[str, datetime] = {}
        self._clock_check = ClockCheck()
        self._clock_off = False
        self._heartbeats: dict[str, Heard] = {}
        self._last_tick: datetime | None = None

    @property
    def policy(self) -> Policy:
        """The policy in force, or the default before the first manifest."""
        return self._manifest.policy if self._manifest else DEFAULT_POLICY

    @property
    def members_version(self) -> int:
        """Highest version of a member row seen, deleted rows included."""
        return self._members_version

    @property
    def partitions_version(self) -> int:
        """Highest version of a partition row seen."""
        return self._partitions_version


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
      event: a message wrapped in Received, or another event of ``core.data``.
      now: the time of the event.

    Returns:
      What the process has to do.
    """
    return _on(event, state, now)


def is_registered(state: MembershipState) -> bool:
    """Return whether this incarnation stands in the table and has not ended."""
    return state._phase is _Phase.REGISTERED and not state._own_ended


def has_left(state: MembershipState) -> bool:
    """Return whether, after a Leave, the process may exit."""
    return state._phase is _Phase.LEFT


def was_ended(state: MembershipState) -> bool:
    """Return whether another process or an operator ended this incarnation."""
    return state._own_ended


def clock_is_off(state: MembershipState) -> bool:
    """Return whether most peers' clocks contradict this process's clock."""
    return state._clock_off


def is_self(state: MembershipState, incarnation: str) -> bool:
    """Return whether this process is that incarnation."""
    return state._member.incarnation == incarnation


def members(state: MembershipState) -> tuple[Member, ...]:
    """Return all known members, ended ones included, in the order of their names."""
    return tuple(member for _, member in sorted(state._members.items()))


def member_rows(state: MembershipState) -> dict[str, Row]:
    """Return the rows that ``members`` were read from, by incarnation."""
    return dict(state._member_rows)


def partition_rows(state: MembershipState) -> dict[int, PartitionRow]:
    """Return the known rows of the partition map, by number."""
    return dict(state._partitions)


def manifest(state: MembershipState) -> Manifest | None:
    """Return the manifest in force, or None before the first."""
    return state._manifest


def manifest_version(state: MembershipState) -> int:
    """Return the version of the manifest in force; 0 before the first."""
    return state._manifest_version


def reachable(state: MembershipState) -> frozenset[str]:
    """Return the incarnations that answer heartbeats now."""
    return frozenset(state._reachable)


def heard(state: MembershipState) -> dict[str, Heard]:
    """Return the last heartbeat of each peer that is heard, by incarnation."""
    return dict(state._heartbeats)


def set_load(state: MembershipState, load: Load) -> None:
    """Set the load that the next heartbeats carry."""
    state._load = load


# ---------------------------------------------------------------------------
# Events


@singledispatch
def _on(event, state: MembershipState, now: datetime) -> list[Effect]:
    return []


@_on.register
def _on_tick(event: Tick, state: MembershipState, now: datetime) -> list[Effect]:
    if state._phase is _Phase.LEFT:
        return []
    if state._phase is _Phase.NEW and not state._reads and not state._due:
        _want(state, MEMBERS_PREFIX, now)
    _forgive_own_pause(state, now)
    effects = _abandon_overdue(state, now)
    effects += _leave_in_time(state, now)
    effects += _issue_reads(state, now)
    effects += _clean(state, now)
    effects += _heartbeats(state, now)
    effects += _expire_unanswered(state, now)
    return effects


@_on.register
def _on_drain(event: Drain, state: MembershipState, now: datetime) -> list[Effect]:
    if not state._draining:
        state._draining = True
        _heartbeat_soon(state, now)
    return []


@_on.register
def _on_leave(event: Leave, state: MembershipState, now: datetime) -> list[Effect]:
    if state._phase in (_Phase.LEAVING, _Phase.LEFT):
        return []
    if state._phase is _Phase.NEW or state._own_ended:
        state._phase = _Phase.LEFT
        return []
    state._phase = _Phase.LEAVING
    state._write = None
    state._leave_deadline = now + LEAVE_WITHIN
    if state._own_row is None:
        _want(state, MEMBERS_PREFIX, now)
        return _issue_reads(state, now)
    return _write_leave(state, now)


@_on.register
def _on_rows_read(
    event: RowsRead, state: MembershipState, now: datetime
) -> list[Effect]:
    for prefix, pending in state._reads.items():
        if pending.request == event.request:
            break
    else:
        return []
    del state._reads[prefix]
    if event.rows is None:
        _retry_later(state, prefix, now)
        return []
    state._failures = 0
    if prefix == MEMBERS_PREFIX:
        return _read_members(state, event.rows, now)
    if prefix == PARTITIONS_PREFIX:
        return _read_partitions(state, event.rows, now)
    return _read_manifest(state, event.rows, now)


@_on.register
def _on_rows_written(
    event: RowsWritten, state: MembershipState, now: datetime
) -> list[Effect]:
    if state._cleaning and state._cleaning.request == event.request:
        state._cleaning = None
        return []
    if state._write is None or state._write.request != event.request:
        return []
    state._write = None
    if event.outcome is WriteOutcome.COMMITTED:
        return _written(state, now)
    return _not_written(state, event.outcome, now)


@_on.register
def _on_partitions_changed(
    event: PartitionsChanged, state: MembershipState, now: datetime
) -> list[Effect]:
    # A home tells of rows that it wrote itself; its heartbeats then carry the version.
    if _merge_partitions(state, event.rows):
        _heartbeat_soon(state, now)
    return []


@_on.register
def _on_view_doubted(
    event: ViewDoubted, state: MembershipState, now: datetime
) -> list[Effect]:
    _want_spaced(state, MEMBERS_PREFIX, now)
    _want_spaced(state, PARTITIONS_PREFIX, now)
    return _issue_reads(state, now)


@_on.register
def _on_peer_connected(
    event: PeerConnected, state: MembershipState, now: datetime
) -> list[Effect]:
    return _heard(state, event.incarnation)


@_on.register
def _on_peer_lost(
    event: PeerLost, state: MembershipState, now: datetime
) -> list[Effect]:
    return _lost(state, event.incarnation)


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
    effects = _heard(state, sender)
    state._heartbeats[sender] = Heard(message, now)
    if message.answer:
        effects += _check_clock(state, sender, message.clock, now)
        state._unanswered.pop(sender, None)
    else:
        effects.append(Send(sender, _heartbeat(state, now, answer=True)))
    effects += _catch_up(state, sender, message, now)
    return effects


@_on_message.register
def _on_manifest_request(
    message: ManifestRequest, state: MembershipState, sender: str, now: datetime
) -> list[Effect]:
    if state._manifest_version <= message.version:
        return []
    update = ManifestUpdate(state._manifest_version, state._manifest_text)
    return [Send(sender, update)]


@_on_message.register
def _on_manifest_update(
    message: ManifestUpdate, state: MembershipState, sender: str, now: datetime
) -> list[Effect]:
    state._manifest_asked = None
    return _take_manifest(state, message.version, message.text, now)


# ---------------------------------------------------------------------------
# Table traffic


def _request(state: MembershipState, purpose: str, now: datetime) -> _Pending:
    state._sequence += 1
    return _Pending(f"{NAME}:{purpose}:{state._sequence}", now)


def _want(state: MembershipState, prefix: str, at: datetime) -> None:
    known = state._due.get(prefix)
    state._due[prefix] = min(at, known) if known else at


def _want_spaced(state: MembershipState, prefix: str, now: datetime) -> None:
    """Read because a peer knows more, but not at once for each of many peers."""
    last = state._last_read.get(prefix)
    _want(state, prefix, max(now, last + READ_SPACING) if last else now)


def _retry_later(state: MembershipState, prefix: str, now: datetime) -> None:
    """Wait longer after each failure, spread so that processes don't come at once."""
    state._failures += 1
    ceiling = min(RETRY_SHORTEST * 2 ** min(state._failures, 10), RETRY_LONGEST)
    _want(state, prefix, now + ceiling * (0.5 + 0.5 * state._random.random()))


def _issue_reads(state: MembershipState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for prefix, due in sorted(state._due.items()):
        if due > now or prefix in state._reads:
            continue
        if prefix != MEMBERS_PREFIX and not state._map_readable:
            continue
        del state._due[prefix]
        pending = _request(state, "read", now)
        state._reads[prefix] = pending
        state._last_read[prefix] = now
        effects.append(ReadRows(pending.request, prefix))
    return effects


def _abandon_overdue(state: MembershipState, now: datetime) -> list[Effect]:
    """Give up on table requests that nobody answers any more."""
    limit = now - TABLE_ANSWER_WITHIN
    for prefix, pending in list(state._reads.items()):
        if pending.sent < limit:
            del state._reads[prefix]
            _retry_later(state, prefix, now)
    if state._cleaning and state._cleaning.sent < limit:
        state._cleaning = None
    if state._write and state._write.sent < limit:
        state._write = None
        return _not_written(state, WriteOutcome.LOST, now)
    return []


def _write_registration(state: MembershipState, now: datetime) -> list[Effect]:
    """Register, and end every earlier incarnation of this worker, at once."""
    state._phase = _Phase.REGISTERING
    state._member = state._member._replace(registered=now)
    own_key = member_key(state._member.incarnation)
    checks = [(own_key, 0)]
    writes: list[tuple[str, str | None]] = [(own_key, member_value(state._member))]
    for incarnation, member in sorted(state._members.items()):
        if member.worker == state._member.worker and member.ended is None:
            row = state._member_rows[incarnation]
            checks.append((row.key, row.version))
            writes.append((row.key, member_value(member._replace(ended=now))))
    state._write = _request(state, "register", now)
    return [WriteRows(state._write.request, tuple(checks), tuple(writes))]


def _write_leave(state: MembershipState, now: datetime) -> list[Effect]:
    row = state._own_row
    ended = state._members[state._member.incarnation]._replace(ended=now)
    state._write = _request(state, "leave", now)
    return [
        WriteRows(
            state._write.request,
            ((row.key, row.version),),
            ((row.key, member_value(ended)),),
        )
    ]


def _written(state: MembershipState, now: datetime) -> list[Effect]:
    if state._phase is _Phase.LEAVING:
        state._phase = _Phase.LEFT
        return []
    return _registered(state, now)


def _not_written(
    state: MembershipState, outcome: WriteOutcome, now: datetime
) -> list[Effect]:
    """Read back: a lost answer may hide a write that took effect.

    The next read of the members shows the own row if it did, and the versions to
    check if it did not.
    """
    if state._phase is _Phase.REGISTERING:
        state._phase = _Phase.NEW
    lost = outcome is WriteOutcome.LOST
    _retry_later(state, MEMBERS_PREFIX, now)
    return [
        Count(
            RetryReason.TABLE_ANSWER_LOST if lost else RetryReason.TABLE_CONFLICT,
        )
    ]


def _registered(state: MembershipState, now: datetime) -> list[Effect]:
    state._phase = _Phase.REGISTERED
    _want(state, MEMBERS_PREFIX, now)
    log = Log(
        logging.INFO,
        "registered",
        fields=(("incarnation", state._member.incarnation),),
    )
    return [log, *_issue_reads(state, now)]


def _leave_in_time(state: MembershipState, now: datetime) -> list[Effect]:
    """Leave unregistered when the table is down, so that it can't hold the stop up."""
    if state._phase is not _Phase.LEAVING or now < state._leave_deadline:
        return []
    state._phase = _Phase.LEFT
    return [Log(logging.WARNING, "left without ending the registration")]


def _clean(state: MembershipState, now: datetime) -> list[Effect]:
    """Delete one row that ended so long ago that nothing refers to it any more.

    Each process tries with a chance of one in the number of processes, so that about
    one of them does it in each interval, whatever their number.
    """
    if state._phase is not _Phase.REGISTERED or state._cleaning:
        return []
    if state._next_cleaning is None:
        state._next_cleaning = now + CLEANING_INTERVAL
    if now < state._next_cleaning:
        return []
    state._next_cleaning = now + CLEANING_INTERVAL
    policy = state.policy
    limit = now - policy.retention - SKEWS_BEFORE_CLEANING * policy.clock_skew
    old = [
        state._member_rows[incarnation]
        for incarnation, member in sorted(state._members.items())
        if member.ended and member.ended < limit
    ]
    live = sum(member.ended is None for member in state._members.values())
    if not old or state._random.random() * max(live, 1) >= 1:
        return []
    row = state._random.choice(old)
    state._cleaning = _request(state, "clean", now)
    _want(state, MEMBERS_PREFIX, now + CLEANING_INTERVAL / 2)
    return [
        WriteRows(
            state._cleaning.request, ((row.key, row.version),), ((row.key, None),)
        )
    ]


# ---------------------------------------------------------------------------
# What the table says


def _read_members(
    state: MembershipState, rows: tuple[Row, ...], now: datetime
) -> list[Effect]:
    changed, effects = _replace_members(state, rows)
    own = state._member.incarnation in state._members
    if state._phase is _Phase.LEAVING:
        return effects + _continue_leaving(state, now)
    if state._phase is _Phase.NEW:
        if not own:
            return effects + _write_registration(state, now)
        effects += _registered_by_read_back(state, now)
        changed = True
    if state._phase is not _Phase.REGISTERED:
        return effects
    if not state._map_readable:
        state._map_readable = True
        changed = True
        _want(state, PARTITIONS_PREFIX, now)
        _want(state, MANIFEST_KEY, now)
    if changed:
        _heartbeat_soon(state, now)
        effects.append(Local(MembersChanged(members(state))))
        effects += _drop_ended_peers(state)
    effects += _notice_own_row(state, own, now)
    _read_again(state, MEMBERS_PREFIX, now)
    return effects + _issue_reads(state, now)


def _registered_by_read_back(state: MembershipState, now: datetime) -> list[Effect]:
    """The answer to the registration was lost but the write took effect."""
    state._phase = _Phase.REGISTERED
    return [Log(logging.INFO, "registration found by reading back")]


def _continue_leaving(state: MembershipState, now: datetime) -> list[Effect]:
    own = state._members.get(state._member.incarnation)
    if own is None or own.ended:
        state._phase = _Phase.LEFT
        return []
    return _write_leave(state, now) if state._write is None else []


def _replace_members(
    state: MembershipState, rows: tuple[Row, ...]
) -> tuple[bool, list[Effect]]:
    effects: list[Effect] = []
    found_rows: dict[str, Row] = {}
    found: dict[str, Member] = {}
    for row in rows:
        state._members_version = max(state._members_version, row.version)
        try:
            member = member_from_row(row)
        except ValueError as error:
            effects.append(
                Log(logging.ERROR, "bad member row", fields=(("error", str(error)),))
            )
            continue
        found_rows[member.incarnation] = row
        found[member.incarnation] = member
    changed = found_rows != state._member_rows
    state._member_rows = found_rows
    state._members = found
    state._own_row = found_rows.get(state._member.incarnation)
    return changed, effects


def _notice_own_row(
    state: MembershipState, present: bool, now: datetime
) -> list[Effect]:
    """Drain when an operator asks for it, or when others take this process for gone.

    Others no longer wait for an ended incarnation's fence acknowledgements, so work
    that it took on would be unknown to the next home and could start twice. It takes
    nothing new from here on.
    """
    own = state._members.get(state._member.incarnation)
    ended = own is None or own.ended is not None
    if ended and not state._own_ended:
        state._own_ended = True
        log = Log(logging.ERROR, "this incarnation was ended by another process")
        return [log, *_start_draining(state, now)]
    if own is not None and own.draining and not state._draining:
        return _start_draining(state, now)
    return []


def _start_draining(state: MembershipState, now: datetime) -> list[Effect]:
    state._draining = True
    _heartbeat_soon(state, now)
    return [Local(Drain())]


def _read_partitions(
    state: MembershipState, rows: tuple[Row, ...], now: datetime
) -> list[Effect]:
    effects: list[Effect] = []
    found: list[PartitionRow] = []
    for row in rows:
        try:
            found.append(partition_from_row(row))
        except ValueError as error:
            effects.append(
                Log(logging.ERROR, "bad partition row", fields=(("error", str(error)),))
            )
    _read_again(state, PARTITIONS_PREFIX, now)
    changed = _merge_partitions(state, tuple(found))
    is_first = not state._map_read
    state._map_read = True
    if changed:
        _heartbeat_soon(state, now)
    if changed or is_first:
        # Executors refuse all starts until the map was read, be it empty.
        effects.append(Local(PartitionsChanged(changed)))
    return effects


def _merge_partitions(
    state: MembershipState, rows: tuple[PartitionRow, ...]
) -> tuple[PartitionRow, ...]:
    """Keep the newer row of each partition and return those that changed."""
    changed = []
    for row in rows:
        if not 0 <= row.partition < state._partition_count:
            continue
        state._partitions_version = max(state._partitions_version, row.version)
        known = state._partitions.get(row.partition)
        if known is None or row.version > known.version:
            state._partitions[row.partition] = row
            changed.append(row)
    return tuple(changed)


def _read_manifest(
    state: MembershipState, rows: tuple[Row, ...], now: datetime
) -> list[Effect]:
    _read_again(state, MANIFEST_KEY, now)
    for row in rows:
        if row.key == MANIFEST_KEY and row.value is not None:
            return _take_manifest(state, row.version, row.value, now)
    return []


def _take_manifest(
    state: MembershipState, version: int, text: str, now: datetime
) -> list[Effect]:
    """Put a manifest in force if it is newer.

    A late read or a peer that lags would otherwise bring an older version back, and
    the configuration in force would fall; only a higher version is ever taken.
    """
    if version <= max(state._manifest_version, state._rejected_manifest):
        return []
    result = state._parse_manifest(text)
    if not isinstance(result, Success):
        state._rejected_manifest = version
        fields = (("version", version), ("errors", "; ".join(result.failure())))
        return [Log(logging.ERROR, "invalid manifest ignored", fields=fields)]
    state._manifest = result.unwrap()
    state._manifest_text = text
    state._manifest_version = version
    _heartbeat_soon(state, now)
    return [
        ApplyManifest(version, text),
        Count(Counter.MANIFEST_APPLIED),
        Local(ManifestChanged(version, state._manifest)),
    ]


def _read_again(state: MembershipState, prefix: str, now: datetime) -> None:
    """Entries look at the table now and then, so that changes reach the heartbeats."""
    if state._member.role is Role.ENTRY:
        spread = 0.75 + 0.5 * state._random.random()
        _want(state, prefix, now + ENTRY_READ_INTERVAL * spread)


# ---------------------------------------------------------------------------
# Peers


def _heartbeat(state: MembershipState, now: datetime, answer: bool) -> Heartbeat:
    return Heartbeat(
        incarnation=state._member.incarnation,
        clock=now,
        manifest_version=state._manifest_version,
        members_version=state.members_version,
        partitions_version=state.partitions_version,
        load=state._load,
        leaving=state._draining,
        answer=answer,
    )


def _heartbeat_soon(state: MembershipState, now: datetime) -> None:
    """Bring the next heartbeat forward so that a change spreads without delay."""
    earliest = now
    if state._last_heartbeat is not None:
        earliest = max(now, state._last_heartbeat + HEARTBEAT_SOONEST)
    if state._next_heartbeat is None or earliest < state._next_heartbeat:
        state._next_heartbeat = earliest


def _heartbeats(state: MembershipState, now: datetime) -> list[Effect]:
    if state._phase is not _Phase.REGISTERED or not state._map_readable:
        return []
    if state._next_heartbeat is not None and now < state._next_heartbeat:
        return []
    state._last_heartbeat = now
    state._next_heartbeat = now + HEARTBEAT_INTERVAL
    message = _heartbeat(state, now, answer=False)
    effects: list[Effect] = []
    for peer in _heartbeat_peers(state):
        state._unanswered.setdefault(peer, now)
        effects.append(Send(peer, message))
    return effects


def _heartbeat_peers(state: MembershipState) -> list[str]:
    """Return all peers while they are few; else ring successors and random ones.

    The successors make sure that each process is watched by somebody; the random ones
    spread versions to everybody in a number of rounds that grows with the logarithm.
    """
    own = state._member.incarnation
    peers = sorted(
        incarnation
        for incarnation, member in state._members.items()
        if member.ended is None and incarnation != own
    )
    if len(peers) <= FULL_MESH_LIMIT:
        return peers
    start = sum(peer < own for peer in peers)
    ring = [peers[(start + step) % len(peers)] for step in range(RING_PEERS)]
    others = [peer for peer in peers if peer not in ring]
    return ring + state._random.sample(others, RANDOM_PEERS)


def _heard(state: MembershipState, peer: str) -> list[Effect]:
    member = state._members.get(peer)
    has_ended = member is not None and member.ended is not None
    if has_ended or peer in state._reachable:
        return []
    state._reachable.add(peer)
    return [_reachability(state)]


def _lost(state: MembershipState, peer: str) -> list[Effect]:
    state._unanswered.pop(peer, None)
    state._heartbeats.pop(peer, None)
    state._clock_check.forget(peer)
    if peer not in state._reachable:
        return []
    state._reachable.discard(peer)
    return [_reachability(state), Count(Counter.PEER_LOST)]


def _reachability(state: MembershipState) -> Local:
    return Local(ReachabilityChanged(reachable(state)))


def _expire_unanswered(state: MembershipState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for peer, asked in list(state._unanswered.items()):
        if now - asked > ANSWER_WITHIN:
            effects += _lost(state, peer)
    return effects


def _forgive_own_pause(state: MembershipState, now: datetime) -> None:
    """After our own pause, judge nobody by questions asked before it.

    The answers wait unread in our buffers: all peers would look silent for a moment,
    and their clocks behind ours.
    """
    paused = state._last_tick is not None and now - state._last_tick > OWN_PAUSE
    state._last_tick = now
    if paused:
        state._unanswered.clear()


def _drop_ended_peers(state: MembershipState) -> list[Effect]:
    """Forget peers that ended, so that what is kept about peers stays bounded."""
    effects: list[Effect] = []
    for peer in sorted(state._reachable | set(state._unanswered)):
        member = state._members.get(peer)
        if member is not None and member.ended is not None:
            effects += _lost(state, peer)
    return effects


def _check_clock(
    state: MembershipState, peer: str, peer_time: datetime, now: datetime
) -> list[Effect]:
    asked = state._unanswered.get(peer)
    if asked is None:
        return []
    skew = state.policy.clock_skew
    state._clock_check.note_answer(peer, asked, now, peer_time, skew)
    was_off = state._clock_off
    state._clock_off = state._clock_check.is_off()
    if state._clock_off == was_off:
        return []
    event = "clock is off" if state._clock_off else "clock agrees again"
    seconds = (peer_time - now).total_seconds()
    return [Log(logging.ERROR, event, fields=(("peer_ahead_seconds", seconds),))]


def _catch_up(
    state: MembershipState, peer: str, heartbeat: Heartbeat, now: datetime
) -> list[Effect]:
    """Fetch what the peer has and we lack: rows from the table, a manifest from it."""
    if state._phase is not _Phase.REGISTERED:
        return []
    if heartbeat.members_version > state.members_version:
        _want_spaced(state, MEMBERS_PREFIX, now)
    if heartbeat.partitions_version > state.partitions_version:
        _want_spaced(state, PARTITIONS_PREFIX, now)
    effects = _issue_reads(state, now)
    if heartbeat.manifest_version > max(
        state._manifest_version, state._rejected_manifest
    ):
        effects += _ask_manifest(state, peer, now)
    return effects


def _ask_manifest(state: MembershipState, peer: str, now: datetime) -> list[Effect]:
    asked = state._manifest_asked
    if asked is not None and now - asked < MANIFEST_ASK_AGAIN:
        return []
    state._manifest_asked = now
    return [Send(peer, ManifestRequest(state._manifest_version))]
