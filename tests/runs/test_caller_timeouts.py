"""Detection of resubmitted jobs by the remaining timeout of their callers."""

from datetime import timedelta

from gypsumspoke.runs.caller_timeouts import (
    SAMPLES_PER_UPDATE,
    STORE_INTERVAL,
    STORED_VALID_FOR,
    CallerTimeouts,
    CallerTimeoutsRead,
)
from gypsumspoke.runs.coordinator_state import JobArrived
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import ROUTE, START, World, job, ms

RETRY_DELAY = ms(1300)
USUAL = ms(2000)
ROUTE_NAME = ROUTE.name


def timeouts_after_usual_requests() -> CallerTimeouts:
    """Return the state of an entry whose callers wait two to three seconds."""
    timeouts = CallerTimeouts(RETRY_DELAY, START)
    for number in range(3 * SAMPLES_PER_UPDATE):
        timeouts.record(ROUTE_NAME, USUAL + ms(10 * (number % 100)))
    return timeouts


def test_a_caller_with_a_shorter_timeout_than_usual_has_waited_elsewhere():
    timeouts = timeouts_after_usual_requests()
    assert timeouts.waited_elsewhere(ROUTE_NAME, USUAL + ms(100), START) == ms(0)
    assert timeouts.waited_elsewhere(ROUTE_NAME, ms(1500), START) == RETRY_DELAY
    assert timeouts.waited_elsewhere(ROUTE_NAME, ms(500), START) >= ms(1500)
    assert timeouts.waited_elsewhere("another route", ms(500), START) == ms(0)


def test_few_requests_give_no_usual_timeout():
    timeouts = CallerTimeouts(RETRY_DELAY, START)
    for _ in range(SAMPLES_PER_UPDATE - 1):
        timeouts.record(ROUTE_NAME, USUAL)
    assert timeouts.waited_elsewhere(ROUTE_NAME, ms(500), START) == ms(0)


def test_the_usual_timeout_follows_a_change_of_all_callers():
    """Otherwise, all jobs would count as resubmissions forever after the callers reduce
    their timeout.
    """
    timeouts = timeouts_after_usual_requests()
    later = START + STORED_VALID_FOR
    for _ in range(3 * SAMPLES_PER_UPDATE):
        timeouts.record(ROUTE_NAME, ms(900))
    assert timeouts.waited_elsewhere(ROUTE_NAME, ms(900), later) == ms(0)


def test_stored_values_are_used_after_a_start():
    """After a loss of all entries, most first requests are resubmissions, and values
    learned from them are too low.
    """
    timeouts = CallerTimeouts(RETRY_DELAY, START)
    read = CallerTimeoutsRead(
        ({ROUTE_NAME: USUAL}, {ROUTE_NAME: ms(1900)}, {ROUTE_NAME: ms(9000)})
    )
    timeouts.update_stored(read)
    for _ in range(2 * SAMPLES_PER_UPDATE):
        timeouts.record(ROUTE_NAME, ms(700))
    assert (
        timeouts.waited_elsewhere(ROUTE_NAME, ms(700), START + ms(1000)) == RETRY_DELAY
    )
    assert timeouts.waited_elsewhere(
        ROUTE_NAME, ms(700), START + STORED_VALID_FOR
    ) == ms(0)


def test_values_are_stored_after_a_relevant_change_and_not_too_often():
    timeouts = timeouts_after_usual_requests()
    assert timeouts.to_store(START) is None
    first = timeouts.to_store(START + STORE_INTERVAL)
    assert first.usual == ((ROUTE_NAME, USUAL + ms(10)),)
    assert timeouts.to_store(START + 3 * STORE_INTERVAL) is None
    for _ in range(5 * SAMPLES_PER_UPDATE):
        timeouts.record(ROUTE_NAME, ms(900))
    assert timeouts.to_store(START + 3 * STORE_INTERVAL).usual == (
        (ROUTE_NAME, ms(900)),
    )


def submit(world: World, name: str, timeout: timedelta) -> None:
    process = world.processes["entry0"]
    event = JobArrived(name, job(name, count=2), ROUTE, world.now + timeout)
    world.post(process, event)


def test_a_new_job_is_placed_before_resubmitted_jobs():
    """Placed after resubmitted jobs, which are late already, it would be late too."""
    world = settled(sidecars=1)
    state = world.processes["entry0"].state
    state.caller_timeouts.update_stored(CallerTimeoutsRead(({ROUTE_NAME: ms(9000)},)))
    submit(world, "before", ms(9500))
    world.run(ms(100))
    for number in range(8):
        submit(world, f"again{number}", ms(7000))
    world.run(ms(20))
    submit(world, "new", ms(9500))
    world.run(ms(320))
    assert "new" in world.answers
    world.run(ms(4000))
    assert len(world.answers) == 10
    assert not world.violations
