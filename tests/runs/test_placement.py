"""Choice of the worker for a task."""

import pytest

from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.placement import (
    PlacementRequest,
    choose,
    find_candidates,
    serves,
)
from gypsumspoke.runs.sidecar_views import (
    Placement,
    SidecarView,
    record_placement,
    update_report,
)
from gypsumspoke.runs.values import Room, RunId, Step, TaskId
from tests.runs.world import START, ms

RUN = RunId(TaskId("j1", 0, 0), 1)
STEP = Step(1, Room(3000, 64, 0), ms(200))


def view(name, pace=1.0, free=8000, **more):
    """Return a view of a worker with eight cores."""
    made = SidecarView(f"{name}-1", name, START)
    report = WorkerReport(
        stamp=ms(0),
        worker=name,
        service="estimate",
        labels=("a", "r1"),
        takes_work=True,
        clean=True,
        capacity=Room(8000, 64000, 0),
        free=Room(free, 64000, 0),
        pace=pace,
        failing=False,
        taken=0,
    )
    update_report(made, report._replace(**more), START)
    return made


def search(views, request, now=START + ms(50)):
    """Return the name of the chosen worker, or None."""
    choice = choose(find_candidates(views, request, now), request)
    return choice.view.host if choice else None


def place(views, step=STEP, left=1.0):
    """Return the name of the worker chosen for a task, or None."""
    return search(views, PlacementRequest("estimate", step, RUN, left))


def test_an_idle_fast_worker_goes_before_an_idle_slow_one():
    assert place([view("slow", pace=1.6), view("fast", pace=0.6)]) == "fast"


def test_a_nearly_full_fast_worker_leaves_short_tasks_to_idle_ones():
    assert place([view("slow", pace=1.5), view("fast", pace=0.6, free=3000)]) == "slow"


def test_a_task_in_time_on_the_fast_worker_only_goes_there():
    views = [view("slow", pace=1.6), view("fast", pace=0.6, free=3000)]
    assert place(views, left=0.25) == "fast"


def test_a_task_waits_for_the_only_worker_where_it_is_in_time():
    views = [view("slow", pace=1.6), view("fast", pace=0.6, free=0)]
    assert place(views, left=0.25) is None


def test_a_task_that_is_late_anyway_takes_what_is_free():
    views = [view("slow", pace=1.6), view("fast", pace=0.6, free=0)]
    assert place(views, left=0.01) == "slow"


def test_own_placements_count_before_the_next_report():
    one = view("one")
    record_placement(one, Placement(RUN, Room(6000, 64, 0)))
    assert place([one]) is None


@pytest.mark.parametrize(
    "more",
    [
        {"takes_work": False},
        {"service": "other"},
        {"capacity": Room(2000, 64000, 0)},
    ],
)
def test_a_worker_that_can_not_run_the_task_is_skipped(more):
    assert place([view("one", **more)]) is None


def test_a_silent_sidecar_gets_nothing():
    request = PlacementRequest("estimate", STEP, RUN, 1.0)
    assert search([view("one")], request, START + ms(500)) is None


def test_a_label_must_be_there_and_a_rack_is_preferred():
    assert not serves(view("one"), "estimate", STEP._replace(label="b"))
    near, far = view("near", labels=("a", "r2")), view("far", labels=("a", "r1"))
    assert place([far, near], STEP._replace(rack="r2")) == "near"


def test_a_failing_worker_gets_one_run_at_a_time():
    failing = view("one", failing=True)
    assert place([failing]) == "one"
    record_placement(failing, Placement(RUN, STEP.room))
    assert place([failing]) is None


def test_the_remote_slowdown_decides_whether_a_task_waits_for_its_rack():
    """A task whose rack is busy goes to a free worker elsewhere only if the slowdown
    still lets it be in time there.
    """
    step = STEP._replace(rack="r1")
    near = view("near", free=0, labels=("r1",))
    far = view("far", labels=("r2",))
    seconds = step.estimate.total_seconds()
    request = PlacementRequest("estimate", step, RUN, 2 * seconds, remote_slowdown=1.2)
    assert search([near, far], request, START) == "far"
    slower = request._replace(remote_slowdown=3.0)
    assert search([near, far], slower, START) is None
