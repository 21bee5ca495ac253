"""Callers that come back after a loss, told from new ones by how long they wait."""

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
    """Return what an entry knows whose callers wait two to three seconds."""
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
    """The operators shorten a time-out and every caller waits less. Taken for callers
    that come back, all of them would count as late for good.
    """
    patience = learned()
    later = START + STORED_VALID_FOR
    for _ in range(3 * SAMPLES_PER_UPDATE):
        patience.record(CHECKS, ms(900))
    assert patience.waited_elsewhere(CHECKS, ms(900), later) == ms(0)


def test_what_others_kept_counts_while_a_process_is_new():
    """All entries were lost. The first callers of a new one are mostly those that come
    back, so what it learns from them is wrong; what was kept before tells them apart.
    """
    patience = CallerTimeouts(PAUSE, START)
    kept = CallerTimeoutsRead(({CHECKS: USUAL}, {CHECKS: ms(1900)}, {CHECKS: ms(9000)}))
    patience.update_stored(kept)
    for _ in range(2 * SAMPLES_PER_UPDATE):
        patience.record(CHECKS, ms(700))
    assert patience.waited_elsewhere(CHECKS, ms(700), START + ms(1000)) == PAUSE
    assert patience.waited_elsewhere(CHECKS, ms(700), START + STORED_VALID_FOR) == ms(0)


def test_it_is_kept_when_it_has_changed_clearly_and_not_too_often():
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
    """An entry is lost and eight callers send their jobs again, late already, through
    the one that is left. A new job comes a moment after them. In order of arrival it
    would wait for all of them and be late too; they lose nothing by letting it go.
    """
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
