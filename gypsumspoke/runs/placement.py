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


def is_open_to(view: SidecarView, request: PlacementRequest, now: datetime) -> bool:
    """Return whether a sidecar accepts such a task, now or when it has room."""
    return serves(view, request.service, request.step) and is_open(view, now)


def choose(
    views: Iterable[SidecarView], request: PlacementRequest, now: datetime
) -> Choice | None:
    """Return the sidecar for a task, or None to keep it queued.

    A task that would be late on every worker with room, but in time on a full one,
    waits for the full one.

    Args:
      views: sidecars that may be chosen.
      request: the task.
      now: the current time.
    """
    step = request.step
    best: SidecarView | None = None
    best_rank: tuple[bool, float] | None = None
    best_seconds = 0.0
    full: list[SidecarView] = []
    for view in views:
        # Cheap checks come first: every task scans all workers.
        if view.report is None or view.report.service != request.service:
            continue
        if not fits(step.room, view.free):
            full.append(view)
            continue
        if not is_open_to(view, request, now):
            continue
        seconds = run_seconds(view, request)
        rank = (not _is_in_time(seconds, request), seconds / _free_share(view))
        if best_rank is None or rank < best_rank:
            best, best_rank, best_seconds = view, rank, seconds
    if best is None:
        return None
    if best_rank[0] and any(_is_worth_waiting(view, request, now) for view in full):
        return None
    return Choice(best, best_seconds, Placement(request.run, step.room))


def _is_worth_waiting(
    view: SidecarView, request: PlacementRequest, now: datetime
) -> bool:
    """Return whether a task would be in time on a worker without room for it now."""
    if not is_open_to(view, request, now):
        return False
    return _is_in_time(run_seconds(view, request), request)


def _is_in_time(seconds: float, request: PlacementRequest) -> bool:
    return seconds + OVERHEAD_SECONDS <= request.seconds_left


def _free_share(view: SidecarView) -> float:
    """Return the free share of the worker's processors before the placement."""
    return max(view.free.cpu / max(view.report.capacity.cpu, 1), MIN_FREE_SHARE)


def run_seconds(view: SidecarView, request: PlacementRequest) -> float:
    """Return the expected run time of a task there."""
    step = request.step
    seconds = step.estimate.total_seconds() * view.pace
    if step.rack and step.rack not in view.report.labels:
        seconds *= request.remote_slowdown
    return seconds
