"""Finds out the outcomes of attempts at an executor that has ended.

A message about a start or an outcome may be lost with its executor. But an executor
that leaves sends all its records to another one before it ends, and starts nothing
afterwards. So the home fences all executors again under its own epoch. If an answer
covers the ended executor, their records give the outcome of each attempt, and an
attempt without a record never started. Otherwise the attempts are unknown.

The home replicates its own records of the ended executor only after that; otherwise
they would come back in the answers, with the outcomes still unknown.
"""

import logging
from datetime import datetime

from gypsumspoke.core import adoption, dispatch
from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.effects import Count, Effect, Log, Send
from gypsumspoke.core.fences import complete_ack
from gypsumspoke.core.home_state import HomeState, Inquiry, PlacedAttempt
from gypsumspoke.core.messages import Fence, FenceAck, TaskOutcome
from gypsumspoke.core.start_records import supersedes
from gypsumspoke.core.values import (
    AttemptId,
    Load,
    Outcome,
    StartRecord,
    TaskState,
)

_EMPTY_LOAD = Load(0, 0, 0, None)


def handle_executor_ended(state: HomeState, lost: str, now: datetime) -> list[Effect]:
    """Start inquiries about an ended executor's attempts, or replicate its records."""
    effects: list[Effect] = []
    for partition in sorted(_open_partitions(state, lost)):
        effects += _start_inquiry(state, partition, lost, True, now)
    return effects or adoption.replicate_lost_records(state, lost, now)


def tick(state: HomeState, now: datetime) -> list[Effect]:
    """Resolve overdue inquiries, and start those about adopted attempts."""
    effects: list[Effect] = []
    for inquiry in list(state.inquiries.values()):
        if not _is_served(state, inquiry):
            effects += _close_inquiry(state, inquiry, now)
        elif now - inquiry.since >= state.policy.unreachable_after:
            # The same timeout as for attempts at a silent executor.
            effects += _resolve(state, inquiry, now)
    for executor in filter(state.takeover.has_ended, list(state.in_flight)):
        _drop_closed_attempts(state, executor)
        for partition in sorted(_open_partitions(state, executor)):
            if (partition, executor) not in state.inquiries:
                effects += _start_inquiry(state, partition, executor, False, now)
    return effects


def _drop_closed_attempts(state: HomeState, executor: str) -> None:
    """Drop attempts whose jobs have ended; they need no outcome."""
    for attempt, placed in list(state.in_flight[executor].items()):
        if not _is_open(attempt, placed):
            del state.in_flight[executor][attempt]


def handle_fence_ack(
    state: HomeState, message: FenceAck, now: datetime
) -> list[Effect]:
    """Handle one part of an executor's answer."""
    effects: list[Effect] = []
    for inquiry in list(state.inquiries.values()):
        name = message.incarnation
        asked_of = (inquiry.partition, inquiry.epoch)
        if asked_of != (message.partition, message.epoch) or name not in inquiry.asked:
            continue
        if not _is_served(state, inquiry):
            continue
        parts = inquiry.parts.setdefault(name, [])
        parts.append(message)
        answer = complete_ack(parts, message)
        if not answer:
            continue
        inquiry.asked.discard(name)
        inquiry.heard += answer
        if not inquiry.asked or _is_conclusive(state, inquiry):
            effects += _resolve(state, inquiry, now)
    return effects


def _open_partitions(state: HomeState, executor: str) -> set[int]:
    """Return the served partitions with open attempts at an executor."""
    return {
        placed.job.partition
        for attempt, placed in state.in_flight.get(executor, {}).items()
        if _is_open(attempt, placed) and state.serving(placed.job.partition)
    }


def _is_open(attempt: AttemptId, placed: PlacedAttempt) -> bool:
    return not placed.job.dropped and placed.job.slots[placed.task].attempt == attempt


def _is_served(state: HomeState, inquiry: Inquiry) -> bool:
    ownership = state.serving(inquiry.partition)
    return ownership is not None and ownership.epoch == inquiry.epoch


