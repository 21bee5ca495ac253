"""Orphans: runs that a new process of a sidecar finds at its worker."""

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.values import JobEnd, RunEnd, RunId, TaskId
from gypsumspoke.runs.worker_commands import EndedRun, StopCommand
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.world import Delivery, World, job, ms

FOUND = RunId(TaskId("j1", 0, 0), 1)


def is_clean(sidecar, at) -> bool:
    """Return whether an entry that connects now gets a clean report."""
    effects = sidecar.handle(at, PeerConnected("entry-1"))
    (message,) = [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, WorkerReport)
    ]
    return message.clean and message.takes_work


def test_a_run_that_is_being_stopped_for_a_new_sidecar_is_at_work():
    """While an orphan is being stopped no list shows it, but it still runs. A sidecar
    that reported itself as clean could get the same task again.
    """
    sidecar = LoneSidecar()
    effects = sidecar.handle_list(ms(100), running=[FOUND])
    assert any(isinstance(effect, StopCommand) for effect in effects)
    sidecar.handle_list(ms(102), running=[FOUND])
    sidecar.handle_list(ms(105))
    assert not is_clean(sidecar, ms(106))
    sidecar.handle_list(ms(150))
    assert not is_clean(sidecar, ms(151))
    sidecar.handle_list(ms(170))
    assert is_clean(sidecar, ms(171))


def test_a_run_whose_end_is_listed_is_gone():
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(100), running=[FOUND])
    sidecar.handle_list(ms(105))
    sidecar.handle_list(ms(110), ended=[EndedRun(1, FOUND, RunEnd.STOPPED, False)])
    assert is_clean(sidecar, ms(111))


def test_the_lease_of_a_run_ends_that_a_new_sidecar_can_not_stop():
    """A new process's stops are lost while its renewals are answered; those must not
    extend the lease of the orphan.
    """
    world = World(entries=1)
    for host in ("side0", "side1"):
        world.pace[host] = 15.0
        world.start_worker(host)
    world.run(ms(2000))
    world.submit("entry0", "r1", job("j1", count=1), ms(8000))
    world.run(ms(50))
    (host,) = [host for host in world.workers if world.workers[host].running]
    never = Delivery(arrival_delay=None, answer_delay=None)
    world.delivery = lambda at, command: (
        never if at == host and isinstance(command, StopCommand) else None
    )
    world.kill(host)
    world.run(ms(100))
    world.start_sidecar(host)
    world.run(ms(6000))
    assert world.violations == []
    assert world.end_of("r1") is JobEnd.COMPLETED


def test_an_older_list_that_comes_late_does_not_hide_a_run_that_is_being_stopped():
    """A list from before the run began arrives after one that shows it; the time that a
    stop may take must not be counted from the older list.
    """
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(200), running=[FOUND])
    sidecar.handle_list(ms(201), sent_at=ms(100), listed_at=ms(101))
    sidecar.handle_list(ms(205))
    assert not is_clean(sidecar, ms(206))
    sidecar.handle_list(ms(270))
    assert is_clean(sidecar, ms(271))
