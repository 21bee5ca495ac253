"""What a caller's command sends."""

import uuid
from datetime import datetime, timezone

import pytest
from gevent.pywsgi import WSGIServer

from gypsumspoke.core.clock import ManualClock
from gypsumspoke.tools.caller_client import new_key, submit
from gypsumspoke.tools.exit_codes import ExitCode
from gypsumspoke.tools.http_client import Address

BIRTH = datetime(2026, 1, 2, 3, 4, 5, tzinfo=timezone.utc)


@pytest.fixture
def bodies():
    return []


@pytest.fixture
def entry(bodies):
    def answer(environ, start):
        bodies.append(environ["wsgi.input"].read())
        start("200 OK", [])
        return [b"{}"]

    server = WSGIServer(("127.0.0.1", 0), answer, log=None)
    server.start()
    yield Address("127.0.0.1", server.server_port)
    server.stop(timeout=0)


def test_digits_are_sent_as_written(entry, bodies):
    text = '{"tasks": [{"body": 1.10}]}'
    submit(entry, text).unwrap()
    submit(entry, text, key="k").unwrap()
    assert bodies == [text.encode(), b'{"tasks":[{"body": 1.10}],"key":"k"}']


def test_comments_are_not_sent(entry, bodies):
    submit(entry, "{tasks: [] /* none */}").unwrap()
    assert bodies == [b'{"tasks": []}']


def test_a_malformed_job_is_not_sent(entry, bodies):
    assert submit(entry, "{").failure().code is ExitCode.BAD_INPUT
    assert submit(entry, "[]", key="k").failure().code is ExitCode.BAD_INPUT
    assert bodies == []


def test_a_new_key_carries_its_birth():
    key = uuid.UUID(new_key(ManualClock(BIRTH)))
    assert key.version == 7
    assert key.variant == uuid.RFC_4122
    assert key.int >> 80 == BIRTH.timestamp() * 1000
