"""One TCP connection to a peer, read and written as the loop finds its socket ready.

A connection knows nothing of messages or members; ``wire/links.py`` decides what it
carries and when it is closed. It needs no greenlets: most messages are small and come
one at a time, and waking a greenlet for each would cost more than the message.
"""

import socket as standard_socket
from collections import deque
from collections.abc import Callable
from datetime import datetime
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
    """What a connection calls.

    Attributes:
      on_payload: a frame's payload arrived; returns why the connection must end, or "".
      on_closed: the connection is closed; called once, with the reason.
    """

    on_payload: Callable[["Connection", bytes], str]
    on_closed: Callable[["Connection", str], None]


class Connection:
    """A connected socket with a bounded outgoing queue.

    Args:
      sock: connected socket; the connection closes it.
      dialled: incarnation that was dialled; None for an accepted connection.
      clock: source of the times that tell a silent connection.
      handlers: what to call.
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
        self._flush_waits = False
        self._drained = Event()
        self._drained.set()
        self._ended = Event()
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
        """The peer's hello, once it was accepted."""
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
        """Begin to read and write."""
        self._sock.setblocking(False)
        self._started = True
        # What is queued goes before the first read: a peer that differs is refused as
        # soon as its hello is read, and the own hello must be out by then, so that both
        # ends log why.
        self._flush_soon()
        self._readable.start(self._read)

    def accept_peer(self, hello: Hello) -> None:
        """Note that the peer's hello is valid."""
        self._peer = hello

    def wait_closed(self) -> None:
        """Wait until the connection has ended."""
        self._ended.wait()

    def restart_silence(self, now: datetime) -> None:
        """Count the peer's silence from now on."""
        self._last_heard = now

    def send(self, framed: bytes) -> bool:
        """Queue a frame.

        Args:
          framed: a frame with its length.

        Returns:
          False when the connection has ended or its queue is full; the frame is lost.
        """
        # A peer that stops reading would make the queue grow until the process dies.
        # Dropping is enough: every message may be lost and is asked for again.
        if self._closed or self._queued_bytes + len(framed) > MAX_QUEUED_BYTES:
            return False
        self._queue.append(framed)
        self._queued_bytes += len(framed)
        self._last_sent = self._clock.now()
        self._drained.clear()
        self._flush_soon()
        return True

    def send_heartbeat(self) -> None:
        """Queue a link heartbeat, unless frames already wait to be written."""
        if not self._queue:
            self.send(HEARTBEAT_FRAME)

    def finish(self, timeout: float) -> None:
        """End after all that is queued has reached the peer.

        Closing a socket with unread bytes resets it, and the peer may then lose what it
        has not read yet: the last answers of a process that stops gracefully. So only
        the sending half is shut, and the peer closes once it has read everything.

        Args:
          timeout: bound on each of the two waits, in seconds.
        """
        self._drained.wait(timeout)
        if not self._closed:
            try:
                self._sock.shutdown(standard_socket.SHUT_WR)
                self._ended.wait(timeout)
            except OSError:
                pass  # The peer was faster.
        self.close("finished")

    def close(self, reason: str) -> None:
        """End the connection; a second call does nothing."""
        if self._closed:
            return
        self._closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._drained.set()
        self._ended.set()
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
        """Read once; the loop calls again while bytes are at hand.

        Read until nothing is left, one fast sender would hold the loop and the process
        would miss its heartbeats to everyone else.
        """
        try:
            chunk = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"read failed: {error}")
            return
        if not chunk:
            cut = " inside a frame" if self._frames.incomplete else ""
            self.close("closed by the peer" + cut)
            return
        self._last_heard = self._clock.now()
        self._take(chunk)

    def _take(self, chunk: bytes) -> None:
        """Hand on the payloads that are complete."""
        payloads = self._frames.feed(chunk)
        if not is_successful(payloads):
            self.close(payloads.failure())
            return
        for payload in payloads.unwrap():
            if self._closed:
                return
            problem = self._handlers.on_payload(self, payload)
            if problem:
                self.close(problem)

    def _flush_soon(self) -> None:
        """Have what is queued written when the current greenlet gives way.

        So frames that are sent one after another share one call.
        """
        if self._flush_waits or self._writable.active or not self._started:
            return
        self._flush_waits = True
        self._loop.run_callback(self._flush)

    def _flush(self) -> None:
        """Write what the socket takes; the loop calls again for the rest."""
        self._flush_waits = False
        if self._closed:
            return
        try:
            while self._queue:
                batch = self._next_batch()
                sent = self._sock.send(batch)
                if sent < len(batch):
                    self._put_back(batch[sent:])
        except BlockingIOError:
            self._put_back(batch)
            self._writable.start(self._flush)
            return
        except OSError as error:
            self.close(f"write failed: {error}")
            return
        self._writable.stop()
        self._drained.set()

    def _put_back(self, rest: bytes) -> None:
        self._queue.appendleft(rest)
        self._queued_bytes += len(rest)

    def _next_batch(self) -> bytes:
        """Take frames up to about ``_WRITE_BYTES``, so that many share one call."""
        batch = []
        size = 0
        while self._queue and size < _WRITE_BYTES:
            framed = self._queue.popleft()
            batch.append(framed)
            size += len(framed)
        self._queued_bytes -= size
        return b"".join(batch)
