"""Which sidecar gets a task that may start now.

Load that it answers: workers differ in speed by a factor of two to three, tasks in
length by ten, and a job is as late as its last task. Always taking the fastest worker
fills the few fast ones, and long tasks, which are in time only there, wait behind short
ones that would be in time anywhere. So a task goes to a worker on which it is expected
to be in time, and among those to one that is fast for how full it is. Only workers with
room now are taken: what finds none waits at the entry, where the most urgent task gets
the next free room, instead of behind others at one worker.
"""

from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

from gypsumspoke.runs.sidecar_views import Placement, SidecarView, is_open
from gypsumspoke.runs.values import DEFAULT_REMOTE_SLOWDOWN, RunId, Step, fits

# Messages, the start and the answer take some milliseconds of what a job may take.
OVERHEAD_SECONDS = 0.015
# Keeps the cost of the last free piece of a worker finite.
MIN_FREE_SHARE = 0.02


class Choice(NamedTuple):
    """Where a task goes.

    Attributes:
      view: the sidecar.
      seconds: expected run time there.
      placement: what it takes there.
    """

    view: SidecarView
    seconds: float
    placement: Placement


class PlacementRequest(NamedTuple):
    """A task that looks for a worker.

    Attributes:
      service: service of the route.
      step: the task's step.
      run: the run to be placed.
      seconds_left: until its job is late.
      remote_slowdown: factor on a task's run time away from its data.
    """

    service: str
    step: Step
    run: RunId
    seconds_left: float
    remote_slowdown: float = DEFAULT_REMOTE_SLOWDOWN


def serves(view: SidecarView, service: str, step: Step) -> bool:
    """Return whether a worker may ever run tasks of a step."""
    report = view.report
    return (
        report is not None
        and report.service == service
        and (not step.label or step.label in report.labels)
        and fits(step.room, report.capacity)
    )


def is_open_to(view: SidecarView, wanted: PlacementRequest, now: datetime) -> bool:
    """Return whether a sidecar takes such a task, now or when it has room."""
    return serves(view, wanted.service, wanted.step) and is_open(view, now)


def choose(
    views: Iterable[SidecarView], wanted: PlacementRequest, now: datetime
) -> Choice | None:
    """Return the sidecar for a task, or None to let it wait.

    A task that is still in time on a busy worker only, waits for that one rather than
    be late for certain on a free one.

    Args:
      views: sidecars that may be chosen.
      wanted: the task.
      now: the current time.
    """
    step = wanted.step
    best: SidecarView | None = None
    best_rank: tuple[bool, float] | None = None
    best_seconds = 0.0
    full: list[SidecarView] = []
    for view in views:
        # Cheap conditions come first: every task looks at every worker.
        if view.report is None or view.report.service != wanted.service:
            continue
        if not fits(step.room, view.free):
            full.append(view)
            continue
        if not is_open_to(view, wanted, now):
            continue
        seconds = run_seconds(view, wanted)
        rank = (not _is_in_time(seconds, wanted), seconds / _free_share(view))
        if best_rank is None or rank < best_rank:
            best, best_rank, best_seconds = view, rank, seconds
    if best is None:
        return None
    if best_rank[0] and any(_is_worth_waiting(view, wanted, now) for view in full):
        return None
    return Choice(best, best_seconds, Placement(wanted.run, step.room))


def _is_worth_waiting(
    view: SidecarView, wanted: PlacementRequest, now: datetime
) -> bool:
    """Return whether a task is in time on a worker that has no room for it now."""
    if not is_open_to(view, wanted, now):
        return False
    return _is_in_time(run_seconds(view, wanted), wanted)


def _is_in_time(seconds: float, wanted: PlacementRequest) -> bool:
    return seconds + OVERHEAD_SECONDS <= wanted.seconds_left


def _free_share(view: SidecarView) -> float:
    """Return the share of the worker's processors that is free, before the task."""
    return max(view.free.cpu / max(view.report.capacity.cpu, 1), MIN_FREE_SHARE)


def run_seconds(view: SidecarView, wanted: PlacementRequest) -> float:
    """Return the expected run time of a task there."""
    step = wanted.step
    seconds = step.estimate.total_seconds() * view.pace
    if step.rack and step.rack not in view.report.labels:
        seconds *= wanted.remote_slowdown
    return seconds