def _start_inquiry(
    state: HomeState, partition: int, lost: str, transfers_records: bool, now: datetime
) -> list[Effect]:
    ownership = state.takeover.owned[partition]
    asked = {member.incarnation for member in state.takeover.sidecars}
    inquiry = Inquiry(lost, partition, ownership.epoch, asked, transfers_records, now)
    state.inquiries[partition, lost] = inquiry
    fence = Fence(partition, ownership.epoch)
    effects: list[Effect] = [Count(Counter.ENDED_ASKED_FOR)]
    for name in sorted(asked):
        effects += [Count(Counter.FENCE_SENT), Send(name, fence)]
    return effects


def _is_covered(inquiry: Inquiry) -> bool:
    return any(inquiry.lost in part.covers for part in inquiry.heard)


def _outcomes(state: HomeState, inquiry: Inquiry) -> list[TaskOutcome]:
    return [
        _outcome(attempt, placed, inquiry.heard)
        for attempt, placed in state.in_flight.get(inquiry.lost, {}).items()
        if placed.job.partition == inquiry.partition and _is_open(attempt, placed)
    ]


def _is_conclusive(state: HomeState, inquiry: Inquiry) -> bool:
    """Return whether the answers so far give the outcome of every attempt."""
    if not _is_covered(inquiry):
        return False
    outcomes = _outcomes(state, inquiry)
    return all(one.outcome is not Outcome.UNKNOWN for one in outcomes)


def _resolve(state: HomeState, inquiry: Inquiry, now: datetime) -> list[Effect]:
    """Apply the outcomes found, or record the attempts as unknown without cover."""
    partition, lost = inquiry.partition, inquiry.lost
    is_covered = _is_covered(inquiry)
    fields = (("executor", lost), ("partition", partition), ("covered", is_covered))
    effects: list[Effect] = [
        Log(logging.INFO, "inquiry about ended executor resolved", fields=fields)
    ]
    if is_covered:
        for outcome in _outcomes(state, inquiry):
            effects += dispatch.handle_task_outcome(state, outcome, lost, now)
    else:
        effects += dispatch.fail_attempts(state, lost, now, partition)
    return effects + _close_inquiry(state, inquiry, now)


def _close_inquiry(state: HomeState, inquiry: Inquiry, now: datetime) -> list[Effect]:
    """Close an inquiry; after an executor's last one, replicate its records."""
    del state.inquiries[inquiry.partition, inquiry.lost]
    others = [one for one in state.inquiries.values() if one.lost == inquiry.lost]
    if not inquiry.transfers_records:
        return []
    if others:
        others[0].transfers_records = True
        return []
    return adoption.replicate_lost_records(state, inquiry.lost, now)


def _outcome(
    attempt: AttemptId, placed: PlacedAttempt, heard: list[FenceAck]
) -> TaskOutcome:
    """Return the outcome of an attempt by the records in all answers."""
    record = _best_record(attempt, heard)
    outcome, result = Outcome.UNKNOWN, b""
    reason = RetryReason.SILENT_EXECUTOR
    if record is None:
        # A missing record proves nothing if it may have expired.
        if all(placed.job.submission.birth >= part.forgotten_before for part in heard):
            outcome, reason = Outcome.NOT_RUN, RetryReason.NEVER_SEEN
    elif record.attempt == attempt and record.state is TaskState.FAILED:
        outcome, reason = Outcome.FAILED, RetryReason.ALREADY_STARTED
    elif record.attempt == attempt and record.state is TaskState.DONE:
        if record.result is not None:
            outcome, result = Outcome.DONE, record.result
    return TaskOutcome(attempt, outcome, result, reason.value, _EMPTY_LOAD, None)


def _best_record(attempt: AttemptId, heard: list[FenceAck]) -> StartRecord | None:
    best = None
    for record in (record for part in heard for record in part.started):
        place = (record.attempt.key, record.attempt.task)
        if place == (attempt.key, attempt.task):
            if best is None or supersedes(record, best):
                best = record
    return best
