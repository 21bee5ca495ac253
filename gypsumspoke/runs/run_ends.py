"""How an entry handles the end of a run: its task is done, runs again or fails."""

from datetime import datetime

from gypsumspoke.core.effects import Count, Effect
from gypsumspoke.runs.assignment import enqueue_ready_steps, enqueue_task
from gypsumspoke.runs.coordinator_state import (
    CoordinatorState,
    JobProgress,
    PlacedRun,
    TaskProgress,
)
from gypsumspoke.runs.job_ends import finish, give_up
from gypsumspoke.runs.messages import RunEnded
from gypsumspoke.runs.values import EndReason, JobEnd, RefusalReason, RunEnd

# Reasons after which the task may run on the same worker again.
_RETRY_ON_SAME_WORKER = frozenset(
    {
        EndReason.NUMBER_TOO_LOW,
        EndReason.ORDER_STALE,
        EndReason.NEVER_SEEN,
        EndReason.COORDINATOR_SILENT,
        EndReason.ROOM_TAKEN,
    }
)


def handle_run_end(
    state: CoordinatorState, message: RunEnded, sidecar: str, now: datetime
) -> list[Effect]:
    """Continue the task whose run has ended on a sidecar."""
    placed = PlacedRun(sidecar, message.run)
    if _forget_withdrawn(state, placed):
        return _handle_withdrawn(state, message, placed, now)
    progress = state.jobs.get(state.by_run.pop(placed, ""))
    if progress is None:
        return []
    task_id = message.run.task
    task = progress.tasks[task_id.step][task_id.index]
    if message.end is RunEnd.DONE:
        return _handle_done(state, progress, task, now)
    return _handle_not_done(state, progress, task, message, now)


def _forget_withdrawn(state: CoordinatorState, placed: PlacedRun) -> bool:
    """Forget a withdrawn run that has ended, so that its task may run again.

    Returns:
      Whether the run was withdrawn.
    """
    runs = state.withdrawn.get(placed.run.task, set())
    if placed not in runs:
        return False
    runs.discard(placed)
    if not runs:
        del state.withdrawn[placed.run.task]
        state.needs_placing_round = True
    return True


def _handle_withdrawn(
    state: CoordinatorState, message: RunEnded, placed: PlacedRun, now: datetime
) -> list[Effect]:
    """Handle the end of a withdrawn run.

    Its job has ended, or its task is queued again since the worker leaves. In the
    latter case the run may have completed or failed before it was stopped.
    """
    task_id = message.run.task
    progress = state.jobs.get(task_id.job)
    if progress is None or task_id.step >= len(progress.tasks):
        return []
    task = next((t for t in progress.tasks[task_id.step] if t.moved == placed), None)
    if task is None:
        # Of an earlier request for the same job.
        return []
    if message.end is RunEnd.DONE:
        _dequeue(state, task)
        # As for any completed task: its worker counts towards the step's bound.
        task.run = placed.run
        task.view = state.views.get(placed.sidecar)
        return _handle_done(state, progress, task, now)
    if message.reason is EndReason.NUMBER_TOO_LOW:
        task.number = max(task.number, message.highest)
    if message.end is RunEnd.FAILED:
        task.failures += 1
        if task.failures >= progress.route.attempts:
            reason = RefusalReason.ATTEMPTS_EXHAUSTED
            return finish(state, progress, JobEnd.FAILED, reason, now)
    if message.reason is EndReason.SUPERSEDED:
        return give_up(state, progress, RefusalReason.SUPERSEDED, now)
    return [Count(message.reason)]


def _dequeue(state: CoordinatorState, task: TaskProgress) -> None:
    """Remove a queued task that needs no other run."""
    queued = state.waiting[task.id.job]
    queued.remove([task])
    if not queued:
        del state.waiting[task.id.job]


def _handle_done(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress, now: datetime
) -> list[Effect]:
    task.done = True
    progress.remaining[task.id.step] -= 1
    if progress.remaining[task.id.step]:
        return []
    if not any(progress.remaining):
        return finish(state, progress, JobEnd.COMPLETED, None, now)
    enqueue_ready_steps(state, progress)
    return []


def _handle_not_done(
    state: CoordinatorState,
    progress: JobProgress,
    task: TaskProgress,
    message: RunEnded,
    now: datetime,
) -> list[Effect]:
    host = task.view.host
    task.run = None
    task.view = None
    if message.end is not RunEnd.NOT_RUN:
        task.has_started = True
    if message.reason is EndReason.NUMBER_TOO_LOW:
        task.number = max(task.number, message.highest)
    if message.end is RunEnd.FAILED:
        task.failures += 1
        if task.failures >= progress.route.attempts:
            reason = RefusalReason.ATTEMPTS_EXHAUSTED
            return finish(state, progress, JobEnd.FAILED, reason, now)
    if message.reason is EndReason.SUPERSEDED:
        return give_up(state, progress, RefusalReason.SUPERSEDED, now)
    if message.reason not in _RETRY_ON_SAME_WORKER:
        task.avoided_hosts.add(host)
    enqueue_task(state, progress, task)
    return [Count(message.reason)]
