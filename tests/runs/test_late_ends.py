"""Ends of runs that come after their entry had given the runs up."""

from datetime import timedelta

from gypsumspoke.runs.budget import DEFAULT_BOUNDS
from gypsumspoke.runs.values import JobEnd
from tests.runs.test_path import settled
from tests.runs.world import World, job, ms

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
    world.leave("entry0", "r1")
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
    assert not world.broken
    assert world.end_of("r2") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 2


def test_the_end_of_an_older_run_does_not_end_the_wait_for_a_withdrawn_one():
    """As above, and the copy's caller has left too. The third copy waits for the end of
    the second one's run.
    """
    world = with_a_copy_beside_a_frozen_sidecar()
    world.deaf_to_stops.add("side1")
    world.run(ms(800))
    world.leave("entry0", "r2")
    world.run(ms(400))
    world.submit("entry0", "r3", job("j1", count=1), ms(20_000))
    world.run(ms(9000))
    assert not world.broken
    assert world.end_of("r3") is JobEnd.COMPLETED
