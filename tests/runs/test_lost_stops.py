"""Stops that a worker leaves unanswered while it answers everything else."""

from datetime import timedelta

import pytest
from hypothesis import given, strategies as st

from gypsumspoke.core.effects import Count, Log
from gypsumspoke.core.events import Received
from gypsumspoke.runs.budget import DEFAULT_BOUNDS, budget_for
from gypsumspoke.runs.messages import PlaceRun
from gypsumspoke.runs.values import (
    JobEnd,
    LeaseEvent,
    RunEnd,
    RunId,
    TaskId,
    WorkerReady,
)
from gypsumspoke.runs.worker_commands import EndedRun, StartCommand
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import TASK_ROOM, TASK_TIME, World, job, ms

TASK = TaskId("j1", 0, 0)

BUDGETS = [
    budget_for(DEFAULT_BOUNDS._replace(resend=ms(resend))).unwrap()
    for resend in (1300, 700, 400)
]
EACH_BUDGET = pytest.mark.parametrize("budget", BUDGETS, ids=["1300", "700", "400"])


def with_a_run_at_side0(budget) -> World:
    """Return a world in which entry0 has a task of three seconds at side0.

    The clocks of workers are slow, and side0's worker leaves stops unanswered.
    """
    world = settled(budget=budget)
    for host, worker in world.workers.items():
        world.clock_rate[host] = 0.98
        worker.run_time = lambda task: timedelta(seconds=3)
    world.run(ms(500))
    world.submit("entry0", "r1", job("j1", count=1), ms(20_000))
    world.run(budget.tick)
    assert world.workers["side0"].running
    world.hosts_ignoring_stops.add("side0")
    return world


def resubmit_elsewhere(world: World) -> None:
    """Send the job again through the other entry, to the other worker."""
    world.drained_at["side0"] = world.now
    world.send_heartbeat("side0", WorkerReady.DRAINING)
    world.submit("entry1", "r2", job("j1", count=1), ms(20_000))
    world.run(ms(5000))


def submit_other_jobs(world: World, duration: timedelta) -> None:
    """Let time pass with a new job through the other entry every 40 ms."""
    end = world.now + duration
    number = 0
    while world.now < end:
        number += 1
        beside = job(f"beside{number}", count=1)
        world.submit("entry1", f"beside{number}", beside, ms(20_000))
        world.run(min(ms(40), end - world.now))


@EACH_BUDGET
def test_lost_stops_of_a_lost_entry_leave_no_run_beside_the_next(budget):
    """An entry is lost, and the stops of its run go unanswered while renewals are
    answered. The lease must end the run before the resubmission starts.
    """
    world = with_a_run_at_side0(budget)
    world.power_off("entry0")
    world.run(budget.bounds.resend)
    resubmit_elsewhere(world)
    assert world.end_of("r2") is JobEnd.COMPLETED
    assert not world.violations


@EACH_BUDGET
def test_lost_stops_of_a_withdrawn_job_leave_no_run_beside_the_next(budget):
    """A caller disconnects from a live entry, and the stops go unanswered."""
    world = with_a_run_at_side0(budget)
    world.close_request("entry0", "r1")
    world.run(budget.bounds.resend)
    resubmit_elsewhere(world)
    assert world.end_of("r2") is JobEnd.COMPLETED
    assert not world.violations


@EACH_BUDGET
@pytest.mark.parametrize("is_lost", [True, False], ids=["lost", "left"])
def test_starts_extend_no_lease_while_a_stop_is_unanswered(budget, is_lost):
    """As above, while another entry starts tasks on the same worker."""
    world = with_a_run_at_side0(budget)
    for worker in world.workers.values():
        worker.run_time = lambda task: ms(3000 if task.job == "j1" else 20)
    if is_lost:
        world.power_off("entry0")
    else:
        world.close_request("entry0", "r1")
    submit_other_jobs(world, budget.bounds.resend)
    resubmit_elsewhere(world)
    assert world.end_of("r2") is JobEnd.COMPLETED
    assert not world.violations


@EACH_BUDGET
@pytest.mark.parametrize("cut_after", [0.05, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("ticks", [5.2, 5.6, 5.99])
def test_a_lease_ends_before_a_living_entry_places_the_task_again(
    budget, cut_after, ticks
):
    """A sidecar is partitioned from its entry, and pauses just before the tick at which
    it would notice the entry's silence.
    """
    world = with_a_run_at_side0(budget)
    world.run(budget.tick * cut_after)
    world.cut_off("entry0", "side0")
    world.run(budget.tick * (ticks - cut_after))
    world.freeze("side0", ms(8000))
    world.run(ms(8000))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert not world.violations


def test_a_stop_that_is_answered_late_costs_the_other_runs_nothing():
    world = with_a_run_at_side0(BUDGETS[0])
    world.submit("entry1", "beside", job("beside", count=1), ms(20_000))
    world.run(ms(20))
    world.power_off("entry0")
    world.run(ms(850))
    world.hosts_ignoring_stops.clear()
    world.run(ms(4000))
    assert world.end_of("beside") is JobEnd.COMPLETED
    assert len(world.starts_of("beside")) == 1


def test_a_sidecar_that_wakes_starts_no_run_of_a_lost_entry():
    """After a pause the first event is the end that a queued run waits for; the run's
    entry may have been lost meanwhile.
    """
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    older, newer = RunId(TASK, 1), RunId(TASK, 2)
    for at, entry, run in ((ms(100), "entry-1", older), (ms(200), "entry-2", newer)):
        place = PlaceRun(at, run, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
        sidecar.handle(at, Received(entry, place))
    end = EndedRun(1, older, RunEnd.STOPPED, False)
    effects = sidecar.handle_list(
        ms(1500), ended=[end], sent_at=ms(201), listed_at=ms(1499)
    )
    assert not any(isinstance(effect, StartCommand) for effect in effects)


def test_an_unanswered_stop_that_holds_the_lease_back_is_logged_and_counted():
    world = with_a_run_at_side0(BUDGETS[0])
    world.power_off("entry0")
    world.run(ms(800))
    world.hosts_ignoring_stops.clear()
    world.run(ms(400))
    effects = [effect for _, name, effect in world.log if name.startswith("side0")]
    events = [effect.event for effect in effects if isinstance(effect, Log)]
    assert events.count("lease withheld") == 1
    assert events.index("lease withheld") < events.index("lease extended again")
    assert Count(LeaseEvent.WITHHELD) in effects


@given(
    budget=st.sampled_from(BUDGETS),
    silences=st.lists(st.integers(0, 3000).map(ms), min_size=1),
)
def test_no_lease_outlives_what_an_entry_counts_on(budget, silences):
    """Holds whenever the lease is extended, also if the worker's clock is slow."""
    ends = [
        silence + max(budget.on_slow_clock(budget.allowed_lease(silence)), timedelta())
        for silence in silences
        if budget.allowed_lease(silence) > timedelta()
    ]
    assert max(ends, default=timedelta()) + budget.bounds.stop <= budget.run_expiry
    assert budget.run_expiry + budget.tick <= budget.bounds.resend + ms(0.05)
