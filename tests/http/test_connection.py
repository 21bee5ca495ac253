"""Connections of clients over a pair of sockets."""

from contextlib import closing
from socket import socketpair

import gevent
import pytest

from gypsumspoke.core.clock import SteadyClock
from gypsumspoke.http.connection import ClientConnection
from gypsumspoke.http.values import Payload, ReadLimits

LARGE = bytes(10_000_000)


class Owner:
    """Gives each request to the test, which answers it."""

    kept_fields = frozenset()

    def __init__(self):
        self.clock = SteadyClock()
        self.requests = []

    def read_limits(self):
        return ReadLimits()

    def body_limit(self, head):
        return 0

    def on_held(self, change):
        pass

    def on_request(self, connection):
        self.requests.append(connection)

    def on_closed(self, connection):
        pass


@pytest.fixture
def owner():
    return Owner()


@pytest.fixture
def unread(owner):
    """A connection with an answer that its client doesn't read, and the writer."""
    client, server = socketpair()
    server.setblocking(False)
    connection = ClientConnection(server, ("client", 1), owner)
    with closing(client), closing(connection):
        client.sendall(b"GET / HTTP/1.1\r\n\r\n")
        with gevent.Timeout(5):
            while not owner.requests:
                gevent.sleep(0.001)
        writer = gevent.spawn(connection.write, Payload(LARGE), True)
        gevent.sleep(0.01)
        assert not writer.ready()
        yield connection, writer


def test_closing_ends_an_answer_that_is_not_read(unread):
    """The event loop still watched the closed descriptor, and aborts the process when
    another connection has got the descriptor and is closed, too.
    """
    connection, writer = unread
    connection.close()
    gevent.sleep(0.01)
    assert writer.ready()
