"""Sidecars whose process is replaced, as seen by entries."""

import pytest

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import Received
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.values import JobEnd
from gypsumspoke.runs.worker_commands import StopCommand
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import Delivery, World, job, ms


def test_a_late_report_of_an_earlier_process_ends_no_run_of_the_next():
    """A sidecar's process is lost without notice and replaced. A delayed clean report
    of the old process must not end runs of the new one.
    """
    world = settled(sidecars=2)
    first = world.processes["side0"].name
    reports = [
        effect.message
        for _, name, effect in world.log
        if name == first
        and isinstance(effect, Send)
        and isinstance(effect.message, WorkerReport)
    ]
    world.power_off("side0")
    world.start_sidecar("side0")
    world.run(ms(600))
    for worker in world.workers.values():
        worker.run_time = lambda task: ms(1000)
    world.submit("entry0", "r1", job("j1", count=4), ms(9000))
    world.run(ms(50))
    assert world.workers["side0"].running
    world.heal("entry0", "side0")
    entry = world.processes["entry0"]
    world.post(entry, Received(first, reports[-1]))
    world.run(ms(3000))
    assert not world.violations
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 4


RESTART = ms(300)


@pytest.mark.parametrize("before", [0.5, 10, 40])
def test_a_run_in_the_middle_of_its_stop_is_not_taken_for_gone(before):
    """A killed sidecar's stop is carried out just before the next process requests its
    first list, which shows neither the run nor its end.
    """
    world = World(entries=1, sidecars=2)
    for host in world.workers:
        world.pace[host] = 15.0
        world.start_worker(host)
    world.run(ms(2000))
    world.submit("entry0", "r1", job("j1", count=1), ms(8000))
    world.run(ms(50))
    (host,) = [host for host, worker in world.workers.items() if worker.running]
    world.workers[host].stuck = True
    stops = []

    def delay_first_stop(at, command):
        if at != host or not isinstance(command, StopCommand) or stops:
            return None
        stops.append(command)
        return Delivery(arrival_delay=RESTART - ms(before), answer_delay=None)

    world.delivery = delay_first_stop
    while not stops:
        world.run(ms(1))
    world.run(ms(5))
    world.kill(host)
    world.run(RESTART - ms(5))
    world.start_sidecar(host)
    world.run(ms(6000))
    assert not world.violations
