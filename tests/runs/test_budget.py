"""The time budget derived from the platform's bounds."""

from datetime import timedelta

import pytest
from hypothesis import given, strategies as st
from returns.pipeline import is_successful

from gypsumspoke.runs.budget import (
    DEFAULT_BOUNDS,
    MAX_TICK,
    Bounds,
    budget_for,
)
from gypsumspoke.runs.values import JobEnd
from tests.runs.walk import IsolationWalk, Walk
from tests.runs.world import World, job, ms

EARLY = budget_for(DEFAULT_BOUNDS._replace(resend=ms(700))).unwrap()
EARLIEST = budget_for(DEFAULT_BOUNDS._replace(resend=ms(400))).unwrap()

durations = st.integers(1, 5000).map(ms)


@given(resend=durations, stop=durations, max_lease=durations)
def test_old_runs_have_ended_before_a_caller_resubmits(resend, stop, max_lease):
    """An entry is lost, its sidecar pauses just before the tick that would notice, and
    the worker's clock is slow: the runs end before the caller resubmits.
    """
    made = budget_for(Bounds(resend, stop, max_lease))
    if not is_successful(made):
        assert resend < ms(500) or stop > resend - ms(500)
        return
    budget = made.unwrap()
    assert budget.run_expiry + budget.tick <= resend + timedelta(microseconds=50)
    assert budget.lease <= max_lease
    assert budget.tick <= MAX_TICK


@given(resend=st.integers(400, 5000).map(ms))
def test_some_messages_may_be_lost_before_anything_counts_as_silent(resend):
    budget = budget_for(DEFAULT_BOUNDS._replace(resend=resend)).unwrap()
    assert budget.entry_silence >= 4 * (budget.tick + budget.ack_interval) / 2
    assert budget.lease >= 4 * budget.renewal_interval
    assert budget.worker_silence < budget.lease


@pytest.mark.parametrize("budget", [EARLY, EARLIEST], ids=["700 ms", "400 ms"])
@pytest.mark.parametrize("seed", range(12))
def test_walks_violate_nothing_where_callers_resubmit_early(seed, budget):
    """No task runs twice at once under faults, also where callers resubmit early."""
    assert Walk(seed, budget).play() == []
    assert IsolationWalk(seed, budget).play() == []


def test_a_deployment_whose_callers_resubmit_early_is_served():
    world = World(budget=EARLY)
    world.run(ms(2000))
    world.submit("entry0", "r1", job("j1", count=6), ms(2000))
    world.run(ms(1500))
    assert world.end_of("r1") is JobEnd.COMPLETED
