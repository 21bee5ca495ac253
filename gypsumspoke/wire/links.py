"""Connections to all peers: who is dialled, over which connection a message goes.

A message to a peer goes over the newest live connection, whoever dialled it; without
one the peer is dialled. Nothing is promised about order or delivery: each message says
what it speaks of, and the reducers ask again. What is promised is that a connection
which no longer carries bytes is found and replaced within about two seconds, and that a
message only reaches the incarnation that it is meant for.
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

SILENCE_LIMIT = timedelta(seconds=1.5)
HEARTBEAT_INTERVAL = timedelta(seconds=0.5)
HELLO_LIMIT = timedelta(seconds=1.5)
MAX_CONNECTIONS = 8192

_ROUND = timedelta(seconds=0.25)
_ROUND_IS_LATE = timedelta(seconds=0.75)
_CONNECT_SECONDS = 1.0
_FINISH_SECONDS = 1.0
_ACCEPT_PAUSE_SECONDS = 0.1
_BACKLOG = 512
_FIRST_BACKOFF = timedelta(seconds=0.1)
_LAST_BACKOFF = timedelta(seconds=2)

LinkEvent = Received | PeerConnected | PeerLost

_log = logging.getLogger(__name__)


class _Peer:
    """What is kept for one incarnation: at most one connection dialled by each side."""

    def __init__(self) -> None:
        self.address: tuple[str, int] | None = None
        self.connections: list[Connection] = []
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dialling = False
        self.retry_at: datetime | None = None
        self.backoff = _FIRST_BACKOFF

    def keep_until_connected(self, framed: bytes) -> bool:
        """Queue a frame for the connection that is being made, within the bound."""
        if self.pending_bytes + len(framed) > MAX_QUEUED_BYTES:
            return False
        self.pending.append(framed)
        self.pending_bytes += len(framed)
        return True

    def take_pending(self) -> list[bytes]:
        """Return and forget the queued frames."""
        frames = list(self.pending)
        self.pending.clear()
        self.pending_bytes = 0
        return frames


class PeerLinks:
    """All connections of one process to its peers.

    Args:
      hello: what this process says of itself on each connection.
      clock: source of time.
      seed: for the jitter of reconnects.
      silence_limit: a connection on which nothing came for this long is closed.
    """

    def __init__(
        self,
        hello: Hello,
        clock: Clock,
        seed: int = 0,
        silence_limit: timedelta = SILENCE_LIMIT,
    ) -> None:
        self._silence_limit = silence_limit
        self._hello = hello
        self._clock = clock
        self._random = random.Random(seed)
        self._on_event: Callable[[LinkEvent], None] = lambda event: None
        self._listener: socket | None = None
        self._greenlets: list[gevent.Greenlet] = []
        self._peers: dict[str, _Peer] = {}
        self._connections: set[Connection] = set()
        self._handlers = ConnectionHandlers(self._take_payload, self._take_end)
        self._last_round = clock.now()
        self._closing = False
        self._counts: Counter[str] = Counter()

    @property
    def incarnation(self) -> str:
        """This process's incarnation."""
        return self._hello.incarnation

    @property
    def counts(self) -> Counter[str]:
        """How often each thing happened: messages and bytes out, drops, refusals."""
        return self._counts

    def connection_count(self, incarnation: str) -> int:
        """Return how many live connections there are with a peer."""
        peer = self._peers.get(incarnation)
        return len(peer.connections) if peer else 0

    def listen(self, host: str, port: int, listener: socket | None = None) -> int:
        """Bind the port for peers; connections are accepted after ``start``.

        Args:
          host: IP number.
          port: TCP port; 0 for any free one.
          listener: a socket that listens there already, if there is one.

        Returns:
          The bound port.

        Raises:
          OSError: the address can't be bound.
        """
        self._listener = listener or _listen(host, port)
        return self._listener.getsockname()[1]

    def start(self, on_event: Callable[[LinkEvent], None]) -> None:
        """Begin to accept connections and to watch them.

        Args:
          on_event: called for each message and each change; must not block.
        """
        self._on_event = on_event
        self._last_round = self._clock.now()
        self._greenlets.append(gevent.spawn(self._watch))
        if self._listener is not None:
            self._greenlets.append(gevent.spawn(self._accept))

    def close(self) -> None:
        """Stop accepting, let what is queued reach the peers, and close."""
        self._closing = True
        gevent.killall(self._greenlets)
        if self._listener is not None:
            self._listener.close()
        endings = [
            gevent.spawn(connection.finish, _FINISH_SECONDS)
            for connection in list(self._connections)
        ]
        gevent.joinall(endings)

    def abort(self) -> None:
        """Drop all connections at once; what is queued is lost."""
        self._closing = True
        for connection in list(self._connections):
            connection.close("aborted")

    def set_addresses(self, members: Iterable[Member]) -> None:
        """Take the addresses of all peers that may be dialled.

        Args:
          members: all known members; ended ones are no longer dialled, but a
            connection that one of them holds stays.
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
        """Send a message over the newest live connection, dialling without one.

        Args:
          to: incarnation of the peer.
          message: any message of ``core/messages.py``.

        Returns:
          False when it is lost already: no address, a full queue, a failed dial a
          moment ago, or a message over the frame bound. True promises nothing.
        """
        framed = frame(encode(message))
        if not is_successful(framed):
            self._counts["dropped_too_large"] += 1
            _note(logging.ERROR, "message too large", to, framed.failure())
            return False
        sent = self._send_frame(to, framed.unwrap())
        self._counts["messages_sent" if sent else "messages_dropped"] += 1
        self._counts["bytes_sent"] += len(framed.unwrap()) if sent else 0
        return sent

    def _send_frame(self, to: str, framed: bytes) -> bool:
        peer = self._peers.get(to)
        if peer is None:
            return False
        if peer.connections:
            return peer.connections[-1].send(framed)
        if not peer.dialling and not self._dial(to, peer):
            return False
        return peer.keep_until_connected(framed)

    # Dialling

    def _dial(self, incarnation: str, peer: _Peer) -> bool:
        """Begin to dial; return False when there is no address or it is too soon."""
        if peer.address is None or peer.dialling or self._closing:
            return False
        if peer.retry_at is not None and self._clock.now() < peer.retry_at:
            return False
        peer.dialling = True
        gevent.spawn(self._connect, incarnation, peer.address)
        return True

    def _connect(self, incarnation: str, address: tuple[str, int]) -> None:
        sock = socket(standard_socket.AF_INET, standard_socket.SOCK_STREAM)
        sock.settimeout(_CONNECT_SECONDS)
        try:
            sock.connect(address)
        except OSError as error:
            sock.close()
            self._take_failed_dial(incarnation, str(error))
            return
        if self._closing:
            sock.close()
            return
        sock.settimeout(None)
        self._open(sock, incarnation)

    def _take_failed_dial(self, incarnation: str, reason: str) -> None:
        peer = self._peers.get(incarnation)
        if peer is None:
            return
        peer.dialling = False
        # Each further failure says the same; the counter tells how many there are.
        is_first = peer.backoff == _FIRST_BACKOFF
        jitter = self._random.uniform(0.5, 1.0)
        peer.retry_at = self._clock.now() + peer.backoff * jitter
        peer.backoff = min(peer.backoff * 2, _LAST_BACKOFF)
        self._counts["dials_failed"] += 1
        _note(
            logging.INFO if is_first else logging.DEBUG,
            "dial failed",
            incarnation,
            reason,
        )
        if peer.take_pending() and not peer.connections:
            self._on_event(PeerLost(incarnation))
        self._forget_if_unused(incarnation)

    # Accepting

    def _accept(self) -> None:
        while not self._closing:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                # Out of descriptors, for one. Without the pause the loop would spin
                # and nothing else would run; waiting callers stay in the backlog.
                _note(logging.ERROR, "accept failed", None, str(error))
                gevent.sleep(_ACCEPT_PAUSE_SECONDS)
                continue
            if len(self._connections) >= MAX_CONNECTIONS:
                self._counts["refused_too_many_connections"] += 1
                sock.close()
                continue
            self._open(sock, None)

    def adopt(self, sock: socket) -> Connection:
        """Take a connected socket whose peer is not known yet.

        Args:
          sock: connected socket, closed with the links.
        """
        return self._open(sock, None)

    def _open(self, sock: socket, dialled: str | None) -> Connection:
        connection = Connection(sock, dialled, self._clock, self._handlers)
        self._connections.add(connection)
        connection.send(frame(encode(self._hello)).unwrap())
        connection.start()
        return connection

    # What connections report

    def _take_payload(self, connection: Connection, payload: bytes) -> str:
        """Handle one payload; return why the connection must end, or an empty text."""
        decoded = decode(payload)
        if not is_successful(decoded):
            self._counts["refused_frames"] += 1
            return decoded.failure()
        message = decoded.unwrap()
        if isinstance(message, Hello):
            return self._take_hello(connection, message)
        if connection.peer is None:
            return "message before hello"
        self._counts["messages_received"] += 1
        self._on_event(Received(connection.peer.incarnation, message))
        return ""

    def _take_hello(self, connection: Connection, hello: Hello) -> str:
        if connection.peer is not None:
            return "second hello"
        checked = check_hello(self._hello, hello, connection.dialled)
        if not is_successful(checked):
            self._counts["refused_hellos"] += 1
            _note(logging.WARNING, "peer refused", hello.incarnation, checked.failure())
            return checked.failure()
        connection.accept_peer(hello)
        self._add_to_peer(connection, hello.incarnation)
        return ""

    def _add_to_peer(self, connection: Connection, incarnation: str) -> None:
        """Make this the newest connection of its peer."""
        peer = self._peers.setdefault(incarnation, _Peer())
        was_connected = bool(peer.connections)
        # A peer dials only when it has no live connection. So a second one dialled by
        # the same side means that this side's older one is dead at the other end, and
        # there are never more than two.
        replaced = [
            older
            for older in peer.connections
            if (older.dialled is None) == (connection.dialled is None)
        ]
        peer.connections.append(connection)
        if connection.dialled is not None:
            peer.dialling = False
        peer.backoff = _FIRST_BACKOFF
        peer.retry_at = self._clock.now() + _FIRST_BACKOFF
        for older in replaced:
            older.close("replaced")
        for framed in peer.take_pending():
            connection.send(framed)
        if not was_connected:
            self._on_event(PeerConnected(incarnation))

    def _take_end(self, connection: Connection, reason: str) -> None:
        self._connections.discard(connection)
        name = connection.peer.incarnation if connection.peer else connection.dialled
        _note(logging.INFO, "connection closed", name, reason)
        if connection.peer is not None:
            self._remove_from_peer(connection, connection.peer.incarnation)
        elif connection.dialled is not None:
            self._take_failed_dial(connection.dialled, reason)

    def _remove_from_peer(self, connection: Connection, incarnation: str) -> None:
        peer = self._peers[incarnation]
        peer.connections.remove(connection)
        # Messages under way on this connection may be lost though another one works,
        # as when both sides dialled or the peer has replaced a silent one. Kept
        # quiet, a caller's copy would wait for its deadline; reported, it is resent.
        self._on_event(PeerLost(incarnation))
        if peer.connections:
            self._on_event(PeerConnected(incarnation))
            return
        self._dial(incarnation, peer)
        self._forget_if_unused(incarnation)

    def _forget_if_unused(self, incarnation: str) -> None:
        """Drop a peer that has no address and no connection, to bound the table."""
        peer = self._peers[incarnation]
        if peer.address is None and not peer.connections and not peer.dialling:
            del self._peers[incarnation]

    # Silence

    def _watch(self) -> None:
        while True:
            gevent.sleep(_ROUND.total_seconds())
            self._watch_once(self._clock.now())

    def _watch_once(self, now: datetime) -> None:
        """Close silent connections and send heartbeats on idle ones.

        A process that was paused, or whose clock was set, finds every connection old
        though the bytes wait in the kernel. It would cut all its links at once and be
        taken for dead. A late round shows this, and then silence counts from now on.
        """
        since_last = now - self._last_round
        self._last_round = now
        was_paused = not timedelta(0) <= since_last <= _ROUND_IS_LATE
        for connection in list(self._connections):
            if was_paused:
                connection.restart_silence(now)
            self._watch_connection(connection, now)

    def _watch_connection(self, connection: Connection, now: datetime) -> None:
        if now - connection.last_heard >= self._silence_limit:
            self._counts["closed_silent"] += 1
            connection.close("silent")
        elif connection.peer is None and now - connection.opened >= HELLO_LIMIT:
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


def _note(level: int, event: str, peer: str | None, reason: str) -> None:
    """Write one log line in the shape of ``shell/logs.py``."""
    _log.log(level, {"message": event, "details": {"peer": peer, "reason": reason}})
