"""Sockets that listen before their servers start."""

from contextlib import ExitStack, closing
from datetime import timedelta

import gevent
import pytest

from gypsumspoke.http.clients import ClientRegistry
from gypsumspoke.shell.early_listeners import EarlyListeners
from gypsumspoke.shell.http_servers import open_http_server
from gypsumspoke.shell.keep_alive import KeepAliveClient, Request
from tests.standins.sockets import closed_port

TIMEOUT = timedelta(seconds=5)


def answer(environ, start):
    start("200 OK", [("Content-Length", "4")])
    return [b"here"]


def test_a_connection_made_during_start_up_is_served_later():
    """A caller refused during start-up would retry too late for its job."""
    address = closed_port()
    with closing(EarlyListeners([address])) as listeners, ExitStack() as stack:
        client = KeepAliveClient(address, TIMEOUT, 1000)
        stack.enter_context(closing(client))
        response = gevent.spawn(client.send, Request("GET", "/", {}), TIMEOUT)
        gevent.sleep(0.05)
        assert not response.ready()
        open_http_server(address, answer, listeners, stack, ClientRegistry())
        assert response.get(timeout=5).unwrap().body == b"here"


def test_a_port_in_use_is_reported_by_its_server():
    address = closed_port()
    with closing(EarlyListeners([address])), ExitStack() as stack:
        second = EarlyListeners([address])
        assert second.take(address) is None
        with pytest.raises(OSError):
            open_http_server(address, answer, second, stack, ClientRegistry())


def test_a_port_that_no_server_takes_is_closed():
    address = closed_port()
    EarlyListeners([address]).close()
    with closing(EarlyListeners([address])) as listeners:
        taken = listeners.take(address)
        assert taken.getsockname() == address
        taken.close()
