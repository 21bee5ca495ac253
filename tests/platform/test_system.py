"""Tests of the system that the end-to-end tests run against."""

import pytest

from tests.platform import system
from tests.platform.system import PlatformSystem

# Where the kernel begins to look for free ports, unless configured otherwise.
_FIRST_FREE_PORT = 32768


def test_no_two_servers_of_a_system_can_get_the_same_port(tmp_path):
    """With ports that the kernel chose one by one, an entry's ports for callers and
    peers could be the same, and a sidecar's port could be its worker's.
    """
    running = PlatformSystem(tmp_path)
    ports = {
        running.caller_address(0)[1],
        running.readiness_address(0)[1],
        running.peer_address(0)[1],
        running.metrics_address(0)[1],
    }
    assert len(ports) == 4
    assert running.registration_address(0)[1] in ports
    assert max(ports) < _FIRST_FREE_PORT


def test_a_timeout_shows_why_a_process_ended(tmp_path, monkeypatch):
    """An entry that couldn't listen was reported as "timed out" only."""
    with PlatformSystem(tmp_path, entries=1, sidecars=0) as running:
        running.entries[0].wait_for_line("started")
        running.entries.append(running.start_entry(0))
        assert running.entries[1].wait_exit() != 0
        monkeypatch.setattr(system, "TIMEOUT_SECONDS", 0.1)
        with pytest.raises(AssertionError, match="Address already in use"):
            running.wait_until(lambda: False, "nothing")
