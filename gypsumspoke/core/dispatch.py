"""Places tasks on executors and tracks them until their outcome.

A task is placed again only after its executor reported "not run". An executor that
doesn't answer is queried again over a new connection; if it stays silent, the outcome
is unknown, and if it ended, ``inquiries`` finds the outcome out. Tasks queue at the
home until an executor is expected to have a free slot, so that the choice is made as
late as possible.
"""

import heapq
from datetime import datetime, timedelta

from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.effects import Count, Effect, Send
from gypsumspoke.core.endings import begin_ending, complete_job, finish_if_settled
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.fair_queue import (
    FairQueue,
    new_fair_queue,
    peek,
    pop,
    push,
    requeue,
)
from gypsumspoke.core.home_state import HomeState, PlacedAttempt
from gypsumspoke.core.jobs import Job, SlotState, TaskSlot
from gypsumspoke.core.messages import AskAttempt, StartTask, TaskOutcome, TaskRunning
from gypsumspoke.core.placement import (
    choose_executor,
    expected_run,
    record_outcome,
    record_placement,
    update_load,
)
from gypsumspoke.core.values import AttemptId, Outcome

STILL_RUNNING = "still_running"
ATTEMPT_QUERY_DELAY = timedelta(seconds=4)
SCAN_INTERVAL = timedelta(milliseconds=500)
RETRY_RESERVE = 10.0
DEFAULT_WEIGHT = 1.0


def enqueue(state: HomeState, job: Job) -> None:
    """Queue all waiting tasks of a job and register its deadline."""
    submission = job.submission
    for number, slot in enumerate(job.slots):
        if slot.state is SlotState.WAITING:
            _enqueue_task(state, job, number)
    deadline = (submission.deadline, job.partition, submission.key)
    heapq.heappush(state.deadlines, deadline)


def _enqueue_task(state: HomeState, job: Job, number: int) -> None:
    submission = job.submission
    team = submission.key.team
    cost = expected_run(state.placement, submission.service).total_seconds()
    weight = state.team_weights.get(team, DEFAULT_WEIGHT)
    push(_queue(state, submission.service), team, weight, cost, (job, number))
    _count_queued(state, team)


def _requeue_task(state: HomeState, job: Job, number: int) -> None:
    team = job.submission.key.team
    requeue(_queue(state, job.submission.service), team, (job, number))
    _count_queued(state, team)


def _queue(state: HomeState, service: str) -> FairQueue:
    if service not in state.queues:
        state.queues[service] = new_fair_queue()
    return state.queues[service]


def _count_queued(state: HomeState, team: str) -> None:
    state.team_queued[team] = state.team_queued.get(team, 0) + 1
    state.queued += 1


def place_waiting(state: HomeState, now: datetime) -> list[Effect]:
    """Place queued tasks while executors have free slots."""
    effects: list[Effect] = []
    for service, queue in state.queues.items():
        while (item := peek(queue)) is not None:
            job, number = item
            slot = job.slots[number]
            if job.dropped or job.is_ending or slot.state is not SlotState.WAITING:
                _dequeue(state, queue)
                continue
            target = _choose_target(state, service, slot, now)
            if target is None:
                break
            _dequeue(state, queue)
            effects += _place_task(state, job, number, target, now)
    return effects


def _dequeue(state: HomeState, queue) -> None:
    job, _ = pop(queue)
    team = job.submission.key.team
    state.queued -= 1
    state.team_queued[team] -= 1
    if not state.team_queued[team]:
        del state.team_queued[team]


def _choose_target(
    state: HomeState, service: str, slot: TaskSlot, now: datetime
) -> str | None:
    target = choose_executor(state.placement, service, slot.excluded, now)
    if target is None and slot.excluded:
        # All others are full; those that refused may have a free slot by now.
        slot.excluded = frozenset()
    member = state.takeover.member(target) if target is not None else None
    if member is None or member.worker == state.member.worker:
        # Losing its own worker would lose the ledger and the start record together.
        return None
    return target


def _place_task(
    state: HomeState, job: Job, number: int, target: str, now: datetime
) -> list[Effect]:
    slot = job.slots[number]
    submission = job.submission
    epoch = state.takeover.owned[job.partition].epoch
    # One counter for all placements of this home keeps attempt ids unique, also when
    # the caller resubmits the key after a refusal.
    state.placement_number += 1
    slot.attempt = AttemptId(submission.key, number, state.placement_number, epoch)
    slot.state = SlotState.PLACED
    slot.executor = target
    slot.placed_at = slot.asked_at = now
    slot.is_running = False
    slot.placements += 1
    if slot.placements == 1:
        budget = state.retry_tokens + state.policy.retry_budget
        state.retry_tokens = min(budget, RETRY_RESERVE * 10)
    job.messages += 1
    record_placement(state.placement, target, now)
    state.in_flight.setdefault(target, {})[slot.attempt] = PlacedAttempt(job, number)
    start = StartTask(
        slot.attempt,
        job.partition,
        submission.attempt,
        submission.birth,
        submission.digest,
        len(submission.tasks),
        submission.service,
        submission.deadline,
        submission.not_repeatable,
        submission.tasks[number].body,
    )
    return [Count(Counter.TASK_PLACED), Send(target, start)]


