"""Jobs with very many tasks, beside others."""

import pytest

from gypsumspoke.core.events import TURN_ENDED
from gypsumspoke.runs import coordinator
from gypsumspoke.runs.assignment import (
    BULK_TASKS_PER_ROUND,
    MAX_RUNS_BESIDE_WIDE_JOBS,
    PROMPT_TASKS,
)
from gypsumspoke.runs.coordinator_state import JobArrived
from gypsumspoke.runs.load import LoadShedder
from gypsumspoke.runs.values import Job, JobEnd, Room
from tests.runs.test_job_lifecycle import settled
from tests.runs.test_placing_rounds import placed
from tests.runs.world import ROUTE, TASK_ROOM, job, ms

DEADLINE = ms(9000)
SMALL = Room(1, 1, 0)


def wide_job(name, count=900, room=SMALL):
    """Return a job with very many tasks."""
    (step,) = job(name).steps
    return Job(name, "", (step._replace(count=count, room=room),))


@pytest.fixture
def world():
    return settled()


@pytest.fixture
def entry(world):
    return world.processes["entry0"]


def test_a_wide_job_is_run_when_it_is_alone(world):
    world.submit("entry0", "r", wide_job("wide"), DEADLINE)
    world.run(ms(3000))
    assert world.answers["r"].end is JobEnd.COMPLETED


def test_no_turn_places_all_tasks_of_a_wide_job(world, entry):
    """An entry that places a thousand tasks at once answers nobody meanwhile."""
    arrived = JobArrived("r", wide_job("wide"), ROUTE, world.now + DEADLINE)
    first = placed(coordinator.handle_event(entry.state, arrived, world.now))
    assert len(first) <= PROMPT_TASKS
    for _ in range(10):
        ended = coordinator.handle_event(entry.state, TURN_ENDED, world.now)
        assert len(placed(ended)) <= BULK_TASKS_PER_ROUND


def test_a_job_goes_before_the_rest_of_a_wide_job_that_came_earlier(world, entry):
    """A wide job with time left kept the workers from jobs that came after it."""
    slow = ROUTE._replace(target_latency=ms(5000))
    wide = wide_job("wide", count=60, room=TASK_ROOM)
    world.post(entry, JobArrived("w", wide, slow, world.now + DEADLINE))
    while entry.state.jobs["wide"].placed < PROMPT_TASKS:
        world.run(ms(10))
    sent = world.now
    world.submit("entry0", "r", job("j", count=1), DEADLINE)
    while "r" not in world.answers and world.now - sent < ms(2000):
        world.run(ms(10))
    assert world.end_of("r") is JobEnd.COMPLETED
    assert world.now - sent < ms(700)


def test_a_sidecar_with_many_runs_gets_no_task_of_a_wide_job(world, entry):
    """Thousands of runs on a sidecar made it refuse the placements of all jobs."""
    for number in range(5):
        world.submit("entry0", f"w{number}", wide_job(f"wide{number}"), DEADLINE)
    for _ in range(200):
        world.run(ms(10))
        for view in entry.state.views.values():
            assert len(view.open_runs) <= MAX_RUNS_BESIDE_WIDE_JOBS


def test_an_entry_that_is_behind_places_only_the_first_tasks(world, monkeypatch):
    """The rest of wide jobs made an entry refuse others for want of time."""
    monkeypatch.setattr(LoadShedder, "allows_bulk", property(lambda shedder: False))
    world.submit("entry0", "r", wide_job("wide"), DEADLINE)
    world.run(ms(1000))
    assert len(placed(effect for _, _, effect in world.log)) == PROMPT_TASKS
    monkeypatch.undo()
    world.run(ms(3000))
    assert world.answers["r"].end is JobEnd.COMPLETED
