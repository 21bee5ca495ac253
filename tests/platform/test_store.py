"""Tests of the store client with a stand-in store: watches, writes, failures."""

from contextlib import closing
from datetime import timedelta

import gevent
import pytest

from gypsumspoke.platform.store import Store, Watch
from tests.standins.platform_store import PlatformStore

TABLE = "entries"
TIMEOUT_SECONDS = 10


@pytest.fixture
def stand_in():
    with PlatformStore() as store:
        yield store


@pytest.fixture
def watching(stand_in):
    received = []
    watch = Watch(
        TABLE,
        timedelta(milliseconds=300),
        lambda table: received.append(dict(table.rows)),
    )
    store = Store(stand_in.address, (watch,))
    store.start()
    with closing(store):
        yield store, received


def wait_until(condition) -> None:
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.01)


def test_a_watch_receives_changes(stand_in, watching):
    _, received = watching
    wait_until(lambda: received)
    stand_in.put(TABLE, "a", b"1")
    wait_until(lambda: received[-1] == {"a": b"1"})
    stand_in.put(TABLE, "b", b"2")
    wait_until(lambda: received[-1] == {"a": b"1", "b": b"2"})
    stand_in.put(TABLE, "a", None)
    wait_until(lambda: received[-1] == {"b": b"2"})


def test_a_table_of_several_pages_is_read_whole(stand_in):
    for number in range(1200):
        stand_in.put(TABLE, f"k{number:04d}", b"x")
    received = []
    store = Store(stand_in.address, (Watch(TABLE, timedelta(0), received.append),))
    store.start()
    with closing(store):
        wait_until(lambda: received and len(received[0].rows) == 1200)


def test_the_table_is_read_again_after_its_history_is_lost(stand_in, watching):
    _, received = watching
    wait_until(lambda: received)
    stand_in.forget_history()
    stand_in.put(TABLE, "a", b"1")
    wait_until(lambda: received[-1] == {"a": b"1"})


@pytest.mark.parametrize("status", [503, 429])
def test_few_calls_are_made_while_the_store_refuses_them(stand_in, watching, status):
    """Calls are priced, so an outage must not bring many; changes made during the
    outage are received afterwards.
    """
    _, received = watching
    wait_until(lambda: received)
    stand_in.status = status
    stand_in.put(TABLE, "a", b"1")
    before = len(stand_in.calls)
    gevent.sleep(1)
    assert len(stand_in.calls) - before <= 4
    stand_in.status = None
    wait_until(lambda: received[-1] == {"a": b"1"})


def test_a_silent_connection_is_replaced(stand_in, watching):
    """A call without an answer must time out, and the change arrive on a new
    connection.
    """
    _, received = watching
    wait_until(lambda: received)
    stand_in.silent = True
    stand_in.put(TABLE, "a", b"1")
    gevent.sleep(1.5)
    stand_in.silent = False
    wait_until(lambda: received[-1] == {"a": b"1"})


def test_a_write_is_repeated_until_it_is_confirmed(stand_in, watching):
    store, _ = watching
    stand_in.lose_answers = 2
    store.put(TABLE, "own", b"here")
    wait_until(lambda: stand_in.lose_answers == 0)
    wait_until(lambda: stand_in.value(TABLE, "own") == b"here")


def test_a_row_with_an_unreadable_value_is_empty_and_hides_no_other(stand_in, watching):
    _, received = watching
    wait_until(lambda: received)
    stand_in.rows[TABLE, "odd"] = (stand_in.version + 1, "%%%")
    stand_in.version += 1
    stand_in.put(TABLE, "a", b"1")
    wait_until(lambda: received[-1] == {"a": b"1", "odd": b""})


def test_rows_of_one_key_in_two_parts_are_written_apart(stand_in):
    """A pending write in one part must not replace the one in another."""
    read = []
    with closing(Store(stand_in.address, ())) as store:
        for part in ("", "p1", "p2"):
            store.put("t", "k", part.encode(), part)
        wait_until(lambda: stand_in.value("t/p2", "k") is not None)
        wait_until(lambda: stand_in.value("t/p1", "k") is not None)
        store.read_once("t", lambda table: read.append(table.rows), "p1")
        store.read_once("t", lambda table: read.append(table.rows))
        wait_until(lambda: len(read) == 2)
    assert sorted(rows["k"] for rows in read) == [b"", b"p1"]
