"""Ports that listen while a process is loading."""

from contextlib import ExitStack, closing
from datetime import timedelta

import gevent
import pytest

from gypsumspoke.shell.early_listeners import EarlyListeners
from gypsumspoke.shell.http_servers import open_http_server
from gypsumspoke.shell.keep_alive import KeepAliveClient, Request
from tests.standins.sockets import closed_port

BOUND = timedelta(seconds=5)


def answer(environ, start):
    start("200 OK", [("Content-Length", "4")])
    return [b"here"]


def test_who_connects_while_the_process_loads_is_served_later():
    """A caller connects before the server exists. Refused, it would come back more
    than a second later, with a job that is late by then; its connection waits instead.
    """
    address = closed_port()
    with closing(EarlyListeners([address])) as listeners, ExitStack() as stack:
        client = KeepAliveClient(address, BOUND, 1000)
        stack.enter_context(closing(client))
        asked = gevent.spawn(client.send, Request("GET", "/", {}), BOUND)
        gevent.sleep(0.05)
        assert not asked.ready()
        open_http_server(address, answer, listeners, stack)
        assert asked.get(timeout=5).unwrap().body == b"here"


def test_a_port_that_is_taken_is_reported_by_its_server():
    address = closed_port()
    with closing(EarlyListeners([address])), ExitStack() as stack:
        second = EarlyListeners([address])
        assert second.take(address) is None
        with pytest.raises(OSError):
            open_http_server(address, answer, second, stack)


def test_a_port_that_nobody_takes_is_closed():
    address = closed_port()
    EarlyListeners([address]).close()
    with closing(EarlyListeners([address])) as listeners:
        taken = listeners.take(address)
        assert taken.getsockname() == address
        taken.close()
