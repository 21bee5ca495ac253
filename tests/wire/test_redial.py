"""Tests of connect timeouts and retry delays for one address."""

from datetime import timedelta

from gypsumspoke.wire.redial import (
    MAX_CONNECT_TIMEOUT,
    MAX_QUICK_REFUSALS,
    MAX_RETRY_DELAY,
    REFUSED_DELAY,
    RedialBackoff,
)


def test_an_instance_whose_process_is_starting_is_dialled_without_growing_pauses():
    """Growing delays would make a sidecar find a restarted entry too late."""
    backoff = RedialBackoff()
    delays = {backoff.record_refused() for _ in range(MAX_QUICK_REFUSALS)}
    assert delays == {REFUSED_DELAY}


def test_an_instance_that_gets_its_power_back_is_found_soon():
    """A long connect timeout would make a sidecar find a restored instance too late."""
    backoff = RedialBackoff()
    downtime = timedelta(milliseconds=300)
    elapsed = timedelta()
    while elapsed < downtime:
        elapsed += backoff.connect_timeout + backoff.record_unanswered()
    assert elapsed - downtime <= MAX_CONNECT_TIMEOUT + MAX_RETRY_DELAY / 2


def test_an_address_that_does_not_answer_is_given_more_time_and_asked_less_often():
    backoff = RedialBackoff()
    delays = [backoff.record_unanswered() for _ in range(4)]
    assert delays == [
        MAX_RETRY_DELAY / 4,
        MAX_RETRY_DELAY / 2,
        MAX_RETRY_DELAY,
        MAX_RETRY_DELAY,
    ]
    assert backoff.connect_timeout == MAX_CONNECT_TIMEOUT


def test_one_that_refuses_for_good_is_dialled_ever_later():
    backoff = RedialBackoff()
    for _ in range(MAX_QUICK_REFUSALS + 3):
        delay = backoff.record_refused()
    assert delay == 2 * MAX_RETRY_DELAY


def test_a_connection_begins_anew():
    backoff = RedialBackoff()
    first = backoff.connect_timeout
    backoff.record_unanswered()
    assert not backoff.is_first
    backoff.record_connected()
    assert backoff.is_first
    assert backoff.connect_timeout == first
