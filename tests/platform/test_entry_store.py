"""Tests of storing caller timeouts, with a stand-in store."""

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

TIMEOUT_SECONDS = 10
CALLER_TIMEOUT = timedelta(milliseconds=2000)


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


def wait_until(condition) -> None:
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.01)


def stored_timeouts(stand_in, name="front-1"):
    """Return an entry's row, or None."""
    _, value = stand_in.rows.get((CALLER_TIMEOUTS_TABLE, name), (0, None))
    return json.loads(base64.b64decode(value)) if value is not None else None


def test_stored_timeouts_are_read_by_the_next_process(stand_in):
    with entry(stand_in) as (store, events):
        wait_until(lambda: events == [CallerTimeoutsRead(())])
        store.store_caller_timeouts(StoreCallerTimeouts((("checks", CALLER_TIMEOUT),)))
        wait_until(lambda: stored_timeouts(stand_in) == {"checks": 2000})
    with entry(stand_in, "front-2") as (_, events):
        wait_until(
            lambda: events == [CallerTimeoutsRead(({"checks": CALLER_TIMEOUT},))]
        )


def test_a_malformed_row_is_skipped(stand_in):
    stand_in.put(CALLER_TIMEOUTS_TABLE, "front-1", b"{")
    stand_in.put(CALLER_TIMEOUTS_TABLE, "front-2", b'["x"]')
    stand_in.put(CALLER_TIMEOUTS_TABLE, "front-3", b'{"checks": 2000}')
    with entry(stand_in) as (_, events):
        wait_until(
            lambda: events == [CallerTimeoutsRead(({"checks": CALLER_TIMEOUT},))]
        )


def test_the_latest_value_is_written_after_an_outage(stand_in):
    """A repeated write of an older value must not overwrite a newer one."""
    with entry(stand_in) as (store, events):
        wait_until(lambda: events)
        stand_in.status = 503
        store.store_caller_timeouts(StoreCallerTimeouts((("checks", CALLER_TIMEOUT),)))
        gevent.sleep(0.05)
        store.store_caller_timeouts(
            StoreCallerTimeouts((("checks", 2 * CALLER_TIMEOUT),))
        )
        stand_in.status = None
        wait_until(lambda: stored_timeouts(stand_in) == {"checks": 4000})
        gevent.sleep(0.6)
        assert stored_timeouts(stand_in) == {"checks": 4000}
