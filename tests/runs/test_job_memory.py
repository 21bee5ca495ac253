"""How much memory an entry gives to jobs in progress."""

import pytest

from gypsumspoke.runs.job_memory import job_bytes
from gypsumspoke.runs.values import JobEnd, RefusalReason
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import job, ms

DEADLINE = ms(9000)


@pytest.fixture
def world():
    """Return a world whose entry has memory for two jobs of two tasks."""
    made = settled()
    state = made.processes["entry0"].state
    state._max_job_bytes = 2 * job_bytes(job("j", count=2))
    return made


def test_jobs_beyond_the_memory_are_refused(world):
    """Many jobs of legal size must not exceed the memory of the machine."""
    for number in range(3):
        world.submit("entry0", f"r{number}", job(f"j{number}", count=2), DEADLINE)
    world.run(ms(100))
    answer = world.answers["r2"]
    assert (answer.end, answer.reason) == (
        JobEnd.NOT_RUN,
        RefusalReason.TOO_MANY_JOBS,
    )
    assert answer.retry_after >= ms(1000)


def test_the_memory_of_jobs_that_have_ended_is_free_again(world):
    state = world.processes["entry0"].state
    for number in range(5):
        world.submit("entry0", f"r{number}", job(f"j{number}", count=2), DEADLINE)
        world.run(ms(1000))
    assert {answer.end for answer in world.answers.values()} == {JobEnd.COMPLETED}
    assert state.job_bytes == 0


def test_a_single_job_is_taken_whatever_its_size(world):
    """A job inside the limits must be served when it is alone."""
    state = world.processes["entry0"].state
    large = job("j", count=900)
    assert job_bytes(large) > state._max_job_bytes
    assert state.has_memory_for(large)


def test_large_jobs_leave_memory_for_small_ones(world):
    """A few large jobs must not take the memory of all others."""
    state = world.processes["entry0"].state
    state._max_job_bytes = 5 * job_bytes(job("j", count=900))
    for number in range(8):
        large = job(f"l{number}", count=900)
        world.submit("entry0", f"l{number}", large, ms(10**7))
    refused = [answer.reason for answer in world.answers.values()]
    assert set(refused) == {RefusalReason.TOO_MANY_JOBS}
    assert 0 < len(state.jobs) < 5
    for number in range(50):
        world.submit("entry0", f"r{number}", job(f"j{number}", count=2), ms(10**7))
    assert "r49" in state.by_request


def test_long_texts_and_many_steps_count():
    plain = job("j", count=1)
    (step,) = plain.steps
    assert job_bytes(plain._replace(spec="x" * 4000)) >= job_bytes(plain) + 3000
    rack = plain._replace(steps=(step._replace(rack="r" * 9000),))
    assert job_bytes(rack) >= job_bytes(plain) + 9000
    assert job_bytes(plain._replace(steps=(step,) * 9)) > 5 * job_bytes(plain) / 2
