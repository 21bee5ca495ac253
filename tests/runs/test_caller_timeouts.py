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

PAUSE = ms(1300)
USUAL = ms(2000)
CHECKS = ROUTE.name


def learned() -> CallerTimeouts:
    """Return the state of an entry whose callers wait two to three seconds."""
    patience = CallerTimeouts(PAUSE, START)
    for number in range(3 * SAMPLES_PER_UPDATE):
        patience.record(CHECKS, USUAL + ms(10 * (number % 100)))
    return patience


def test_a_caller_that_waits_less_than_others_has_waited_elsewhere():
    patience = learned()
    assert patience.waited_elsewhere(CHECKS, USUAL + ms(100), START) == ms(0)
    assert patience.waited_elsewhere(CHECKS, ms(1500), START) == PAUSE
    assert patience.waited_elsewhere(CHECKS, ms(500), START) >= ms(1500)
    assert patience.waited_elsewhere("another route", ms(500), START) == ms(0)


def test_nothing_is_concluded_from_a_few_callers():
    patience = CallerTimeouts(PAUSE, START)
    for _ in range(SAMPLES_PER_UPDATE - 1):
        patience.record(CHECKS, USUAL)
    assert patience.waited_elsewhere(CHECKS, ms(500), START) == ms(0)


def test_callers_that_all_wait_less_from_now_on_are_new_ones_again():
    """After a change of the callers' timeout, all of their jobs would count as
    resubmissions for good.
    """
    patience = learned()
    later = START + STORED_VALID_FOR
    for _ in range(3 * SAMPLES_PER_UPDATE):
        patience.record(CHECKS, ms(900))
    assert patience.waited_elsewhere(CHECKS, ms(900), later) == ms(0)


def test_stored_values_are_used_while_a_process_is_new():
    """After a loss of all entries, most first requests are resubmissions, and values
    learned from them are too low.
    """
    patience = CallerTimeouts(PAUSE, START)
    kept = CallerTimeoutsRead(({CHECKS: USUAL}, {CHECKS: ms(1900)}, {CHECKS: ms(9000)}))
    patience.update_stored(kept)
    for _ in range(2 * SAMPLES_PER_UPDATE):
        patience.record(CHECKS, ms(700))
    assert patience.waited_elsewhere(CHECKS, ms(700), START + ms(1000)) == PAUSE
    assert patience.waited_elsewhere(CHECKS, ms(700), START + STORED_VALID_FOR) == ms(0)


def test_values_are_stored_after_a_clear_change_and_not_too_often():
    patience = learned()
    assert patience.to_store(START) is None
    first = patience.to_store(START + STORE_INTERVAL)
    assert first.usual == ((CHECKS, USUAL + ms(10)),)
    assert patience.to_store(START + 3 * STORE_INTERVAL) is None
    for _ in range(5 * SAMPLES_PER_UPDATE):
        patience.record(CHECKS, ms(900))
    assert patience.to_store(START + 3 * STORE_INTERVAL).usual == ((CHECKS, ms(900)),)


def submit(world: World, name: str, within: timedelta) -> None:
    process = world.processes["entry0"]
    event = JobArrived(name, job(name, count=2), ROUTE, world.now + within)
    world.post(process, event)


def test_a_new_job_goes_before_those_that_come_back():
    """Behind resubmitted jobs, which are late already, a new job would be late too."""
    world = settled(sidecars=1)
    state = world.processes["entry0"].state
    state.caller_timeouts.update_stored(CallerTimeoutsRead(({CHECKS: ms(9000)},)))
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
