"""A disconnect of the caller is detected; pipelined bytes are not mistaken for one."""

import gevent
import pytest
from gevent.socket import socketpair

from gypsumspoke.shell.disconnects import watch_disconnect


@pytest.fixture
def pair():
    one, other = socketpair()
    yield one, other
    one.close()
    other.close()


def test_a_closed_connection_is_reported_once(pair):
    connection, caller = pair
    calls = []
    with watch_disconnect(connection, lambda: calls.append(True)):
        caller.close()
        gevent.sleep(0.05)
    assert calls == [True]


def test_bytes_of_a_pipelined_request_are_not_consumed(pair):
    connection, caller = pair
    calls = []
    with watch_disconnect(connection, lambda: calls.append(True)):
        caller.sendall(b"GET")
        gevent.sleep(0.05)
    assert calls == []
    assert connection.recv(10) == b"GET"


def test_a_disconnect_after_the_block_is_not_reported(pair):
    connection, caller = pair
    calls = []
    with watch_disconnect(connection, lambda: calls.append(True)):
        gevent.sleep(0)
    caller.close()
    gevent.sleep(0.05)
    assert calls == []
