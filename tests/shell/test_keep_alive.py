"""Persistent connections are reused safely, and requests are never sent twice."""

from contextlib import closing
from datetime import timedelta

import gevent
import pytest
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer
from returns.pipeline import is_successful

from gypsumspoke.shell.http_exchange import ExchangeError
from gypsumspoke.shell.keep_alive import KeepAliveClient, Request, success
from tests.standins.relay import Relay
from tests.standins.sockets import Server, closed_port

SECOND = timedelta(seconds=1)
REQUEST = Request("POST", "/x", {"Content-Type": "application/json"}, b"{}")


@pytest.fixture
def server():
    client_ports = []

    def application(environ, start_response):
        client_ports.append(environ["REMOTE_PORT"])
        if environ["PATH_INFO"] == "/slow":
            gevent.sleep(5)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    serving = WSGIServer(("127.0.0.1", 0), application, log=None)
    serving.client_ports = client_ports
    serving.start()
    yield serving
    serving.stop(timeout=0)


def client_of(address, max_answer_bytes=1000):
    return KeepAliveClient(address, SECOND, max_answer_bytes)


def test_requests_share_a_connection(server):
    client = client_of(server.address)
    for _ in range(3):
        assert client.send(REQUEST, SECOND).unwrap().body == b"ok"
    assert len(set(server.client_ports)) == 1


def test_a_connection_is_not_reused_after_a_timeout(server):
    client = client_of(server.address)
    slow = REQUEST._replace(path="/slow")
    timeout = timedelta(milliseconds=50)
    assert client.send(slow, timeout).failure() is ExchangeError.TIMEOUT
    assert client.send(REQUEST, SECOND).unwrap().body == b"ok"
    assert len(set(server.client_ports)) == 2


@pytest.fixture
def relay(server):
    relay = Relay(server.address)
    yield relay
    relay.close()


def test_one_request_finds_that_all_idle_connections_are_silent(relay):
    """Requests must not try one dead connection after another."""
    client = client_of(relay.address)
    calls = [gevent.spawn(client.send, REQUEST, SECOND) for _ in range(3)]
    assert all(is_successful(call.get()) for call in calls)
    assert relay.accepted == 3
    relay.stall_connections()
    timeout = timedelta(milliseconds=50)
    assert client.send(REQUEST, timeout).failure() is ExchangeError.TIMEOUT
    assert client.send(REQUEST, SECOND).unwrap().body == b"ok"


def test_a_connection_that_answered_during_a_timeout_is_kept(server):
    """A slow request says nothing of connections that worked meanwhile."""
    client = client_of(server.address)
    slow = REQUEST._replace(path="/slow")
    timeout = timedelta(milliseconds=200)
    calls = [gevent.spawn(client.send, each, timeout) for each in (slow, REQUEST)]
    assert is_successful(calls[1].get())
    assert calls[0].get().failure() is ExchangeError.TIMEOUT
    assert client.send(REQUEST, SECOND).unwrap().body == b"ok"
    assert len(set(server.client_ports)) == 2


def test_a_refused_connection_is_reported_as_not_sent():
    answer = client_of(closed_port()).send(REQUEST, SECOND)
    assert answer.failure() is ExchangeError.NOT_SENT


def test_a_connection_closed_without_an_answer_is_not_retried():
    server = Server(b"")
    answer = client_of(server.address).send(REQUEST, SECOND)
    assert answer.failure() is ExchangeError.BROKEN
    assert server.accepted == 1
    server.close()


def test_a_closed_idle_connection_is_replaced_before_the_request():
    """If the close were detected only after sending, the outcome of the request would
    be unknown.
    """
    body = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    server = Server(body)
    client = client_of(server.address)
    assert is_successful(client.send(REQUEST, SECOND))
    gevent.sleep(0.05)
    assert is_successful(client.send(REQUEST, SECOND))
    assert server.accepted == 2
    server.close()


def test_a_body_over_the_size_limit_is_refused(server):
    answer = client_of(server.address, max_answer_bytes=1).send(REQUEST, SECOND)
    assert answer.failure() is ExchangeError.TOO_LARGE


def test_only_a_2xx_status_counts_as_success():
    server = Server(b"HTTP/1.1 503 No\r\nContent-Length: 4\r\n\r\nbusy")
    answer = success(client_of(server.address).send(REQUEST, SECOND))
    assert "503" in answer.failure()
    assert "busy" in answer.failure()
    server.close()


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\n\r\ntruncated",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
        b"no HTTP at all\r\n\r\n",
    ],
    ids=["no declared end", "short", "short chunk", "other protocol"],
)
def test_an_incomplete_or_malformed_response_is_no_answer(response):
    server = Server(response)
    answer = client_of(server.address).send(REQUEST, SECOND)
    assert answer.failure() is ExchangeError.BROKEN
    server.close()


def test_an_interim_response_is_followed_by_the_answer():
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    server = Server(interim + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert client_of(server.address).send(REQUEST, SECOND).unwrap().body == b"ok"
    server.close()


def test_a_connection_that_sends_a_second_response_is_not_reused():
    """The second one would be taken for the answer to the next request."""
    once = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    server = Server(once + once)
    client = client_of(server.address)
    assert client.send(REQUEST, SECOND).unwrap().body == b"ok"
    assert client.send(REQUEST, SECOND).unwrap().body == b"ok"
    assert server.accepted == 2
    server.close()


def test_a_response_in_many_pieces_is_put_together():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"

    def serve(sock, _):
        sock.recv(1000)
        for byte in response:
            sock.sendall(bytes([byte]))
            gevent.sleep(0.001)

    with closing(StreamServer(("127.0.0.1", 0), serve)) as server:
        server.start()
        client = client_of(server.address)
        assert client.send(REQUEST, SECOND).unwrap().body == b"0123456789"
