"""The queue of tasks, and the order in which they are placed.

Jobs are ordered by the priority of their route, then jobs that can still be in time
before jobs that can't, then by arrival. The second rule keeps a burst from delaying
every job behind it. A task that finds no room is skipped, up to ``MAX_MISSES`` jobs in
a round, so that a job with large tasks doesn't leave workers idle.

Each run takes processor time of its entry and sidecar, so that wide jobs, with very
many tasks, could keep both from all others. Their tasks go to sidecars with few runs
only. All but the first ones are bulk: they come behind other jobs of their priority, a
few in each turn, and only while the entry isn't behind.
"""

import logging
from datetime import datetime

from gypsumspoke.core.effects import Effect, Log, Send
from gypsumspoke.runs.coordinator_state import (
    CoordinatorState,
    JobProgress,
    PlacedRun,
    PlacingContinues,
    TaskProgress,
)
from gypsumspoke.runs.messages import PlaceRun
from gypsumspoke.runs.placement import (
    Candidate,
    Choice,
    PlacementRequest,
    choose,
    find_candidates,
)
from gypsumspoke.runs.queued_tasks import QueuedTasks
from gypsumspoke.runs.sidecar_views import (
    SidecarView,
    fastest_pace,
    record_placement,
    record_proof,
)
from gypsumspoke.runs.values import Room, RunId

# Jobs without a placement after which a round ends; each costs a scan of all workers.
MAX_MISSES = 6

# A job with more tasks is wide, and its tasks beyond these are bulk.
PROMPT_TASKS = 32
# Bulk tasks that are placed in a round: a few milliseconds of processor time.
BULK_TASKS_PER_ROUND = 32
# Runs of all entries on a sidecar from which on it gets no task of a wide job.
MAX_RUNS_BESIDE_WIDE_JOBS = 128


def enqueue_ready_steps(state: CoordinatorState, progress: JobProgress) -> None:
    """Queue the tasks of each step whose preceding steps are done."""
    for number, step in enumerate(progress.job.steps):
        if progress.released[number] or any(progress.remaining[i] for i in step.after):
            continue
        progress.released[number] = True
        for task in progress.tasks[number]:
            enqueue_task(state, progress, task)


def enqueue_task(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress
) -> None:
    """Queue a task for placement."""
    room = progress.job.steps[task.id.step].room
    if not state.waiting:
        state.least_queued = room
    state.least_queued = Room(*map(min, state.least_queued, room))
    if progress.id not in state.waiting:
        state.waiting[progress.id] = QueuedTasks(progress.job)
    state.waiting[progress.id].append(task)
    state.needs_placing_round = True


def place_waiting(
    state: CoordinatorState, now: datetime, most_bulk: int = 0
) -> list[Effect]:
    """Place the queued tasks that fit on a worker now, in the order of their jobs.

    Args:
      state: the coordinator's state, changed in place.
      now: the current time.
      most_bulk: how many tasks are placed that are bulk.
    """
    state.needs_placing_round = False
    if not state.waiting:
        return []
    state.least_queued = _least_queued(state)
    effects: list[Effect] = []
    misses = 0
    for progress in _sorted_jobs(state, now):
        before = len(state.waiting[progress.id])
        prompt = _prompt_tasks(progress)
        most = before if prompt is None else prompt + most_bulk
        effects += _place_job(state, progress, now, most)
        left = state.waiting.get(progress.id, ())
        placed = before - len(left)
        if prompt is not None:
            most_bulk -= max(placed - prompt, 0)
        if left and placed == most:
            state.needs_placing_round = True
        # Tasks that wait for a withdrawn run cost no scan.
        elif not placed and not all(state.withdrawn.get(t.id) for t in left):
            misses += 1
        if misses >= MAX_MISSES:
            break
    return effects


def place_at_turn_end(state: CoordinatorState, now: datetime) -> list[Effect]:
    """Place queued tasks, among them bulk ones if the entry has time for them."""
    if not state.load_shedder.allows_bulk:
        return place_waiting(state, now)
    effects = place_waiting(state, now, BULK_TASKS_PER_ROUND)
    if state.needs_placing_round:
        effects.append(PlacingContinues())
    return effects


def _is_wide(progress: JobProgress) -> bool:
    return progress.task_count > PROMPT_TASKS


def _prompt_tasks(progress: JobProgress) -> int | None:
    """Return how many tasks of a job are placed before they are bulk; None for all."""
    if not _is_wide(progress):
        return None
    return max(PROMPT_TASKS - progress.placed, 0)


def _least_queued(state: CoordinatorState) -> Room:
    """Return the least that a queued task needs, in each dimension."""
    rooms = [queued.least_room for queued in state.waiting.values()]
    return Room(*map(min, zip(*rooms)))


