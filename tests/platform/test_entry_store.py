"""What entries keep of their callers' patience, against the stand-in of the store."""

import base64
import json
from contextlib import closing, contextmanager
from datetime import timedelta

import gevent
import pytest

from gypsumspoke.platform.entry_store import CALLER_TIMEOUTS_TABLE, EntryStore
from gypsumspoke.runs.caller_timeouts import CallerTimeoutsRead, StoreCallerTimeouts
from gypsumspoke.runs.settings import RunSettings
from tests.standins.platform_store import PlatformStore

BOUND = 10
CHECKS = timedelta(milliseconds=2000)


@pytest.fixture
def stand_in():
    with PlatformStore() as store:
        yield store


@contextmanager
def entry(stand_in, name="front-1"):
    """Yield an entry's store and the events that it posts."""
    settings = RunSettings(
        instance=name,
        failure_domain="a",
        host="127.0.0.1",
        callers=None,
        readiness=None,
        peers=None,
        registration=None,
        worker=None,
        service="",
        metrics=("127.0.0.1", 0),
        known_entries=(),
        store=stand_in.address,
        grace=timedelta(seconds=6),
    )
    events = []
    with closing(EntryStore(settings, (), events.append)) as store:
        store.start()
        yield store, events


def wait_until(holds) -> None:
    with gevent.Timeout(BOUND):
        while not holds():
            gevent.sleep(0.01)


def kept(stand_in, name="front-1"):
    """Return an entry's row, or None."""
    _, value = stand_in.rows.get((CALLER_TIMEOUTS_TABLE, name), (0, None))
    return json.loads(base64.b64decode(value)) if value is not None else None


def test_what_an_entry_kept_is_read_by_the_next_process(stand_in):
    with entry(stand_in) as (store, events):
        wait_until(lambda: events == [CallerTimeoutsRead(())])
        store.store_caller_timeouts(StoreCallerTimeouts((("checks", CHECKS),)))
        wait_until(lambda: kept(stand_in) == {"checks": 2000})
    with entry(stand_in, "front-2") as (_, events):
        wait_until(lambda: events == [CallerTimeoutsRead(({"checks": CHECKS},))])


def test_a_row_that_can_not_be_read_hides_no_other(stand_in):
    stand_in.put(CALLER_TIMEOUTS_TABLE, "front-1", b"{")
    stand_in.put(CALLER_TIMEOUTS_TABLE, "front-2", b'["x"]')
    stand_in.put(CALLER_TIMEOUTS_TABLE, "front-3", b'{"checks": 2000}')
    with entry(stand_in) as (_, events):
        wait_until(lambda: events == [CallerTimeoutsRead(({"checks": CHECKS},))])


def test_the_newest_value_is_written_once_the_store_is_back(stand_in):
    """The store is away while an entry keeps two values of its row, one after the
    other. The older one, sent again for as long, could overwrite the newer.
    """
    with entry(stand_in) as (store, events):
        wait_until(lambda: events)
        stand_in.status = 503
        store.store_caller_timeouts(StoreCallerTimeouts((("checks", CHECKS),)))
        gevent.sleep(0.05)
        store.store_caller_timeouts(StoreCallerTimeouts((("checks", 2 * CHECKS),)))
        stand_in.status = None
        wait_until(lambda: kept(stand_in) == {"checks": 4000})
        gevent.sleep(0.6)
        assert kept(stand_in) == {"checks": 4000}
