"""The executor: guards one upstream's slots and starts each task at most once.

It is the only place where a task starts, so the promise "no task starts twice" is kept
here by three rules. A partition's epoch only rises: a home that was replaced while
paused is refused. A started task is recorded before its body leaves. A try that was
answered "not run" is marked, so that a copy of its message that arrives later can't
start it; the mark is needed only until the try's deadline, after which nothing starts.
"""

import logging
from collections import deque
from datetime import datetime, timedelta
from functools import singledispatch
from typing import NamedTuple

from gypsumspoke.core.data import (
    DEFAULT_POLICY,
    AskAttempt,
    AttemptId,
    CancelTask,
    CloseAck,
    CloseJob,
    Count,
    Counter,
    Drain,
    Effect,
    Fence,
    FenceRefused,
    Load,
    Log,
    ManifestChanged,
    MembersChanged,
    Observe,
    Outcome,
    PartitionsChanged,
    Policy,
    ReachabilityChanged,
    Received,
    Remember,
    RememberAck,
    RetryReason,
    Role,
    RowsRead,
    Send,
    StartRecord,
    StartTask,
    StartUpstream,
    TaskOutcome,
    TaskRunning,
    TaskState,
    Tick,
    UpstreamAnnounced,
    UpstreamAnswered,
)
from gypsumspoke.core.refused_marks import RefusedMarks
from gypsumspoke.core.self_check import SelfCheck
from gypsumspoke.core.start_records import (
    StartRecords,
    expiry_bound,
    fence_acks,
    remember_messages,
)

DEFAULT_QUEUE_LIMIT = 8
RECORD_LIMIT = 200_000
OWN_RECORDS = 0
REMEMBER_RESEND = timedelta(seconds=1)
_MEAN_WEIGHT = 0.1

_STATE_OF_OUTCOME = {
    Outcome.DONE: TaskState.DONE,
    Outcome.FAILED: TaskState.FAILED,
    Outcome.UNKNOWN: TaskState.UNKNOWN,
}
_OUTCOME_OF_STATE = {state: outcome for outcome, state in _STATE_OF_OUTCOME.items()}


class Waiting(NamedTuple):
    """A task that waits for a slot."""

    start: StartTask
    home: str
    since: datetime


class Running(NamedTuple):
    """A task at the upstream; its outcome goes to ``home``."""

    partition: int
    home: str
    since: datetime


class ExecutorState:
    """All that one executor knows.

    Args:
      incarnation: own incarnation.
      service: the upstream's service.
      slots: tasks the upstream runs at once.
    """

    def __init__(self, incarnation: str, service: str, slots: int) -> None:
        self._incarnation = incarnation
        self._service = service
        self._slots = slots
        self._queue_limit = DEFAULT_QUEUE_LIMIT
        self._policy: Policy = DEFAULT_POLICY
        self._records = StartRecords(incarnation, DEFAULT_POLICY.kept_bytes)
        self._epochs: dict[int, int] = {}
        self._map_known = False
        self._refused = RefusedMarks()
        self._waiting: deque[Waiting] = deque()
        self._running: dict[AttemptId, Running] = {}
        self._mean_run: timedelta | None = None
        self._leaving = False
        self._upstream_leaving = False
        self._reachable: frozenset[str] = frozenset()
        self._sidecars: frozenset[str] = frozenset()
        self._parts: dict[tuple[int, str], dict[int, Remember]] = {}
        self._unremembered: set[int] | None = None
        self._remember_sent: datetime | None = None
        self._remember_round = 0
        self._self_check = SelfCheck(incarnation)

    @property
    def records(self) -> StartRecords:
        """The start records."""
        return self._records

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self._running and not self._waiting

    @property
    def upstream_leaving(self) -> bool:
        """Whether the upstream said that it leaves."""
        return self._upstream_leaving

    @property
    def departed(self) -> bool:
        """Whether it is leaving, idle, and another executor has its records."""
        return self._leaving and self.idle and self._unremembered == set()


def new_executor(incarnation: str, service: str, slots: int) -> ExecutorState:
    """Return the state of an executor that has just started.

    Args:
      incarnation: own incarnation.
      service: the upstream's service.
      slots: tasks the upstream runs at once.

    Returns:
      A state that refuses all tasks until it has seen the partition map.
    """
    return ExecutorState(incarnation, service, slots)


