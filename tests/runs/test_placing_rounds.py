"""How often an entry tries to place its queued tasks."""

import pytest

from gypsumspoke.core.events import TURN_ENDED, Received
from gypsumspoke.runs import assignment, coordinator
from gypsumspoke.runs.messages import PlaceRun, RunEnded
from gypsumspoke.runs.values import EndReason, RunEnd
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
