"""The executor: manages one upstream's slots and starts each task at most once.

Tasks start only here, so three rules guarantee that no task starts twice. A partition's
epoch only increases, so a home that was replaced while paused is refused. A start is
recorded before the body is sent. An attempt that was answered "not run" is refused
until its deadline, so that a late or repeated message can't start it.
"""

from datetime import datetime
from functools import singledispatch

from gypsumspoke.core import epochs, record_replication, task_starts
from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import Effect
from gypsumspoke.core.events import (
    Drain,
    ManifestChanged,
    MembersChanged,
    PartitionsChanged,
    ReachabilityChanged,
    Received,
    RowsRead,
    Tick,
    UpstreamAnnounced,
    UpstreamAnswered,
)
from gypsumspoke.core.executor_state import ExecutorState
from gypsumspoke.core.messages import (
    AskAttempt,
    CancelTask,
    CloseJob,
    Fence,
    Remember,
    RememberAck,
    StartTask,
)
from gypsumspoke.core.start_records import expiry_bound
from gypsumspoke.core.values import Role


def new_executor(incarnation: str, service: str, slots: int) -> ExecutorState:
    """Return the state of an executor that has just started.

    Args:
      incarnation: own incarnation.
      service: the upstream's service.
      slots: maximum number of concurrent tasks at the upstream.

    Returns:
      A state that refuses all tasks until the partition map has been read.
    """
    return ExecutorState(incarnation, service, slots)


def reduce(state: ExecutorState, event: object, now: datetime) -> list[Effect]:
    """Apply one event.

    Args:
      state: changed in place.
      event: a Received message or another event of ``core.events``.
      now: the current time.

    Returns:
      What the shell must do, in order.
    """
    effects = state.pause_check.record_event(now)
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


@_on_message.register
def _(
    message: StartTask, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    return task_starts.start_task(message, sender, state, now)


@_on_message.register
def _(
    message: AskAttempt, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    return task_starts.report_attempt(message, sender, state, now)


@_on_message.register
def _(
    message: CancelTask, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    return task_starts.cancel_task(message, sender, state, now)


@_on.register
def _(event: UpstreamAnswered, state: ExecutorState, now: datetime) -> list[Effect]:
    return task_starts.handle_upstream_answer(event, state, now)


@_on.register
def _(event: RowsRead, state: ExecutorState, now: datetime) -> list[Effect]:
    state.pause_check.handle_rows_read(event)
    return task_starts.start_waiting(state, now)


@_on_message.register
def _(message: Fence, sender: str, state: ExecutorState, now: datetime) -> list[Effect]:
    return epochs.handle_fence(message, sender, state, now)


@_on_message.register
def _(
    message: CloseJob, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    return epochs.handle_close_job(message, sender, state, now)


@_on.register
def _(event: PartitionsChanged, state: ExecutorState, now: datetime) -> list[Effect]:
    return epochs.handle_partitions_changed(event, state, now)


@_on_message.register
def _(
    message: Remember, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    return record_replication.handle_remember(message, sender, state, now)


@_on_message.register
def _(
    message: RememberAck, sender: str, state: ExecutorState, now: datetime
) -> list[Effect]:
    return record_replication.handle_remember_ack(message, sender, state, now)


@_on.register
def _(event: Tick, state: ExecutorState, now: datetime) -> list[Effect]:
    policy = state.policy
    state.records.expire(expiry_bound(now, policy.retention, policy.clock_skew))
    state.refused.expire(now - 2 * policy.clock_skew)
    overdue = [waiting for waiting in state.waiting if now >= waiting.start.deadline]
    effects = task_starts.refuse_waiting(state, overdue, RetryReason.DEADLINE_PASSED)
    effects += state.pause_check.tick(now)
    return (
        effects
        + task_starts.start_waiting(state, now)
        + record_replication.replicate_records(state, now)
    )


@_on.register
def _(event: ManifestChanged, state: ExecutorState, now: datetime) -> list[Effect]:
    state.policy = event.manifest.policy
    state.records.set_kept_bytes(event.manifest.policy.kept_bytes)
    for service in event.manifest.services:
        if service.name == state.service:
            state.queue_limit = service.queue_limit
    return []


@_on.register
def _(event: MembersChanged, state: ExecutorState, now: datetime) -> list[Effect]:
    state.records.retain_covers(member.incarnation for member in event.members)
    state.sidecars = frozenset(
        member.incarnation
        for member in event.members
        if member.role is Role.SIDECAR and member.ended is None
    )
    return []


@_on.register
def _(event: ReachabilityChanged, state: ExecutorState, now: datetime) -> list[Effect]:
    state.reachable = event.reachable
    return []


@_on.register
def _(event: Drain, state: ExecutorState, now: datetime) -> list[Effect]:
    state.leaving = True
    return task_starts.refuse_all_waiting(state)


@_on.register
def _(event: UpstreamAnnounced, state: ExecutorState, now: datetime) -> list[Effect]:
    """Apply the upstream's number of slots; start nothing while it leaves.

    The executor itself stays: it keeps its records and answers fences.
    """
    state.slots = event.slots
    state.upstream_leaving = event.leaving
    if event.leaving:
        return task_starts.refuse_all_waiting(state)
    return task_starts.start_waiting(state, now)
