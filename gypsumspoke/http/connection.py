"""One connection of a client, driven by callbacks of the event loop.

A greenlet runs only while an application answers a complete request, so that a client
that sends slowly costs little more than its bytes.
"""

import select
import socket
from contextlib import closing, suppress
from datetime import datetime, timedelta
from enum import Enum
from typing import Protocol

from gevent import get_hub
from gevent.event import Event

from gypsumspoke.core.clock import Clock
from gypsumspoke.http.heads import RequestHead
from gypsumspoke.http.pacing import Work
from gypsumspoke.http.requests import SMALL_BYTES, RequestReader, Stage
from gypsumspoke.http.values import Payload, ReadLimits, Unread

_READABLE, _WRITABLE = 1, 2
_READ_BYTES = 16 * 1024
_SEND_BYTES = 4 * 1024
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# After a refusal the connection stays open for a while, and what still arrives is
# dropped: closing it with unread bytes would reset it, and the client might not see
# the answer.
_LINGER_TIMEOUT = timedelta(seconds=2)
_MAX_LINGER_BYTES = 4 * 1024 * 1024


class Phase(Enum):
    """What a connection does."""

    READING = "reading"
    ANSWERING = "answering"
    WRITING = "writing"
    LINGERING = "lingering"
    CLOSED = "closed"


class WritableWait:
    """Waits until a socket takes more bytes; another greenlet may end the wait.

    Args:
      sock: the socket; stays open until the wait is closed.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._ended = Event()
        self._watcher = get_hub().loop.io(sock.fileno(), _WRITABLE)
        self._watcher.start(self._ended.set)

    def wait(self, timeout: timedelta) -> bool:
        """Return whether the wait ended within a timeout."""
        return self._ended.wait(timeout.total_seconds())

    def close(self) -> None:
        """End the wait; further calls do nothing."""
        self._watcher.stop()
        self._watcher.close()
        self._ended.set()


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    clock: Clock
    kept_fields: frozenset[str]

    def read_limits(self) -> ReadLimits:
        """Return the bounds on the next request."""

    def body_limit(self, head: RequestHead) -> int:
        """Return the size up to which a request's body is wanted."""

    def pace(self, work: Work) -> None:
        """Queue work on a large request."""

    def on_held(self, change: int) -> None:
        """Account for a change of the bytes that are held."""

    def on_request(self, connection: "ClientConnection") -> None:
        """Answer a complete request in the background."""

    def refusal(self, reason: Unread, head: RequestHead | None) -> bytes | None:
        """Return the answer to a request that isn't read; None to give none."""

    def on_closed(self, connection: "ClientConnection") -> None:
        """Forget a connection."""


