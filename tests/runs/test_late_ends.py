"""Ends of runs that come after their entry had given the runs up."""

from datetime import timedelta

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import Received
from gypsumspoke.runs.budget import DEFAULT_BOUNDS
from gypsumspoke.runs.messages import PlaceRun, WithdrawRun
from gypsumspoke.runs.values import JobEnd, RunEnd, RunId, TaskId
from gypsumspoke.runs.worker_commands import StartCommand
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import TASK_ROOM, TASK_TIME, World, job, ms

RESEND = DEFAULT_BOUNDS.resend


def with_a_copy_beside_a_frozen_sidecar() -> World:
    """Return a world in which a job's run was lost with a frozen sidecar.

    Its caller has left, and sent it again to the same entry, which has given the first
    run up by the time budget. Tasks take four seconds.
    """
    world = settled(sidecars=3)
    for worker in world.workers.values():
        worker.takes = lambda task: timedelta(seconds=4)
    world.submit("entry0", "r1", job("j1", count=1), ms(20_000))
    world.run(ms(100))
    assert world.workers["side0"].running
    world.freeze("side0", ms(2500))
    world.close_request("entry0", "r1")
    world.run(RESEND)
    world.submit("entry0", "r2", job("j1", count=1), ms(20_000))
    world.run(ms(100))
    assert world.workers["side1"].running
    return world


def test_the_end_of_an_older_run_is_not_taken_for_that_of_the_copys():
    """The sidecar wakes and tells the end of the first run. Runs are numbered anew for
    each copy of a job, so the copy's run, at work elsewhere, has the same number. Taken
    for its end, the task was started a second time beside it.
    """
    world = with_a_copy_beside_a_frozen_sidecar()
    world.run(ms(7000))
    assert not world.violations
    assert world.end_of("r2") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 2


def test_the_end_of_an_older_run_does_not_end_the_wait_for_a_withdrawn_one():
    """As above, and the copy's caller has left too. The third copy waits for the end of
    the second one's run.
    """
    world = with_a_copy_beside_a_frozen_sidecar()
    world.hosts_ignoring_stops.add("side1")
    world.run(ms(800))
    world.close_request("entry0", "r2")
    world.run(ms(400))
    world.submit("entry0", "r3", job("j1", count=1), ms(20_000))
    world.run(ms(9000))
    assert not world.violations
    assert world.end_of("r3") is JobEnd.COMPLETED


def test_a_copy_does_not_wait_for_an_end_that_was_lost_with_a_connection():
    """A withdrawn run ends, and its end is lost with the connection. Asked on the next
    one to withdraw the run, the sidecar has none, and said nothing; the job's copy
    waited at its entry until its caller left.
    """
    world = settled()
    for worker in world.workers.values():
        worker.takes = lambda task: timedelta(seconds=1)
    world.submit("entry0", "r1", job("j1", count=1), ms(20_000))
    world.run(ms(100))
    world.close_request("entry0", "r1")
    world.run(ms(3))
    world.cut_off("entry0", "side0")
    world.run(ms(95))
    assert not world.workers["side0"].running
    world.heal("entry0", "side0")
    world.run(RESEND)
    world.submit("entry0", "r2", job("j1", count=1), ms(20_000))
    world.run(ms(1500))
    assert world.end_of("r2") is JobEnd.COMPLETED
    assert not world.violations


def test_a_run_that_is_withdrawn_before_it_comes_never_starts():
    """Its placement was lost with a connection, or comes after the withdrawal."""
    sidecar = LoneSidecar()
    sidecar.take_list(ms(3), asked=ms(1), made=ms(2))
    run = RunId(TaskId("j1", 0, 0), 1)
    effects = sidecar.take(ms(50), Received("entry-1", WithdrawRun(run)))
    (ended,) = [effect.message for effect in effects if isinstance(effect, Send)]
    assert ended.end is RunEnd.NOT_RUN
    place = PlaceRun(ms(49), run, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    effects = sidecar.take(ms(51), Received("entry-1", place))
    assert not any(isinstance(effect, StartCommand) for effect in effects)
