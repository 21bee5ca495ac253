"""How soon jobs run again after a restart of all processes."""

from gypsumspoke.runs.values import JobEnd
from tests.runs.world import World, job, ms


def restart_all(world: World) -> None:
    """Lose all processes and workers at once and start them again."""
    hosts = list(world.processes)
    for host in hosts:
        world.power_off(host)
    for host in hosts:
        if host.startswith("side"):
            world.start_worker(host)
            world.start_sidecar(host)
        else:
            world.start_entry(host)


def test_a_job_runs_at_once_when_all_processes_are_back():
    """A job just after the restart waited for a tick, for open lease renewals and for
    the next regular report, longer than a short job may take.
    """
    world = World()
    world.run(ms(2000))
    restart_all(world)
    world.submit("entry0", "r1", job("j1", count=2))
    world.run(ms(20))
    assert len(world.starts_of("j1")) == 2
    world.run(ms(400))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert not world.violations


def test_a_job_runs_at_once_when_the_processes_are_back_and_the_workers_lived():
    """A worker that lives on refuses the first lease renewal of a new sidecar, because
    it has seen a higher fencing token. The next renewal must follow at once; a job then
    waits only until stops of old runs have taken effect.
    """
    world = World()
    world.run(ms(2000))
    for host in list(world.processes):
        world.kill(host)
    world.run(ms(1000))
    for host in list(world.processes):
        if host.startswith("side"):
            world.start_sidecar(host)
        else:
            world.start_entry(host)
    world.submit("entry0", "r1", job("j1", count=2))
    world.run(world.budget.stop_settle_time + ms(20))
    assert len(world.starts_of("j1")) == 2
    assert not world.violations
