"""A caller that leaves is noticed; one that sends more is not taken for gone."""

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


def test_a_closed_connection_is_noticed_once(pair):
    here, caller = pair
    left = []
    with watch_disconnect(here, lambda: left.append(True)):
        caller.close()
        gevent.sleep(0.05)
    assert left == [True]


def test_bytes_of_a_next_request_are_left_alone(pair):
    here, caller = pair
    left = []
    with watch_disconnect(here, lambda: left.append(True)):
        caller.sendall(b"GET")
        gevent.sleep(0.05)
    assert left == []
    assert here.recv(10) == b"GET"


def test_nothing_is_noticed_after_the_block(pair):
    here, caller = pair
    left = []
    with watch_disconnect(here, lambda: left.append(True)):
        gevent.sleep(0)
    caller.close()
    gevent.sleep(0.05)
    assert left == []
