"""Ends that arrive after the entry has given up the run."""

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


def with_a_resubmission_beside_a_frozen_sidecar() -> World:
    """Return a world in which a run was lost with a frozen sidecar and resubmitted.

    The same entry coordinates both, and has given the first run up by the time budget.
    """
    world = settled(sidecars=3)
    for worker in world.workers.values():
        worker.run_time = lambda task: timedelta(seconds=4)
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


def test_the_end_of_an_older_run_is_not_attributed_to_the_resubmission():
    """Each submission numbers its runs from 1, so the late end of the first run has the
    number of the resubmission's run.
    """
    world = with_a_resubmission_beside_a_frozen_sidecar()
    world.run(ms(7000))
    assert not world.violations
    assert world.end_of("r2") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 2


def test_the_end_of_an_older_run_does_not_end_the_wait_for_a_withdrawn_one():
    """As above; a third submission waits for the end of the second one's run."""
    world = with_a_resubmission_beside_a_frozen_sidecar()
    world.hosts_ignoring_stops.add("side1")
    world.run(ms(800))
    world.close_request("entry0", "r2")
    world.run(ms(400))
    world.submit("entry0", "r3", job("j1", count=1), ms(20_000))
    world.run(ms(9000))
    assert not world.violations
    assert world.end_of("r3") is JobEnd.COMPLETED


def test_a_resubmission_does_not_wait_for_an_end_lost_with_a_connection():
    """The end of a withdrawn run is lost with its connection. The sidecar must report
    it when the withdrawal is sent again.
    """
    world = settled()
    for worker in world.workers.values():
        worker.run_time = lambda task: timedelta(seconds=1)
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


def test_a_run_that_is_withdrawn_before_it_arrives_never_starts():
    """Its placement was lost with a connection, or arrives after the withdrawal."""
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    run = RunId(TaskId("j1", 0, 0), 1)
    effects = sidecar.handle(ms(50), Received("entry-1", WithdrawRun(run)))
    (ended,) = [effect.message for effect in effects if isinstance(effect, Send)]
    assert ended.end is RunEnd.NOT_RUN
    place = PlaceRun(ms(49), run, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
    effects = sidecar.handle(ms(51), Received("entry-1", place))
    assert not any(isinstance(effect, StartCommand) for effect in effects)
