"""Random walks over the guarantees; ``walk.py`` documents a longer search."""

import pytest

from tests.runs.walk import (
    CancelWalk,
    ClockWalk,
    CommandFaultWalk,
    CordonWalk,
    GroupWalk,
    IsolationWalk,
    LeavingWalk,
    RecordWalk,
    SilenceWalk,
    Walk,
)

# 26: a worker restarted between two renewals; a run on its new incarnation was taken
# for lost with those of the old one and placed a second time.
# 496: a start and both its stops went unanswered, and the job had indeed not run.
REGRESSION_SEEDS = (26, 496)


@pytest.mark.parametrize("seed", [*REGRESSION_SEEDS, *range(1000, 1020)])
def test_no_guarantee_is_broken_and_the_system_serves_again(seed):
    assert Walk(seed).play() == []


@pytest.mark.parametrize("seed", range(20))
def test_entries_cut_off_from_all_sidecars_break_no_guarantee(seed):
    """Isolated entries give up their jobs, and callers resubmit them elsewhere."""
    assert IsolationWalk(seed).play() == []


@pytest.mark.parametrize("seed", range(20))
def test_silent_connections_break_no_guarantee(seed):
    """Connections are replaced to entries that are live, paused, cut off or lost."""
    assert SilenceWalk(seed).play() == []


@pytest.mark.parametrize("seed", range(20))
def test_changing_groups_break_no_guarantee(seed):
    """Sidecars leave entries whose runs are live, beside losses of both."""
    assert GroupWalk(seed).play() == []


@pytest.mark.parametrize("seed", range(20))
def test_cordoned_failure_domains_get_no_new_runs(seed):
    """Cordons come and go beside losses, cuts and entries that read the store late."""
    assert CordonWalk(seed).play() == []


@pytest.mark.parametrize("seed", range(20))
def test_leaving_workers_break_no_guarantee(seed):
    """Runs are withdrawn and placed again beside losses, cuts and lost stops."""
    assert LeavingWalk(seed).play() == []


# 75, 123, 148: the heartbeats of a draining worker were taken for earlier ones.
@pytest.mark.parametrize("seed", [*range(5), 75, 123, 148])
def test_nothing_starts_on_draining_workers_whose_clocks_jump(seed):
    """Heartbeats of a later incarnation may state an earlier start time."""
    assert ClockWalk(seed).play() == []


@pytest.mark.parametrize("seed", range(8))
def test_cancelled_jobs_do_not_run_again(seed):
    """Their requests arrive again beside losses, cuts and entries without the store."""
    assert CancelWalk(seed).play() == []


# 9: a start was carried out, its answer lost, and the worker restarted; the job was
# answered as not run.
@pytest.mark.parametrize("seed", [*range(4), 9])
def test_lost_and_delayed_commands_break_no_guarantee(seed):
    """Commands and their answers are lost and delayed, sidecars are replaced and paused
    beside live runs, and callers resubmit as early as they may.
    """
    assert CommandFaultWalk(seed).play() == []


@pytest.mark.parametrize("seed", range(5))
def test_restored_workers_break_no_guarantee(seed):
    """Sidecars start runs on workers that they know only from records, beside restarts
    of both; the walk must come to that at all.
    """
    walk = RecordWalk(seed)
    assert walk.play() == []
    assert walk.restored
