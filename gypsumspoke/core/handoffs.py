"""Handoff of a partition, with its complete ledger, to the home preferred for it.

The next home claims the row that the handoff names. Until it acknowledges, the previous
home neither serves the partition nor answers for its keys. Without an acknowledgement
in time the previous home takes the partition back under a new epoch.
"""

from datetime import datetime

from gypsumspoke.core.claims import claim, fail_claim
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

MAX_CONCURRENT_HANDOFFS = 8
PROBE = REQUEST_PREFIX + "probe"


def probe_for_handoffs(state: TakeoverState) -> list[Effect]:
    """Read the table if handoffs are due, to check that it answers.

    The next home must write its claim to the table, so a handoff would fail otherwise.
    """
    due = _handoffs_due(state)
    if not due:
        return []
    return [ReadRows(f"{PROBE}:0:0", partition_key(due[0].partition))]


def handle_probe_read(state: TakeoverState, event: RowsRead) -> list[Effect]:
    """Start the due handoffs if the table answered."""
    if event.rows is not None:
        state.notices += _handoffs_due(state)
    return []


def _handoffs_due(state: TakeoverState) -> list[HandoffDue]:
    handing = sum(
        ownership.phase is Phase.HANDING_OVER for ownership in state.owned.values()
    )
    due: list[HandoffDue] = []
    for partition, ownership in sorted(state.owned.items()):
        if len(due) + handing >= MAX_CONCURRENT_HANDOFFS:
            break
        target = preferred(state, partition)
        if ownership.phase is not Phase.SERVING or target is None:
            continue
        if target.incarnation != state.incarnation:
            due.append(HandoffDue(partition, target.incarnation))
    return due


def begin_handoff(
    state: TakeoverState, partition: int, handed: HandedLedger, now: datetime
) -> PartitionRow:
    """Stop serving a partition; keep ``handed`` in case the handoff fails.

    Returns:
      The row that the next home must replace.
    """
    ownership = state.owned[partition]
    ownership.phase = Phase.HANDING_OVER
    ownership.last_request = now
    ownership.handed = handed
    return state.rows[partition]


def reclaim(state: TakeoverState, partition: int, now: datetime) -> list[Effect]:
    """Take a partition back under a new epoch after its handoff failed.

    The next home may still hold the ledger that was handed over. The new epoch makes
    its claim fail, so that it can't serve from an outdated ledger.
    """
    handed = state.owned[partition].handed
    row = state.rows[partition]
    return claim(state, partition, row, handed, "", now)


def handle_handoff(
    state: TakeoverState, message: Handoff, sender: str, now: datetime
) -> list[Effect]:
    """Apply one chunk of a ledger; claim the partition once all have arrived."""
    source = (sender, message.partition, message.epoch)
    if state.leaving or not state.map_known:
        refused = HandoffAck(message.partition, message.epoch, False)
        return [Send(sender, refused)]
    effects: list[Effect] = []
    ownership = state.owned.get(message.partition)
    if ownership is not None:
        if ownership.phase is not Phase.CLAIMING or ownership.epoch > message.epoch:
            return []
        # The sender holds this epoch or a later one, so the claim under way fails.
        effects += fail_claim(state, ownership)
    parts = state.incoming.setdefault(source, {})
    parts[message.chunk] = message
    if len(parts) < message.chunks:
        return effects
    del state.incoming[source]
    known = state.rows.get(message.partition)
    if known is not None and known.epoch > message.epoch:
        refused = HandoffAck(message.partition, message.epoch, False)
        return [*effects, Send(sender, refused)]
    row = PartitionRow(message.partition, sender, message.epoch, now, message.version)
    handed = _join_parts([parts[number] for number in sorted(parts)])
    effects.append(Count(Counter.HANDOFF_TAKEN))
    return effects + claim(state, message.partition, row, handed, sender, now)


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
    """End a handoff; take the partition back if the next home refused it."""
    ownership = state.owned.get(message.partition)
    if ownership is None or ownership.phase is not Phase.HANDING_OVER:
        return []
    if ownership.epoch != message.epoch:
        return []
    if message.taken:
        drop_ownership(state, ownership)
        return []
    return reclaim(state, message.partition, now)
