"""Takes in what the table says: members, partition map and manifest.

Rows only ever replace older ones, by the table's version, since reads overlap and
answers may arrive late or crossed.
"""

import logging
from datetime import datetime

from returns.result import Success

from gypsumspoke.core.counters import Counter
from gypsumspoke.core.effects import ApplyManifest, Count, Effect, Local, Log
from gypsumspoke.core.events import (
    Drain,
    ManifestChanged,
    MembersChanged,
    PartitionsChanged,
)
from gypsumspoke.core.heartbeats import drop_ended_peers, heartbeat_soon
from gypsumspoke.core.membership_state import MembershipState, Phase
from gypsumspoke.core.registration import (
    continue_leaving,
    registered_by_read_back,
    write_registration,
)
from gypsumspoke.core.rows import (
    MANIFEST_KEY,
    MEMBERS_PREFIX,
    PARTITIONS_PREFIX,
    member_from_row,
    partition_from_row,
)
from gypsumspoke.core.table_reads import issue_reads, read_again, want
from gypsumspoke.core.values import Member, PartitionRow, Row


def read_members(
    state: MembershipState, rows: tuple[Row, ...], now: datetime
) -> list[Effect]:
    """Take the member rows, and go on with the own registration by them."""
    changed, effects = _replace_members(state, rows)
    own = state.member.incarnation in state.members
    if state.phase is Phase.LEAVING:
        return effects + continue_leaving(state, now)
    if state.phase is Phase.NEW:
        if not own:
            return effects + write_registration(state, now)
        effects += registered_by_read_back(state, now)
        changed = True
    if state.phase is not Phase.REGISTERED:
        return effects
    if not state.map_readable:
        state.map_readable = True
        changed = True
        want(state, PARTITIONS_PREFIX, now)
        want(state, MANIFEST_KEY, now)
    if changed:
        heartbeat_soon(state, now)
        effects.append(Local(MembersChanged(state.all_members())))
        effects += drop_ended_peers(state)
    effects += _notice_own_row(state, now)
    read_again(state, MEMBERS_PREFIX, now)
    return effects + issue_reads(state, now)


def _replace_members(
    state: MembershipState, rows: tuple[Row, ...]
) -> tuple[bool, list[Effect]]:
    effects: list[Effect] = []
    found_rows: dict[str, Row] = {}
    found: dict[str, Member] = {}
    for row in rows:
        state.members_version = max(state.members_version, row.version)
        try:
            member = member_from_row(row)
        except ValueError as error:
            effects.append(
                Log(logging.ERROR, "bad member row", fields=(("error", str(error)),))
            )
            continue
        found_rows[member.incarnation] = row
        found[member.incarnation] = member
    changed = found_rows != state.member_rows
    state.member_rows = found_rows
    state.members = found
    state.own_row = found_rows.get(state.member.incarnation)
    return changed, effects


def _notice_own_row(state: MembershipState, now: datetime) -> list[Effect]:
    """Drain when an operator asks for it, or when others take this process for gone.

    Others no longer wait for an ended incarnation's fence acknowledgements, so work
    that it took on would be unknown to the next home and could start twice. It takes
    nothing new from here on.
    """
    own = state.members.get(state.member.incarnation)
    ended = own is None or own.ended is not None
    if ended and not state.own_ended:
        state.own_ended = True
        log = Log(logging.ERROR, "this incarnation was ended by another process")
        return [log, *_start_draining(state, now)]
    if own is not None and own.draining and not state.draining:
        return _start_draining(state, now)
    return []


def _start_draining(state: MembershipState, now: datetime) -> list[Effect]:
    state.draining = True
    heartbeat_soon(state, now)
    return [Local(Drain())]


def read_partitions(
    state: MembershipState, rows: tuple[Row, ...], now: datetime
) -> list[Effect]:
    """Take the rows of the partition map and tell those that changed."""
    effects: list[Effect] = []
    found: list[PartitionRow] = []
    for row in rows:
        try:
            found.append(partition_from_row(row))
        except ValueError as error:
            effects.append(
                Log(logging.ERROR, "bad partition row", fields=(("error", str(error)),))
            )
    read_again(state, PARTITIONS_PREFIX, now)
    changed = merge_partitions(state, tuple(found))
    is_first = not state.map_read
    state.map_read = True
    if changed:
        heartbeat_soon(state, now)
    if changed or is_first:
        # Executors refuse all starts until the map was read, be it empty.
        effects.append(Local(PartitionsChanged(changed)))
    return effects


def merge_partitions(
    state: MembershipState, rows: tuple[PartitionRow, ...]
) -> tuple[PartitionRow, ...]:
    """Keep the newer row of each partition and return those that changed."""
    changed = []
    for row in rows:
        if not 0 <= row.partition < state.partition_count:
            continue
        state.partitions_version = max(state.partitions_version, row.version)
        known = state.partitions.get(row.partition)
        if known is None or row.version > known.version:
            state.partitions[row.partition] = row
            changed.append(row)
    return tuple(changed)


def read_manifest(
    state: MembershipState, rows: tuple[Row, ...], now: datetime
) -> list[Effect]:
    """Take the manifest's row, if there is one yet."""
    read_again(state, MANIFEST_KEY, now)
    for row in rows:
        if row.key == MANIFEST_KEY and row.value is not None:
            return take_manifest(state, row.version, row.value, now)
    return []


def take_manifest(
    state: MembershipState, version: int, text: str, now: datetime
) -> list[Effect]:
    """Put a manifest in force if it is newer.

    A late read or a peer that lags would otherwise bring an older version back, and
    the configuration in force would fall; only a higher version is ever taken.
    """
    if version <= max(state.manifest_version, state.rejected_manifest):
        return []
    result = state.parse_manifest(text)
    if not isinstance(result, Success):
        state.rejected_manifest = version
        fields = (("version", version), ("errors", "; ".join(result.failure())))
        return [Log(logging.ERROR, "invalid manifest ignored", fields=fields)]
    state.manifest = result.unwrap()
    state.manifest_text = text
    state.manifest_version = version
    heartbeat_soon(state, now)
    return [
        ApplyManifest(version, text),
        Count(Counter.MANIFEST_APPLIED),
        Local(ManifestChanged(version, state.manifest)),
    ]
