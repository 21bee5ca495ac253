"""Starts tasks, refuses them, and reports their outcomes.

A start is recorded before the task's body is sent. An attempt that was answered "not
run" is remembered as refused, so that a late or repeated message can't start it.
"""

import logging
from collections import deque
from datetime import datetime, timedelta

from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.effects import Count, Effect, Log, Observe, Send, StartUpstream
from gypsumspoke.core.events import UpstreamAnswered
from gypsumspoke.core.executor_state import (
    ExecutorState,
    RunningTask,
    WaitingTask,
    load,
)
from gypsumspoke.core.messages import (
    AskAttempt,
    CancelTask,
    StartTask,
    TaskOutcome,
    TaskRunning,
)
from gypsumspoke.core.values import AttemptId, Outcome, StartRecord, TaskState

MAX_RECORDS = 200_000
_MEAN_RUN_SMOOTHING = 0.1

_STATE_OF_OUTCOME = {
    Outcome.DONE: TaskState.DONE,
    Outcome.FAILED: TaskState.FAILED,
    Outcome.UNKNOWN: TaskState.UNKNOWN,
}
_OUTCOME_OF_STATE = {state: outcome for outcome, state in _STATE_OF_OUTCOME.items()}


def start_task(
    message: StartTask, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    """Start a task, queue it, or refuse it."""
    attempt = message.attempt
    effects = raise_epoch(state, message.partition, attempt.epoch)
    known = state.records.find(message.partition, attempt.key, attempt.task)
    if known is not None and known.attempt == attempt:
        return effects + _report_state(state, message.partition, known, sender)
    if known is not None:
        return effects + _refuse_duplicate(state, attempt, sender)
    if _is_waiting(state, attempt):
        return effects + [Send(sender, TaskRunning(attempt, load(state)))]
    reason = _refusal_reason(state, message, now)
    if reason is not None:
        return effects + refuse(state, message, sender, reason)
    if len(state.running) < state.slots:
        return effects + _start(state, WaitingTask(message, sender, now), now)
    state.waiting.append(WaitingTask(message, sender, now))
    return effects


def _refusal_reason(
    state: ExecutorState, message: StartTask, now: datetime
) -> RetryReason | None:
    """Return why this attempt must not start, or None."""
    attempt = message.attempt
    if not state.map_known:
        # Without the map a stale epoch can't be recognized.
        return RetryReason.EXECUTOR_JOINING
    if attempt.epoch < state.epochs.get(message.partition, 0):
        return RetryReason.STALE_EPOCH
    if state.records.is_closed(message.partition, attempt.key):
        return RetryReason.JOB_CLOSED
    if state.refused.covers(attempt):
        return RetryReason.REFUSED_FOR_GOOD
    if state.pause_check.is_unverified:
        return RetryReason.EXECUTOR_PAUSED
    if state.leaving or state.upstream_leaving:
        return RetryReason.EXECUTOR_LEAVING
    if message.service != state.service:
        return RetryReason.WRONG_SERVICE
    if now >= message.deadline or now > message.birth + state.policy.retention:
        return RetryReason.DEADLINE_PASSED
    if message.birth < state.records.forgotten_before:
        return RetryReason.DEADLINE_PASSED
    return _capacity_refusal(state)


def _capacity_refusal(state: ExecutorState) -> RetryReason | None:
    if state.records.count + len(state.waiting) >= MAX_RECORDS:
        return RetryReason.EXECUTOR_QUEUE_FULL
    if len(state.running) < state.slots:
        return None
    if len(state.waiting) >= state.queue_limit:
        return RetryReason.EXECUTOR_QUEUE_FULL
    return None


def _start(state: ExecutorState, waiting: WaitingTask, now: datetime) -> list[Effect]:
    """Record a start, then send the task to the upstream."""
    message = waiting.start
    attempt = message.attempt
    record = StartRecord(
        attempt,
        message.submission_attempt,
        message.birth,
        message.digest,
        message.task_count,
        TaskState.RUNNING,
        None,
    )
    state.records.add(message.partition, record)
    state.running[attempt] = RunningTask(message.partition, waiting.home, now)
    waited = (now - waiting.since).total_seconds()
    return [
        Count(Counter.TASK_STARTED),
        Observe("queue_wait_seconds", waited),
        StartUpstream(
            attempt,
            message.service,
            message.not_repeatable,
            message.deadline,
            message.body,
        ),
    ]


def start_waiting(state: ExecutorState, now: datetime) -> list[Effect]:
    """Fill free slots from the queue; refuse tasks past their deadline."""
    effects: list[Effect] = []
    if state.pause_check.is_unverified:
        return effects
    while state.waiting and len(state.running) < state.slots:
        waiting = state.waiting.popleft()
        if now >= waiting.start.deadline:
            effects += refuse(
                state, waiting.start, waiting.home, RetryReason.DEADLINE_PASSED
            )
        else:
            effects += _start(state, waiting, now)
    return effects


def handle_upstream_answer(
    event: UpstreamAnswered, state: ExecutorState, now: datetime
) -> list[Effect]:
    """Record the outcome of a task and report it to its home."""
    attempt = event.attempt
    running = state.running.pop(attempt, None)
    if running is None:
        return [Count(Counter.LATE_ANSWER_DROPPED)]
    run_time = now - running.since
    if event.outcome is Outcome.NOT_RUN:
        # No byte reached the upstream: the task may start elsewhere, but this attempt
        # must not start here again.
        state.records.forget(running.partition, attempt)
        state.refused.add(attempt, now + state.policy.retention)
    else:
        result = event.result if event.outcome is Outcome.DONE else None
        ended = _STATE_OF_OUTCOME[event.outcome]
        state.records.finish(running.partition, attempt, ended, result)
    if event.outcome is Outcome.DONE:
        # Only successful tasks count, or a worker that fails fast would look fast.
        _update_mean_run(state, run_time)
    effects = start_waiting(state, now)
    outcome = TaskOutcome(
        attempt, event.outcome, event.result, event.reason, load(state), run_time
    )
    return [Send(running.home, outcome)] + effects


def _update_mean_run(state: ExecutorState, run_time: timedelta) -> None:
    if state.mean_run is None:
        state.mean_run = run_time
    else:
        state.mean_run += (run_time - state.mean_run) * _MEAN_RUN_SMOOTHING


def refuse(
    state: ExecutorState, message: StartTask, home: str, reason: RetryReason
) -> list[Effect]:
    """Answer "not run" and make sure that the attempt never starts."""
    state.refused.add(message.attempt, message.deadline)
    effects: list[Effect] = [
        Count(reason),
        Send(home, _not_run(state, message.attempt, reason)),
    ]
    if reason is RetryReason.STALE_EPOCH:
        effects.append(Count(Counter.REFUSED_BY_EPOCH))
        effects.append(_log_refusal("start refused: stale epoch", message.attempt))
    return effects


def _not_run(
    state: ExecutorState, attempt: AttemptId, reason: RetryReason
) -> TaskOutcome:
    return TaskOutcome(attempt, Outcome.NOT_RUN, b"", reason.value, load(state), None)


def _refuse_duplicate(
    state: ExecutorState, attempt: AttemptId, home: str
) -> list[Effect]:
    """Refuse a task that another attempt started, without a claim about that one."""
    reason = RetryReason.ALREADY_STARTED
    outcome = TaskOutcome(
        attempt, Outcome.UNKNOWN, b"", reason.value, load(state), None
    )
    return [
        Count(Counter.REFUSED_AS_DUPLICATE),
        _log_refusal("start refused: already started", attempt),
        Send(home, outcome),
    ]


def _log_refusal(event: str, attempt: AttemptId) -> Log:
    return Log(logging.INFO, event, attempt.key, attempt.task, attempt.number)


def _is_waiting(state: ExecutorState, attempt: AttemptId) -> bool:
    return any(waiting.start.attempt == attempt for waiting in state.waiting)


def _report_state(
    state: ExecutorState, partition: int, record: StartRecord, home: str
) -> list[Effect]:
    """Report a started task to a home; the outcome of a running one follows later."""
    attempt = record.attempt
    if attempt in state.running:
        state.running[attempt] = state.running[attempt]._replace(home=home)
        return [Send(home, TaskRunning(attempt, load(state)))]
    outcome = _OUTCOME_OF_STATE.get(record.state, Outcome.UNKNOWN)
    if outcome is Outcome.DONE and record.result is None:
        outcome = Outcome.UNKNOWN
    result = record.result or b""
    reason = "" if outcome is Outcome.DONE else RetryReason.ALREADY_STARTED.value
    return [
        Send(home, TaskOutcome(attempt, outcome, result, reason, load(state), None))
    ]


def report_attempt(
    message: AskAttempt, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    """Report the state of an attempt; refuse it for good if it was never received."""
    attempt = message.attempt
    known = state.records.find(message.partition, attempt.key, attempt.task)
    if known is not None and known.attempt == attempt:
        return _report_state(state, message.partition, known, sender)
    if known is not None:
        return _refuse_duplicate(state, attempt, sender)
    for index, waiting in enumerate(state.waiting):
        if waiting.start.attempt == attempt:
            state.waiting[index] = waiting._replace(home=sender)
            return [Send(sender, TaskRunning(attempt, load(state)))]
    # The StartTask message may still be in transit and must be refused on arrival.
    state.refused.add(attempt, now + state.policy.retention)
    return [Send(sender, _not_run(state, attempt, RetryReason.NEVER_SEEN))]


def cancel_task(
    message: CancelTask, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    """Remove an attempt from the queue; one that has started runs on."""
    attempt = message.attempt
    known = state.records.find(message.partition, attempt.key, attempt.task)
    if known is not None:
        return _report_state(state, message.partition, known, sender)
    state.waiting = deque(
        waiting for waiting in state.waiting if waiting.start.attempt != attempt
    )
    state.refused.add(attempt, now + state.policy.retention)
    return [Send(sender, _not_run(state, attempt, RetryReason.TASK_CANCELLED))]


def refuse_waiting(
    state: ExecutorState, dropped: list[WaitingTask], reason: RetryReason
) -> list[Effect]:
    effects: list[Effect] = []
    for waiting in dropped:
        state.waiting.remove(waiting)
        effects += refuse(state, waiting.start, waiting.home, reason)
    return effects


def refuse_all_waiting(state: ExecutorState) -> list[Effect]:
    """Refuse all queued tasks, so that their homes place them elsewhere at once."""
    waiting = list(state.waiting)
    return refuse_waiting(state, waiting, RetryReason.EXECUTOR_LEAVING)


def raise_epoch(state: ExecutorState, partition: int, epoch: int) -> list[Effect]:
    """Refuse lower epochs from now on, including queued tasks of the former home.

    A queued task that started after the fence was acknowledged without it could be
    started a second time by the new home.
    """
    if epoch <= state.epochs.get(partition, 0):
        return []
    state.epochs[partition] = epoch
    stale = [
        waiting
        for waiting in state.waiting
        if waiting.start.partition == partition and waiting.start.attempt.epoch < epoch
    ]
    return refuse_waiting(state, stale, RetryReason.STALE_EPOCH)
