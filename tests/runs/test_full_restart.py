"""All processes are lost at once and come back: how soon jobs run again."""

from gypsumspoke.runs.values import JobEnd
from tests.runs.world import World, job, ms


def lost_and_back(world: World) -> None:
    """Lose all processes and workers at once, and start them anew."""
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
    """A caller sends a job just after all processes were lost and came back. It waited
    for a tick, for holds that waited for an end, and for the next regular report: a
    quarter of a second, which is more than a short job may take.
    """
    world = World()
    world.run(ms(2000))
    lost_and_back(world)
    world.submit("entry0", "r1", job("j1", count=2))
    world.run(ms(20))
    assert len(world.starts_of("j1")) == 2
    world.run(ms(400))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert not world.violations


def test_a_job_runs_at_once_when_the_processes_are_back_and_the_workers_lived():
    """All processes are killed, and the workers live on. A worker refuses a new
    sidecar's first hold, since it has seen a higher token, and says its clock with the
    refusal. The next hold followed a tick later, and its answer was told after another.
    A run may be in the middle of its stop, so a job waits for as long as a stop takes.
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
