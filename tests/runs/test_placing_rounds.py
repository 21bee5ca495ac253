"""How often an entry looks for room for the tasks that wait."""

import pytest

from gypsumspoke.core.events import TURN_ENDED, Received
from gypsumspoke.runs import assignment, coordinator
from gypsumspoke.runs.messages import PlaceRun, RunEnded
from gypsumspoke.runs.values import EndReason, RunEnd
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import job, ms


@pytest.fixture
def looks(monkeypatch):
    """Return the tasks for which a worker was looked for."""
    found = []
    choose = assignment.choose

    def count(views, wanted, now):
        found.append(wanted.run)
        return choose(views, wanted, now)

    monkeypatch.setattr(assignment, "choose", count)
    return found


@pytest.fixture
def world():
    """Return a world whose two workers are full while jobs wait."""
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
    """Return the orders to start a run."""
    return [
        effect
        for effect in effects
        if isinstance(getattr(effect, "message", None), PlaceRun)
    ]


def test_a_report_without_more_room_starts_no_round(world, looks):
    """Each report made the entry look for room again, until that was all it did."""
    state = world.processes["entry0"].state
    for sender, report in reports(world):
        report = report._replace(stamp=report.stamp + ms(1))
        coordinator.reduce(state, Received(sender, report), world.now)
    assert looks == []


def test_a_report_of_more_room_places_what_waits(world):
    state = world.processes["entry0"].state
    sender, report = reports(world)[0]
    sent = state.views[sender].sent
    report = report._replace(free=report.capacity, taken=sent)
    effects = coordinator.reduce(state, Received(sender, report), world.now)
    assert placed(effects)


def test_events_of_one_turn_share_one_round(world, looks):
    """Under load each of many queued ends cost a look at all workers of its own."""
    state = world.processes["entry0"].state
    for sender, run in ends(world):
        ended = RunEnded(run, RunEnd.DONE, EndReason.COMPLETED, ms(100), 1)
        effects = coordinator.handle_event(state, Received(sender, ended), world.now)
        assert not placed(effects)
    assert looks == []
    assert placed(coordinator.handle_event(state, TURN_ENDED, world.now))
    looks.clear()
    assert coordinator.handle_event(state, TURN_ENDED, world.now) == []
    assert looks == []
