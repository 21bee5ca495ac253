"""Settings of all tests: hypothesis draws the same examples on each run.

``HYPOTHESIS_PROFILE=search`` draws fresh ones, for a long run by hand.
"""

import os

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
