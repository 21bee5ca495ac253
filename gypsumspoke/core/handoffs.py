"""Handing a partition to the home that it prefers, with its whole ledger.

The next home claims the row that the handoff names. Until it says that it did, the old
home neither serves the partition nor claims anything about it; if it does not say so in
time, the old home takes the partition back under a new epoch.
"""

from datetime import datetime

from gypsumspoke.core.claims import claim
from gypsumspoke.core.counters import Counter
from gypsumspoke.core.effects import Count, Effect, ReadRows, Send
from gypsumspoke.core.events import RowsRead
from gypsumspoke.core.messages import Handoff, HandoffAck
from gypsumspoke.core.ownership import HandedLedger, HandoffDue, Phase
from gypsumspoke.core.rows import partition_key
from gypsumspoke.core.takeover_state import (
    REQUEST_PREFIX,
    TakeoverState,
    drop_ownership,
    preferred,
)
from gypsumspoke.core.values import PartitionRow

HANDOFFS_AT_ONCE = 8
PROBE = REQUEST_PREFIX + "probe"


def probe_for_handoffs(state: TakeoverState) -> list[Effect]:
    """Hand over only while the table answers: the next home must write its claim."""
    wanted = _handoffs_wanted(state)
    if not wanted:
        return []
    return [ReadRows(f"{PROBE}:0:0", partition_key(wanted[0].partition))]


def probe_read(state: TakeoverState, event: RowsRead) -> list[Effect]:
    if event.rows is not None:
        state.notices += _handoffs_wanted(state)
    return []


def _handoffs_wanted(state: TakeoverState) -> list[HandoffDue]:
    handing = sum(
        ownership.phase is Phase.HANDING_OVER for ownership in state.owned.values()
    )
    wanted: list[HandoffDue] = []
    for partition, ownership in sorted(state.owned.items()):
        if len(wanted) + handing >= HANDOFFS_AT_ONCE:
            break
        target = preferred(state, partition)
        if ownership.phase is not Phase.SERVING or target is None:
            continue
        if target.incarnation != state.incarnation:
            wanted.append(HandoffDue(partition, target.incarnation))
    return wanted


def begin_handoff(
    state: TakeoverState, partition: int, handed: HandedLedger, now: datetime
) -> PartitionRow:
    """Stop serving a partition; ``handed`` is kept in case the handoff fails.

    Returns:
      The row that the next home must replace.
    """
    ownership = state.owned[partition]
    ownership.phase = Phase.HANDING_OVER
    ownership.last_request = now
    ownership.handed = handed
    return state.rows[partition]


def reclaim(state: TakeoverState, partition: int, now: datetime) -> list[Effect]:
    """Take a partition back whose handoff failed, under a new epoch.

    The next home may still hold the ledger that was handed over; the new epoch makes
    its claim fail, so that it can't serve from what is out of date by then.
    """
    handed = state.owned[partition].handed
    row = state.rows[partition]
    return claim(state, partition, row, handed, "", now)


def handle_handoff(
    state: TakeoverState, message: Handoff, sender: str, now: datetime
) -> list[Effect]:
    """Apply one chunk of a ledger; with the last one the partition is claimed."""
    place = (sender, message.partition, message.epoch)
    if state.leaving or not state.map_known:
        refused = HandoffAck(message.partition, message.epoch, False)
        return [Send(sender, refused)]
    if message.partition in state.owned:
        return []
    parts = state.incoming.setdefault(place, {})
    parts[message.chunk] = message
    if len(parts) < message.chunks:
        return []
    del state.incoming[place]
    known = state.rows.get(message.partition)
    if known is not None and known.epoch > message.epoch:
        return [Send(sender, HandoffAck(message.partition, message.epoch, False))]
    row = PartitionRow(message.partition, sender, message.epoch, now, message.version)
    handed = _join_parts([parts[number] for number in sorted(parts)])
    return [Count(Counter.HANDOFF_TAKEN)] + claim(
        state, message.partition, row, handed, sender, now
    )


def _join_parts(parts: list[Handoff]) -> HandedLedger:
    first = parts[0]
    return HandedLedger(
        first.floor,
        first.lossy_before,
        first.forgotten_before,
        tuple(record for part in parts for record in part.refused),
        tuple(record for part in parts for record in part.finished),
    )


def handle_handoff_ack(
    state: TakeoverState, message: HandoffAck, now: datetime
) -> list[Effect]:
    """End a handoff: the next home owns the partition, or it is taken back."""
    ownership = state.owned.get(message.partition)
    if ownership is None or ownership.phase is not Phase.HANDING_OVER:
        return []
    if ownership.epoch != message.epoch:
        return []
    if message.taken:
        drop_ownership(state, ownership)
        return []
    return reclaim(state, message.partition, now)
