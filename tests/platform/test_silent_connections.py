"""Open connections go silent without a reset, while new ones work."""

from datetime import timedelta

import gevent
import pytest

from tests.platform.silence import Silence, play
from tests.platform.system import TIMEOUT_SECONDS, PlatformSystem


@pytest.fixture
def system(tmp_path):
    with PlatformSystem(tmp_path, relayed=True) as running:
        running.wait_until_serving()
        yield running


def running_tasks(system):
    return sum(len(each.worker.running) for each in system.workers)


def test_a_run_goes_on_while_all_connections_are_replaced(system):
    """Sidecars must not stop runs of an entry that still answers new connections."""
    for worker in system.workers:
        worker.task_duration = timedelta(seconds=1.5)
    before = sum(len(each.worker.starts) for each in system.workers)
    job = gevent.spawn(system.submit, 0, "0" * 15 + "1", count=2)
    system.wait_until(lambda: running_tasks(system) == 2, "two runs")
    for relay in system.relays.values():
        relay.stall_connections()
    status, body, _ = job.get(timeout=TIMEOUT_SECONDS)
    assert (status, body) == (200, {"state": "completed"})
    starts = sum(len(each.worker.starts) for each in system.workers)
    assert starts - before == 2


def test_callers_are_served_while_connections_go_silent_again_and_again(tmp_path):
    """Jobs waited for seconds, and some were given up."""
    silences = tuple(Silence(at, ("front", "w", "store")) for at in range(1, 8))
    outcome = play(silences, seconds=9, seed=0, folder=tmp_path)
    assert {answer.status for answer in outcome.answers} == {200}
    assert not outcome.ends["run ended: coordinator_silent"]
    assert not outcome.violations
