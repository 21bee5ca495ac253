"""A few random walks over the promises; ``walk.py`` says how to search further."""

import pytest

from tests.runs.walk import CutOffWalk, OrdersWalk, Walk

# 26: a worker was born again between two lists; a run that was started on the new life
# was given up with those of the old one and placed again beside itself.
# 496: a start and both its stops went unanswered, and the job was truly not run.
FAILED_ONCE = (26, 496)


@pytest.mark.parametrize("seed", [*FAILED_ONCE, *range(1000, 1020)])
def test_no_promise_is_broken_and_the_system_serves_again(seed):
    assert Walk(seed).play() == []


@pytest.mark.parametrize("seed", range(20))
def test_entries_cut_off_from_all_sidecars_break_no_promise(seed):
    """Entries lose all sidecars for a while and give their jobs up; callers send them
    again through the other entry, beside the other faults of the walks.
    """
    assert CutOffWalk(seed).play() == []


# 9: a start was carried out, its answer lost, and the worker born again; the job was
# answered as not run.
@pytest.mark.parametrize("seed", [*range(4), 9])
def test_orders_that_go_astray_break_no_promise(seed):
    """Starts, stops and holds are lost, late and slow, each kind by itself; sidecars
    are replaced and paused beside live runs, and callers are back at the bound.
    """
    assert OrdersWalk(seed).play() == []
