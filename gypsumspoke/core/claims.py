"""Claiming partitions in the platform's table.

A claim is a compare-and-set of the partition's row to the next epoch. Its answer may be
lost, so it is read back; whoever loses the race drops it.
"""

from datetime import datetime

from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.effects import Count, Effect, Local, ReadRows, Send, WriteRows
from gypsumspoke.core.events import (
    PartitionsChanged,
    RowsRead,
    RowsWritten,
    WriteOutcome,
)
from gypsumspoke.core.fences import read_members, start_serving
from gypsumspoke.core.ledger import Floor
from gypsumspoke.core.messages import HandoffAck
from gypsumspoke.core.ownership import HandedLedger, Ownership, Phase
from gypsumspoke.core.rows import partition_from_row, partition_key, partition_value
from gypsumspoke.core.takeover_state import (
    REQUEST_PREFIX,
    TakeoverState,
    drop_ownership,
    is_silent,
    ownership_log,
    ownership_of_request,
    preferred,
    request_id,
)
from gypsumspoke.core.values import PartitionRow

CLAIM = REQUEST_PREFIX + "claim"
CHECK = REQUEST_PREFIX + "check"


def claim_due(state: TakeoverState, now: datetime) -> list[Effect]:
    """Claim partitions that nobody serves and that prefer this home."""
    if not _may_claim(state, now):
        return []
    effects: list[Effect] = []
    for partition in range(state.partition_count):
        if partition in state.owned or not _prefers_me(state, partition):
            continue
        row = state.rows.get(partition)
        if row is None or _is_abandoned(state, row, now):
            effects += claim(state, partition, row, None, "", now)
    return effects


def _may_claim(state: TakeoverState, now: datetime) -> bool:
    """Wait after joining until peers had time to connect, so as not to claim theirs."""
    if state.leaving or not state.map_known or state.joined is None:
        return False
    return now - state.joined >= state.policy.takeover_after


def _prefers_me(state: TakeoverState, partition: int) -> bool:
    owner = preferred(state, partition)
    return owner is not None and owner.incarnation == state.incarnation


def _is_abandoned(state: TakeoverState, row: PartitionRow, now: datetime) -> bool:
    """Return whether an owner is gone or silent, seen from a majority.

    A process that was cut off from all others would otherwise claim every partition,
    fail to fence, and leave all of them unserved. Seeing most of the others, it is
    the owner that is cut off. Safety does not rest on this, only availability.
    """
    if row.owner == state.incarnation:
        return row.partition not in state.owned
    if state.has_ended(row.owner):
        return True
    if not is_silent(state, row.owner, now):
        return False
    others = {member.incarnation for member in state.sidecars} - {row.owner}
    seen = others & (state.reachable | {state.incarnation})
    return 2 * len(seen) > len(others)


def claim(
    state: TakeoverState,
    partition: int,
    row: PartitionRow | None,
    handed: HandedLedger | None,
    giver: str,
    now: datetime,
) -> list[Effect]:
    epoch = row.epoch + 1 if row is not None else 1
    ownership = Ownership(partition, epoch, row, handed, giver, now)
    state.owned[partition] = ownership
    return [
        Count(Counter.TAKEOVER_STARTED),
        ownership_log("partition claim sent", ownership),
        _claim_write(state, ownership, now),
    ]


def _claim_write(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> WriteRows:
    key = partition_key(ownership.partition)
    version = (
        ownership.replaced_row.version if ownership.replaced_row is not None else 0
    )
    value = partition_value(state.incarnation, ownership.epoch, now)
    return WriteRows(request_id(CLAIM, ownership), ((key, version),), ((key, value),))


def check_claim(ownership: Ownership, now: datetime) -> list[Effect]:
    """Read back a claim whose answer did not come: it may have taken effect."""
    ownership.last_request = now
    key = partition_key(ownership.partition)
    return [
        Count(RetryReason.TABLE_ANSWER_LOST),
        ReadRows(request_id(CHECK, ownership), key),
    ]


def handle_rows_written(
    state: TakeoverState, event: RowsWritten, now: datetime
) -> list[Effect]:
    """Apply the end of a claim's write."""
    ownership = ownership_of_request(state, event.request)
    if ownership is None or ownership.phase is not Phase.CLAIMING:
        return []
    if event.outcome is WriteOutcome.COMMITTED:
        return _claimed(state, ownership, event.revision, now)
    if event.outcome is WriteOutcome.CONFLICT:
        return [Count(RetryReason.TABLE_CONFLICT)] + check_claim(ownership, now)
    return check_claim(ownership, now)


def claim_read(
    state: TakeoverState, ownership: Ownership, event: RowsRead, now: datetime
) -> list[Effect]:
    """Apply a read back of the partition's row while the claim is in doubt."""
    if event.rows is None or ownership.phase is not Phase.CLAIMING:
        return []
    key = partition_key(ownership.partition)
    found = [partition_from_row(row) for row in event.rows if row.key == key]
    row = found[0] if found else None
    if row is not None and row.epoch == ownership.epoch:
        if row.owner == state.incarnation:
            return _claimed(state, ownership, row.version, now)
    if row is not None and row.epoch >= ownership.epoch:
        state.rows[row.partition] = row
        return _claim_failed(state, ownership)
    ownership.last_request = now
    if _is_needless(state, ownership, now):
        return _claim_failed(state, ownership)
    return [_claim_write(state, ownership, now)]


def _is_needless(state: TakeoverState, ownership: Ownership, now: datetime) -> bool:
    """Return whether the owner came back while the table was down."""
    former = ownership.replaced_row
    if former is None or ownership.handed is not None:
        return False
    if former.owner == state.incarnation:
        return False
    return not _is_abandoned(state, former, now)


def _claim_failed(state: TakeoverState, ownership: Ownership) -> list[Effect]:
    drop_ownership(state, ownership)
    if not ownership.handoff_sender:
        return []
    answer = HandoffAck(ownership.partition, ownership.epoch - 1, False)
    return [Send(ownership.handoff_sender, answer)]


def _claimed(
    state: TakeoverState, ownership: Ownership, version: int, now: datetime
) -> list[Effect]:
    row = PartitionRow(
        ownership.partition, state.incarnation, ownership.epoch, now, version
    )
    state.rows[ownership.partition] = row
    effects: list[Effect] = [
        ownership_log("partition claimed", ownership),
        Local(PartitionsChanged((row,))),
    ]
    if ownership.handoff_sender:
        answer = HandoffAck(ownership.partition, ownership.epoch - 1, True)
        effects.append(Send(ownership.handoff_sender, answer))
    if ownership.replaced_row is None:
        # No home ever owned it, so nothing can have started or been refused.
        ownership.floor = Floor(ownership.epoch, 0, _never(now), None)
        ownership.remembered = True
        return effects + start_serving(state, ownership, {}, (), now)
    return effects + read_members(ownership, now)


def _never(now: datetime) -> datetime:
    """Return a time before every birth that is still accepted."""
    return datetime.min.replace(tzinfo=now.tzinfo)
