"""Which sidecar gets a task, and when its job would end.

Load that it answers: workers differ in speed by a factor of two to three and a job is as
late as its last task, so a task goes where it is expected to *end* first, not where the
least work waits. Ties, as on an idle system, go to the worker with the most room left,
which leaves space on all for the next wide job.
"""

from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

from gypsumspoke.runs.fleet import (
    Placement,
    SidecarView,
    expected_wait,
    free_room,
    is_open,
)
from gypsumspoke.runs.values import RunId, Step, fits

# From the platform's bounds: a task away from its data takes this much longer.
REMOTE_SLOWDOWN = 1.5
# Ends that differ by less than this are the same: estimates are off by more.
SAME_END_SECONDS = 0.02


class Choice(NamedTuple):
    """Where a task goes.

    Attributes:
      view: the sidecar.
      seconds: expected time until the task ends.
      placement: what it takes there.
    """

    view: SidecarView
    seconds: float
    placement: Placement


def serves(view: SidecarView, service: str, step: Step) -> bool:
    """Return whether a worker may ever run tasks of a step."""
    report = view.report
    return (
        report is not None
        and report.service == service
        and (not step.label or step.label in report.labels)
        and fits(step.room, report.capacity)
    )


def choose(
    views: Iterable[SidecarView],
    service: str,
    step: Step,
    run: RunId,
    priority: int,
    now: datetime,
) -> Choice | None:
    """Return the sidecar where a task is expected to end first, or None.

    Args:
      views: sidecars that may be chosen.
      service: service of the route.
      step: the task's step.
      run: the run to be placed.
      priority: priority of the route.
      now: the current time.
    """
    best: Choice | None = None
    best_rank: tuple[float, float] | None = None
    for view in views:
        if not serves(view, service, step) or not is_open(view, now):
            continue
        seconds = expected_end(view, step, priority)
        free = free_room(view, priority).cpu
        rank = (round(seconds / SAME_END_SECONDS), -free)
        if best_rank is None or rank < best_rank:
            work = step.room.cpu * step.estimate.total_seconds()
            best_rank = rank
            best = Choice(view, seconds, Placement(run, step.room, priority, work))
    return best


def expected_end(view: SidecarView, step: Step, priority: int) -> float:
    """Return the seconds until a task of this step would end there."""
    seconds = step.estimate.total_seconds() * view.pace
    if step.rack and step.rack not in view.report.labels:
        seconds *= REMOTE_SLOWDOWN
    return expected_wait(view, step.room, priority) + seconds
