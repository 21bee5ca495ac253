"""Registering and leaving, also with lost answers and an unavailable table."""

from datetime import timedelta

from gypsumspoke.core import membership, registration
from gypsumspoke.core.effects import ReadRows, WriteRows
from gypsumspoke.core.rows import member_from_row
from gypsumspoke.core.values import MAX_RETENTION
from tests.core.membership_process import SECOND, START, Process, row_of, sidecar


def test_registers_first_and_reads_the_map_second():
    process = Process(sidecar("w1"))
    process.tick()
    process.settle()
    table = [e for e in process.effects if isinstance(e, (ReadRows, WriteRows))]
    prefixes = [getattr(effect, "prefix", "write") for effect in table]
    assert prefixes == ["members/", "write", "members/", "manifest", "partitions/"]


def test_ends_the_earlier_incarnation_of_its_worker_only():
    old, other = sidecar("w1"), sidecar("w2")
    process = Process(sidecar("w1", 2), (row_of(old, 1), row_of(other, 2))).joined()
    rows = {k: member_from_row(row) for k, row in process.rows.items()}
    assert rows["members/w1-1"].ended is not None
    assert rows["members/w2-1"].ended is None
    assert rows["members/w1-2"].ended is None


def test_a_registration_whose_answer_is_lost_is_found_by_reading_back():
    """The write takes effect but its answer is lost; a second write would conflict."""
    process = Process(sidecar("w1"))
    process.tick()
    process.answer()
    process.answer(lose=True)
    assert not membership.is_registered(process.state)
    process.tick(5 * SECOND)
    process.settle()
    assert membership.is_registered(process.state)
    assert [m.incarnation for m in membership.members(process.state)] == ["w1-1"]


def test_a_lost_write_that_never_happened_is_made_again():
    process = Process(sidecar("w1"))
    process.tick()
    process.answer()
    process.answer(down=True)
    process.tick(5 * SECOND)
    process.settle()
    assert membership.is_registered(process.state)


def test_a_request_without_an_answer_times_out():
    process = Process(sidecar("w1"))
    process.tick()
    process.asked.clear()
    process.tick(registration.TABLE_ANSWER_TIMEOUT + SECOND)
    process.tick(10 * SECOND)
    process.settle()
    assert membership.is_registered(process.state)


def test_a_clean_leave_ends_its_row():
    process = Process(sidecar("w1")).joined()
    process.event(membership.Leave())
    assert not membership.has_left(process.state)
    process.settle()
    assert membership.has_left(process.state)
    assert member_from_row(process.rows["members/w1-1"]).ended is not None


def test_a_leave_does_not_wait_for_a_table_that_is_down():
    process = Process(sidecar("w1")).joined()
    process.event(membership.Leave())
    process.answer(down=True)
    process.tick(registration.LEAVE_TIMEOUT + SECOND)
    assert membership.has_left(process.state)


def test_rows_that_ended_long_ago_are_deleted_one_at_a_time():
    long_ago = START - MAX_RETENTION - timedelta(hours=1)
    old = [sidecar(f"o{n}", ended=long_ago) for n in range(3)]
    recent = sidecar("r", ended=START - MAX_RETENTION + timedelta(hours=1))
    rows = tuple(row_of(m, n + 1) for n, m in enumerate([*old, recent]))
    process = Process(sidecar("w1"), rows).joined()
    process.effects.clear()
    for _ in range(105):
        process.tick()
    writes = [e for e in process.effects if isinstance(e, WriteRows)]
    assert len(writes) == 1
    [(key, value)] = writes[0].writes
    assert key.startswith("members/o") and value is None
