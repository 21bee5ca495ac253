"""Claims partitions in the platform's table.

A claim is a compare-and-set of the partition's row to the next epoch. If its answer is
lost, the row is read back. A home that loses the race drops its claim.
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


def claim_unserved(state: TakeoverState, now: datetime) -> list[Effect]:
    """Claim unserved partitions for which this home is the preferred owner."""
    if not _may_claim(state, now):
        return []
    effects: list[Effect] = []
    for partition in range(state.partition_count):
        if partition in state.owned or not _prefers_this_home(state, partition):
            continue
        row = state.rows.get(partition)
        if row is None or _is_abandoned(state, row, now):
            effects += claim(state, partition, row, None, "", now)
    return effects


def _may_claim(state: TakeoverState, now: datetime) -> bool:
    """Return whether this home may claim.

    After joining it waits for peers to connect, so as not to claim their partitions.
    """
    if state.leaving or not state.map_known or state.joined is None:
        return False
    return now - state.joined >= state.policy.takeover_after


def _prefers_this_home(state: TakeoverState, partition: int) -> bool:
    owner = preferred(state, partition)
    return owner is not None and owner.incarnation == state.incarnation


def _is_abandoned(state: TakeoverState, row: PartitionRow, now: datetime) -> bool:
    """Return whether an owner has ended, or is silent while most others are reachable.

    Without the majority a process cut off from all others would claim every partition,
    fail to fence the executors and leave all partitions unserved. This affects only
    availability; safety does not depend on it.
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
    handoff_sender: str,
    now: datetime,
) -> list[Effect]:
    """Claim a partition under the next epoch.

    Args:
      state: changed in place.
      partition: number of the partition.
      row: the row to replace; None for a first claim.
      handed: the ledger that the former owner handed over, if any.
      handoff_sender: incarnation that waits for a HandoffAck; empty without a handoff.
      now: the current time.
    """
    epoch = row.epoch + 1 if row is not None else 1
    ownership = Ownership(partition, epoch, row, handed, handoff_sender, now)
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


def read_back_claim(ownership: Ownership, now: datetime) -> list[Effect]:
    """Read back a claim without an answer: it may have taken effect."""
    ownership.last_request = now
    key = partition_key(ownership.partition)
    return [
        Count(RetryReason.TABLE_ANSWER_LOST),
        ReadRows(request_id(CHECK, ownership), key),
    ]


def handle_rows_written(
    state: TakeoverState, event: RowsWritten, now: datetime
) -> list[Effect]:
    """Apply the outcome of a claim's write."""
    ownership = ownership_of_request(state, event.request)
    if ownership is None or ownership.phase is not Phase.CLAIMING:
        return []
    if event.outcome is WriteOutcome.COMMITTED:
        return _claimed(state, ownership, event.revision, now)
    if event.outcome is WriteOutcome.CONFLICT:
        return [Count(RetryReason.TABLE_CONFLICT)] + read_back_claim(ownership, now)
    return read_back_claim(ownership, now)


def handle_claim_read(
    state: TakeoverState, ownership: Ownership, event: RowsRead, now: datetime
) -> list[Effect]:
    """Apply the row read back after a claim whose outcome is uncertain."""
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
        return fail_claim(state, ownership)
    ownership.last_request = now
    if _is_superfluous(state, ownership, now):
        return fail_claim(state, ownership)
    return [_claim_write(state, ownership, now)]


def _is_superfluous(state: TakeoverState, ownership: Ownership, now: datetime) -> bool:
    """Return whether the former owner came back before the claim was written."""
    former = ownership.replaced_row
    if former is None or ownership.handed is not None:
        return False
    if former.owner == state.incarnation:
        return False
    return not _is_abandoned(state, former, now)


def fail_claim(state: TakeoverState, ownership: Ownership) -> list[Effect]:
    """Drop a claim, and tell the home that handed the partition over, if any."""
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
        # The partition never had an owner, so no key was started or refused.
        ownership.floor = Floor(ownership.epoch, 0, _before_any_birth(now), None)
        ownership.remembered = True
        return effects + start_serving(state, ownership, {}, (), now)
    return effects + read_members(ownership, now)


def _before_any_birth(now: datetime) -> datetime:
    """Return the earliest time, which precedes every birth."""
    return datetime.min.replace(tzinfo=now.tzinfo)
