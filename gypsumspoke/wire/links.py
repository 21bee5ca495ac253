"""Manages the connections to all peers and routes messages to them.

A message is sent over the newest open connection to its peer, whichever side dialled
it; without one the peer is dialled. Neither order nor delivery is guaranteed, and the
reducers retry. Two things are guaranteed: a connection that no longer carries data is
closed after its silence timeout and replaced, and a message reaches no incarnation
other than the one it is addressed to.
"""

import logging
import random
import socket as standard_socket
from collections import Counter, deque
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

import gevent
from gevent.socket import socket
from returns.pipeline import is_successful

from gypsumspoke.core.clock import Clock
from gypsumspoke.core.events import PeerConnected, PeerLost, Received
from gypsumspoke.core.messages import Message
from gypsumspoke.core.values import Member
from gypsumspoke.wire.codec import decode, encode
from gypsumspoke.wire.connection import (
    MAX_QUEUED_BYTES,
    Connection,
    ConnectionHandlers,
)
from gypsumspoke.wire.frames import frame
from gypsumspoke.wire.hello import Hello, check_hello

SILENCE_TIMEOUT = timedelta(seconds=1.5)
HEARTBEAT_INTERVAL = timedelta(seconds=0.5)
HELLO_TIMEOUT = timedelta(seconds=1.5)
MAX_CONNECTIONS = 8192
# Accepted connections without a hello. With more of them the oldest is closed: a peer
# sends its hello at once.
MAX_UNIDENTIFIED = 512

_CHECK_INTERVAL = timedelta(seconds=0.25)
_MAX_CHECK_INTERVAL = timedelta(seconds=0.75)
_CONNECT_TIMEOUT_SECONDS = 1.0
_FINISH_TIMEOUT_SECONDS = 1.0
_ACCEPT_RETRY_DELAY_SECONDS = 0.1
_BACKLOG = 512
_MIN_BACKOFF = timedelta(seconds=0.1)
_MAX_BACKOFF = timedelta(seconds=2)

LinkEvent = Received | PeerConnected | PeerLost

_log = logging.getLogger(__name__)


class _Peer:
    """State of one peer: its address, connections, queued frames and backoff."""

    def __init__(self) -> None:
        self.address: tuple[str, int] | None = None
        self.connections: list[Connection] = []
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dialling = False
        self.retry_at: datetime | None = None
        self.backoff = _MIN_BACKOFF

    def add_pending(self, framed: bytes) -> bool:
        """Queue a frame until connected; return False when the queue is full."""
        if self.pending_bytes + len(framed) > MAX_QUEUED_BYTES:
            return False
        self.pending.append(framed)
        self.pending_bytes += len(framed)
        return True

    def pop_pending(self) -> list[bytes]:
        """Remove and return the queued frames."""
        frames = list(self.pending)
        self.pending.clear()
        self.pending_bytes = 0
        return frames