def track_adopted(state: HomeState, job: Job, number: int, now: datetime) -> Effect:
    """Track a task that a former owner placed, and query its executor."""
    slot = job.slots[number]
    slot.placed_at = slot.asked_at = now
    state.in_flight.setdefault(slot.executor, {})[slot.attempt] = PlacedAttempt(
        job, number
    )
    record_placement(state.placement, slot.executor, now)
    job.messages += 1
    return Send(slot.executor, AskAttempt(slot.attempt, job.partition))


# ---------------------------------------------------------------------------
# Outcomes


def handle_task_outcome(
    state: HomeState, message: TaskOutcome, sender: str, now: datetime
) -> list[Effect]:
    """Apply the outcome of an attempt."""
    placed = state.in_flight.get(sender, {}).pop(message.attempt, None)
    if placed is None:
        update_load(state.placement, sender, message.load, now)
        return [Count(Counter.LATE_ANSWER_DROPPED)]
    ejected = record_outcome(
        state.placement,
        sender,
        message.outcome,
        message.reason,
        message.load,
        message.run_time,
        now,
    )
    effects: list[Effect] = [Count(Counter.WORKER_EJECTED)] if ejected else []
    job, slot = placed.job, placed.job.slots[placed.task]
    job.messages += 1
    if job.dropped or slot.attempt != message.attempt:
        return effects + [Count(Counter.LATE_ANSWER_DROPPED)]
    if message.outcome is Outcome.DONE:
        return effects + _task_done(state, job, slot, message, now)
    if message.outcome is Outcome.NOT_RUN:
        return effects + _task_not_run(state, job, placed.task, message.reason, now)
    return effects + _task_failed_or_unknown(state, job, slot, message, now)


def _task_done(
    state: HomeState, job: Job, slot: TaskSlot, message: TaskOutcome, now: datetime
) -> list[Effect]:
    job.set_done(slot, message.result)
    if message.run_time is not None:
        job.longest_run = max(job.longest_run, message.run_time)
    if job.is_done:
        return complete_job(state, job, now)
    if job.is_ending:
        return finish_if_settled(state, job, now)
    return []


def _task_failed_or_unknown(
    state: HomeState, job: Job, slot: TaskSlot, message: TaskOutcome, now: datetime
) -> list[Effect]:
    """End the job of a task that failed or is unknown; such a task isn't retried."""
    failed = message.outcome is Outcome.FAILED
    slot.state = SlotState.FAILED if failed else SlotState.UNKNOWN
    if job.is_ending:
        return finish_if_settled(state, job, now)
    kind = ErrorKind.TASK_FAILED if failed else ErrorKind.WORKER_LOST
    detail = f"task {message.attempt.task}: {message.reason}"
    return begin_ending(state, job, kind, now, detail)


def _task_not_run(
    state: HomeState, job: Job, number: int, reason: str, now: datetime
) -> list[Effect]:
    slot = job.slots[number]
    job.wasted[_parse_reason(reason).value] += 2
    if not job.resumable:
        # Records of other attempts may be lost, and one of them may have run.
        slot.state = SlotState.UNKNOWN
    else:
        slot.state = SlotState.WAITING
    if job.is_ending:
        return finish_if_settled(state, job, now)
    if slot.state is SlotState.UNKNOWN:
        return begin_ending(state, job, ErrorKind.WORKER_LOST, now)
    if not _may_retry(state, slot):
        detail = f"task {number}: {reason}"
        kind = ErrorKind.RETRIES_EXHAUSTED
        return begin_ending(state, job, kind, now, detail)
    state.retry_tokens -= 1
    slot.excluded = slot.excluded | {slot.executor}
    _requeue_task(state, job, number)
    return [Count(_parse_reason(reason))]


def _parse_reason(reason: str) -> RetryReason:
    """Return the reason, or OTHER for one that only another release defines."""
    try:
        return RetryReason(reason)
    except ValueError:
        return RetryReason.OTHER


def _may_retry(state: HomeState, slot: TaskSlot) -> bool:
    if slot.placements >= state.policy.task_attempts:
        return False
    return state.retry_tokens > -RETRY_RESERVE


