"""Connections between entries and sidecars go silent while new ones work."""

from collections import Counter
from datetime import timedelta

import pytest

from gypsumspoke.core.effects import Count, Send
from gypsumspoke.core.events import Tick
from gypsumspoke.runs.budget import DEFAULT_BOUNDS, Bounds, budget_for
from gypsumspoke.runs.directory import ReplaceConnection
from gypsumspoke.runs.messages import RunEnded
from gypsumspoke.runs.supervisor import reduce
from gypsumspoke.runs.values import EndReason, JobEnd, SidecarRetry
from tests.runs.fleet import Fleet
from tests.runs.test_faults import long_tasks
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import job, ms


def replacements(world):
    return [
        (time, name)
        for time, name, effect in world.log
        if isinstance(effect, ReplaceConnection)
    ]


def stopped_runs(world):
    return [
        effect.message.run
        for _, _, effect in world.log
        if isinstance(effect, Send)
        and isinstance(effect.message, RunEnded)
        and effect.message.reason is EndReason.COORDINATOR_SILENT
    ]


@pytest.mark.parametrize("resend", [1300, 1000, 700, 400])
def test_a_silent_connection_is_replaced_before_its_runs_are_stopped(resend):
    """The times must fit each other whatever the platform's bounds are."""
    bounds = Bounds(ms(resend), ms(50), ms(1000))
    budget = budget_for(bounds).unwrap()
    late = budget.tick * 0.5
    longest_ack_gap = budget.ack_interval + budget.tick * 1.5
    assert longest_ack_gap + late < budget.link_silence
    assert budget.idle_ack_interval + budget.tick * 1.5 < budget.idle_link_silence
    # Looked at once a tick, and the ack on the new connection takes part of one.
    assert budget.link_silence + 2 * budget.tick <= budget.entry_silence


@pytest.mark.parametrize("seed", range(2))
def test_no_run_is_stopped_when_all_connections_go_silent(seed):
    """All runs of the fleet were stopped, and started again, after each silence."""
    fleet = Fleet(9, 54, seed)
    fleet.run(ms(3000))
    requests = []
    for _ in range(4):
        requests += fleet.submit_for(ms(1000), load=0.5)
        fleet.silence_links()
    requests += fleet.submit_for(ms(1000), load=0.5)
    fleet.run(ms(3000))
    assert not stopped_runs(fleet)
    assert fleet.completed_share(requests) == 1
    assert fleet.job_times(requests)[-1] < DEFAULT_BOUNDS.resend
    tasks = [run.task for worker in fleet.all_workers for run in worker.starts]
    assert len(tasks) == len(set(tasks))
    assert not fleet.violations


def test_a_share_of_the_connections_goes_silent():
    fleet = Fleet(9, 54)
    fleet.run(ms(3000))
    requests = fleet.submit_for(ms(500), load=0.5)
    fleet.silence_links(0.3)
    requests += fleet.submit_for(ms(1000), load=0.5)
    fleet.run(ms(3000))
    assert not stopped_runs(fleet)
    assert fleet.completed_share(requests) == 1


def test_connections_that_carry_acks_are_not_replaced():
    """Each replacement costs an entry several messages."""
    fleet = Fleet(9, 54)
    fleet.run(ms(3000))
    fleet.submit_for(ms(3000), load=0.6)
    fleet.run(ms(3000))
    assert not replacements(fleet)


def test_a_slow_entry_gets_few_new_connections():
    """Replacing the connections to an entry that can't keep up makes it slower."""
    fleet = Fleet(4, 11)
    fleet.run(ms(3000))
    fleet.costs["entry0"] = lambda event: ms(8)
    start = fleet.now
    fleet.submit_for(ms(4000), load=0.5)
    fleet.run(ms(1000))
    replaced = Counter(
        effect.incarnation
        for time, _, effect in fleet.log
        if isinstance(effect, ReplaceConnection) and time > start
    )
    slow = fleet.processes["entry0"].name
    # One when it becomes slow, one after the long interval; others may be suspected.
    assert replaced[slow] <= 11 * 2
    assert replaced.total() - replaced[slow] <= 11


def test_an_entry_that_is_cut_off_is_not_dialled_all_the_time():
    world = settled()
    world.cut_off("entry0", "side0")
    world.run(ms(2000))
    assert len(replacements(world)) <= 2000 / 200


def test_a_sidecar_that_was_paused_replaces_no_connection():
    """After a pause acks are unread, and every entry looks silent."""
    world = settled()
    long_tasks(world)
    world.submit("entry0", "r1", job("j1", count=4))
    world.run(ms(50))
    process = world.processes["side0"]
    effects = reduce(process.state, Tick(), world.now + ms(400))
    assert not any(isinstance(each, ReplaceConnection) for each in effects)


def test_new_runs_start_soon_after_all_connections_went_silent():
    """Entries must not wait for the silence timeout of connections."""
    fleet = Fleet(9, 54)
    fleet.run(ms(3000))
    fleet.submit_for(ms(500), load=0.5)
    fleet.silence_links()
    start = fleet.now
    fleet.run(ms(600))
    requests = fleet.submit_for(ms(500), load=0.5)
    fleet.run(ms(2000))
    assert {fleet.end_of(request) for request in requests} == {JobEnd.COMPLETED}
    assert fleet.job_times(requests)[len(requests) * 95 // 100] < ms(500)
    counted = sum(
        effect.what is SidecarRetry.CONNECTION_SILENT
        for _, _, effect in fleet.log
        if isinstance(effect, Count)
    )
    assert counted == len(replacements(fleet)) > 0
    last = max(time for time, _ in replacements(fleet) if time > start)
    assert last - start < timedelta(milliseconds=600)
