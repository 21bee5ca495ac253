"""One TCP connection to a peer, driven by readiness callbacks of the event loop.

A connection carries frames and doesn't interpret them; ``wire/links.py`` decides what
is sent and when it is closed. It runs in callbacks instead of greenlets, because
switching to a greenlet for each small message would cost more than handling it.
"""

import socket as standard_socket
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from gevent import get_hub
from gevent.event import Event
from gevent.socket import socket
from returns.pipeline import is_successful

from gypsumspoke.core.clock import Clock
from gypsumspoke.wire.frames import HEARTBEAT_FRAME, FrameReader
from gypsumspoke.wire.hello import Hello

MAX_QUEUED_BYTES = 16 * 1024 * 1024

_READABLE, _WRITABLE = 1, 2
_READ_BYTES = 64 * 1024
_WRITE_BYTES = 64 * 1024


class ConnectionHandlers(NamedTuple):
    """Callbacks of a connection.

    Attributes:
      on_payload: handles a frame's payload; returns why the connection must be closed,
        or "".
      on_closed: called once, with the reason, when the connection is closed.
    """

    on_payload: Callable[["Connection", bytes], str]
    on_closed: Callable[["Connection", str], None]


class Connection:
    """A connected socket with a bounded outgoing queue.

    Args:
      sock: connected socket; owned and closed by the connection.
      dialled: incarnation that was dialled; None for an accepted connection.
      clock: source of the time of the last received and sent data.
      handlers: callbacks.
    """

    def __init__(
        self,
        sock: socket,
        dialled: str | None,
        clock: Clock,
        handlers: ConnectionHandlers,
    ) -> None:
        self._sock = sock
        self._dialled = dialled
        self._clock = clock
        self._handlers = handlers
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._loop = get_hub().loop
        self._readable = self._loop.io(sock.fileno(), _READABLE)
        self._writable = self._loop.io(sock.fileno(), _WRITABLE)
        self._frames = FrameReader()
        self._started = False
        self._flush_scheduled = False
        self._drained = Event()
        self._drained.set()
        self._ended = Event()
        self._identified = Event()
        self._closed = False
        self._peer: Hello | None = None
        self._opened = clock.now()
        self._last_heard = self._opened
        self._last_sent = self._opened
        sock.setsockopt(standard_socket.IPPROTO_TCP, standard_socket.TCP_NODELAY, 1)

    @property
    def dialled(self) -> str | None:
        """The incarnation that was dialled; None for an accepted connection."""
        return self._dialled

    @property
    def peer(self) -> Hello | None:
        """The peer's hello; None until one is accepted."""
        return self._peer

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    @property
    def opened(self) -> datetime:
        """When the connection was made."""
        return self._opened

    @property
    def last_heard(self) -> datetime:
        """When bytes last arrived."""
        return self._last_heard

    @property
    def last_sent(self) -> datetime:
        """When a frame was last queued."""
        return self._last_sent

    def start(self) -> None:
        """Start reading and writing."""
        self._sock.setblocking(False)
        self._started = True
        # Writes the own hello before reading the peer's: an incompatible peer is
        # refused as soon as its hello is read, and both ends should log the reason.
        self._schedule_flush()
        self._readable.start(self._read)

    def accept_peer(self, hello: Hello) -> None:
        """Record the peer's valid hello."""
        self._peer = hello
        self._identified.set()

    def wait_identified(self, timeout: timedelta) -> bool:
        """Wait for the peer's hello; return whether it came within the timeout."""
        self._identified.wait(timeout.total_seconds())
        return self._peer is not None and not self._closed

    def wait_closed(self) -> None:
        """Wait until the connection has ended."""
        self._ended.wait()

    def reset_last_heard(self, now: datetime) -> None:
        """Measure the peer's silence from now on."""
        self._last_heard = now

    def send(self, framed: bytes) -> bool:
        """Queue a frame.

        Args:
          framed: a frame with its length prefix.

        Returns:
          False when the connection is closed or its queue is full; the frame is then
          dropped.
        """
        # Without a bound the queue of a peer that stops reading would exhaust memory.
        # Dropping is safe: the protocol tolerates the loss of any message.
        if self._closed or self._queued_bytes + len(framed) > MAX_QUEUED_BYTES:
            return False
        self._queue.append(framed)
        self._queued_bytes += len(framed)
        self._last_sent = self._clock.now()
        self._drained.clear()
        self._schedule_flush()
        return True

    def send_heartbeat(self) -> None:
        """Queue a link heartbeat unless other frames are queued."""
        if not self._queue:
            self.send(HEARTBEAT_FRAME)

    def finish(self, timeout: float) -> None:
        """Close gracefully, after the peer has received all queued frames.

        Closing a socket that has unread bytes resets the connection, and the peer may
        lose data that it has not read yet. So only the sending side is shut down, and
        the peer closes the connection once it has read everything.

        Args:
          timeout: longest wait, in seconds, for the queue to drain and again for the
            peer to close.
        """
        self._drained.wait(timeout)
        if not self._closed:
            try:
                self._sock.shutdown(standard_socket.SHUT_WR)
                self._ended.wait(timeout)
            except OSError:
                pass  # The peer has closed already.
        self.close("finished")

    def close(self, reason: str) -> None:
        """Close the connection; further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._drained.set()
        self._ended.set()
        self._identified.set()
        for watcher in (self._readable, self._writable):
            watcher.stop()
            watcher.close()
        try:
            self._sock.shutdown(standard_socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()
        self._handlers.on_closed(self, reason)

    def _read(self) -> None:
        """Read once; the loop calls again while data is available.

        Reading until the socket is empty would let one fast sender block the loop and
        delay the heartbeats to all other peers.
        """
        try:
            chunk = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"read failed: {error}")
            return
        if not chunk:
            suffix = " inside a frame" if self._frames.incomplete else ""
            self.close("closed by the peer" + suffix)
            return
        self._last_heard = self._clock.now()
        self._deliver(chunk)

    def _deliver(self, chunk: bytes) -> None:
        """Pass complete payloads to the handler."""
        payloads = self._frames.feed(chunk)
        if not is_successful(payloads):
            self.close(payloads.failure())
            return
        for payload in payloads.unwrap():
            if self._closed:
                return
            error = self._handlers.on_payload(self, payload)
            if error:
                self.close(error)

    def _schedule_flush(self) -> None:
        """Schedule a write for when the current greenlet yields.

        Frames that are queued until then share one system call.
        """
        if self._flush_scheduled or self._writable.active or not self._started:
            return
        self._flush_scheduled = True
        self._loop.run_callback(self._flush)

    def _flush(self) -> None:
        """Write as much as the socket accepts; the loop calls again for the rest."""
        self._flush_scheduled = False
        if self._closed:
            return
        try:
            while self._queue:
                batch = self._next_batch()
                sent = self._sock.send(batch)
                if sent < len(batch):
                    self._requeue(batch[sent:])
        except BlockingIOError:
            self._requeue(batch)
            self._writable.start(self._flush)
            return
        except OSError as error:
            self.close(f"write failed: {error}")
            return
        self._writable.stop()
        self._drained.set()

    def _requeue(self, rest: bytes) -> None:
        self._queue.appendleft(rest)
        self._queued_bytes += len(rest)

    def _next_batch(self) -> bytes:
        """Remove and join queued frames, up to about ``_WRITE_BYTES``."""
        batch = []
        size = 0
        while self._queue and size < _WRITE_BYTES:
            framed = self._queue.popleft()
            batch.append(framed)
            size += len(framed)
        self._queued_bytes -= size
        return b"".join(batch)
