"""Requests that an entry refuses without forwarding them."""

from datetime import timedelta

import pytest

from gypsumspoke.core import admission, entry
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.values import JobKey, Task
from tests.core.entry_reducer import (
    ENTRY,
    MILLISECOND,
    PARTITIONS,
    SECOND,
    START,
    Entry,
)


@pytest.mark.parametrize(
    "changes, kind",
    [
        ({"key": JobKey("nobody", "k1")}, ErrorKind.UNKNOWN_TEAM),
        ({"service": "nothing"}, ErrorKind.UNKNOWN_SERVICE),
        ({"deadline": START}, ErrorKind.DEADLINE_IN_PAST),
        ({"birth": START + 2 * SECOND}, ErrorKind.BIRTH_IN_FUTURE),
        ({"birth": START - timedelta(hours=1)}, ErrorKind.KEY_EXPIRED),
        ({"tasks": (Task(b"1"),) * 130, "attempt": 0}, None),
    ],
)
def test_invalid_submissions_are_refused(changes, kind):
    process = Entry()
    process.submit(**changes)
    if kind is None:
        assert process.sent()
        return
    assert process.delivered_kind()[0] is kind
    assert process.counted() == [kind]
    assert not process.sent()


def test_a_submission_over_the_quota_is_refused_with_a_retry_time():
    process = Entry()
    tasks = (Task(b"1"),) * 130
    for number in range(4):
        process.submit(f"r{number}", tasks=tasks)
    [(_, answer)] = process.delivered()
    assert (answer.kind, answer.work) == (
        ErrorKind.QUOTA_EXCEEDED,
        Work.NOT_PASSED_ON,
    )
    assert answer.retry_after >= 100 * MILLISECOND


def test_an_entry_without_a_manifest_is_not_ready():
    process = Entry()
    process.state = entry.new_entry(ENTRY, PARTITIONS, seed=1)
    process.submit()
    assert process.delivered_kind()[0] is ErrorKind.ENTRY_NOT_READY


def test_an_entry_with_a_wrong_clock_refuses_submissions():
    process = Entry()
    entry.set_clock_off(process.state, True)
    process.submit()
    assert process.delivered_kind()[0] is ErrorKind.CLOCK_OFF


def test_waiting_requests_are_bounded_in_number(monkeypatch):
    monkeypatch.setattr(admission, "MAX_WAITING_REQUESTS", 2)
    process = Entry()
    for number in range(3):
        process.submit(f"r{number}")
    assert process.delivered_kind()[0] is ErrorKind.ENTRY_OVERLOADED
    process.answer(request="r0")
    process.submit("r3")
    assert process.sent()


def test_waiting_requests_are_bounded_in_bytes(monkeypatch):
    monkeypatch.setattr(admission, "MAX_WAITING_BYTES", 10)
    process = Entry()
    process.submit("r0", tasks=(Task(b"0123456789"),))
    process.submit("r1")
    assert process.delivered_kind()[0] is ErrorKind.ENTRY_OVERLOADED
    process.answer(request="r0")
    process.submit("r2")
    assert process.sent()
