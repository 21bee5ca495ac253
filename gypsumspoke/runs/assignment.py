"""Which waiting task gets the next free room.

Load that it answers: for seconds, more work arrives than the workers do. Tasks wait
here at the entry, in one order: first by the priority of the route, then jobs that can
still be in time before those that can't, then by arrival. Without the second rule all
jobs of a burst become late in turn, each by the time that the one before it took. A
task that finds no room lets smaller or less demanding ones behind it go on, within a
bound, so that one wide job does not leave workers idle.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Log, Send
from gypsumspoke.runs.coordinator_state import (
    CoordinatorState,
    JobProgress,
    PlacedRun,
    TaskProgress,
)
from gypsumspoke.runs.messages import PlaceRun
from gypsumspoke.runs.placement import Choice, PlacementRequest, choose, is_open_to
from gypsumspoke.runs.sidecar_views import SidecarView, fastest_pace, record_placement
from gypsumspoke.runs.values import RunId

# Jobs in a row that may find no room before a round ends; each costs a look at every
# worker.
MAX_MISSES = 6


def enqueue_ready_steps(state: CoordinatorState, progress: JobProgress) -> None:
    """Let the tasks of all steps wait whose earlier steps are done."""
    for number, step in enumerate(progress.job.steps):
        if progress.released[number] or any(progress.remaining[i] for i in step.after):
            continue
        progress.released[number] = True
        for task in progress.tasks[number]:
            enqueue_task(state, progress, task)


def enqueue_task(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress
) -> None:
    """Let a task wait for a place."""
    state.waiting.setdefault(progress.id, []).append(task)


def place_waiting(state: CoordinatorState, now: datetime) -> list[Effect]:
    """Place the tasks that find room now, the most urgent first."""
    state.needs_placing_round = False
    if not state.waiting:
        return []
    effects: list[Effect] = []
    misses = 0
    for progress in _sorted_jobs(state, now):
        before = len(state.waiting[progress.id])
        effects += _place_job(state, progress, now)
        if len(state.waiting.get(progress.id, ())) == before:
            misses += 1
        if misses >= MAX_MISSES:
            break
    return effects


def _sorted_jobs(state: CoordinatorState, now: datetime) -> list[JobProgress]:
    paces = {
        service: fastest_pace(state.views.values(), service)
        for service in {state.jobs[job_id].route.service for job_id in state.waiting}
    }

    def rank(job: JobProgress) -> tuple[int, bool, datetime]:
        in_time = (
            now + _longest_estimate(state, job) * paces[job.route.service] <= job.due
        )
        return (job.route.priority, not in_time, job.arrived)

    return sorted((state.jobs[job_id] for job_id in state.waiting), key=rank)


def _longest_estimate(state: CoordinatorState, progress: JobProgress) -> timedelta:
    """Return the longest estimate of the tasks that wait."""
    steps = {task.id.step for task in state.waiting[progress.id]}
    return max(progress.job.steps[number].estimate for number in steps)


def _place_job(
    state: CoordinatorState, progress: JobProgress, now: datetime
) -> list[Effect]:
    """Place the waiting tasks of one job until one finds no room."""
    tasks = state.waiting.pop(progress.id)
    effects: list[Effect] = []
    for position, task in enumerate(tasks):
        choice = _choose(state, progress, task, now)
        if choice is None:
            state.waiting[progress.id] = tasks[position:]
            break
        effects += _place(state, progress, task, choice, now)
    return effects


def _choose(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress, now: datetime
) -> Choice | None:
    # An earlier run of the task, of a copy of the job that was given up, may still be
    # at work; two at once are never allowed.
    if state.withdrawn.get(task.id):
        return None
    step = progress.job.steps[task.id.step]
    wanted = PlacementRequest(
        progress.route.service,
        step,
        RunId(task.id, task.number + 1),
        (progress.due - now).total_seconds(),
        state.remote_slowdown,
    )
    views = _allowed_views(state, progress, task)
    if not task.avoided_hosts:
        return choose(views, wanted, now)
    fresh = [view for view in views if view.host not in task.avoided_hosts]
    # A worker where the task failed or was refused is tried again only where no other
    # takes work at all. Tried whenever the others are full, one that refuses would get,
    # and send back, the same tasks without end.
    if any(is_open_to(view, wanted, now) for view in fresh):
        return choose(fresh, wanted, now)
    return choose(views, wanted, now)


def _allowed_views(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress
) -> list[SidecarView]:
    """Return the sidecars that the step's bound per worker allows."""
    step = progress.job.steps[task.id.step]
    views = list(state.views.values())
    if not step.per_worker:
        return views
    placed: dict[str, int] = {}
    for other in progress.tasks[task.id.step]:
        if other.view is not None and other is not task:
            placed[other.view.host] = placed.get(other.view.host, 0) + 1
    return [view for view in views if placed.get(view.host, 0) < step.per_worker]


def _place(
    state: CoordinatorState,
    progress: JobProgress,
    task: TaskProgress,
    choice: Choice,
    now: datetime,
) -> list[Effect]:
    """Send one run to its sidecar."""
    step = progress.job.steps[task.id.step]
    view = choice.view
    run = choice.placement.run
    task.number = run.number
    task.run = run
    task.view = view
    progress.placed += 1
    state.by_run[PlacedRun(view.incarnation, run)] = progress.id
    record_placement(view, choice.placement)
    view.last_sent_at = now
    message = PlaceRun(
        view.report.stamp,
        run,
        step.room,
        progress.route.priority,
        step.estimate,
        progress.deadline - now,
        progress.job.spec,
    )
    return [Send(view.incarnation, message), _log_placed(progress, task, choice, now)]


def _log_placed(
    progress: JobProgress, task: TaskProgress, choice: Choice, now: datetime
) -> Log:
    report_age = (now - choice.view.reported_at).total_seconds()
    fields = (
        ("job", progress.job.id),
        ("step", task.id.step),
        ("run", task.number),
        ("host", choice.view.host),
        ("expected_ms", round(choice.seconds * 1000)),
        ("report_age_ms", round(report_age * 1000)),
    )
    # The first run of each task is told by the job's own line and by the sidecar; a
    # line for each would double the volume.
    level = logging.DEBUG if task.number == 1 else logging.INFO
    return Log(level, "task placed", task=task.id.index, fields=fields)
