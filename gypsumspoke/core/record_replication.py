"""Replication of start records to other executors.

An executor sends its records when it leaves; a home sends those of its own or of a lost
executor. Without a second holder the loss of the first one would make keys unknown.
"""

from datetime import datetime, timedelta

from gypsumspoke.core.counters import Counter
from gypsumspoke.core.effects import Count, Effect, Send
from gypsumspoke.core.executor_state import ExecutorState
from gypsumspoke.core.messages import Remember, RememberAck
from gypsumspoke.core.start_records import remember_messages
from gypsumspoke.core.values import TaskState

OWN_RECORDS_EPOCH = 0
REMEMBER_RESEND_DELAY = timedelta(seconds=1)


def handle_remember(
    message: Remember, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    """Keep the records that another process sends."""
    if state.leaving:
        # They could be lost with this executor before it replicates them in turn.
        return []
    known = state.epochs.get(message.partition, 0)
    if message.epoch != OWN_RECORDS_EPOCH and message.epoch < known:
        # A replaced home that resumes doesn't know what its successor placed on the
        # executor whose records it sends. The successor fences this executor before it
        # places anything, so a stale epoch shows here.
        return [Count(Counter.REFUSED_BY_EPOCH)]
    set_id = (message.partition, message.source)
    parts = state.partial_remembers.setdefault(set_id, {})
    parts[message.chunk] = message
    if len(parts) < message.chunks:
        return []
    del state.partial_remembers[set_id]
    for part in parts.values():
        _add_records(state, part)
    state.records.add_covers(message.partition, message.covers)
    return [Send(sender, RememberAck(message.partition, message.source))]


def _add_records(state: ExecutorState, part: Remember) -> None:
    state.records.raise_forgotten_before(part.forgotten_before)
    for record in part.started:
        if record.state is TaskState.RUNNING:
            # It runs on another executor, whose outcome is not reported here.
            record = record._replace(state=TaskState.UNKNOWN)
        state.records.add(part.partition, record)
    for closed in part.closed:
        state.records.close(part.partition, closed)


def handle_remember_ack(
    message: RememberAck, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    """Record that another executor holds this one's records of a partition."""
    if message.source == state.incarnation and state.unreplicated is not None:
        state.unreplicated.discard(message.partition)
    return []


def replicate_records(state: ExecutorState, now: datetime) -> list[Effect]:
    """Send all records to another executor before leaving.

    Otherwise, if a home is lost later, no process would know whether its keys ran, and
    their callers would be answered "unknown".
    """
    if not state.leaving or not state.idle or state.unreplicated == set():
        return []
    if state.unreplicated is None:
        state.unreplicated = _partitions_to_replicate(state)
    sent = state.replication_sent
    if sent is not None and now - sent < REMEMBER_RESEND_DELAY:
        return []
    targets = sorted(state.reachable & state.sidecars - {state.incarnation})
    if not targets:
        return []
    state.replication_sent = now
    # Each round uses other targets: one that is leaving too does not answer.
    state.replication_round += 1
    effects: list[Effect] = []
    for partition in sorted(state.unreplicated):
        target = targets[(partition + state.replication_round) % len(targets)]
        effects += _send_records(state, partition, target)
    return effects


def _partitions_to_replicate(state: ExecutorState) -> set[int]:
    """Return the partitions whose records must be replicated.

    They include partitions without any start: a home that finds no cover of an executor
    that has left can't know that it started nothing, and would answer "unknown" for
    tasks that were only queued.
    """
    partitions = set(state.records.partitions())
    if state.sidecars - {state.incarnation}:
        partitions |= state.epochs.keys()
    return partitions


def _send_records(state: ExecutorState, partition: int, target: str) -> list[Effect]:
    chunks = state.records.chunks(partition)
    started = [record for chunk in chunks for record in chunk.started]
    closed = [record for chunk in chunks for record in chunk.closed]
    covers = state.records.covers(partition)
    messages = remember_messages(
        partition,
        OWN_RECORDS_EPOCH,
        state.incarnation,
        started,
        closed,
        covers,
        state.records.forgotten_before,
    )
    return [Send(target, message) for message in messages]
