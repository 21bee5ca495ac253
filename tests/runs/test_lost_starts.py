"""Starts that are lost on their way to the worker, or whose answers are."""

import pytest

from gypsumspoke.runs.values import JobEnd
from gypsumspoke.runs.worker_commands import CommandResult, StartCommand, StopCommand
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import Delivery, World, job, ms

TIMEOUT = ms(30)


def commands(world: World, kind: type) -> list:
    """Return the commands of one kind that sidecars have sent."""
    return [effect for _, _, effect in world.log if isinstance(effect, kind)]


def deliver_starts(world: World, *deliveries: Delivery | None) -> None:
    """Set what becomes of the next starts, one after another."""
    left = list(deliveries)

    def draw(host, command):
        return left.pop(0) if left and isinstance(command, StartCommand) else None

    world.delivery = draw


def test_a_start_lost_with_its_connection_is_sent_again():
    """The run was stopped and placed elsewhere, and its job late; after three of them
    the worker counted as failing.
    """
    world = settled(sidecars=1)
    deliver_starts(world, *[Delivery(None, None, TIMEOUT), None] * 3)
    sent = world.now
    for number in range(3):
        world.submit("entry0", f"r{number}", job(f"j{number}", count=1))
        world.run(ms(250))
    for number in range(3):
        assert world.end_of(f"r{number}") is JobEnd.COMPLETED
        took = world.answered_at[f"r{number}"] - sent - number * ms(250)
        assert took <= ms(200) + TIMEOUT + ms(15)
    assert not commands(world, StopCommand)
    assert world.processes["side0"].state.failing == 0
    assert not world.violations


@pytest.mark.parametrize("delay", [31, 33, 36, 60, 200])
def test_a_start_that_was_only_late_runs_once(delay):
    """The first start is carried out before or after the second one."""
    world = settled()
    deliver_starts(world, Delivery(ms(delay), None, TIMEOUT))
    world.submit("entry0", "r1", job("j1", count=1))
    world.run(ms(1500))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 1
    assert not world.violations


def test_a_start_that_is_lost_twice_goes_elsewhere():
    world = settled()
    deliver_starts(world, *[Delivery(None, None, TIMEOUT)] * 2)
    world.submit("entry0", "r1", job("j1", count=1))
    world.run(ms(1000))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert len(commands(world, StartCommand)) == 3
    assert len({start.worker for start in commands(world, StartCommand)}) == 2
    assert not world.violations


@pytest.mark.parametrize("result", [CommandResult.NO_ROOM, CommandResult.FENCED])
def test_a_refused_second_start_does_not_prove_that_the_first_never_runs(result):
    """The first start is carried out after the second was refused. Its task ran a
    second time beside it.
    """
    world = settled()
    deliver_starts(world, Delivery(ms(60), None, TIMEOUT))
    worker = world.workers["side0"]
    carry_out, calls = worker.start, []

    def refuse_first(command, clock):
        calls.append(command)
        return result if len(calls) == 1 else carry_out(command, clock)

    for each in world.workers.values():
        each.run_time = lambda task: ms(1000)
    worker.start = refuse_first
    world.pace["side1"] = 8.0
    world.submit("entry0", "r1", job("j1", count=1), ms(9000))
    world.run(ms(5000))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert not world.violations
