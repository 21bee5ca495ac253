"""Dials to one address: how long each may take, and the pauses between them."""

from datetime import timedelta

from gypsumspoke.wire.redial import (
    LAST_PATIENCE,
    LAST_PAUSE,
    QUICK_REFUSALS,
    REFUSED_PAUSE,
    Redial,
)


def test_an_instance_whose_process_is_starting_is_dialled_without_growing_pauses():
    """A sidecar is up before an entry after a loss of all processes. Its dials are
    refused until the entry listens; with growing pauses the entry is found up to four
    tenths of a second late, and its callers wait for a worker meanwhile.
    """
    redial = Redial()
    pauses = {redial.note_refused() for _ in range(QUICK_REFUSALS)}
    assert pauses == {REFUSED_PAUSE}


def test_an_instance_that_gets_its_power_back_is_found_soon():
    """All instances lose power and come back within 0.3 s of each other. A sidecar
    that is first dials entries that are still dark: the packet is lost. With one long
    wait for its answer the entries were found 0.5 s later, with callers waiting.
    """
    redial = Redial()
    dark = timedelta(milliseconds=300)
    spent = timedelta()
    while spent < dark:
        spent += redial.patience + redial.note_unanswered()
    assert spent - dark <= LAST_PATIENCE + LAST_PAUSE / 2


def test_an_address_that_does_not_answer_is_given_more_time_and_asked_less_often():
    redial = Redial()
    pauses = [redial.note_unanswered() for _ in range(4)]
    assert pauses == [LAST_PAUSE / 4, LAST_PAUSE / 2, LAST_PAUSE, LAST_PAUSE]
    assert redial.patience == LAST_PATIENCE


def test_one_that_refuses_for_good_is_dialled_ever_later():
    redial = Redial()
    for _ in range(QUICK_REFUSALS + 3):
        pause = redial.note_refused()
    assert pause == 2 * LAST_PAUSE


def test_a_connection_begins_anew():
    redial = Redial()
    first = redial.patience
    redial.note_unanswered()
    assert not redial.is_first
    redial.note_connected()
    assert redial.is_first
    assert redial.patience == first
