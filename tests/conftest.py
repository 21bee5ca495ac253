"""Settings of all tests: hypothesis draws the same examples on each run.

``HYPOTHESIS_PROFILE=search`` draws fresh ones, for a long run by hand.
"""

import logging
import os
import sys

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.register_profile(
    "search",
    deadline=None,
    max_examples=2000,
    stateful_step_count=100,
    print_blob=True,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))


@pytest.fixture
def restored_logs():
    """Undo what a test changes with ``configure_logs``."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    raising, hook = logging.raiseExceptions, sys.excepthook
    yield
    root.handlers[:] = handlers
    root.setLevel(level)
    logging.raiseExceptions, sys.excepthook = raising, hook