def handle_task_running(
    state: HomeState, message: TaskRunning, sender: str, now: datetime
) -> list[Effect]:
    """Record that a task is still running at its executor."""
    update_load(state.placement, sender, message.load, now)
    placed = state.in_flight.get(sender, {}).get(message.attempt)
    if placed is None:
        return []
    slot = placed.job.slots[placed.task]
    slot.asked_at = now
    slot.is_running = True
    placed.job.wasted[STILL_RUNNING] += 2
    if placed.job.is_ending and not placed.job.dropped:
        return finish_if_settled(state, placed.job, now)
    return []


# ---------------------------------------------------------------------------
# Silence


def query_attempts(state: HomeState, executor: str, now: datetime) -> list[Effect]:
    """Query all attempts at an executor whose connection was replaced."""
    effects: list[Effect] = []
    for attempt, placed in state.in_flight.get(executor, {}).items():
        placed.job.slots[placed.task].asked_at = now
        placed.job.messages += 1
        effects.append(Count(RetryReason.CONNECTION_LOST))
        effects.append(Send(executor, AskAttempt(attempt, placed.job.partition)))
    return effects


def check_silent_executors(state: HomeState, now: datetime) -> list[Effect]:
    """Query overdue attempts, and fail those at executors that stay unreachable.

    ``inquiries`` handles the attempts at executors that have ended.
    """
    if state.last_scan is not None and now - state.last_scan < SCAN_INTERVAL:
        return []
    state.last_scan = now
    effects: list[Effect] = []
    for executor in list(state.in_flight):
        if _is_unreachable(state, executor, now):
            effects += fail_attempts(state, executor, now)
        elif not state.takeover.has_ended(executor):
            effects += _query_overdue(state, executor, now)
        if not state.in_flight[executor]:
            del state.in_flight[executor]
    return effects


def _is_unreachable(state: HomeState, executor: str, now: datetime) -> bool:
    if state.takeover.has_ended(executor):
        return False
    silent = state.silent_since.get(executor)
    return silent is not None and now - silent >= state.policy.unreachable_after


def fail_attempts(
    state: HomeState, executor: str, now: datetime, partition: int | None = None
) -> list[Effect]:
    """Record every attempt at a lost executor as unknown and end its job.

    Args:
      state: changed in place.
      executor: incarnation of the executor.
      now: the current time.
      partition: partition of the attempts; None for all partitions.
    """
    effects: list[Effect] = []
    for attempt, placed in list(state.in_flight.get(executor, {}).items()):
        if partition not in (None, placed.job.partition):
            continue
        del state.in_flight[executor][attempt]
        record_outcome(
            state.placement,
            executor,
            Outcome.UNKNOWN,
            RetryReason.SILENT_EXECUTOR.value,
            None,
            None,
            now,
        )
        job, slot = placed.job, placed.job.slots[placed.task]
        if job.dropped or slot.attempt != attempt:
            continue
        slot.state = SlotState.UNKNOWN
        effects.append(Count(RetryReason.SILENT_EXECUTOR))
        if job.is_ending:
            effects += finish_if_settled(state, job, now)
        else:
            effects += begin_ending(state, job, ErrorKind.WORKER_LOST, now)
    return effects


def _query_overdue(state: HomeState, executor: str, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for attempt, placed in list(state.in_flight[executor].items()):
        job, slot = placed.job, placed.job.slots[placed.task]
        if now - slot.asked_at < ATTEMPT_QUERY_DELAY:
            continue
        slot.asked_at = now
        job.messages += 1
        effects.append(Send(executor, AskAttempt(attempt, job.partition)))
    return effects


def stop_tracking(state: HomeState, job: Job, now: datetime) -> None:
    """Stop tracking the attempts of a job that another home owns now.

    Their outcomes are sent there, so here they would occupy the executors' slots for
    ever. Those that still run are part of the load that executors report.
    """
    for slot in job.slots:
        attempts = state.in_flight.get(slot.executor, {})
        if attempts.pop(slot.attempt, None) is not None:
            _record_gone(state, slot.executor, now)


def _record_gone(state: HomeState, executor: str, now: datetime) -> None:
    reason = RetryReason.CONNECTION_LOST.value
    record_outcome(state.placement, executor, Outcome.NOT_RUN, reason, None, None, now)


def expire_deadlines(state: HomeState, now: datetime) -> list[Effect]:
    """End jobs whose deadline has passed."""
    effects: list[Effect] = []
    while state.deadlines and state.deadlines[0][0] <= now:
        _, partition, key = heapq.heappop(state.deadlines)
        job = state.job(partition, key)
        if job is not None and job.submission.deadline <= now:
            effects += begin_ending(state, job, ErrorKind.DEADLINE_EXCEEDED, now)
    return effects
