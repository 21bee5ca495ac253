"""Hundreds of processes: what each costs, and what is served while groups change."""

import sys

import pytest

from gypsumspoke.runs.entry_group import (
    INITIAL_SIZE,
    MAX_SIDECARS_PER_ENTRY,
    SUBSTITUTE_DELAY,
    SURPLUS_DELAY,
)
from gypsumspoke.runs.values import JobEnd
from gypsumspoke.runs.worker_commands import HeartbeatArrived
from tests.runs.fleet import Fleet
from tests.runs.groups import RedrawnGroup
from tests.runs.lone_sidecar import registration
from tests.runs.world import job, ms

ENTRIES, SIDECARS = 35, 160


def settled_fleet(entries=ENTRIES, sidecars=SIDECARS, seed=0):
    fleet = Fleet(entries, sidecars, seed)
    fleet.run(ms(3000))
    return fleet


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def test_messages_of_a_process_are_bounded_as_the_fleet_grows():
    """Each sidecar reported to each entry, so that the reports alone used up the
    processor of an entry.
    """
    fleet = settled_fleet()
    groups = [fleet.sidecars_of(host) for host in fleet.entry_hosts]
    assert min(groups) > 0
    assert mean(groups) <= MAX_SIDECARS_PER_ENTRY
    received = fleet.received_per_second(ms(1000))
    reports_per_second = 10
    for host, group in zip(fleet.entry_hosts, groups):
        assert received[host] <= (group + 1) * reports_per_second
    acks_per_second = 4
    for host in fleet.sidecar_hosts:
        assert received[host] <= (INITIAL_SIZE + 1) * acks_per_second


@pytest.mark.parametrize("entries, sidecars", [(4, 11), (9, 54), (ENTRIES, SIDECARS)])
def test_load_is_served_at_each_size(entries, sidecars):
    fleet = settled_fleet(entries, sidecars)
    requests = fleet.submit_for(ms(1500), load=0.6)
    fleet.run(ms(3000))
    assert fleet.completed_share(requests) == 1
    assert not fleet.violations


def test_a_third_of_the_entries_lost_at_once_leaves_the_others_enough_workers():
    """Sidecars must replace the lost entries in their groups, and move back later."""
    fleet = settled_fleet()
    lost = fleet.entry_hosts[:12]
    for host in lost:
        fleet.power_off(host)
    # The silent connections end.
    fleet.run(ms(750))
    for host in lost:
        fleet.kill(host)
    fleet.run(2 * SUBSTITUTE_DELAY)
    left = fleet.entry_hosts[12:]
    assert mean(map(fleet.sidecars_of, left)) >= SIDECARS * INITIAL_SIZE / ENTRIES * 1.3
    requests = fleet.submit_for(ms(1000), load=0.6, hosts=left)
    fleet.run(ms(3000))
    assert fleet.completed_share(requests) == 1
    for host in lost:
        fleet.start_entry(host)
    fleet.run(ms(500) + SURPLUS_DELAY * 2)
    assert mean(map(fleet.sidecars_of, fleet.entry_hosts)) == pytest.approx(
        SIDECARS * INITIAL_SIZE / ENTRIES, rel=0.05
    )
    assert not fleet.violations


def test_callers_of_a_few_entries_find_room():
    """Half of all callers move to the entries of one failure domain."""
    fleet = settled_fleet()
    domain = fleet.entry_hosts[:6]
    requests = fleet.submit_for(ms(1500), load=0.3, hosts=domain)
    fleet.run(ms(3000))
    assert fleet.completed_share(requests) == 1


@pytest.mark.parametrize("entries, sidecars", [(60, 11), (8, 1)])
def test_each_entry_finds_a_worker_in_a_small_fleet(entries, sidecars):
    """With more entries than workers a small group would leave entries without any."""
    fleet = settled_fleet(entries, sidecars)
    fleet.run(ms(10_000))
    for host in fleet.entry_hosts:
        assert fleet.sidecars_of(host) == sidecars
    fleet.submit(fleet.entry_hosts[-1], "r", job("j", count=1))
    fleet.run(ms(1000))
    assert fleet.end_of("r") is JobEnd.COMPLETED


def test_connections_close_without_loss_of_runs():
    """A connection that was closed while a run was on its way lost the run to its entry
    until the time budget ended.
    """
    fleet = Fleet(12, 60, group=RedrawnGroup)
    fleet.run(ms(3000))
    requests = []
    for number in range(3):
        for host in fleet.sidecar_hosts:
            fleet.processes[host].state.group.redraw(f"{host} {number}")
        requests += fleet.submit_for(ms(1500), load=0.6)
    fleet.run(ms(3000))
    assert fleet.closed_connections() > 100
    assert fleet.completed_share(requests) == 1
    tasks = [run.task for worker in fleet.all_workers for run in worker.starts]
    assert len(tasks) == len(set(tasks))
    assert not fleet.violations


def labelled_fleet(entries):
    """Return a fleet of whose workers one has a label of its own."""
    fleet = settled_fleet(entries, 60)
    host = fleet.sidecar_hosts[0]
    # Later than the worker's own heartbeats, which don't have the label.
    heartbeat = registration(fleet.worker_incarnations[host])._replace(
        id=f"w-{host}", sequence=sys.maxsize, labels=("rare",)
    )
    fleet.post(fleet.processes[host], HeartbeatArrived(heartbeat))
    fleet.run(ms(300))
    return fleet, host


def test_a_label_that_no_connected_worker_has_is_no_final_refusal():
    """Another entry may know a worker with the label; its callers should go there."""
    fleet, host = labelled_fleet(entries=12)
    sent = job("j", count=1, label="rare")
    for number, entry in enumerate(fleet.entry_hosts):
        fleet.submit(entry, f"r{number}", sent._replace(id=f"j{number}"))
    fleet.run(ms(1000))
    name = fleet.processes[host].name
    for number, entry in enumerate(fleet.entry_hosts):
        pair = frozenset((name, fleet.processes[entry].name))
        is_connected = pair in fleet.connected
        expected = JobEnd.COMPLETED if is_connected else JobEnd.GIVEN_UP
        assert fleet.end_of(f"r{number}") is expected


def test_a_label_that_no_worker_has_is_refused_by_an_entry_that_knows_all():
    fleet, _ = labelled_fleet(entries=4)
    fleet.submit(fleet.entry_hosts[0], "r", job("j", count=1, label="none"))
    fleet.run(ms(1000))
    assert fleet.end_of("r") is JobEnd.NOT_RUN
