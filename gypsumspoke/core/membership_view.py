"""Applies member, partition and manifest rows read from the table.

Partition rows and manifests only replace lower versions, because answers to
overlapping reads may arrive out of order.
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
from gypsumspoke.core.heartbeats import drop_ended_peers, expedite_heartbeat
from gypsumspoke.core.membership_state import MembershipState, Phase
from gypsumspoke.core.registration import (
    confirm_registration,
    continue_leaving,
    write_registration,
)
from gypsumspoke.core.rows import (
    MANIFEST_KEY,
    MEMBERS_PREFIX,
    PARTITIONS_PREFIX,
    member_from_row,
    partition_from_row,
)
from gypsumspoke.core.table_reads import (
    issue_reads,
    schedule_periodic_read,
    schedule_read,
)
from gypsumspoke.core.values import Member, PartitionRow, Row


def apply_member_rows(
    state: MembershipState, rows: tuple[Row, ...], now: datetime
) -> list[Effect]:
    """Apply the member rows and continue this process's registration."""
    changed, effects = _replace_members(state, rows)
    own = state.member.incarnation in state.members
    if state.phase is Phase.LEAVING:
        return effects + continue_leaving(state, now)
    if state.phase is Phase.NEW:
        if not own:
            return effects + write_registration(state, now)
        effects += confirm_registration(state, now)
        changed = True
    if state.phase is not Phase.REGISTERED:
        return effects
    if not state.map_readable:
        state.map_readable = True
        changed = True
        schedule_read(state, PARTITIONS_PREFIX, now)
        schedule_read(state, MANIFEST_KEY, now)
    if changed:
        expedite_heartbeat(state, now)
        effects.append(Local(MembersChanged(state.all_members())))
        effects += drop_ended_peers(state)
    effects += _check_own_row(state, now)
    schedule_periodic_read(state, MEMBERS_PREFIX, now)
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


def _check_own_row(state: MembershipState, now: datetime) -> list[Effect]:
    """Drain when an operator asks for it, or when this incarnation was ended.

    New homes don't wait for fence acknowledgements of ended incarnations. A task that
    this process started from now on would be unknown to them and could start twice.
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
    expedite_heartbeat(state, now)
    return [Local(Drain())]


def apply_partition_rows(
    state: MembershipState, rows: tuple[Row, ...], now: datetime
) -> list[Effect]:
    """Apply the rows of the partition map and publish those that changed."""
    effects: list[Effect] = []
    found: list[PartitionRow] = []
    for row in rows:
        try:
            found.append(partition_from_row(row))
        except ValueError as error:
            effects.append(
                Log(logging.ERROR, "bad partition row", fields=(("error", str(error)),))
            )
    schedule_periodic_read(state, PARTITIONS_PREFIX, now)
    changed = merge_partitions(state, tuple(found))
    is_first = not state.map_read
    state.map_read = True
    if changed:
        expedite_heartbeat(state, now)
    if changed or is_first:
        # Executors refuse all starts until the map has been read, even an empty one.
        effects.append(Local(PartitionsChanged(changed)))
    return effects


def merge_partitions(
    state: MembershipState, rows: tuple[PartitionRow, ...]
) -> tuple[PartitionRow, ...]:
    """Keep the newer row of each partition and return the rows that changed."""
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


def apply_manifest_rows(
    state: MembershipState, rows: tuple[Row, ...], now: datetime
) -> list[Effect]:
    """Apply the manifest's row, if there is one."""
    schedule_periodic_read(state, MANIFEST_KEY, now)
    for row in rows:
        if row.key == MANIFEST_KEY and row.value is not None:
            return apply_manifest(state, row.version, row.value, now)
    return []


def apply_manifest(
    state: MembershipState, version: int, text: str, now: datetime
) -> list[Effect]:
    """Put a manifest in force if its version is higher than the current one.

    Otherwise a delayed read or an outdated peer could revert the configuration.
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
    expedite_heartbeat(state, now)
    return [
        ApplyManifest(version, text),
        Count(Counter.MANIFEST_APPLIED),
        Local(ManifestChanged(version, state.manifest)),
    ]
