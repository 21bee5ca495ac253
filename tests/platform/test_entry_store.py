"""Tests of storing caller timeouts, with a stand-in store."""

import base64
import json
from contextlib import closing, contextmanager
from datetime import timedelta

import gevent
import pytest

from gypsumspoke.platform.entry_store import (
    CALLER_TIMEOUTS_TABLE,
    CANCELLED_JOBS_TABLE,
    EntryStore,
    watch_cancelled_jobs,
)
from gypsumspoke.runs.caller_timeouts import CallerTimeoutsRead, StoreCallerTimeouts
from gypsumspoke.runs.cancellations import (
    CancelledJobsRead,
    CancelledJobsStored,
    RemoveCancelledJobs,
    StoreCancelledJobs,
)
from gypsumspoke.runs.settings import RunSettings
from tests.standins.platform_store import PlatformStore

TIMEOUT_SECONDS = 10
CALLER_TIMEOUT = timedelta(milliseconds=2000)
JOBS = ("5c0e7a21d94b36f8", "5c0e7a21d94b36f9")


@pytest.fixture
def stand_in():
    with PlatformStore() as store:
        yield store


@contextmanager
def entry(stand_in, name="front-1", follows_cancelled_jobs=False):
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
    watches = (watch_cancelled_jobs(events.append),) if follows_cancelled_jobs else ()
    with closing(EntryStore(settings, watches, events.append)) as store:
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


def cancelled_jobs(events):
    """Return the events that name cancelled jobs."""
    return [event for event in events if isinstance(event, CancelledJobsRead)]


def test_a_row_of_cancelled_jobs_reaches_other_entries_and_later_ones(stand_in):
    rows = {"e1/1": frozenset(JOBS)}
    with entry(stand_in, follows_cancelled_jobs=True) as (_, others):
        wait_until(lambda: CancelledJobsRead({}, True) in others)
        with entry(stand_in, "front-2") as (store, own):
            store.store_cancelled_jobs(StoreCancelledJobs("e1/1", JOBS))
            wait_until(lambda: CancelledJobsStored("e1/1") in own)
        wait_until(lambda: CancelledJobsRead(rows, False) in others)
    with entry(stand_in, "front-3", follows_cancelled_jobs=True) as (_, events):
        wait_until(lambda: CancelledJobsRead(rows, True) in events)


def test_cancelled_jobs_are_confirmed_only_once_the_store_has_them(stand_in):
    with entry(stand_in) as (store, events):
        wait_until(lambda: events)
        stand_in.status = 503
        store.store_cancelled_jobs(StoreCancelledJobs("e1/1", JOBS))
        gevent.sleep(0.1)
        assert CancelledJobsStored("e1/1") not in events
        stand_in.status = None
        wait_until(lambda: CancelledJobsStored("e1/1") in events)
        assert stand_in.value(CANCELLED_JOBS_TABLE, "e1/1") is not None


def test_a_removed_row_of_cancelled_jobs_is_reported(stand_in):
    with entry(stand_in, follows_cancelled_jobs=True) as (store, events):
        store.store_cancelled_jobs(StoreCancelledJobs("e1/1", JOBS))
        wait_until(lambda: any(event.rows for event in cancelled_jobs(events)))
        store.remove_cancelled_jobs(RemoveCancelledJobs(("e1/1",)))
        wait_until(lambda: CancelledJobsRead({"e1/1": None}, False) in events)
        assert stand_in.value(CANCELLED_JOBS_TABLE, "e1/1") is None


@pytest.mark.parametrize(
    "value", [b"{", b"[]", b'{"jobs": 1}', b'{"jobs": ["x"]}', b'{"jobs": [1]}']
)
def test_a_malformed_row_of_cancelled_jobs_names_none(stand_in, value):
    stand_in.put(CANCELLED_JOBS_TABLE, "e1/1", value)
    with entry(stand_in, follows_cancelled_jobs=True) as (_, events):
        read = CancelledJobsRead({"e1/1": frozenset()}, True)
        wait_until(lambda: read in events)


def test_cancelled_jobs_cost_each_entry_a_bounded_number_of_calls(stand_in):
    """While all entries cancel jobs, a call for each row would exceed the store's
    rate.
    """
    with entry(stand_in, follows_cancelled_jobs=True) as (_, events):
        wait_until(lambda: cancelled_jobs(events))
        before = len(stand_in.calls)
        for number in range(50):
            stand_in.put_json(
                CANCELLED_JOBS_TABLE, f"e2/{number}", {"jobs": list(JOBS)}
            )
            gevent.sleep(0.02)
        assert len(stand_in.calls) - before <= 4
