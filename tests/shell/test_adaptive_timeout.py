"""The timeout adapts to the response times."""

from datetime import timedelta

from gypsumspoke.shell.adaptive_timeout import MIN_TIMEOUT, AdaptiveTimeout

MAX_TIMEOUT = timedelta(milliseconds=120)


def timeout_after(*milliseconds: float) -> AdaptiveTimeout:
    adaptive = AdaptiveTimeout(MAX_TIMEOUT)
    for each in milliseconds:
        adaptive.record(timedelta(milliseconds=each))
    return adaptive


def test_the_timeout_is_the_maximum_before_the_first_answer():
    assert AdaptiveTimeout(MAX_TIMEOUT).timeout == MAX_TIMEOUT


def test_fast_answers_reduce_the_timeout_to_the_minimum():
    assert timeout_after(*[2] * 20).timeout == MIN_TIMEOUT


def test_slow_answers_increase_the_timeout():
    """The answers of a slow instance arrive within the timeout."""
    assert timeout_after(*[2] * 20, *[40] * 5).timeout > timedelta(milliseconds=60)
    assert timeout_after(*[500] * 20).timeout == MAX_TIMEOUT


def test_missing_answers_increase_the_timeout_up_to_the_maximum():
    fast = timeout_after(*[5] * 20)
    for _ in range(10):
        fast.record_missing()
    assert fast.timeout <= MAX_TIMEOUT
    slow = timeout_after(*[20, 40] * 10)
    before = slow.timeout
    slow.record_missing()
    assert slow.timeout > before