class ClientConnection:
    """Reads requests from a socket and writes their answers.

    Args:
      sock: connected socket without a timeout; owned and closed by the connection.
      client: the client's address.
      owner: the server.
    """

    __slots__ = (
        "_sock",
        "_client",
        "_owner",
        "_limits",
        "_reader",
        "_readable",
        "_phase",
        "_since",
        "_heard",
        "_held",
        "_unsent",
        "_writable",
        "_lingered",
        "_is_paced",
        "_has_new_bytes",
    )

    def __init__(
        self,
        sock: socket.socket,
        client: tuple[str, int],
        owner: ConnectionOwner,
    ) -> None:
        self._sock = sock
        self._client = client
        self._owner = owner
        self._limits = owner.read_limits()
        self._reader = RequestReader(owner.kept_fields, self._limits.header_bytes)
        self._readable = get_hub().loop.io(sock.fileno(), _READABLE)
        self._phase = Phase.READING
        self._since = self._heard = owner.clock.now()
        self._held = 0
        # Bytes held for an answer that the client doesn't read.
        self._unsent = 0
        self._writable: WritableWait | None = None
        self._lingered = 0
        # Whether its turn in the queue of paced work is still to come.
        self._is_paced = False
        # Whether bytes have arrived that no attempt was made to decode.
        self._has_new_bytes = False
        self._readable.start(self._on_readable)

    @property
    def sock(self) -> socket.socket:
        """The socket."""
        return self._sock

    @property
    def client(self) -> tuple[str, int]:
        """Host and port of the client."""
        return self._client

    @property
    def reader(self) -> RequestReader:
        """The request that is read or answered."""
        return self._reader

    @property
    def held(self) -> int:
        """Bytes of the request that is being read, or of the answer that isn't read."""
        return self._held

    @property
    def since(self) -> datetime:
        """When it became idle, its request began, or its answer was ready."""
        return self._since

    @property
    def is_waiting_for_client(self) -> bool:
        """Whether the client has to act next."""
        return self._phase in (Phase.READING, Phase.WRITING, Phase.LINGERING)

    def drop(self) -> None:
        """Make room for others: refuse the request that is being read, or close."""
        if self._phase is Phase.READING and self._reader.has_begun:
            self._refuse(Unread.CLIENTS_PRESS)
        else:
            self.close()

    def check_timeouts(self, now: datetime) -> None:
        """Refuse a request that takes too long, and close an idle connection."""
        if self._phase is Phase.LINGERING:
            if now - self._since > _LINGER_TIMEOUT:
                self.close()
        elif self._phase is Phase.READING and not self._is_paced:
            self._check_reading(now)

    def _check_reading(self, now: datetime) -> None:
        is_idle = now - self._heard > self._limits.idle_timeout
        is_in_head = self._reader.has_begun and self._reader.stage is Stage.HEAD
        is_slow = is_in_head and now - self._since > self._limits.header_timeout
        if not is_idle and not is_slow:
            return
        # After a pause of this process, bytes may have waited for it.
        if self._receive(SMALL_BYTES):
            self._advance_or_pace()
        elif self._phase is not Phase.READING:
            return
        elif self._reader.has_begun:
            self._refuse(Unread.REQUEST_TIMEOUT)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection; further calls do nothing."""
        if self._phase is Phase.CLOSED:
            return
        self._phase = Phase.CLOSED
        self._readable.stop()
        self._readable.close()
        # The event loop must not watch a descriptor that is closed, and soon another's.
        if self._writable is not None:
            self._writable.close()
        self._sock.close()
        self._forget_bytes()
        self._owner.on_closed(self)

    # Reading

    def _on_readable(self) -> None:
        if self._is_paced:
            return
        if self._phase is Phase.LINGERING or self._reader.is_large:
            self._pace()
        elif self._receive(SMALL_BYTES):
            self._advance_or_pace()

    def _receive(self, size: int) -> bool:
        """Read once; return whether anything was read."""
        try:
            chunk = self._sock.recv(size)
        except BlockingIOError:
            return False
        except OSError:
            self.close()
            return False
        if not chunk:
            self.close()
            return False
        self._heard = self._owner.clock.now()
        if not self._reader.has_begun:
            self._since = self._heard
        self._reader.append(chunk)
        self._has_new_bytes = True
        self._account()
        return True

    def _account(self) -> None:
        held = self._reader.held + self._unsent
        change, self._held = held - self._held, held
        self._owner.on_held(change)

    def _forget_bytes(self) -> None:
        self._reader.clear()
        self._unsent = 0
        self._account()

    def _advance_or_pace(self) -> None:
        # Accounting for the bytes may have closed this connection.
        if self._phase is not Phase.READING:
            return
        if self._reader.is_large:
            self._pace()
        else:
            self._advance()

    def _pace(self) -> None:
        """Go on with this connection when it is its turn."""
        self._readable.stop()
        self._is_paced = True
        self._owner.pace(self._take_turn)

    def _take_turn(self) -> bool:
        """Decode what has arrived, or read more; return whether to end the turn."""
        self._is_paced = False
        if self._phase is Phase.LINGERING:
            self._discard()
        elif self._phase is Phase.READING:
            if self._has_new_bytes or self._receive(_READ_BYTES):
                if self._phase is Phase.READING:
                    self._advance()
        if self.is_waiting_for_client and not self._is_paced:
            self._readable.start(self._on_readable)
        return self._phase is Phase.ANSWERING

    def _advance(self) -> None:
        """Decode what has arrived."""
        self._has_new_bytes = False
        stage = self._reader.advance()
        if stage is Stage.HEAD_READ:
            head = self._reader.head
            stage = self._reader.begin_body(self._owner.body_limit(head))
            if stage is Stage.BODY:
                if head.is_chunked and self._reader.is_large:
                    self._has_new_bytes = True
                    self._account()
                    self._pace()
                    return
                stage = self._reader.advance()
            if stage is Stage.BODY and head.expects_continue:
                self._send_continue()
        self._account()
        if stage is Stage.COMPLETE:
            self._begin_answer()
        elif stage is Stage.REFUSED:
            self._refuse(self._reader.refusal)

    def _send_continue(self) -> None:
        # The buffer of a socket on which nothing waits takes these few bytes.
        with suppress(OSError):
            self._sock.send(_CONTINUE)

    # Answering

    def abandon(self) -> None:
        """Close the connection if its request has got no answer."""
        if self._phase is Phase.ANSWERING:
            self.close()

    def _begin_answer(self) -> None:
        self._phase = Phase.ANSWERING
        self._readable.stop()
        self._owner.on_request(self)

    def take_body(self) -> bytes:
        """Return the body of the request, once."""
        body = self._reader.take_body()
        self._account()
        return body

    def write(self, payload: Payload, keeps_open: bool) -> None:
        """Write an answer; waits for a client that doesn't read.

        Args:
          payload: the encoded answer.
          keeps_open: whether another request may follow.
        """
        if self._phase is not Phase.ANSWERING:
            return
        self._phase = Phase.WRITING
        self._since = self._owner.clock.now()
        if not self._send_all(payload):
            self.close()
        elif self._phase is not Phase.WRITING:
            return
        elif self._reader.is_cut:
            self._linger()
        elif keeps_open:
            self._read_next()
        else:
            self._close_after_answer()

    def _send_all(self, payload: Payload) -> bool:
        """Send all bytes; return whether that succeeded."""
        try:
            for part in payload:
                self._send(part, held=len(payload.own))
        except OSError:
            return False
        return True

    def _send(self, part: bytes, held: int) -> None:
        """Send a part of an answer.

        Args:
          part: the part.
          held: bytes that count as held once the client doesn't read.

        Raises:
          OSError: it can't be sent.
        """
        left = memoryview(part)
        while left:
            if sent := _send_some(self._sock, left):
                left = left[sent:]
            else:
                self._unsent = held
                self._account()
                self._wait_writable()

    def _wait_writable(self) -> None:
        """Wait until the client has read something.

        Raises:
          OSError: the connection was closed meanwhile, or the client reads nothing for
            too long.
        """
        # Accounting for the answer may have closed this connection.
        if self._phase is Phase.WRITING:
            with closing(WritableWait(self._sock)) as self._writable:
                if not self._writable.wait(self._limits.idle_timeout):
                    raise TimeoutError
        if self._phase is not Phase.WRITING:
            raise ConnectionAbortedError

    def _read_next(self) -> None:
        """Read the next request, which may have arrived already."""
        self._limits = self._owner.read_limits()
        self._reader.next_request(self._limits.header_bytes)
        self._phase = Phase.READING
        self._since = self._heard = self._owner.clock.now()
        self._unsent = 0
        self._account()
        if self._reader.has_begun:
            self._has_new_bytes = True
            self._pace()
        else:
            self._readable.start(self._on_readable)

    def _close_after_answer(self) -> None:
        """Close the connection so that the client gets the answer."""
        self._reader.next_request(0)
        if self._reader.has_begun or self._has_unread_bytes():
            self._linger()
        else:
            self.close()

    def _has_unread_bytes(self) -> bool:
        try:
            return bool(self._sock.recv(_READ_BYTES))
        except OSError:
            return False

    # Refusing

    def _refuse(self, reason: Unread) -> None:
        """Refuse the request that is being read, and close the connection."""
        payload = self._owner.refusal(reason, self._reader.head)
        self._forget_bytes()
        if payload is None:
            self.close()
            return
        try:
            self._sock.send(payload)
        except OSError:
            self.close()
            return
        self._linger()

    def _linger(self) -> None:
        """Drop what still arrives, for a bounded time, then close."""
        self._forget_bytes()
        self._phase = Phase.LINGERING
        self._since = self._owner.clock.now()
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        if not self._is_paced:
            self._readable.start(self._on_readable)

    def _discard(self) -> None:
        try:
            chunk = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            chunk = b""
        self._lingered += len(chunk)
        if not chunk or self._lingered > _MAX_LINGER_BYTES:
            self.close()


def _send_some(sock: socket.socket, data: memoryview) -> int:
    """Send what the system's buffer has room for; return the number of bytes.

    Raises:
      OSError: the connection is broken.
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    # Without this check the system queues up to 64 KB beyond the size of its buffer.
    if not poll.poll(0):
        return 0
    try:
        return sock.send(data[:_SEND_BYTES])
    except BlockingIOError:
        return 0
