"""The timeout follows the response times."""

from datetime import timedelta

from gypsumspoke.shell.adaptive_timeout import MIN_TIMEOUT, AdaptiveTimeout

MAX_TIMEOUT = timedelta(milliseconds=120)


def timeout_after(*milliseconds: float) -> AdaptiveTimeout:
    timeout = AdaptiveTimeout(MAX_TIMEOUT)
    for value in milliseconds:
        timeout.record(timedelta(milliseconds=value))
    return timeout


def test_the_timeout_is_maximal_until_the_first_answer():
    assert AdaptiveTimeout(MAX_TIMEOUT).timeout == MAX_TIMEOUT


def test_fast_answers_shorten_the_timeout():
    assert timeout_after(*[2] * 20).timeout == MIN_TIMEOUT


def test_slow_answers_lengthen_the_timeout():
    """The answers of a slow instance arrive within the timeout."""
    assert timeout_after(*[2] * 20, *[40] * 5).timeout > timedelta(milliseconds=60)
    assert timeout_after(*[500] * 20).timeout == MAX_TIMEOUT


def test_missing_answers_lengthen_the_timeout_up_to_the_maximum():
    timeout = timeout_after(*[5] * 20)
    for _ in range(10):
        timeout.record_missing()
    assert timeout.timeout <= MAX_TIMEOUT
    slow = timeout_after(*[20, 40] * 10)
    previous = slow.timeout
    slow.record_missing()
    assert slow.timeout > previous
