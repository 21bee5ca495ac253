"""An executor, an entry or a rack is lost, or connections go silent."""

from time import monotonic

import gevent

from tests.failures.system import WORKERS, job, wait_until


def test_executor_killed_while_it_runs_a_task(system):
    """Guards against a late answer or a second start when an executor is killed."""
    body = job(sleep=20.0, deadline_seconds=300)
    waiting = system.submit_later("entry-1", body)
    executor = wait_until(lambda: system.running_at(body["key"]), "a start")
    partitions = system.partitions_of(executor)
    system.roles[executor].kill()
    killed_at = monotonic()
    said = waiting.get(timeout=60)
    assert (said.kind, said.work) == ("worker_lost", "unknown")
    report = system.serve_again("executor killed", partitions, killed_at)
    assert report["unknown_keys"] == 0
    assert system.until_final(body, "entry-2")[-1].work == "unknown"
    assert system.most_starts() == 1


def test_entry_killed_while_callers_wait(system):
    """Guards against second starts when callers resubmit through another entry."""
    # As many tasks as one sidecar has slots, so that none is queued.
    jobs = [job(tasks=2, sleep=3.0) for _ in range(4)]
    waiting = [system.submit_later("entry-1", body) for body in jobs]
    wait_until(
        lambda: all(len(system.starts(body["key"])) == 2 for body in jobs), "all starts"
    )
    system.roles["entry-1"].kill()
    killed_at = monotonic()
    resubmitted = [gevent.spawn(system.until_final, body, "entry-2") for body in jobs]
    report = system.serve_again("entry killed", list(system.owners()), killed_at)
    assert report["unknown_keys"] == 0
    assert {said.get().kind for said in waiting} == {"no_answer"}
    assert {said.get()[-1].status for said in resubmitted} == {200}
    assert system.most_starts() == 1


def test_rack_of_three_killed_at_once_and_replaced(system):
    """Guards against second starts and unserved keys after a rack is replaced."""
    jobs = [job(tasks=2, sleep=2.0) for _ in range(8)]
    waiting = [system.submit_later("entry-1", body) for body in jobs]
    wait_until(
        lambda: all(len(system.starts(body["key"])) == 2 for body in jobs), "all starts"
    )
    lost = WORKERS[:3]
    partitions = [part for name in lost for part in system.partitions_of(name)]
    for name in lost:
        system.roles[name].kill()
    killed_at = monotonic()
    for name in lost:
        system.start(name)
    system.serve_again("rack of three killed", partitions, killed_at)
    for said in waiting:
        assert said.get().work in ("ran", "unknown", "partly_ran")
    for body in jobs:
        assert system.until_final(body)[-1].work in ("ran", "unknown", "partly_ran")
    assert system.most_starts() == 1


def test_connections_go_silent_while_new_ones_work(start_system):
    """Guards against lost answers when open connections stop forwarding."""
    system = start_system(relayed=True)
    jobs = [job(tasks=3, sleep=1.0) for _ in range(4)]
    waiting = [system.submit_later("entry-1", body) for body in jobs]
    wait_until(
        lambda: all(len(system.starts(body["key"])) == 3 for body in jobs), "all starts"
    )
    accepted = sum(relay.accepted for relay in system.relays)
    for relay in system.relays:
        relay.stall_connections()
    stalled_at = monotonic()
    report = system.serve_again("connections silent", list(system.owners()), stalled_at)
    assert report["unknown_keys"] == 0
    assert report["kinds"]["home_silent"] == 0
    assert {said.get().status for said in waiting} == {200}
    for body in jobs:
        assert system.until_final(body, "entry-2")[-1].status == 200
    assert sum(relay.accepted for relay in system.relays) > accepted
    assert system.most_starts() == 1
