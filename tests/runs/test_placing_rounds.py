"""How often an entry tries to place its queued tasks."""

import pytest

from gypsumspoke.core.events import TURN_ENDED, Received, Tick
from gypsumspoke.runs import assignment, coordinator, sidecar_views
from gypsumspoke.runs.coordinator_state import PlacedRun, TaskProgress
from gypsumspoke.runs.messages import PlaceRun, RunEnded
from gypsumspoke.runs.values import EndReason, Job, JobEnd, Room, RunEnd, subtract
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import job, ms


@pytest.fixture
def searches(monkeypatch):
    """Return the runs for which a worker was searched."""
    found = []
    choose = assignment.choose

    def count(candidates, request):
        found.append(request.run)
        return choose(candidates, request)

    monkeypatch.setattr(assignment, "choose", count)
    return found


@pytest.fixture
def world():
    """Return a world with two full workers and queued jobs."""
    made = settled()
    for number in range(12):
        made.submit("entry0", f"r{number}", job(f"j{number}", count=2), ms(9000))
    made.run(ms(30))
    assert made.processes["entry0"].state.waiting
    return made


def reports(world):
    """Return each sidecar with its latest report."""
    views = world.processes["entry0"].state.views.values()
    return [(view.incarnation, view.report) for view in views]


def ends(world):
    """Return the end of one run on each sidecar."""
    views = world.processes["entry0"].state.views.values()
    return [
        (view.incarnation, next(iter(view.open_runs)))
        for view in views
        if view.open_runs
    ]


def placed(effects):
    """Return the placements among some effects."""
    return [
        effect
        for effect in effects
        if isinstance(getattr(effect, "message", None), PlaceRun)
    ]


def test_a_report_without_more_room_starts_no_round(world, searches):
    """Placing rounds after each report used up the entry's processor time."""
    state = world.processes["entry0"].state
    for sender, report in reports(world):
        report = report._replace(stamp=report.stamp + ms(1))
        coordinator.reduce(state, Received(sender, report), world.now)
    assert searches == []


def test_a_report_of_more_room_places_queued_tasks(world):
    state = world.processes["entry0"].state
    sender, report = reports(world)[0]
    sent = state.views[sender].sent
    report = report._replace(free=report.capacity, taken=sent)
    effects = coordinator.reduce(state, Received(sender, report), world.now)
    assert placed(effects)


def test_events_of_one_turn_share_one_round(world, searches):
    """Under load, each of many run ends caused a placing round."""
    state = world.processes["entry0"].state
    for sender, run in ends(world):
        ended = RunEnded(run, RunEnd.DONE, EndReason.COMPLETED, ms(100), 1)
        effects = coordinator.handle_event(state, Received(sender, ended), world.now)
        assert not placed(effects)
    assert searches == []
    assert placed(coordinator.handle_event(state, TURN_ENDED, world.now))
    searches.clear()
    assert coordinator.handle_event(state, TURN_ENDED, world.now) == []
    assert searches == []


def test_room_that_fits_no_queued_task_starts_no_search(world, searches):
    """On full workers nearly every report and end leaves too little room, and an entry
    with a slow processor fell behind in searches that found nothing.
    """
    process = world.processes["entry0"]
    name, report = reports(world)[0]
    least = process.state.least_queued
    searches.clear()
    free = least._replace(cpu=least.cpu - 1)
    process.reduce(process.state, Received(name, report._replace(free=free)), world.now)
    assert not searches
    sent = process.state.views[name].sent
    enough = Received(name, report._replace(free=least, taken=sent))
    assert placed(process.reduce(process.state, enough, world.now))


def test_a_small_change_of_pace_waits_for_the_tick(world, searches):
    """Each completed run changes the pace of its worker a little."""
    process = world.processes["entry0"]
    name, report = reports(world)[0]
    process.reduce(process.state, Received(name, report._replace(pace=1.0)), world.now)
    searches.clear()
    process.reduce(process.state, Received(name, report._replace(pace=1.05)), world.now)
    assert not searches
    process.reduce(process.state, Received(name, report._replace(pace=2.0)), world.now)
    assert searches
    searches.clear()
    process.reduce(process.state, Tick(), world.now)
    assert searches


def test_the_smallest_queued_task_decides_whether_room_is_enough(world):
    """A later step may need less room than the first."""
    state = world.processes["entry0"].state
    small = Room(100, 10, 0)
    sent = job("small", count=1)
    steps = (sent.steps[0], sent.steps[0]._replace(room=small))
    world.submit("entry0", "small", sent._replace(steps=steps))
    assert state.least_queued == small
    world.close_request("entry0", "small")
    world.run(ms(100))
    assert state.least_queued.cpu > small.cpu


def test_the_end_of_a_withdrawn_run_lets_its_task_be_placed(world):
    """The task waits for that end and not for room on the worker that reports it."""
    process = world.processes["entry0"]
    name, run = ends(world)[0]
    process.state.withdrawn[run.task] = {PlacedRun(name, run)}
    process.state.needs_placing_round = False
    ended = RunEnded(run, RunEnd.STOPPED, EndReason.WITHDRAWN, ms(50))
    coordinator.handle_event(process.state, Received(name, ended), world.now)
    assert process.state.needs_placing_round


def test_the_work_of_placing_a_job_grows_with_its_tasks_only(monkeypatch):
    """An entry that goes through all placements for each task stands still for
    seconds while it places a job with many tasks.
    """
    counted = []

    def count(one, other):
        counted.append(one)
        return subtract(one, other)

    monkeypatch.setattr(sidecar_views, "subtract", count)
    world = settled()
    (step,) = job("wide").steps
    wide = Job("wide", "", (step._replace(count=400, room=Room(1, 1, 0)),))
    counted.clear()
    world.submit("entry0", "r", wide, ms(9000))
    world.run(ms(1000))
    assert world.answers["r"].end is JobEnd.COMPLETED
    assert len(counted) < 10 * 400


def test_the_work_of_a_round_does_not_grow_with_the_queued_tasks(world, monkeypatch):
    """An entry that goes through all queued tasks at each report and arrival stands
    still while jobs with many tasks are queued.
    """
    looks = []

    def read(task):
        looks.append(task)
        return task.__dict__["id"]

    def write(task, value):
        task.__dict__["id"] = value

    (step,) = job("wide").steps
    for number in range(10):
        wide = Job(f"w{number}", "", (step._replace(count=900),))
        world.submit("entry0", f"w{number}", wide, ms(9000))
    monkeypatch.setattr(TaskProgress, "id", property(read, write), raising=False)
    process = world.processes["entry0"]
    rounds = 20
    for number in range(rounds):
        process.reduce(process.state, Tick(), world.now)
        world.submit("entry0", f"s{number}", job(f"s{number}"), ms(9000))
    assert len(looks) < rounds * 100
