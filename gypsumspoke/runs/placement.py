"""Choice of the sidecar for a task.

Workers differ in speed and tasks in length. A task goes to a worker on which it is
expected to be in time, and among those to one that is fast relative to its free share,
so that short tasks leave the fast workers to long tasks. Only workers with enough room
are chosen; otherwise the task waits in the entry's queue, where tasks of urgent jobs
come first.
"""

from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

from gypsumspoke.runs.sidecar_views import Placement, SidecarView, is_open
from gypsumspoke.runs.values import DEFAULT_REMOTE_SLOWDOWN, RunId, Step, fits

# Time for messages, the start of the run and the answer.
OVERHEAD_SECONDS = 0.015
# Keeps the cost of an almost full worker finite.
MIN_FREE_SHARE = 0.02


class Choice(NamedTuple):
    """The sidecar chosen for a task.

    Attributes:
      view: the sidecar.
      seconds: expected run time there.
      placement: the run and the room that it takes.
    """

    view: SidecarView
    seconds: float
    placement: Placement


class PlacementRequest(NamedTuple):
    """A task to be placed.

    Attributes:
      service: service of the route.
      step: the task's step.
      run: the run to be placed.
      seconds_left: time until its job is late.
      remote_slowdown: factor on a task's run time away from its data.
    """

    service: str
    step: Step
    run: RunId
    seconds_left: float
    remote_slowdown: float = DEFAULT_REMOTE_SLOWDOWN


def serves(view: SidecarView, service: str, step: Step) -> bool:
    """Return whether a worker can run tasks of a step when it is idle."""
    report = view.report
    return (
        report is not None
        and report.service == service
        and (not step.label or step.label in report.labels)
        and fits(step.room, report.capacity)
    )


class Candidate(NamedTuple):
    """A worker that accepts a task, now or when it has room.

    Attributes:
      view: its sidecar.
      seconds: expected run time there.
      is_late: whether the task's job would be late if it started there now.
      capacity: processors of the worker, in thousandths of a core.
    """

    view: SidecarView
    seconds: float
    is_late: bool
    capacity: int


def find_candidates(
    views: Iterable[SidecarView], request: PlacementRequest, now: datetime
) -> list[Candidate]:
    """Return the workers that accept such a task, whatever room they have now."""
    # Each queued job looks at all workers, so nothing is computed here twice and cheap
    # checks come first.
    step = request.step
    cpu, memory, gpu = step.room
    estimate = step.estimate.total_seconds()
    max_seconds = request.seconds_left - OVERHEAD_SECONDS
    found = []
    for view in views:
        report = view.report
        if report is None or report.service != request.service:
            continue
        if not is_open(view, now):
            continue
        capacity = report.capacity
        if cpu > capacity.cpu or memory > capacity.memory or gpu > capacity.gpu:
            continue
        if step.label and step.label not in report.labels:
            continue
        seconds = estimate * view.pace
        if step.rack and step.rack not in report.labels:
            seconds *= request.remote_slowdown
        is_late = seconds > max_seconds
        found.append(Candidate(view, seconds, is_late, max(capacity.cpu, 1)))
    return found


def choose(candidates: Iterable[Candidate], request: PlacementRequest) -> Choice | None:
    """Return the sidecar for a task, or None to keep it queued.

    A task that would be late on every worker with room, but in time on a full one,
    waits for the full one.

    Args:
      candidates: workers that accept the task.
      request: the task.
    """
    cpu, memory, gpu = request.step.room
    best: Candidate | None = None
    best_cost = 0.0
    may_wait = False
    for candidate in candidates:
        view, seconds, is_late, capacity = candidate
        free = view.free
        if cpu > free.cpu or memory > free.memory or gpu > free.gpu:
            may_wait = may_wait or not is_late
            continue
        if best is not None and is_late > best.is_late:
            continue
        cost = seconds / max(free.cpu / capacity, MIN_FREE_SHARE)
        if best is None or is_late < best.is_late or cost < best_cost:
            best, best_cost = candidate, cost
    if best is None or best.is_late and may_wait:
        return None
    placement = Placement(request.run, request.step.room)
    return Choice(best.view, best.seconds, placement)


def run_seconds(view: SidecarView, request: PlacementRequest) -> float:
    """Return the expected run time of a task there."""
    step = request.step
    seconds = step.estimate.total_seconds() * view.pace
    if step.rack and step.rack not in view.report.labels:
        seconds *= request.remote_slowdown
    return seconds
