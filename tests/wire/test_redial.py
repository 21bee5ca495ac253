"""Tests of connect timeouts and retry delays for one address."""

from datetime import timedelta

from gypsumspoke.wire.redial import (
    MAX_CONNECT_TIMEOUT,
    MAX_QUICK_REFUSALS,
    MAX_RETRY_DELAY,
    REFUSED_DELAY,
    RedialBackoff,
)


def test_the_delay_stays_constant_for_the_first_refusals():
    """Growing delays would make a sidecar find a restarted entry too late."""
    backoff = RedialBackoff()
    delays = {backoff.record_refused() for _ in range(MAX_QUICK_REFUSALS)}
    assert delays == {REFUSED_DELAY}


def test_a_restored_instance_is_found_soon():
    """A long connect timeout would make a sidecar find a restored instance too late."""
    backoff = RedialBackoff()
    downtime = timedelta(milliseconds=300)
    elapsed = timedelta()
    while elapsed < downtime:
        elapsed += backoff.connect_timeout + backoff.record_unanswered()
    assert elapsed - downtime <= MAX_CONNECT_TIMEOUT + MAX_RETRY_DELAY / 2


def test_timeout_and_delay_grow_while_unanswered():
    backoff = RedialBackoff()
    delays = [backoff.record_unanswered() for _ in range(4)]
    assert delays == [
        MAX_RETRY_DELAY / 4,
        MAX_RETRY_DELAY / 2,
        MAX_RETRY_DELAY,
        MAX_RETRY_DELAY,
    ]
    assert backoff.connect_timeout == MAX_CONNECT_TIMEOUT


def test_the_delay_grows_after_many_refusals():
    backoff = RedialBackoff()
    for _ in range(MAX_QUICK_REFUSALS + 3):
        delay = backoff.record_refused()
    assert delay == 2 * MAX_RETRY_DELAY


def test_a_connection_resets_the_backoff():
    backoff = RedialBackoff()
    first = backoff.connect_timeout
    backoff.record_unanswered()
    assert not backoff.is_first
    backoff.record_connected()
    assert backoff.is_first
    assert backoff.connect_timeout == first
