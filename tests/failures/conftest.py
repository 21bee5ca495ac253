"""Fixtures that start a system of processes for a test and stop it afterwards."""

import pytest

from tests.failures.system import System, manifest


@pytest.fixture
def start_system(tmp_path):
    """Return a function that starts a system; its options go to ``manifest``."""
    started = []

    def start(relayed=False, **options):
        started.append(System(tmp_path, manifest(**options), relayed))
        return started[0]

    yield start
    for system in started:
        system.close()


@pytest.fixture
def system(start_system):
    return start_system()
