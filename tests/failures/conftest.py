"""One system of processes for each test, ended with it."""

import pytest

from tests.failures.system import System, manifest


@pytest.fixture
def start_system(tmp_path):
    """Return a function that brings a system up; see ``manifest`` for its words."""
    started = []

    def start(relayed=False, **words):
        started.append(System(tmp_path, manifest(**words), relayed))
        return started[0]

    yield start
    for system in started:
        system.close()


@pytest.fixture
def system(start_system):
    return start_system()
