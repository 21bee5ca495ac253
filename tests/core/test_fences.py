"""Tests of fencing: repeated and incomplete acknowledgements."""

from datetime import timedelta

from gypsumspoke.core.fences import (
    SECOND_FENCE_TIMEOUT,
    continue_fencing,
    finish_if_fenced,
    handle_fence_ack,
    start_fencing,
    stop_waiting_for,
)
from gypsumspoke.core.messages import FenceAck
from gypsumspoke.core.ownership import Ownership, PartitionServed, Phase
from gypsumspoke.core.takeover_state import TakeoverState, pop_notices
from gypsumspoke.core.values import (
    NOTHING_FORGOTTEN,
    AttemptId,
    JobKey,
    Member,
    PartitionRow,
    Role,
    StartRecord,
    TaskState,
)
from tests.core.system import START

HOME, OTHER, LATE, LEAVER = "w0.1", "w1.1", "w2.1", "w3.1"
KEY = JobKey("team", "k")


def _member(name, ended=None):
    worker = name.partition(".")[0]
    return Member(
        name, worker, Role.SIDECAR, "127.0.0.1", 1, "a", "r", "s", 1, START, ended, 0
    )


def _record(task):
    attempt = AttemptId(KEY, task, task, 1)
    return StartRecord(attempt, 0, START, b"", 3, TaskState.DONE, b"x")


def _ack(name, chunk, chunks, tasks=(), covers=()):
    started = tuple(_record(task) for task in tasks)
    covers = tuple(sorted({name, *covers}))
    return FenceAck(0, 2, name, chunk, chunks, started, (), covers, NOTHING_FORGOTTEN)


def _fencing_home(*others):
    """Return the state and ownership of a home that has fenced itself and others."""
    state = TakeoverState(_member(HOME), 4)
    former = PartitionRow(0, LEAVER, 1, START, 1)
    ownership = Ownership(0, 2, former, None, "", START)
    state.owned[0] = ownership
    members = [_member(name) for name in (HOME, *others)]
    start_fencing(state, ownership, members, START)
    handle_fence_ack(state, _ack(HOME, 0, 1), START)
    return state, ownership


def _served_notice(state):
    (notice,) = (one for one in pop_notices(state) if isinstance(one, PartitionServed))
    return notice


def test_an_incomplete_second_acknowledgement_drops_no_start():
    """A task whose record is in the missing chunk of a second one would start twice."""
    state, ownership = _fencing_home(OTHER, LATE)
    handle_fence_ack(state, _ack(OTHER, 0, 1, tasks=(0, 1)), START)
    handle_fence_ack(state, _ack(OTHER, 0, 2, tasks=(0,)), START)
    handle_fence_ack(state, _ack(LATE, 0, 1), START)
    assert ownership.phase is Phase.SERVING
    assert set(_served_notice(state).adopted[KEY].started) == {0, 1}


def test_a_cover_counts_only_with_all_records_that_came_with_it():
    """With a cover but not its records, a task that ran would count as not started."""
    state, ownership = _fencing_home(OTHER, LATE)
    handle_fence_ack(state, _ack(OTHER, 0, 1), START)
    state.members[LATE] = _member(LATE, ended=START)
    stop_waiting_for(ownership, {LATE})
    finish_if_fenced(state, ownership, START)
    handle_fence_ack(state, _ack(HOME, 0, 1), START)
    assert ownership.awaiting_second_ack == {OTHER}
    handle_fence_ack(state, _ack(OTHER, 0, 2, covers=(LATE,)), START)
    assert ownership.phase is Phase.FENCING
    late = START + SECOND_FENCE_TIMEOUT
    continue_fencing(state, ownership, late - timedelta(milliseconds=1))
    assert ownership.phase is Phase.FENCING
    continue_fencing(state, ownership, late)
    assert ownership.phase is Phase.SERVING
    assert ownership.uncovered == {LATE}
