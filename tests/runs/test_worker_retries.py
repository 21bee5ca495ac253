"""Workers that go down and come back, or close each connection."""

from datetime import timedelta

import pytest

from gypsumspoke.core.effects import Count, Log
from gypsumspoke.runs.values import JobEnd, WorkerFailure
from gypsumspoke.runs.worker_commands import (
    CommandResult,
    RenewCommand,
    StartCommand,
    StopCommand,
)
from gypsumspoke.runs.worker_retries import LONG_PAUSE_FAILURES, WorkerRetries
from tests.runs.fleet import Fleet
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import ONE_WAY, START, TASK_TIME, job, ms

TICK = ms(100)
HOST = "side0"


def commands(world, since, kind=object):
    """Return the times of the commands that sidecars have sent."""
    kinds = (RenewCommand, StartCommand, StopCommand)
    return [
        time
        for time, name, effect in world.log
        if time >= since
        and name.startswith(HOST)
        and isinstance(effect, kinds)
        and isinstance(effect, kind)
    ]


def run_with_closing_worker(world, duration):
    """Let a worker close each connection for a time; return when that began."""
    since = world.now
    world.closing_workers.add(HOST)
    world.run(duration)
    world.closing_workers.discard(HOST)
    return since


def test_a_worker_that_closes_connections_gets_few_commands():
    """Each closed renewal was repeated at once, a new connection for each."""
    world = settled()
    since = run_with_closing_worker(world, ms(1300))
    assert len(commands(world, since)) <= 1300 / 100 + 3


def test_stops_on_a_worker_that_closes_connections_are_paced():
    """Each closed stop was repeated at once, a loop for each run on the worker."""
    world = settled(entries=1, sidecars=1)
    for number in range(2):
        world.submit("entry0", f"r{number}", job(f"j{number}", count=1))
    world.run(TASK_TIME / 4)
    since = world.now
    world.closing_workers.add(HOST)
    for number in range(2):
        world.close_request("entry0", f"r{number}")
    world.run(ms(1000))
    stops = commands(world, since, StopCommand)
    assert 2 <= len(stops) <= 2 * (1000 / 100 + 2)


def test_nothing_is_started_on_a_worker_that_is_down():
    """A start there would be uncertain, and its task would wait for the lease."""
    world = settled()
    since = world.now
    world.closing_workers.add(HOST)
    world.run(ms(150))
    for number in range(20):
        world.submit("entry0", f"r{number}", job(f"j{number}", count=1))
        world.run(ms(50))
    assert not commands(world, since + ms(150), StartCommand)
    world.closing_workers.discard(HOST)
    world.run(ms(1000))
    ends = [world.end_of(f"r{number}") for number in range(20)]
    assert ends == [JobEnd.COMPLETED] * 20
    assert not world.violations


def test_a_worker_that_is_back_is_renewed_within_two_ticks():
    """The pause between retries must not keep a worker out of use."""
    world = settled()
    run_with_closing_worker(world, ms(1300))
    back = world.now
    world.run(2 * TICK)
    assert commands(world, back, RenewCommand)
    # Its answer is under way.
    world.run(2 * ONE_WAY)
    assert not world.processes[HOST].state.retries.is_down


def test_a_fleet_with_flapping_workers_completes_all_jobs():
    fleet = Fleet(4, 11)
    fleet.run(ms(3000))
    requests = []
    for _ in range(3):
        fleet.closing_workers.update({HOST, "side1"})
        requests += fleet.submit_for(ms(650), load=0.5)
        fleet.closing_workers.clear()
        requests += fleet.submit_for(ms(650), load=0.5)
    fleet.run(ms(3000))
    assert fleet.completed_share(requests) == 1
    assert not fleet.violations


def test_a_single_closed_connection_is_retried_at_once():
    """The worker may have closed an idle connection while run ends were waiting."""
    retries = WorkerRetries(TICK)
    retries.record_failure(CommandResult.CLOSED, START, START)
    assert retries.may_repeat_at_once(CommandResult.CLOSED)
    assert not retries.is_down
    retries.record_failure(CommandResult.CLOSED, START, START)
    assert not retries.may_repeat_at_once(CommandResult.CLOSED)
    assert retries.is_down


def test_the_pause_grows_and_ends_with_an_answer():
    retries = WorkerRetries(TICK)
    for _ in range(LONG_PAUSE_FAILURES):
        assert retries.may_send(START)
        retries.record_failure(CommandResult.NOT_SENT, START, START)
    assert not retries.may_send(START + TICK / 2)
    assert retries.may_send(START + TICK)
    effects = retries.record_answer(START + ms(1300))
    assert dict(effects[0].fields) == {"failures": 6, "lasted_ms": 1300}
    assert retries.may_send(START)


def test_a_timeout_neither_counts_as_down_nor_ends_a_series():
    """A slow worker must not be taken for one without a listener, nor hide one."""
    retries = WorkerRetries(TICK)
    retries.record_failure(CommandResult.NOT_SENT, START, START)
    retries.record_failure(CommandResult.UNANSWERED, START, START)
    assert not retries.is_down
    retries.record_failure(CommandResult.NOT_SENT, START, START)
    assert retries.is_down


@pytest.mark.parametrize(
    "result, reason",
    [
        (CommandResult.NOT_SENT, WorkerFailure.REFUSED),
        (CommandResult.CLOSED, WorkerFailure.CLOSED),
        (CommandResult.UNANSWERED, WorkerFailure.TIMED_OUT),
    ],
)
def test_each_failure_is_counted_by_its_reason(result, reason):
    assert WorkerRetries(TICK).record_failure(result, START, START)[0] == Count(reason)


def test_an_outage_is_logged_once():
    retries = WorkerRetries(TICK)
    logged = []
    for _ in range(10):
        logged += retries.record_failure(CommandResult.CLOSED, START, START)
    lines = [effect for effect in logged if isinstance(effect, Log)]
    assert [line.event for line in lines] == ["worker unreachable"]
    assert retries.record_answer(START + timedelta(seconds=1))
    assert not retries.record_answer(START + timedelta(seconds=2))


def test_the_pause_stays_short_until_the_lease_has_ended():
    """A longer pause let the lease of a worker lapse that was back after 0.4 s."""
    retries = WorkerRetries(TICK)
    for _ in range(LONG_PAUSE_FAILURES):
        retries.record_failure(CommandResult.CLOSED, START + ms(200), START)
    assert retries.may_send(START)
    retries.record_failure(CommandResult.CLOSED, START + ms(200), START + ms(200))
    assert not retries.may_send(START + ms(200))


def test_runs_outlive_a_short_outage_of_connections():
    """Their lease must not lapse while the worker closes connections for 0.45 s."""
    world = settled(entries=1, sidecars=1)
    world.submit("entry0", "r", job("j", count=2))
    world.run(TASK_TIME / 4)
    run_with_closing_worker(world, ms(450))
    world.run(ms(1000))
    assert world.end_of("r") is JobEnd.COMPLETED
    assert len(world.all_workers[0].starts) == 2
