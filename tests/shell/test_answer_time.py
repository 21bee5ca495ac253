"""How long an answer is waited for."""

from datetime import timedelta

from gypsumspoke.shell.answer_time import SHORTEST, AnswerTime

LONGEST = timedelta(milliseconds=120)


def after(*milliseconds: float) -> AnswerTime:
    time = AnswerTime(LONGEST)
    for each in milliseconds:
        time.note(timedelta(milliseconds=each))
    return time


def test_before_the_first_answer_the_wait_is_longest():
    assert AnswerTime(LONGEST).wait == LONGEST


def test_quick_answers_make_it_short():
    assert after(*[2] * 20).wait == SHORTEST


def test_slow_answers_make_it_long():
    """An instance is slow and answers take 40 ms. None of them may be given up."""
    assert after(*[2] * 20, *[40] * 5).wait > timedelta(milliseconds=60)
    assert after(*[500] * 20).wait == LONGEST


def test_missing_answers_make_it_longer_until_one_comes():
    time = after(*[5] * 20)
    for _ in range(10):
        time.note_missing()
    assert time.wait <= LONGEST
    slow = after(*[20, 40] * 10)
    before = slow.wait
    slow.note_missing()
    assert slow.wait > before
