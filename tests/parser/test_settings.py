"""Tests of parsing settings files and of their errors."""

import json
from datetime import timedelta

import pytest
from returns.result import Failure

from gypsumspoke.core.values import Role
from gypsumspoke.parser.settings import SettingsError, parse_settings, read_settings

SIDECAR = read_settings("examples/sidecar.json").unwrap()
# A sidecar whose upstream announces its service, slots and port.
ANNOUNCED_SIDECAR = {
    "role": "sidecar",
    "http_port": None,
    "service": "",
    "slots": 0,
    "upstream_host": "127.0.0.1",
    "upstream_port": 0,
}


def example(**changes):
    fields = example_fields()
    for key, value in changes.items():
        if value is None:
            del fields[key]
        else:
            fields[key] = value
    return parse_settings(json.dumps(fields))


def example_fields():
    return {
        "role": "entry",
        "worker": "entry-1",
        "host": "127.0.0.1",
        "peer_port": 0,
        "http_port": 0,
        "admin_port": 0,
        "failure_domain": "a",
        "rack": "r",
        "region": "north",
        "table_host": "127.0.0.1",
        "table_port": 6100,
    }


def test_the_examples_are_valid():
    assert SIDECAR.role is Role.SIDECAR
    assert SIDECAR.slots == 8
    assert SIDECAR.drain_timeout == timedelta(seconds=30)
    assert read_settings("examples/entry.json").unwrap().http_port == 8101


def test_an_upstream_may_announce_service_slots_and_port():
    settings = example(**ANNOUNCED_SIDECAR).unwrap()
    assert (settings.service, settings.slots, settings.upstream_port) == ("", 0, 0)


def test_all_errors_are_reported_at_once():
    errors = example(peer_port=70000, worker=None, colour="red").failure()
    assert errors == (
        SettingsError("colour", "unknown key"),
        SettingsError("peer_port", "expected int <= 65535"),
        SettingsError("worker", "missing"),
    )


@pytest.mark.parametrize(
    "changes, path",
    [
        ({"role": "proxy"}, "role"),
        ({"host": "localhost"}, "host"),
        ({"host": "0.0.0.0"}, "host"),
        ({"table_port": 0}, "table_port"),
        ({"http_port": None}, "http_port"),
        ({"slots": 8}, "slots"),
        ({"role": "sidecar", "http_port": None, "slots": 8}, "service"),
        ({**ANNOUNCED_SIDECAR, "service": "estimate"}, "slots"),
        ({**ANNOUNCED_SIDECAR, "slots": 8}, "service"),
        ({**ANNOUNCED_SIDECAR, "service": "estimate", "slots": 8}, "upstream_port"),
        ({**ANNOUNCED_SIDECAR, "upstream_host": ""}, "upstream_host"),
        ({"peer_port": True}, "peer_port"),
        ({"drain_timeout_seconds": "30"}, "drain_timeout_seconds"),
    ],
)
def test_an_invalid_value_is_refused_with_its_path(changes, path):
    assert path in [error.path for error in example(**changes).failure()]


@pytest.mark.parametrize(
    "text", ["", "[]", '{"role": ', '{"a": 1, "a": 2}', "[" * 100_000, '{"a": NaN}']
)
def test_a_malformed_document_is_one_error(text):
    assert isinstance(parse_settings(text), Failure)


def test_a_missing_file_is_an_error():
    (error,) = read_settings("examples/absent.json").failure()
    assert "can't read the file" in error.reason
