"""Runs on workers that are about to leave.

The load that this answers: workers are taken away 1.6 to 2.1 s after a notice while
long runs are at work there. A run that can't end before its worker does is lost, which
its entry notices only ``run_expiry`` later. If another worker could have finished the
task by then, its run is withdrawn and the task is queued again.

The withdrawn run may still complete, so the task waits for its end (``run_ends.py``).
"""

import logging
from collections import Counter
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs.assignment import enqueue_task
from gypsumspoke.runs.coordinator_state import (
    CoordinatorState,
    JobProgress,
    PlacedRun,
    TaskProgress,
)
from gypsumspoke.runs.job_ends import withdraw
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.placement import PlacementRequest, find_candidates, run_seconds
from gypsumspoke.runs.sidecar_views import SidecarView
from gypsumspoke.runs.values import LeavingRun, fits

# Time for a withdrawn run to end: the messages, the stop and its list.
WITHDRAWAL_TIME = timedelta(milliseconds=60)

# A longer time left is taken for an error.
MAX_LEAVES_IN = timedelta(hours=1)

_ZERO = timedelta()
_MILLISECOND = timedelta(milliseconds=1)


class Outlook(NamedTuple):
    """What is expected of a run on a leaving worker.

    Attributes:
      ends_at: expected end of the run.
      worker_ends_at: when the worker may be gone.
      loss_seen_at: when the loss of the run would be detected.
      elsewhere_ends_at: expected end on another worker; None if none has room.
      was_withdrawn: whether an earlier run of the task was withdrawn for this reason.
    """

    ends_at: datetime
    worker_ends_at: datetime
    loss_seen_at: datetime
    elsewhere_ends_at: datetime | None
    was_withdrawn: bool


def leaves_sooner(report: WorkerReport, previous: WorkerReport | None) -> bool:
    """Return whether a worker leaves now, or sooner than the previous report said."""
    if report.leaves_in is None or not _ZERO <= report.leaves_in <= MAX_LEAVES_IN:
        return False
    if previous is None or previous.leaves_in is None:
        return True
    return report.stamp + report.leaves_in < previous.stamp + previous.leaves_in


def decide(outlook: Outlook) -> LeavingRun:
    """Return what becomes of a run on a leaving worker."""
    if outlook.ends_at <= outlook.worker_ends_at:
        return LeavingRun.ENDS_IN_TIME
    if outlook.was_withdrawn:
        return LeavingRun.MOVED_BEFORE
    elsewhere = outlook.elsewhere_ends_at
    if elsewhere is None or elsewhere >= outlook.loss_seen_at:
        return LeavingRun.NOT_SOONER
    return LeavingRun.WITHDRAWN


def withdraw_endangered_runs(
    state: CoordinatorState, view: SidecarView, now: datetime
) -> list[Effect]:
    """Decide on each run of this entry on a leaving worker.

    Args:
      state: the entry's state, changed in place.
      view: the sidecar, whose latest report says that its worker leaves.
      now: the current time.

    Returns:
      The effects to be carried out.
    """
    decisions: Counter[LeavingRun] = Counter()
    effects: list[Effect] = []
    for run in view.open_runs:
        progress = state.jobs.get(
            state.by_run.get(PlacedRun(view.incarnation, run), "")
        )
        if progress is None:
            # Withdrawn already.
            continue
        task = progress.tasks[run.task.step][run.task.index]
        outlook = _outlook(state, progress, task, now)
        decision = decide(outlook)
        decisions[decision] += 1
        if decision is LeavingRun.WITHDRAWN:
            effects.append(_log_withdrawn(task, outlook, now))
            effects += _requeue(state, progress, task)
    counts = [Count(decision, count) for decision, count in decisions.items()]
    return [_log_leaving(view, decisions), *counts, *effects]


def _outlook(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress, now: datetime
) -> Outlook:
    view = task.view
    step = progress.job.steps[task.id.step]
    request = PlacementRequest(
        progress.route.service, step, task.run, 0.0, state.remote_slowdown
    )
    candidates = find_candidates(state.views.values(), request, now)
    # On a full worker the task would wait for longer than this run may take.
    fastest = min(
        (each.seconds for each in candidates if fits(step.room, each.view.free)),
        default=None,
    )
    elsewhere = None
    if fastest is not None:
        elsewhere = now + WITHDRAWAL_TIME + timedelta(seconds=fastest)
    worker_ends_at = view.reported_at + view.report.leaves_in
    return Outlook(
        ends_at=task.placed_at + timedelta(seconds=run_seconds(view, request)),
        worker_ends_at=worker_ends_at,
        loss_seen_at=worker_ends_at + state.budget.run_expiry,
        elsewhere_ends_at=elsewhere,
        was_withdrawn=task.moved is not None,
    )


def _requeue(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress
) -> list[Effect]:
    """Withdraw a task's run and queue the task again."""
    task.moved = PlacedRun(task.view.incarnation, task.run)
    effects = withdraw(state, task)
    task.run = None
    task.view = None
    # Whether it had started is known only at its end, which may never come.
    task.has_started = True
    enqueue_task(state, progress, task)
    return effects


def _log_withdrawn(task: TaskProgress, outlook: Outlook, now: datetime) -> Log:
    fields = (
        ("job", task.id.job),
        ("step", task.id.step),
        ("run", task.run.number),
        ("host", task.view.host),
        ("run_left_ms", (outlook.ends_at - now) // _MILLISECOND),
        ("worker_left_ms", (outlook.worker_ends_at - now) // _MILLISECOND),
        ("elsewhere_ms", (outlook.elsewhere_ends_at - now) // _MILLISECOND),
    )
    return Log(logging.INFO, "run withdrawn", task=task.id.index, fields=fields)


def _log_leaving(view: SidecarView, decisions: Counter[LeavingRun]) -> Log:
    fields = (
        ("sidecar", view.incarnation),
        ("worker", view.report.worker),
        ("leaves_in_ms", view.report.leaves_in // _MILLISECOND),
        *((decision.value, decisions[decision]) for decision in LeavingRun),
    )
    return Log(logging.INFO, "worker leaving", fields=fields)
