"""Tests of storing a worker's record, with a stand-in store."""

import json
from contextlib import closing, contextmanager

import gevent
import pytest
from hypothesis import given, strategies as st
from returns.pipeline import is_successful

from gypsumspoke.platform.sidecar_store import (
    WORKER_KEY,
    WORKERS_TABLE,
    SidecarStore,
    encode_worker_record,
    parse_worker_record,
)
from gypsumspoke.runs.settings import RunSettings
from gypsumspoke.runs.values import Room, WorkerReady
from gypsumspoke.runs.worker_record import (
    StoreWorkerRecord,
    WorkerRecord,
    WorkerRecordRead,
)
from tests.platform.test_decoding import ANY_JSON
from tests.platform.test_entry_store import wait_until
from tests.standins.platform_store import PlatformStore

RECORD = WorkerRecord(
    "w-1",
    1_900_000_000_123,
    "estimate",
    WorkerReady.DRAINING,
    Room(32000, 64000, 1),
    ("a", "r1"),
    1.25,
)
FIELDS = {
    "id": "w-1",
    "born": 1_900_000_000_123,
    "service": "estimate",
    "state": "draining",
    "cpu": 32000,
    "mem_mb": 64000,
    "gpu": 1,
    "labels": ["a", "r1"],
    "pace": 1.25,
}


@pytest.fixture
def stand_in():
    with PlatformStore() as store:
        yield store


@contextmanager
def sidecar(stand_in, name="side-1"):
    """Yield a sidecar's store and the events that it posts."""
    settings = RunSettings(
        instance=name,
        failure_domain="a",
        host="127.0.0.1",
        callers=None,
        readiness=None,
        peers=None,
        registration=None,
        worker=None,
        service="estimate",
        metrics=("127.0.0.1", 0),
        known_entries=(),
        store=stand_in.address,
        grace=None,
    )
    events = []
    with closing(SidecarStore(settings, (), events.append)) as store:
        store.start()
        yield store, events


def stored(stand_in, name="side-1"):
    return stand_in.value(f"{WORKERS_TABLE}/{name}", WORKER_KEY)


def test_a_record_is_encoded_with_the_platforms_names():
    """The next version must find the fields that this one has written."""
    assert json.loads(encode_worker_record(RECORD)) == FIELDS
    assert parse_worker_record(encode_worker_record(RECORD)).unwrap() == RECORD


def test_unknown_fields_are_ignored():
    """A later version may add some, and an earlier one then reads them."""
    value = json.dumps({**FIELDS, "later": 1}).encode()
    assert parse_worker_record(value).unwrap() == RECORD


@pytest.mark.parametrize("name", FIELDS)
def test_a_record_without_a_field_is_an_error(name):
    fields = {key: value for key, value in FIELDS.items() if key != name}
    read = parse_worker_record(json.dumps(fields).encode())
    assert read.failure() == f"{name} is missing"


@pytest.mark.parametrize(
    "more",
    [
        {"id": ""},
        {"id": 7},
        {"id": "w\r\nx: y"},
        {"id": "wö"},
        {"born": 0},
        {"born": "1"},
        {"born": 1.5},
        {"born": True},
        {"service": None},
        {"state": "odd"},
        {"state": ["ready"]},
        {"cpu": -1},
        {"cpu": 10**30},
        {"mem_mb": "64"},
        {"gpu": None},
        {"labels": "ab"},
        {"labels": [1]},
        {"pace": -0.5},
        {"pace": float("nan")},
        {"pace": float("inf")},
        {"pace": 10**400},
        {"pace": "1"},
        {"pace": True},
    ],
)
def test_a_bad_value_is_an_error(more):
    """A worker must not be restored with a room or a pace that it can't have."""
    read = parse_worker_record(json.dumps({**FIELDS, **more}).encode())
    assert not is_successful(read) and read.failure()


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b"3", b"\xff", b"[" * 100_000])
def test_what_is_no_object_is_an_error(value):
    assert not is_successful(parse_worker_record(value))


@given(st.fixed_dictionaries(dict.fromkeys(FIELDS, ANY_JSON)))
def test_no_value_raises(fields):
    """An exception would end the read for good, and no record would be written."""
    parse_worker_record(json.dumps(fields).encode())


def test_a_record_is_read_by_the_next_process_of_its_instance_only(stand_in):
    """Each instance has a part of its own; without one its reads would mix."""
    with sidecar(stand_in) as (store, events):
        wait_until(lambda: events == [WorkerRecordRead(None)])
        store.store_worker_record(StoreWorkerRecord(RECORD))
        wait_until(lambda: stored(stand_in) is not None)
    with sidecar(stand_in) as (_, events):
        wait_until(lambda: events == [WorkerRecordRead(RECORD)])
    with sidecar(stand_in, "side-2") as (_, events):
        wait_until(lambda: events == [WorkerRecordRead(None)])


def test_an_unreadable_row_is_reported(stand_in):
    """The sidecar must learn that the read is over, or it would write nothing."""
    stand_in.put(f"{WORKERS_TABLE}/side-1", WORKER_KEY, b"{")
    with sidecar(stand_in) as (_, events):
        wait_until(lambda: events)
    assert events[0].record is None and events[0].error


def test_a_record_is_read_once_the_store_is_back(stand_in):
    stand_in.put(f"{WORKERS_TABLE}/side-1", WORKER_KEY, json.dumps(FIELDS).encode())
    stand_in.status = 503
    with sidecar(stand_in) as (_, events):
        gevent.sleep(0.05)
        assert not events
        stand_in.status = None
        wait_until(lambda: events == [WorkerRecordRead(RECORD)])
