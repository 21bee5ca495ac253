"""Forwarding to homes that are lost, replaced, silent or not ready."""

from gypsumspoke.core import forwarding
from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import Local
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.events import PeerLost, Tick
from gypsumspoke.core.membership import ViewOutdated
from tests.core.entry_reducer import DONE, MILLISECOND, SECOND, START, Entry, refused


def test_a_lost_home_gets_the_same_request_again_when_it_is_back():
    """The lost answer is recovered by sending the request again unchanged."""
    process = Entry()
    process.submit()
    [(_, first)] = process.sent()
    process.event(PeerLost("h1"))
    assert not process.sent()
    process.reach("h1", "h2")
    assert process.sent() == [("h1", first)]
    assert process.counted() == [RetryReason.CONNECTION_LOST]
    process.answer()
    assert process.delivered() == [("r1", DONE)]


def test_waiting_requests_follow_their_partition_to_the_next_home():
    process = Entry()
    process.submit(attempt=4)
    [(_, first)] = process.sent()
    process.own("h2")
    assert process.sent() == [("h2", first)]
    assert process.counted() == [RetryReason.HOME_MOVED]


def test_a_home_that_stops_answering_heartbeats_counts_as_silent():
    process = Entry()
    process.submit()
    process.reach("h2")
    process.own("h2")
    assert [to for to, _ in process.sent()] == ["h2"]


def test_after_not_owner_the_partitions_are_read_and_the_request_is_resent():
    process = Entry()
    process.submit()
    process.answer(refused(ErrorKind.NOT_OWNER))
    assert Local(ViewOutdated()) in process.last
    assert not process.delivered()
    process.event(Tick(), after=SECOND)
    assert [to for to, _ in process.sent()] == ["h1"]
    assert RetryReason.HOME_MOVED in process.counted()


def test_a_resend_during_a_takeover_is_counted_as_that():
    process = Entry()
    process.submit()
    process.answer(refused(ErrorKind.TAKEOVER_IN_PROGRESS))
    process.event(Tick(), after=SECOND)
    assert [to for to, _ in process.sent()] == ["h1"]
    assert process.counted() == [RetryReason.TAKEOVER_IN_PROGRESS]


def test_a_takeover_that_takes_too_long_is_answered_unknown():
    process = Entry()
    process.submit()
    for _ in range(30):
        process.answer(refused(ErrorKind.TAKEOVER_IN_PROGRESS))
        if process.delivered():
            break
        process.event(Tick(), after=100 * MILLISECOND)
    kind = process.delivered_kind()
    assert kind == (ErrorKind.TAKEOVER_IN_PROGRESS, Work.UNKNOWN)
    assert process.now - START <= forwarding.NOT_SERVED_TIMEOUT + SECOND


def test_a_request_that_was_never_sent_is_answered_not_passed_on():
    process = Entry(owner="h9")
    process.submit()
    assert not process.sent()
    process.event(Tick(), after=10 * SECOND)
    assert process.delivered_kind() == (
        ErrorKind.HOME_UNREACHABLE,
        Work.NOT_PASSED_ON,
    )


def test_a_request_that_was_sent_once_is_answered_unknown():
    process = Entry()
    process.submit()
    process.event(PeerLost("h1"))
    process.event(Tick(), after=10 * SECOND)
    assert process.delivered_kind() == (ErrorKind.HOME_SILENT, Work.UNKNOWN)
    [(_, answer)] = process.delivered()
    assert answer.retry_after is not None


def test_a_request_to_a_silent_home_fails_after_the_deadline():
    process = Entry()
    process.submit(deadline=START + SECOND)
    process.event(Tick(), after=SECOND)
    assert not process.delivered()
    process.event(Tick(), after=forwarding.DEADLINE_GRACE)
    assert process.delivered_kind() == (ErrorKind.HOME_SILENT, Work.UNKNOWN)
