"""Tests of peer connections over real sockets on one event loop."""

from contextlib import ExitStack
from datetime import datetime, timedelta, timezone

import gevent
import pytest
from gevent.queue import Queue
from gevent.socket import create_connection, socket

from gypsumspoke.core.clock import ManualClock, SystemClock
from gypsumspoke.core.events import PeerConnected, PeerLost, Received
from gypsumspoke.core.messages import ManifestUpdate, QueryJob
from gypsumspoke.core.values import JobKey, Member, Role
from gypsumspoke.wire import links
from gypsumspoke.wire.codec import encode
from gypsumspoke.wire.frames import HEARTBEAT_FRAME, MAX_FRAME_BYTES, frame
from gypsumspoke.wire.hello import PROTOCOL_VERSION, Hello
from gypsumspoke.wire.links import SILENCE_TIMEOUT, PeerLinks
from tests.standins.relay import Relay

HOST = "127.0.0.1"
TIMEOUT_SECONDS = 30
PARTITIONS = 64
START = datetime(2030, 1, 1, tzinfo=timezone.utc)
QUERY = QueryJob("r1", 3, JobKey("orchards", "invoice-7"))


class Process:
    """One process: its links, their port and their events."""

    def __init__(
        self, name, clock=None, version=PROTOCOL_VERSION, partitions=PARTITIONS
    ):
        self.name = name
        self.links = PeerLinks(
            Hello(version, name, name, partitions), clock or SystemClock()
        )
        self.port = self.links.listen(HOST, 0)
        self.events = Queue()
        self.links.start(self.events.put)

    def next_event(self, kind):
        """Return the next event of this kind, skipping others."""
        while True:
            event = self.events.get(timeout=TIMEOUT_SECONDS)
            if isinstance(event, kind):
                return event

    def set_peers(self, *processes, port=None):
        """Set the addresses of peers, or of one peer behind a relay's port."""
        self.links.set_addresses(
            [member(other.name, port or other.port) for other in processes]
        )


def member(incarnation, port, ended=None):
    return Member(
        incarnation, incarnation, Role.SIDECAR, HOST, port, "almaty-1", "rack-1",
        "estimates", 8, START, ended, 0,
    )  # fmt: skip


@pytest.fixture
def stack():
    with ExitStack() as stack:
        yield stack


@pytest.fixture
def process(stack):
    def make(name, **options):
        made = Process(name, **options)
        stack.callback(made.links.close)
        return made

    return make


def wait_until(condition):
    """Run the loop until the condition holds; fail after a timeout."""
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.01)


def connect_raw(stack, to, *frames):
    """Connect without a peer's protocol and send these bytes."""
    sock = create_connection((HOST, to.port))
    stack.callback(sock.close)
    sock.settimeout(TIMEOUT_SECONDS)
    for framed in frames:
        sock.sendall(framed)
    return sock


def read_to_end(sock):
    """Read until the other side closes; a timeout fails the test."""
    try:
        while sock.recv(65536):
            pass
    except ConnectionError:
        pass


def hello_frame(name="home", version=PROTOCOL_VERSION, partitions=PARTITIONS):
    return frame(encode(Hello(version, name, name, partitions))).unwrap()


def test_a_message_dials_and_the_answer_uses_the_same_connection(process):
    entry, home = process("entry"), process("home")
    entry.set_peers(home)
    assert entry.links.send("home", QUERY)
    assert home.next_event(Received) == Received("entry", QUERY)
    assert home.links.send("entry", QUERY)
    assert entry.next_event(Received) == Received("home", QUERY)
    assert home.links.connection_count("entry") == 1


def test_an_unknown_peer_is_not_reached(process):
    assert not process("entry").links.send("nobody", QUERY)


def test_both_sides_may_dial_at_once(process):
    left, right = process("left"), process("right")
    left.set_peers(right)
    right.set_peers(left)
    left.links.send("right", QUERY)
    right.links.send("left", QUERY)
    assert right.next_event(Received).sender == "left"
    assert left.next_event(Received).sender == "right"
    assert left.links.connection_count("right") <= 2
    assert right.links.connection_count("left") <= 2


