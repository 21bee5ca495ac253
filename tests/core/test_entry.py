"""Tests of the entry: forwarding, retries, answers and refusals."""

from gypsumspoke.core import entry
from gypsumspoke.core.counters import Counter
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.events import Drain
from gypsumspoke.core.messages import QueryJob, SubmitJob
from gypsumspoke.core.values import Answer, JobKey
from tests.core.entry_reducer import (
    DONE,
    KEY,
    PARTITION,
    SECOND,
    SUBMISSION,
    Entry,
    refused,
)


def test_passes_a_job_to_the_home_and_its_answer_back():
    process = Entry()
    process.submit()
    message = SubmitJob("r1", PARTITION, SUBMISSION, True)
    assert process.sent() == [("h1", message)]
    process.answer()
    assert process.delivered() == [("r1", DONE)]


def test_late_and_mismatched_answers_are_dropped():
    process = Entry()
    process.submit()
    process.answer(key=JobKey("pots", "other"))
    assert process.counted() == [Counter.LATE_ANSWER_DROPPED]
    process.answer()
    process.answer()
    assert not process.delivered()
    assert process.counted() == [Counter.LATE_ANSWER_DROPPED]


def test_a_former_home_may_only_bring_a_complete_answer():
    """A refusal of the former home is stale; a result is valid from any home."""
    process = Entry()
    process.submit()
    process.own("h2")
    process.answer(refused(ErrorKind.NOT_OWNER), sender="h1")
    assert process.counted() == [Counter.LATE_ANSWER_DROPPED]
    process.answer(DONE, sender="h1")
    assert process.delivered() == [("r1", DONE)]


def test_two_callers_of_one_key_get_an_answer_each():
    process = Entry()
    process.submit("r1")
    process.submit("r2")
    process.answer(request="r2")
    assert process.delivered() == [("r2", DONE)]
    process.answer(request="r1")
    assert process.delivered() == [("r1", DONE)]


def test_a_caller_that_leaves_does_not_cancel():
    process = Entry(owner="h9")
    process.submit()
    process.event(entry.CallerLeft("r1"))
    process.own("h1")
    assert len(process.sent()) == 1
    process.answer()
    assert not process.delivered()
    assert entry.waiting_count(process.state) == 0


def test_a_query_goes_to_the_home():
    process = Entry()
    process.event(entry.QueryArrived("r1", KEY))
    assert process.sent() == [("h1", QueryJob("r1", PARTITION, KEY))]
    running = Answer(ErrorKind.JOB_RUNNING, Work.RUNNING, retry_after=SECOND)
    process.answer(running)
    assert process.delivered() == [("r1", running)]


def test_a_draining_entry_refuses_new_and_finishes_waiting_requests():
    process = Entry()
    process.submit()
    process.event(Drain())
    process.submit("r2")
    assert process.delivered_kind() == (
        ErrorKind.ENTRY_DRAINING,
        Work.NOT_PASSED_ON,
    )
    process.answer()
    assert process.delivered() == [("r1", DONE)]
    assert entry.waiting_count(process.state) == 0
