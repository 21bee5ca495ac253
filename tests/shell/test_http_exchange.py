"""HTTP exchanges: complete answers, errors and no retries."""

from contextlib import ExitStack
from datetime import timedelta

import gevent
import pytest
from gevent.socket import socket

from gypsumspoke.shell.http_exchange import ExchangeError, ExchangeLimits, post
from tests.standins.sockets import Server, closed_port

LIMITS = ExchangeLimits(timedelta(seconds=5), timedelta(seconds=5), 1000)
SHORT_TIMEOUT = LIMITS._replace(answer_timeout=timedelta(seconds=0.05))


@pytest.fixture
def stack():
    with ExitStack() as stack:
        yield stack


@pytest.fixture
def serve(stack):
    def make(answer):
        server = Server(answer)
        stack.callback(server.close)
        return server

    return make


def call(server, limits=LIMITS):
    return post(server.address, "/run", (("X-Test", "1"),), b"body", limits)


@pytest.mark.parametrize(
    "answer, status, body",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", 200, b"abc"),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 503, b""),
        (b"HTTP/1.1 204 None\r\n\r\n", 204, b""),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n",
            200,
            b"abc",
        ),
    ],
    ids=["length", "error status", "no content", "chunked"],
)
def test_a_complete_answer_is_returned(serve, answer, status, body):
    assert call(serve(answer)).unwrap() == (status, body)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc",
        b"garbage\r\n\r\n",
    ],
    ids=[
        "nothing",
        "truncated headers",
        "truncated body",
        "truncated chunks",
        "no declared end",
        "bad length",
        "garbage",
    ],
)
def test_an_incomplete_answer_is_broken_and_not_retried(serve, answer):
    """When the upstream crashes while it answers, the task has started; a retry would
    start it twice, and the partial body is not an answer.
    """
    server = serve(answer)
    assert call(server).failure() is ExchangeError.BROKEN
    assert server.accepted == 1


def test_a_refused_connection_is_reported_as_not_sent():
    assert (
        post(closed_port(), "/run", (), b"", LIMITS).failure() is ExchangeError.NOT_SENT
    )


def test_a_slow_answer_times_out(serve):
    server = serve(None)
    assert call(server, SHORT_TIMEOUT).failure() is ExchangeError.TIMEOUT
    assert server.accepted == 1


def test_a_server_that_does_not_accept_times_out_after_connecting(stack):
    listener = socket()
    stack.callback(listener.close)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    result = post(listener.getsockname(), "/run", (), b"", SHORT_TIMEOUT)
    assert result.failure() is ExchangeError.TIMEOUT


def test_an_oversized_answer_is_not_read(serve):
    server = serve(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n" + bytes(9999))
    assert call(server).failure() is ExchangeError.TOO_LARGE


def test_concurrent_requests_get_their_own_answers(serve):
    server = serve(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
    calls = [gevent.spawn(call, server) for _ in range(20)]
    gevent.joinall(calls, timeout=30)
    assert all(each.value.unwrap().body == b"abc" for each in calls)
