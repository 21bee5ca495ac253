"""The store's client against the stand-in: watches, writes, faults."""

from contextlib import closing
from datetime import timedelta

import gevent
import pytest

from gypsumspoke.platform.store import Store, Watch
from tests.standins.platform_store import PlatformStore

TABLE = "entries"
BOUND = 10


@pytest.fixture
def stand_in():
    with PlatformStore() as store:
        yield store


@pytest.fixture
def watching(stand_in):
    seen = []
    watch = Watch(TABLE, timedelta(milliseconds=300), lambda rows: seen.append(rows))
    store = Store(stand_in.address, (watch,))
    store.start()
    with closing(store):
        yield store, seen


def wait_until(holds) -> None:
    with gevent.Timeout(BOUND):
        while not holds():
            gevent.sleep(0.01)


def test_rows_that_were_there_and_changes_are_seen(stand_in, watching):
    _, seen = watching
    wait_until(lambda: seen)
    stand_in.put(TABLE, "a", b"1")
    wait_until(lambda: seen[-1] == {"a": b"1"})
    stand_in.put(TABLE, "b", b"2")
    wait_until(lambda: seen[-1] == {"a": b"1", "b": b"2"})
    stand_in.put(TABLE, "a", None)
    wait_until(lambda: seen[-1] == {"b": b"2"})


def test_many_rows_come_in_pages(stand_in):
    for number in range(1200):
        stand_in.put(TABLE, f"k{number:04d}", b"x")
    seen = []
    store = Store(stand_in.address, (Watch(TABLE, timedelta(0), seen.append),))
    store.start()
    with closing(store):
        wait_until(lambda: seen and len(seen[0]) == 1200)


def test_forgotten_history_is_read_anew(stand_in, watching):
    _, seen = watching
    wait_until(lambda: seen)
    stand_in.forget_history()
    stand_in.put(TABLE, "a", b"1")
    wait_until(lambda: seen[-1] == {"a": b"1"})


@pytest.mark.parametrize("status", [503, 429])
def test_a_refusing_store_is_asked_seldom_and_found_again(stand_in, watching, status):
    """The store turns this process away for a second. It is asked a few times only,
    since calls are priced, and what changed meanwhile is seen afterwards.
    """
    _, seen = watching
    wait_until(lambda: seen)
    stand_in.status = status
    stand_in.put(TABLE, "a", b"1")
    before = len(stand_in.calls)
    gevent.sleep(1)
    assert len(stand_in.calls) - before <= 4
    stand_in.status = None
    wait_until(lambda: seen[-1] == {"a": b"1"})


def test_a_silent_connection_is_given_up(stand_in, watching):
    """The store's answers stop coming without a sign. The call is given up after its
    wait and time-out, and a new connection sees the change.
    """
    _, seen = watching
    wait_until(lambda: seen)
    stand_in.silent = True
    stand_in.put(TABLE, "a", b"1")
    gevent.sleep(1.5)
    stand_in.silent = False
    wait_until(lambda: seen[-1] == {"a": b"1"})


def test_a_write_whose_answer_is_lost_is_repeated_until_it_is_told(stand_in, watching):
    store, _ = watching
    stand_in.lose_answers = 2
    store.put(TABLE, "own", b"here")
    wait_until(lambda: stand_in.lose_answers == 0)
    wait_until(lambda: stand_in.value(TABLE, "own") == b"here")


def test_an_unreadable_row_hides_no_other(stand_in, watching):
    _, seen = watching
    wait_until(lambda: seen)
    stand_in.rows[TABLE, "odd"] = (stand_in.version + 1, "%%%")
    stand_in.version += 1
    stand_in.put(TABLE, "a", b"1")
    wait_until(lambda: seen[-1] == {"a": b"1"})