class PeerLinks:
    """All connections of one process to its peers.

    Args:
      hello: this process's hello, sent first on each connection.
      clock: source of time.
      seed: seed of the reconnect jitter.
      silence_timeout: a connection that receives nothing for this long is closed.
    """

    def __init__(
        self,
        hello: Hello,
        clock: Clock,
        seed: int = 0,
        silence_timeout: timedelta = SILENCE_TIMEOUT,
    ) -> None:
        self._silence_timeout = silence_timeout
        self._hello = hello
        self._clock = clock
        self._random = random.Random(seed)
        self._on_event: Callable[[LinkEvent], None] = lambda event: None
        self._listener: socket | None = None
        self._greenlets: list[gevent.Greenlet] = []
        self._peers: dict[str, _Peer] = {}
        self._connections: set[Connection] = set()
        # Accepted connections without a hello, oldest first.
        self._unidentified: dict[Connection, None] = {}
        self._handlers = ConnectionHandlers(self._on_payload, self._on_closed)
        self._last_check = clock.now()
        self._closing = False
        self._counts: Counter[str] = Counter()

    @property
    def incarnation(self) -> str:
        """This process's incarnation."""
        return self._hello.incarnation

    @property
    def counts(self) -> Counter[str]:
        """Counters of messages, bytes, drops, refusals and closed connections."""
        return self._counts

    @property
    def open_connections(self) -> int:
        """Number of open connections to all peers."""
        return len(self._connections)

    def connection_count(self, incarnation: str) -> int:
        """Return the number of open connections to a peer."""
        peer = self._peers.get(incarnation)
        return len(peer.connections) if peer else 0

    def listen(self, host: str, port: int, listener: socket | None = None) -> int:
        """Listen for peers; connections are accepted after ``start``.

        Args:
          host: IP address.
          port: TCP port; 0 for any free one.
          listener: socket that is listening already, used instead of a new one.

        Returns:
          The bound port.

        Raises:
          OSError: the address can't be bound.
        """
        self._listener = listener or _listen(host, port)
        return self._listener.getsockname()[1]

    def start(self, on_event: Callable[[LinkEvent], None]) -> None:
        """Start accepting and monitoring connections.

        Args:
          on_event: called for each message and each change of a peer's connections;
            must not block.
        """
        self._on_event = on_event
        self._last_check = self._clock.now()
        self._greenlets.append(gevent.spawn(self._check_periodically))
        if self._listener is not None:
            self._greenlets.append(gevent.spawn(self._accept))

    def close(self) -> None:
        """Stop accepting, then close each connection after its queue is sent."""
        self._closing = True
        gevent.killall(self._greenlets)
        if self._listener is not None:
            self._listener.close()
        finishing = [
            gevent.spawn(connection.finish, _FINISH_TIMEOUT_SECONDS)
            for connection in list(self._connections)
        ]
        gevent.joinall(finishing)

    def abort(self) -> None:
        """Close all connections immediately; queued messages are lost."""
        self._closing = True
        for connection in list(self._connections):
            connection.close("aborted")

    def disconnect(self, incarnation: str) -> None:
        """Close all connections to a peer; queued messages are lost."""
        peer = self._peers.get(incarnation)
        for connection in list(peer.connections) if peer else ():
            connection.close("not needed")

    def set_addresses(self, members: Iterable[Member]) -> None:
        """Set the addresses of all peers that may be dialled.

        Args:
          members: all known members; ended ones are no longer dialled, but their open
            connections are kept.
        """
        addresses = {
            member.incarnation: (member.host, member.port)
            for member in members
            if member.ended is None and member.incarnation != self.incarnation
        }
        for incarnation in addresses:
            self._peers.setdefault(incarnation, _Peer())
        for incarnation, peer in list(self._peers.items()):
            peer.address = addresses.get(incarnation)
            self._forget_if_unused(incarnation)

    def send(self, to: str, message: Message) -> bool:
        """Send a message over the newest open connection, dialling if there is none.

        Args:
          to: incarnation of the peer.
          message: any message of ``core/messages.py`` or ``runs/messages.py``.

        Returns:
          False when the message is dropped: no address, a full queue, a dial that
          failed recently, or a message over ``MAX_FRAME_BYTES``. True doesn't guarantee
          delivery.
        """
        result = frame(encode(message))
        if not is_successful(result):
            self._counts["dropped_too_large"] += 1
            _log_event(logging.ERROR, "message too large", to, result.failure())
            return False
        framed = result.unwrap()
        if not self._send_frame(to, framed):
            self._counts["messages_dropped"] += 1
            return False
        self._counts["messages_sent"] += 1
        self._counts["bytes_sent"] += len(framed)
        return True

    def _send_frame(self, to: str, framed: bytes) -> bool:
        peer = self._peers.get(to)
        if peer is None:
            return False
        if peer.connections:
            return peer.connections[-1].send(framed)
        if not peer.dialling and not self._dial(to, peer):
            return False
        return peer.add_pending(framed)

    # Dialling

    def _dial(self, incarnation: str, peer: _Peer) -> bool:
        """Start dialling; return False without an address or before the retry time."""
        if peer.address is None or peer.dialling or self._closing:
            return False
        if peer.retry_at is not None and self._clock.now() < peer.retry_at:
            return False
        peer.dialling = True
        gevent.spawn(self._connect, incarnation, peer.address)
        return True

    def _connect(self, incarnation: str, address: tuple[str, int]) -> None:
        sock = socket(standard_socket.AF_INET, standard_socket.SOCK_STREAM)
        sock.settimeout(_CONNECT_TIMEOUT_SECONDS)
        try:
            sock.connect(address)
        except OSError as error:
            sock.close()
            self._on_dial_failed(incarnation, str(error))
            return
        if self._closing:
            sock.close()
            return
        sock.settimeout(None)
        self._open(sock, incarnation)

    def _on_dial_failed(self, incarnation: str, reason: str) -> None:
        peer = self._peers.get(incarnation)
        if peer is None:
            return
        peer.dialling = False
        # Only the first of several failures is logged at INFO; all are counted.
        is_first = peer.backoff == _MIN_BACKOFF
        jitter = self._random.uniform(0.5, 1.0)
        peer.retry_at = self._clock.now() + peer.backoff * jitter
        peer.backoff = min(peer.backoff * 2, _MAX_BACKOFF)
        self._counts["dials_failed"] += 1
        _log_event(
            logging.INFO if is_first else logging.DEBUG,
            "dial failed",
            incarnation,
            reason,
        )
        if peer.pop_pending() and not peer.connections:
            self._on_event(PeerLost(incarnation))
        self._forget_if_unused(incarnation)

    # Accepting

    def _accept(self) -> None:
        while not self._closing:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                # For example out of file descriptors. Without the delay the loop would
                # spin; pending connections stay in the backlog.
                _log_event(logging.ERROR, "accept failed", None, str(error))
                gevent.sleep(_ACCEPT_RETRY_DELAY_SECONDS)
                continue
            if len(self._connections) >= MAX_CONNECTIONS:
                self._counts["refused_too_many_connections"] += 1
                sock.close()
                continue
            self._open(sock, None)
            self._close_unidentified()

    def _close_unidentified(self) -> None:
        """Close the oldest accepted connection without a hello if there are many."""
        if len(self._unidentified) > MAX_UNIDENTIFIED:
            self._counts["closed_unidentified"] += 1
            next(iter(self._unidentified)).close("too many without a hello")

    def adopt(self, sock: socket) -> Connection:
        """Add a connected socket whose peer is not known yet.

        Args:
          sock: connected socket; owned and closed by this object.
        """
        return self._open(sock, None)

    def _open(self, sock: socket, dialled: str | None) -> Connection:
        connection = Connection(sock, dialled, self._clock, self._handlers)
        self._connections.add(connection)
        if dialled is None:
            self._unidentified[connection] = None
        connection.send(frame(encode(self._hello)).unwrap())
        connection.start()
        return connection

    # Connection callbacks

    def _on_payload(self, connection: Connection, payload: bytes) -> str:
        """Handle one payload; return why the connection must be closed, or ""."""
        decoded = decode(payload)
        if not is_successful(decoded):
            self._counts["refused_frames"] += 1
            return decoded.failure()
        message = decoded.unwrap()
        if isinstance(message, Hello):
            return self._on_hello(connection, message)
        if connection.peer is None:
            return "message before hello"
        self._counts["messages_received"] += 1
        self._on_event(Received(connection.peer.incarnation, message))
        return ""

    def _on_hello(self, connection: Connection, hello: Hello) -> str:
        if connection.peer is not None:
            return "second hello"
        checked = check_hello(self._hello, hello, connection.dialled)
        if not is_successful(checked):
            self._counts["refused_hellos"] += 1
            _log_event(
                logging.WARNING, "peer refused", hello.incarnation, checked.failure()
            )
            return checked.failure()
        connection.accept_peer(hello)
        self._unidentified.pop(connection, None)
        self._add_to_peer(connection, hello.incarnation)
        return ""

    def _add_to_peer(self, connection: Connection, incarnation: str) -> None:
        """Make this the newest connection of its peer."""
        peer = self._peers.setdefault(incarnation, _Peer())
        was_connected = bool(peer.connections)
        # A peer dials only without an open connection, or to replace a silent one. So a
        # second connection dialled by the same side means that the older one is closed
        # at the other end or carries nothing, and there are never more than two.
        replaced = [
            older
            for older in peer.connections
            if (older.dialled is None) == (connection.dialled is None)
        ]
        peer.connections.append(connection)
        if connection.dialled is not None:
            peer.dialling = False
        peer.backoff = _MIN_BACKOFF
        peer.retry_at = self._clock.now() + _MIN_BACKOFF
        for older in replaced:
            older.close("replaced")
        for framed in peer.pop_pending():
            connection.send(framed)
        if not was_connected:
            self._on_event(PeerConnected(incarnation))

    def _on_closed(self, connection: Connection, reason: str) -> None:
        self._connections.discard(connection)
        self._unidentified.pop(connection, None)
        name = connection.peer.incarnation if connection.peer else connection.dialled
        # Whatever connects without being a peer must not fill the log.
        level = logging.DEBUG if name is None else logging.INFO
        _log_event(level, "connection closed", name, reason)
        if connection.peer is not None:
            self._remove_from_peer(connection, connection.peer.incarnation)
        elif connection.dialled is not None:
            self._on_dial_failed(connection.dialled, reason)

    def _remove_from_peer(self, connection: Connection, incarnation: str) -> None:
        peer = self._peers[incarnation]
        peer.connections.remove(connection)
        # Messages in flight on this connection may be lost even if another connection
        # is open. Reporting the loss makes the sender resend them instead of waiting
        # for their deadline.
        self._on_event(PeerLost(incarnation))
        if peer.connections:
            self._on_event(PeerConnected(incarnation))
            return
        self._dial(incarnation, peer)
        self._forget_if_unused(incarnation)

    def _forget_if_unused(self, incarnation: str) -> None:
        """Remove a peer that has no address and no connection, to bound the table."""
        peer = self._peers[incarnation]
        if peer.address is None and not peer.connections and not peer.dialling:
            del self._peers[incarnation]

    # Monitoring

    def _check_periodically(self) -> None:
        while True:
            gevent.sleep(_CHECK_INTERVAL.total_seconds())
            self._check_connections(self._clock.now())

    def _check_connections(self, now: datetime) -> None:
        """Close silent connections and send heartbeats on idle ones.

        After a pause of this process or a clock change every connection looks silent,
        although received data may wait in the kernel. A late check reveals this, and
        silence is then measured from now on instead of closing all connections.
        """
        since_last_check = now - self._last_check
        self._last_check = now
        was_paused = not timedelta(0) <= since_last_check <= _MAX_CHECK_INTERVAL
        for connection in list(self._connections):
            if was_paused:
                connection.reset_last_heard(now)
            self._check_connection(connection, now)

    def _check_connection(self, connection: Connection, now: datetime) -> None:
        if now - connection.last_heard >= self._silence_timeout:
            self._counts["closed_silent"] += 1
            connection.close("silent")
        elif connection.peer is None and now - connection.opened >= HELLO_TIMEOUT:
            connection.close("no hello")
        elif not timedelta(0) <= now - connection.last_sent < HEARTBEAT_INTERVAL:
            connection.send_heartbeat()


def _listen(host: str, port: int) -> socket:
    listener = socket(standard_socket.AF_INET, standard_socket.SOCK_STREAM)
    listener.setsockopt(standard_socket.SOL_SOCKET, standard_socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def _log_event(level: int, event: str, peer: str | None, reason: str) -> None:
    """Write a log line in the format of ``shell/logs.py``."""
    _log.log(level, {"message": event, "details": {"peer": peer, "reason": reason}})
