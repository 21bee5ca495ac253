"""Epochs: an executor refuses requests from homes that have been replaced.

The highest epoch seen for a partition counts, whether it came from a fence, the
partition map, a start or a closed job.
"""

from datetime import datetime

from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.effects import Count, Effect, Send
from gypsumspoke.core.events import PartitionsChanged
from gypsumspoke.core.executor_state import ExecutorState
from gypsumspoke.core.messages import CloseAck, CloseJob, Fence, FenceRefused
from gypsumspoke.core.start_records import fence_acks
from gypsumspoke.core.task_starts import raise_epoch, refuse_waiting


def handle_fence(
    message: Fence, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    """Refuse lower epochs from now on and send the records of the partition."""
    highest = state.epochs.get(message.partition, 0)
    if message.epoch < highest:
        refused = FenceRefused(message.partition, message.epoch, highest)
        return [Count(Counter.REFUSED_BY_EPOCH), Send(sender, refused)]
    effects = raise_epoch(state, message.partition, message.epoch)
    acks = fence_acks(
        state.records, message.partition, message.epoch, state.incarnation
    )
    return (
        effects
        + [Count(Counter.FENCE_ACKNOWLEDGED)]
        + [Send(sender, ack) for ack in acks]
    )


def handle_close_job(
    message: CloseJob, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    """Confirm an epoch and store the closed jobs."""
    if state.leaving:
        # The records may have been sent to another executor already, without this one.
        return []
    highest = state.epochs.get(message.partition, 0)
    if message.epoch < highest or not state.map_known:
        refused = FenceRefused(message.partition, message.epoch, highest)
        return [Count(Counter.REFUSED_BY_EPOCH), Send(sender, refused)]
    effects = raise_epoch(state, message.partition, message.epoch)
    keys = {record.key for record in message.closed}
    for record in message.closed:
        state.records.close(message.partition, record)
    stale = [waiting for waiting in state.waiting if waiting.start.attempt.key in keys]
    effects += refuse_waiting(state, stale, RetryReason.JOB_CLOSED)
    ack = CloseAck(message.partition, message.epoch, message.confirmation)
    return effects + [Send(sender, ack)]


def handle_partitions_changed(
    event: PartitionsChanged, state: ExecutorState, now: datetime
) -> list[Effect]:
    """Apply the epochs of the partition map."""
    state.map_known = True
    effects: list[Effect] = []
    for row in event.rows:
        effects += raise_epoch(state, row.partition, row.epoch)
    return effects
