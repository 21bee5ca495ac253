"""The timeout follows the response times."""

from datetime import timedelta

from gypsumspoke.shell.adaptive_timeout import MIN_TIMEOUT, AdaptiveTimeout

LONGEST = timedelta(milliseconds=120)


def after(*milliseconds: float) -> AdaptiveTimeout:
    time = AdaptiveTimeout(LONGEST)
    for each in milliseconds:
        time.record(timedelta(milliseconds=each))
    return time


def test_before_the_first_answer_the_timeout_is_longest():
    assert AdaptiveTimeout(LONGEST).timeout == LONGEST


def test_quick_answers_make_it_short():
    assert after(*[2] * 20).timeout == MIN_TIMEOUT


def test_slow_answers_make_it_long():
    """The answers of a slow instance arrive within the timeout."""
    assert after(*[2] * 20, *[40] * 5).timeout > timedelta(milliseconds=60)
    assert after(*[500] * 20).timeout == LONGEST


def test_missing_answers_make_it_longer_until_one_comes():
    time = after(*[5] * 20)
    for _ in range(10):
        time.record_missing()
    assert time.timeout <= LONGEST
    slow = after(*[20, 40] * 10)
    before = slow.timeout
    slow.record_missing()
    assert slow.timeout > before