def _sorted_jobs(state: CoordinatorState, now: datetime) -> list[JobProgress]:
    if len(state.waiting) == 1:
        return [state.jobs[job_id] for job_id in state.waiting]
    paces = {
        service: fastest_pace(state.views.values(), service)
        for service in {state.jobs[job_id].route.service for job_id in state.waiting}
    }

    def rank(job: JobProgress) -> tuple[int, bool, bool, datetime]:
        in_time = (
            now + state.waiting[job.id].longest_estimate * paces[job.route.service]
            <= job.due
        )
        is_bulk = _prompt_tasks(job) == 0
        return (job.route.priority, is_bulk, not in_time, job.arrived)

    return sorted((state.jobs[job_id] for job_id in state.waiting), key=rank)


class _Search:
    """The search for workers for the queued tasks of one job.

    The workers that accept a task are the same for all tasks of a step, so each step
    looks at all workers once.
    """

    def __init__(
        self, state: CoordinatorState, progress: JobProgress, now: datetime
    ) -> None:
        self._state = state
        self._progress = progress
        self._now = now
        self._seconds_left = (progress.due - now).total_seconds()
        self._candidates: dict[int, list[Candidate]] = {}

    def request(self, task: TaskProgress) -> PlacementRequest:
        """Return the request for the next run of a task."""
        return PlacementRequest(
            self._progress.route.service,
            self._progress.job.steps[task.id.step],
            RunId(task.id, task.number + 1),
            self._seconds_left,
            self._state.remote_slowdown,
        )

    def candidates(self, request: PlacementRequest) -> list[Candidate]:
        """Return the workers that accept a task."""
        number = request.run.task.step
        if number not in self._candidates:
            views = self._state.views.values()
            self._candidates[number] = find_candidates(views, request, self._now)
        return self._candidates[number]

    def record_placement(self, view: SidecarView) -> None:
        """Look at all workers again if this one accepts no second task."""
        if view.report.failing:
            self._candidates.clear()


def _place_job(
    state: CoordinatorState, progress: JobProgress, now: datetime, most: int
) -> list[Effect]:
    """Place up to ``most`` queued tasks of one job until one finds no room."""
    queued = state.waiting[progress.id]
    search = _Search(state, progress, now)
    effects: list[Effect] = []
    placed: list[TaskProgress] = []
    for task in queued:
        if len(placed) >= most:
            break
        choice = _choose(state, progress, task, search)
        if choice is None and state.withdrawn.get(task.id):
            continue
        if choice is None:
            break
        effects += _place(state, progress, task, choice, now)
        search.record_placement(choice.view)
        placed.append(task)
    queued.remove(placed)
    if not queued:
        del state.waiting[progress.id]
    return effects


def _choose(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress, search: _Search
) -> Choice | None:
    # A withdrawn run of the task, or of an earlier request for the same job, may still
    # be running.
    if state.withdrawn.get(task.id):
        return None
    request = search.request(task)
    candidates = _allowed(progress, task, search.candidates(request))
    if _is_wide(progress):
        candidates = [each for each in candidates if _has_few_runs(each.view)]
    # A worker where the task failed or was refused is tried again only if no other one
    # is open, not even a full one. Otherwise it might refuse the same task endlessly.
    preferred = candidates
    if task.avoided_hosts:
        preferred = [
            candidate
            for candidate in candidates
            if candidate.view.host not in task.avoided_hosts
        ]
    return choose(preferred or candidates, request)


def _has_few_runs(view: SidecarView) -> bool:
    """Return whether a sidecar has so few runs that it gets tasks of wide jobs.

    An entry knows its own runs only, and assumes that others place as many.
    """
    return len(view.open_runs) * view.report.entries < MAX_RUNS_BESIDE_WIDE_JOBS


def _allowed(
    progress: JobProgress, task: TaskProgress, candidates: list[Candidate]
) -> list[Candidate]:
    """Return the candidates that are below the step's bound on tasks per worker."""
    step = progress.job.steps[task.id.step]
    if not step.per_worker:
        return candidates
    placed: dict[str, int] = {}
    for other in progress.tasks[task.id.step]:
        if other.view is not None and other is not task:
            placed[other.view.host] = placed.get(other.view.host, 0) + 1
    return [
        candidate
        for candidate in candidates
        if placed.get(candidate.view.host, 0) < step.per_worker
    ]


def _place(
    state: CoordinatorState,
    progress: JobProgress,
    task: TaskProgress,
    choice: Choice,
    now: datetime,
) -> list[Effect]:
    """Start the next run of a task on the chosen sidecar."""
    step = progress.job.steps[task.id.step]
    view = choice.view
    run = choice.placement.run
    task.number = run.number
    task.run = run
    task.view = view
    task.placed_at = now
    progress.placed += 1
    state.by_run[PlacedRun(view.incarnation, run)] = progress.id
    record_placement(view, choice.placement)
    record_proof(view, now)
    message = PlaceRun(
        view.report.stamp,
        run,
        step.room,
        progress.route.priority,
        step.estimate,
        progress.deadline - now,
        progress.job.spec,
        progress.due - now,
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
    # First runs are covered by the lines "job accepted" and "run ended".
    level = logging.DEBUG if task.number == 1 else logging.INFO
    return Log(level, "task placed", task=task.id.index, fields=fields)