def load(state: ExecutorState) -> Load:
    """Return the executor's load as it reports it; no slots while it takes none."""
    slots = 0 if state._leaving or state._upstream_leaving else state._slots
    return Load(len(state._running), len(state._waiting), slots, state._mean_run)


def reduce(state: ExecutorState, event: object, now: datetime) -> list[Effect]:
    """Apply one event.

    Args:
      state: changed in place.
      event: a Received message or another event of ``core.data``.
      now: the current time.

    Returns:
      What the shell must do, in order.
    """
    effects = state._self_check.note_event(now)
    return effects + _on(event, state, now)


@singledispatch
def _on(event: object, state: ExecutorState, now: datetime) -> list[Effect]:
    """Ignore events that concern other reducers."""
    return []


@_on.register
def _(event: Received, state: ExecutorState, now: datetime) -> list[Effect]:
    return _on_message(event.message, event.sender, state, now)


@singledispatch
def _on_message(
    message: object, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    return []


# ---------------------------------------------------------------------------
# Starting tasks


@_on_message.register
def _(
    message: StartTask, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    attempt = message.attempt
    effects = _raise_epoch(state, message.partition, attempt.epoch)
    known = state._records.find(message.partition, attempt.key, attempt.task)
    if known is not None and known.attempt == attempt:
        return effects + _report(state, message.partition, known, sender)
    if known is not None:
        return effects + _refuse_started(state, attempt, sender)
    if _is_waiting(state, attempt):
        return effects + [Send(sender, TaskRunning(attempt, load(state)))]
    reason = _refusal(state, message, now)
    if reason is not None:
        return effects + _refuse(state, message, sender, reason)
    if len(state._running) < state._slots:
        return effects + _start(state, Waiting(message, sender, now), now)
    state._waiting.append(Waiting(message, sender, now))
    return effects


def _refusal(
    state: ExecutorState, message: StartTask, now: datetime
) -> RetryReason | None:
    """Return why this try must not start, or None."""
    attempt = message.attempt
    if not state._map_known:
        # Without the map a replaced home's epoch can't be told from a current one.
        return RetryReason.EXECUTOR_JOINING
    if attempt.epoch < state._epochs.get(message.partition, 0):
        return RetryReason.STALE_EPOCH
    if state._records.is_closed(message.partition, attempt.key):
        return RetryReason.JOB_CLOSED
    if state._refused.covers(attempt):
        return RetryReason.REFUSED_FOR_GOOD
    if state._self_check.is_unsure:
        return RetryReason.EXECUTOR_PAUSED
    if state._leaving or state._upstream_leaving:
        return RetryReason.EXECUTOR_LEAVING
    if message.service != state._service:
        return RetryReason.WRONG_SERVICE
    if now >= message.deadline or now > message.birth + state._policy.retention:
        return RetryReason.DEADLINE_PASSED
    if message.birth < state._records.forgotten_before:
        return RetryReason.DEADLINE_PASSED
    return _shortage(state)


def _shortage(state: ExecutorState) -> RetryReason | None:
    if state._records.count + len(state._waiting) >= RECORD_LIMIT:
        return RetryReason.EXECUTOR_QUEUE_FULL
    if len(state._running) < state._slots:
        return None
    if len(state._waiting) >= state._queue_limit:
        return RetryReason.EXECUTOR_QUEUE_FULL
    return None


def _start(state: ExecutorState, waiting: Waiting, now: datetime) -> list[Effect]:
    """Record a start and only then let the body leave."""
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
    state._records.add(message.partition, record)
    state._running[attempt] = Running(message.partition, waiting.home, now)
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


def _start_waiting(state: ExecutorState, now: datetime) -> list[Effect]:
    """Fill free slots from the queue; refuse what waited past its deadline."""
    effects: list[Effect] = []
    if state._self_check.is_unsure:
        return effects
    while state._waiting and len(state._running) < state._slots:
        waiting = state._waiting.popleft()
        if now >= waiting.start.deadline:
            effects += _refuse(
                state, waiting.start, waiting.home, RetryReason.DEADLINE_PASSED
            )
        else:
            effects += _start(state, waiting, now)
    return effects


@_on.register
def _(event: UpstreamAnswered, state: ExecutorState, now: datetime) -> list[Effect]:
    attempt = event.attempt
    running = state._running.pop(attempt, None)
    if running is None:
        return [Count(Counter.LATE_ANSWER_DROPPED)]
    run_time = now - running.since
    if event.outcome is Outcome.NOT_RUN:
        # No byte reached the upstream: the task may start elsewhere, never here under
        # this try.
        state._records.forget(running.partition, attempt)
        state._refused.add(attempt, now + state._policy.retention)
    else:
        result = event.result if event.outcome is Outcome.DONE else None
        ended = _STATE_OF_OUTCOME[event.outcome]
        state._records.finish(running.partition, attempt, ended, result)
    if event.outcome is Outcome.DONE:
        # A worker that fails every task fast must not look fast.
        _smooth_mean(state, run_time)
    effects = _start_waiting(state, now)
    outcome = TaskOutcome(
        attempt, event.outcome, event.result, event.reason, load(state), run_time
    )
    return [Send(running.home, outcome)] + effects


def _smooth_mean(state: ExecutorState, run_time: timedelta) -> None:
    if state._mean_run is None:
        state._mean_run = run_time
    else:
        state._mean_run += (run_time - state._mean_run) * _MEAN_WEIGHT


# ---------------------------------------------------------------------------
# Refusing tries


def _refuse(
    state: ExecutorState, message: StartTask, home: str, reason: RetryReason
) -> list[Effect]:
    """Answer "not run" and see that it stays true."""
    state._refused.add(message.attempt, message.deadline)
    effects: list[Effect] = [
        Count(reason),
        Send(home, _not_run(state, message.attempt, reason)),
    ]
    if reason is RetryReason.STALE_EPOCH:
        effects.append(Count(Counter.REFUSED_BY_EPOCH))
        effects.append(_refusal_log("start refused: stale epoch", message.attempt))
    return effects


def _not_run(
    state: ExecutorState, attempt: AttemptId, reason: RetryReason
) -> TaskOutcome:
    return TaskOutcome(attempt, Outcome.NOT_RUN, b"", reason.value, load(state), None)


def _refuse_started(
    state: ExecutorState, attempt: AttemptId, home: str
) -> list[Effect]:
    """Refuse a task that another try has started; nothing is claimed about it."""
    reason = RetryReason.ALREADY_STARTED
    outcome = TaskOutcome(
        attempt, Outcome.UNKNOWN, b"", reason.value, load(state), None
    )
    return [
        Count(Counter.REFUSED_AS_DUPLICATE),
        _refusal_log("start refused: already started", attempt),
        Send(home, outcome),
    ]


def _refusal_log(event: str, attempt: AttemptId) -> Log:
    return Log(logging.INFO, event, attempt.key, attempt.task, attempt.number)


def _is_waiting(state: ExecutorState, attempt: AttemptId) -> bool:
    return any(waiting.start.attempt == attempt for waiting in state._waiting)


# ---------------------------------------------------------------------------
# Questions and cancellations


def _report(
    state: ExecutorState, partition: int, record: StartRecord, home: str
) -> list[Effect]:
    """Tell a home how far a started task is; a running one reports to it later."""
    attempt = record.attempt
    if attempt in state._running:
        state._running[attempt] = state._running[attempt]._replace(home=home)
        return [Send(home, TaskRunning(attempt, load(state)))]
    outcome = _OUTCOME_OF_STATE.get(record.state, Outcome.UNKNOWN)
    if outcome is Outcome.DONE and record.result is None:
        outcome = Outcome.UNKNOWN
    result = record.result or b""
    reason = "" if outcome is Outcome.DONE else RetryReason.ALREADY_STARTED.value
    return [
        Send(home, TaskOutcome(attempt, outcome, result, reason, load(state), None))
    ]


@_on.register
def _(event: RowsRead, state: ExecutorState, now: datetime) -> list[Effect]:
    state._self_check.note_rows(event)
    return _start_waiting(state, now)


@_on_message.register
def _(
    message: AskAttempt, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    attempt = message.attempt
    known = state._records.find(message.partition, attempt.key, attempt.task)
    if known is not None and known.attempt == attempt:
        return _report(state, message.partition, known, sender)
    if known is not None:
        return _refuse_started(state, attempt, sender)
    for place, waiting in enumerate(state._waiting):
        if waiting.start.attempt == attempt:
            state._waiting[place] = waiting._replace(home=sender)
            return [Send(sender, TaskRunning(attempt, load(state)))]
    # The start message may still be under way: it must find the mark.
    state._refused.add(attempt, now + state._policy.retention)
    return [Send(sender, _not_run(state, attempt, RetryReason.NEVER_SEEN))]


@_on_message.register
def _(
    message: CancelTask, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    attempt = message.attempt
    known = state._records.find(message.partition, attempt.key, attempt.task)
    if known is not None:
        return _report(state, message.partition, known, sender)
    state._waiting = deque(
        waiting for waiting in state._waiting if waiting.start.attempt != attempt
    )
    state._refused.add(attempt, now + state._policy.retention)
    return [Send(sender, _not_run(state, attempt, RetryReason.TASK_CANCELLED))]


# ---------------------------------------------------------------------------
# Epochs, fences and closed jobs


def _raise_epoch(state: ExecutorState, partition: int, epoch: int) -> list[Effect]:
    """Refuse lower epochs from now on, also for tasks that still wait.

    Without dropping the waiting ones a task of the former home would start after the
    fence was acknowledged without it, and the new home could start it again.
    """
    if epoch <= state._epochs.get(partition, 0):
        return []
    state._epochs[partition] = epoch
    stale = [
        waiting
        for waiting in state._waiting
        if waiting.start.partition == partition and waiting.start.attempt.epoch < epoch
    ]
    return _drop_waiting(state, stale, RetryReason.STALE_EPOCH)


def _drop_waiting(
    state: ExecutorState, dropped: list[Waiting], reason: RetryReason
) -> list[Effect]:
    effects: list[Effect] = []
    for waiting in dropped:
        state._waiting.remove(waiting)
        effects += _refuse(state, waiting.start, waiting.home, reason)
    return effects


@_on_message.register
def _(message: Fence, sender: str, state: ExecutorState, now: datetime) -> list[Effect]:
    highest = state._epochs.get(message.partition, 0)
    if message.epoch < highest:
        refused = FenceRefused(message.partition, message.epoch, highest)
        return [Count(Counter.REFUSED_BY_EPOCH), Send(sender, refused)]
    effects = _raise_epoch(state, message.partition, message.epoch)
    acks = fence_acks(
        state._records, message.partition, message.epoch, state._incarnation
    )
    return (
        effects
        + [Count(Counter.FENCE_ACKNOWLEDGED)]
        + [Send(sender, ack) for ack in acks]
    )


@_on_message.register
def _(
    message: CloseJob, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    if state._leaving:
        # The records may have been told on already; this one would be missing there.
        return []
    highest = state._epochs.get(message.partition, 0)
    if message.epoch < highest or not state._map_known:
        refused = FenceRefused(message.partition, message.epoch, highest)
        return [Count(Counter.REFUSED_BY_EPOCH), Send(sender, refused)]
    effects = _raise_epoch(state, message.partition, message.epoch)
    keys = {record.key for record in message.closed}
    for record in message.closed:
        state._records.close(message.partition, record)
    stale = [waiting for waiting in state._waiting if waiting.start.attempt.key in keys]
    effects += _drop_waiting(state, stale, RetryReason.JOB_CLOSED)
    ack = CloseAck(message.partition, message.epoch, message.confirmation)
    return effects + [Send(sender, ack)]


@_on.register
def _(event: PartitionsChanged, state: ExecutorState, now: datetime) -> list[Effect]:
    state._map_known = True
    effects: list[Effect] = []
    for row in event.rows:
        effects += _raise_epoch(state, row.partition, row.epoch)
    return effects


# ---------------------------------------------------------------------------
# Records of other executors


@_on_message.register
def _(
    message: Remember, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    if state._leaving:
        # What is told to an executor that leaves may be gone before it tells on.
        return []
    known = state._epochs.get(message.partition, 0)
    if message.epoch != OWN_RECORDS and message.epoch < known:
        # A replaced home that woke up doesn't know what its successor placed on the
        # executor that it tells on. Had the successor placed anything, it would have
        # fenced this executor first.
        return [Count(Counter.REFUSED_BY_EPOCH)]
    place = (message.partition, message.source)
    parts = state._parts.setdefault(place, {})
    parts[message.chunk] = message
    if len(parts) < message.chunks:
        return []
    del state._parts[place]
    for part in parts.values():
        _keep_part(state, part)
    state._records.cover(message.partition, message.covers)
    return [Send(sender, RememberAck(message.partition, message.source))]


def _keep_part(state: ExecutorState, part: Remember) -> None:
    state._records.note_forgotten(part.forgotten_before)
    for record in part.started:
        if record.state is TaskState.RUNNING:
            # It runs elsewhere; its end is not known here.
            record = record._replace(state=TaskState.UNKNOWN)
        state._records.add(part.partition, record)
    for closed in part.closed:
        state._records.close(part.partition, closed)


@_on_message.register
def _(
    message: RememberAck, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    if message.source == state._incarnation and state._unremembered is not None:
        state._unremembered.discard(message.partition)
    return []


def _tell_records(state: ExecutorState, now: datetime) -> list[Effect]:
    """Give all records to another executor before leaving.

    Otherwise a home's later death would leave keys of which nobody knows whether
    they ran, and their callers would be answered "unknown".
    """
    if not state._leaving or not state.idle or state._unremembered == set():
        return []
    if state._unremembered is None:
        state._unremembered = set(state._records.partitions())
    sent = state._remember_sent
    if sent is not None and now - sent < REMEMBER_RESEND:
        return []
    targets = sorted(state._reachable & state._sidecars - {state._incarnation})
    if not targets:
        return []
    state._remember_sent = now
    # The next round asks others: a target that leaves too does not answer.
    state._remember_round += 1
    effects: list[Effect] = []
    for partition in sorted(state._unremembered):
        target = targets[(partition + state._remember_round) % len(targets)]
        effects += _remember_effects(state, partition, target)
    return effects


def _remember_effects(
    state: ExecutorState, partition: int, target: str
) -> list[Effect]:
    chunks = state._records.chunks(partition)
    started = [record for chunk in chunks for record in chunk.started]
    closed = [record for chunk in chunks for record in chunk.closed]
    covers = state._records.covers(partition)
    messages = remember_messages(
        partition,
        OWN_RECORDS,
        state._incarnation,
        started,
        closed,
        covers,
        state._records.forgotten_before,
    )
    return [Send(target, message) for message in messages]


# ---------------------------------------------------------------------------
# Time, configuration and leaving


@_on.register
def _(event: Tick, state: ExecutorState, now: datetime) -> list[Effect]:
    policy = state._policy
    state._records.expire(expiry_bound(now, policy.retention, policy.clock_skew))
    state._refused.expire(now - 2 * policy.clock_skew)
    overdue = [waiting for waiting in state._waiting if now >= waiting.start.deadline]
    effects = _drop_waiting(state, overdue, RetryReason.DEADLINE_PASSED)
    effects += state._self_check.tick(now)
    return effects + _start_waiting(state, now) + _tell_records(state, now)


@_on.register
def _(event: ManifestChanged, state: ExecutorState, now: datetime) -> list[Effect]:
    state._policy = event.manifest.policy
    state._records.set_kept_bytes(event.manifest.policy.kept_bytes)
    for service in event.manifest.services:
        if service.name == state._service:
            state._queue_limit = service.queue_limit
    return []


@_on.register
def _(event: MembersChanged, state: ExecutorState, now: datetime) -> list[Effect]:
    state._records.keep_covers(member.incarnation for member in event.members)
    state._sidecars = frozenset(
        member.incarnation
        for member in event.members
        if member.role is Role.SIDECAR and member.ended is None
    )
    return []


@_on.register
def _(event: ReachabilityChanged, state: ExecutorState, now: datetime) -> list[Effect]:
    state._reachable = event.reachable
    return []


@_on.register
def _(event: Drain, state: ExecutorState, now: datetime) -> list[Effect]:
    state._leaving = True
    return _give_waiting_back(state)


@_on.register
def _(event: UpstreamAnnounced, state: ExecutorState, now: datetime) -> list[Effect]:
    """Take the upstream's size; give nothing more to one that leaves.

    Only the upstream goes: records are still kept and fences still answered here.
    """
    state._slots = event.slots
    state._upstream_leaving = event.leaving
    if event.leaving:
        return _give_waiting_back(state)
    return _start_waiting(state, now)


def _give_waiting_back(state: ExecutorState) -> list[Effect]:
    """Refuse waiting tasks so that their homes place them elsewhere at once."""
    waiting = list(state._waiting)
    return _drop_waiting(state, waiting, RetryReason.EXECUTOR_LEAVING)