def test_many_messages_arrive_complete_and_in_order(process):
    entry, home = process("entry"), process("home")
    entry.set_peers(home)
    sent = [ManifestUpdate(number, "x" * number) for number in range(2000)]
    for message in sent:
        assert entry.links.send("home", message)
    received = [home.next_event(Received).message for _ in sent]
    assert received == sent


def test_an_oversized_message_is_refused_by_its_sender(process):
    entry, home = process("entry"), process("home")
    entry.set_peers(home)
    assert not entry.links.send("home", ManifestUpdate(1, "x" * MAX_FRAME_BYTES))


def test_a_silent_connection_is_replaced(process, stack):
    """A connection that drops all data without an error is detected by both ends.

    Both miss the link heartbeats and report the peer lost, and a new connection opens.
    """
    entry, home = process("entry"), process("home")
    relay = Relay((HOST, home.port))
    stack.callback(relay.close)
    entry.set_peers(home, port=relay.address[1])
    entry.links.send("home", QUERY)
    home.next_event(Received)
    relay.stall_connections()
    assert entry.next_event(PeerLost) == PeerLost("home")
    assert home.next_event(PeerLost) == PeerLost("entry")
    assert entry.next_event(PeerConnected) == PeerConnected("home")
    entry.links.send("home", QUERY)
    assert home.next_event(Received) == Received("entry", QUERY)
    assert relay.accepted == 2


def test_the_silence_of_one_of_two_connections_is_reported(process, stack):
    """Both sides dialled, and one of the two connections goes silent.

    Unless its loss is reported, an entry waits until the deadline for the answer to a
    request that never arrived.
    """
    entry, home = process("entry"), process("home")
    relay = Relay((HOST, home.port))
    stack.callback(relay.close)
    entry.set_peers(home, port=relay.address[1])
    home.set_peers(entry)
    entry.links.send("home", QUERY)
    home.links.send("entry", QUERY)
    wait_until(lambda: entry.links.connection_count("home") == 2)
    wait_until(lambda: home.links.connection_count("entry") == 2)
    relay.stall_connections()
    for end, other in ((entry, "home"), (home, "entry")):
        assert end.next_event(PeerLost) == PeerLost(other)
        assert end.next_event(PeerConnected) == PeerConnected(other)
        assert end.links.connection_count(other) >= 1


def test_a_pause_of_the_process_closes_no_connections(process):
    """A process that resumes after a long pause must not close all its connections.

    They look silent, although the peers' heartbeats wait in the kernel.
    """
    clock = ManualClock(START)
    entry, home = process("entry", clock=clock), process("home")
    entry.set_peers(home)
    entry.links.send("home", QUERY)
    home.next_event(Received)
    entry.links._check_connections(clock.now())
    entry.links._check_connections(clock.advance(SILENCE_TIMEOUT * 10))
    assert entry.links.connection_count("home") == 1


