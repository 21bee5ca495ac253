"""Tests of dialling by address."""

import errno
from contextlib import closing

import gevent
import pytest
from gevent.socket import socket

from gypsumspoke.core.clock import SteadyClock
from gypsumspoke.core.events import PeerConnected, PeerLost, Received
from gypsumspoke.runs.messages import KnownEntries
from gypsumspoke.wire.dialler import Dialler
from gypsumspoke.wire.hello import PROTOCOL_VERSION, Hello
from gypsumspoke.wire.links import PeerLinks
from tests.standins.relay import Relay
from tests.standins.sockets import closed_port

TIMEOUT_SECONDS = 5


class Peer:
    """Links that record the events they report."""

    def __init__(self, name: str) -> None:
        self.events = []
        self.links = PeerLinks(Hello(PROTOCOL_VERSION, name, name, 4), SteadyClock())

    def start(self) -> None:
        self.links.start(self.events.append)

    def has(self, event) -> bool:
        return event in self.events

    def count(self, event_type) -> int:
        return sum(isinstance(event, event_type) for event in self.events)


def wait_until(holds) -> None:
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not holds():
            gevent.sleep(0.01)


@pytest.fixture
def dialling():
    peer = Peer("sidecar")
    dialler = Dialler(peer.links, SteadyClock())
    peer.start()
    dialler.start()
    with closing(peer.links), closing(dialler):
        yield peer, dialler


def test_a_process_restarted_at_its_address_is_found(dialling):
    """The sidecar redials the address and gets the new incarnation from the hello."""
    sidecar, dialler = dialling
    first = Peer("entry-1")
    port = first.links.listen("127.0.0.1", 0)
    first.start()
    dialler.set_addresses([("127.0.0.1", port)])
    wait_until(lambda: sidecar.has(PeerConnected("entry-1")))
    first.links.abort()
    first.links.close()
    second = Peer("entry-2")
    second.links.listen("127.0.0.1", port)
    second.start()
    wait_until(lambda: sidecar.has(PeerConnected("entry-2")))
    sidecar.links.send("entry-2", KnownEntries(("a:1",)))
    wait_until(lambda: second.has(Received("sidecar", KnownEntries(("a:1",)))))
    second.links.close()


def test_a_removed_address_is_not_dialled(dialling):
    sidecar, dialler = dialling
    entry = Peer("entry-1")
    port = entry.links.listen("127.0.0.1", 0)
    dialler.set_addresses([("127.0.0.1", port)])
    dialler.set_addresses([])
    entry.start()
    gevent.sleep(0.3)
    assert sidecar.events == []
    entry.links.close()


@pytest.fixture
def relayed(dialling):
    """A sidecar's links and dialler, and an entry behind a relay."""
    entry = Peer("entry-1")
    relay = Relay(("127.0.0.1", entry.links.listen("127.0.0.1", 0)))
    entry.start()
    sidecar, dialler = dialling
    dialler.set_addresses([relay.address])
    wait_until(lambda: sidecar.has(PeerConnected("entry-1")))
    with closing(entry.links), closing(relay):
        yield sidecar, dialler, entry, relay


def test_a_silent_connection_is_replaced_before_it_is_closed(relayed):
    """Waiting until a dead connection is closed outlasts the runs on it."""
    sidecar, dialler, entry, relay = relayed
    relay.stall_connections()
    sidecar.events.clear()
    dialler.replace("entry-1")
    wait_until(lambda: len(sidecar.events) == 2)
    assert list(map(type, sidecar.events)) == [PeerLost, PeerConnected]
    sidecar.links.send("entry-1", KnownEntries(("a:1",)))
    wait_until(lambda: entry.has(Received("sidecar", KnownEntries(("a:1",)))))
    assert sidecar.links.connection_count("entry-1") == 1
    assert relay.accepted == 2


def test_a_connection_can_be_replaced_again(relayed):
    sidecar, dialler, _, relay = relayed
    for number in (2, 3, 4):
        relay.stall_connections()
        dialler.replace("entry-1")
        wait_until(lambda: sidecar.count(PeerConnected) == number)
    gevent.sleep(0.3)
    assert relay.accepted == 4


def test_a_peer_that_answers_no_new_connection_keeps_the_present_one(relayed):
    """A paused or cut off peer may come back on the connection that it has."""
    sidecar, dialler, entry, relay = relayed
    sidecar.events.clear()
    relay.set_target(closed_port())
    dialler.replace("entry-1")
    gevent.sleep(0.3)
    assert sidecar.events == []
    sidecar.links.send("entry-1", KnownEntries(("a:1",)))
    wait_until(lambda: entry.has(Received("sidecar", KnownEntries(("a:1",)))))


def test_a_replaced_connection_that_closes_is_dialled_again(relayed):
    sidecar, dialler, entry, relay = relayed
    relay.stall_connections()
    dialler.replace("entry-1")
    wait_until(lambda: sidecar.count(PeerConnected) == 2)
    entry.links.disconnect("sidecar")
    wait_until(lambda: sidecar.count(PeerConnected) == 3)
    assert relay.accepted == 3


class CountingClock(SteadyClock):
    """A clock that counts how often it is read."""

    reads = 0

    def now(self):
        self.reads += 1
        return super().now()


def test_an_open_connection_is_not_polled():
    """Polling addresses that are connected would waste CPU in an idle process."""
    clock = CountingClock()
    sidecar, entry = Peer("sidecar"), Peer("entry-1")
    port = entry.links.listen("127.0.0.1", 0)
    dialler = Dialler(sidecar.links, clock)
    with closing(sidecar.links), closing(entry.links), closing(dialler):
        entry.start()
        sidecar.start()
        dialler.set_addresses([("127.0.0.1", port)])
        dialler.start()
        wait_until(lambda: sidecar.has(PeerConnected("entry-1")))
        clock.reads = 0
        gevent.sleep(0.3)
        assert clock.reads == 0


def test_an_address_is_redialled_after_running_out_of_descriptors(
    dialling, monkeypatch
):
    """An error while creating the socket must not end the dialling."""
    sidecar, dialler = dialling
    errors = [OSError(errno.EMFILE, "too many open files")]

    def make(*args):
        if errors:
            raise errors.pop()
        return socket(*args)

    monkeypatch.setattr("gypsumspoke.wire.dialler.socket", make)
    entry = Peer("entry-1")
    port = entry.links.listen("127.0.0.1", 0)
    entry.start()
    dialler.set_addresses([("127.0.0.1", port)])
    wait_until(lambda: sidecar.has(PeerConnected("entry-1")))
    assert not errors
    entry.links.close()