def test_a_silent_connection_is_closed_after_the_timeout(process):
    clock = ManualClock(START)
    entry, home = process("entry", clock=clock), process("home")
    entry.set_peers(home)
    entry.links.send("home", QUERY)
    entry.next_event(PeerConnected)
    step = timedelta(seconds=0.5)
    for _ in range(SILENCE_TIMEOUT // step):
        entry.links._check_connections(clock.advance(step))
    assert entry.links.connection_count("home") == 0


@pytest.mark.parametrize(
    "options", [{"version": PROTOCOL_VERSION + 1}, {"partitions": PARTITIONS * 2}]
)
def test_an_incompatible_peer_is_refused_and_logged(process, caplog, options):
    entry, home = process("entry"), process("home", **options)
    entry.set_peers(home)
    entry.links.send("home", QUERY)
    assert entry.next_event(PeerLost) == PeerLost("home")
    wait_until(lambda: home.links.counts["refused_hellos"])
    assert any("peer refused" in line for line in caplog.messages)
    assert home.events.empty()


def test_a_message_never_reaches_another_incarnation(process):
    """A message for a previous incarnation must not reach the next one at its address.

    The new one would answer that it never saw a task that the old one had started.
    """
    entry, newer = process("entry"), process("home-2")
    entry.links.set_addresses([member("home-1", newer.port)])
    entry.links.send("home-1", QUERY)
    assert entry.next_event(PeerLost) == PeerLost("home-1")
    wait_until(lambda: newer.links.connection_count("entry") == 0)
    assert newer.links.counts["messages_received"] == 0


def test_a_refused_dial_is_reported_and_tried_again_later(process, stack):
    closed = socket()
    closed.bind((HOST, 0))
    port = closed.getsockname()[1]
    stack.callback(closed.close)
    entry = process("entry")
    entry.links.set_addresses([member("home", port)])
    assert entry.links.send("home", QUERY)
    assert entry.next_event(PeerLost) == PeerLost("home")
    closed.listen()
    wait_until(lambda: entry.links.send("home", QUERY))


@pytest.mark.parametrize(
    "bytes_sent",
    [
        (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        frame(b"\xff" * 50).unwrap(),
        frame(encode(QUERY)).unwrap(),
        hello_frame() + frame(encode(QUERY)[:-3]).unwrap(),
        hello_frame() + hello_frame(),
        hello_frame(version=PROTOCOL_VERSION + 1),
        hello_frame(name=""),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
    ids=[
        "oversized",
        "garbage",
        "message before hello",
        "truncated message",
        "second hello",
        "other version",
        "no name",
        "http",
    ],
)
def test_a_bad_frame_closes_only_its_connection(process, stack, bytes_sent):
    entry, home = process("entry"), process("home")
    entry.set_peers(home)
    entry.links.send("home", QUERY)
    home.next_event(Received)
    read_to_end(connect_raw(stack, home, bytes_sent))
    entry.links.send("home", QUERY)
    assert home.next_event(Received).sender == "entry"


def test_a_connection_without_hello_is_closed(process, stack):
    sock = connect_raw(stack, process("home"))

    def keep_alive():
        while True:
            sock.sendall(HEARTBEAT_FRAME)
            gevent.sleep(0.1)

    with pytest.raises(OSError):
        keep_alive()


def test_queued_messages_arrive_before_a_graceful_close(process):
    """Closing with unread bytes would reset the connection and drop sent answers."""
    entry, home = process("entry"), process("home")
    entry.set_peers(home)
    entry.links.send("home", QUERY)
    home.next_event(Received)
    last = [ManifestUpdate(number, "x" * 1000) for number in range(1000)]
    for message in last:
        home.links.send("entry", message)
    home.links.close()
    assert [entry.next_event(Received).message for _ in last] == last


def test_a_connection_that_is_not_needed_is_closed_at_both_ends(process):
    one, other = process("one"), process("other")
    one.set_peers(other)
    one.links.send("other", QUERY)
    other.next_event(Received)
    one.set_peers()
    one.links.disconnect("other")
    assert one.next_event(PeerLost) == PeerLost("other")
    assert other.next_event(PeerLost) == PeerLost("one")
    assert one.links.connection_count("other") == 0
    one.links.disconnect("other")


def test_an_ended_member_is_not_dialled(process):
    entry, home = process("entry"), process("home")
    entry.links.set_addresses([member("home", home.port, ended=START)])
    assert not entry.links.send("home", QUERY)


def test_connections_without_a_hello_make_room_for_peers(process, stack, monkeypatch):
    """Whoever only connects must not use up the descriptors that peers need."""
    monkeypatch.setattr(links, "MAX_UNIDENTIFIED", 3)
    target = process("home")
    for _ in range(5):
        connect_raw(stack, target)
    wait_until(lambda: target.links.counts["closed_unidentified"] == 2)
    assert target.links.open_connections == 3
    connect_raw(stack, target, hello_frame("entry"))
    wait_until(lambda: target.links.connection_count("entry") == 1)
