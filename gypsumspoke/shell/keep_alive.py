"""HTTP client with persistent connections that never retries.

As in ``shell/http_exchange.py``, a request is sent once: without an answer it may have
taken effect, and only the caller knows whether it may be repeated. An idle connection
on which the server has sent bytes, or has closed, is not reused.

Connections may go silent without being closed, often all at once, when something on the
way has lost track of them. A new connection then works. So after a request without an
answer no other connection is reused that has not answered since that request was sent.

A connection is driven by callbacks of the event loop: a sidecar sends its worker two
requests for each run, and a greenlet for each would cost more than handling the answer.
"""

import logging
from collections import deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

import gevent
from gevent import get_hub
from gevent.event import AsyncResult
from gevent.socket import AF_INET, IPPROTO_TCP, SOCK_STREAM, TCP_NODELAY, socket
from returns.result import Failure, Result, Success

from gypsumspoke.shell.http_exchange import (
    ExchangeError,
    HttpAnswer,
    request_bytes,
)
from gypsumspoke.shell.http_parser import HTTPParseError, HTTPResponse

# Connections kept open per address; concurrent requests beyond it open temporary ones.
MAX_IDLE_CONNECTIONS = 8
_READ_BYTES = 64 * 1024
_READABLE, _WRITABLE = 1, 2
_MIN_FINAL_STATUS = 200

_UNANSWERED: Result[HttpAnswer, ExchangeError] = Failure(ExchangeError.TIMEOUT)

OnAnswer = Callable[[Result[HttpAnswer, ExchangeError]], None]

_log = logging.getLogger(__name__)


class Request(NamedTuple):
    """One HTTP request.

    Attributes:
      method, path: for the request line; the path includes the query.
      headers: headers besides Host and Content-Length.
      body: request body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""


class _Response(HTTPResponse):
    """Parses the response to one request; its headers are not kept.

    A response without a declared end is complete only when the connection ends, which
    is no answer here: a truncated body would pass for a complete one.

    Attributes:
      body: the part of the body that has arrived.
      is_complete: whether all of it has.
      has_extra: whether more than one response has arrived.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.body = bytearray()
        self.is_complete = False
        self.has_extra = False

    def _on_message_begin(self) -> None:
        if self.is_complete:
            self.has_extra = True
            return
        super()._on_message_begin()

    def _on_header_field(self, string: str) -> None:
        pass

    def _on_header_value(self, string: str) -> None:
        pass

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        # An interim response is followed by the final one.
        self.is_complete = self.is_complete or self.status_code >= _MIN_FINAL_STATUS

    def _on_body(self, buf: bytearray) -> None:
        if not self.is_complete:
            self.body += buf


class _Connection:
    """A connection that carries one exchange at a time.

    Args:
      client: the client that owns it.
      sock: connected socket; owned and closed by the connection.
    """

    def __init__(self, client: "KeepAliveClient", sock: socket) -> None:
        self._client = client
        self._sock = sock
        self._loop = get_hub().loop
        self._readable = self._loop.io(sock.fileno(), _READABLE)
        self._writable = self._loop.io(sock.fileno(), _WRITABLE)
        self._timer = None
        self._unsent = b""
        self._response: _Response | None = None
        self._on_answer: OnAnswer | None = None
        self._is_closed = False
        self.number = 0
        self.answered = 0
        sock.setblocking(False)
        self._readable.start(self._read)

    @property
    def is_closed(self) -> bool:
        """Whether it can't be used any more."""
        return self._is_closed

    def exchange(
        self, payload: bytes, method: str, timeout: timedelta, on_answer: OnAnswer
    ) -> None:
        """Send a request and wait for its answer in the background.

        Args:
          payload: the encoded request.
          method: its method.
          timeout: time until the answer is complete.
          on_answer: called once with the answer, or why there is none.
        """
        self._response = _Response(method)
        self._on_answer = on_answer
        self._unsent = payload
        self._timer = self._loop.timer(max(timeout.total_seconds(), 0))
        # The loop's own time may be as old as its current turn.
        self._timer.start(self._finish, _UNANSWERED, update=True)
        self._write()

    def close(self) -> None:
        """Close the connection; further calls do nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        for watcher in (self._readable, self._writable):
            watcher.stop()
            watcher.close()
        self._sock.close()

    def _write(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._finish(Failure(ExchangeError.BROKEN))
            return
        self._unsent = self._unsent[sent:]
        if self._unsent:
            self._writable.start(self._write)
        else:
            self._writable.stop()

    def _read(self) -> None:
        try:
            chunk = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            chunk = b""
        if self._response is None:
            # Idle: the server has closed the connection, or sends what nobody asked.
            self.close()
        elif not chunk:
            self._finish(Failure(ExchangeError.BROKEN))
        else:
            self._feed(self._response, chunk)

    def _feed(self, response: _Response, chunk: bytes) -> None:
        try:
            response.feed(chunk)
        except HTTPParseError:
            self._finish(Failure(ExchangeError.BROKEN))
            return
        if len(response.body) > self._client.max_answer_bytes:
            self._finish(Failure(ExchangeError.TOO_LARGE))
        elif response.is_complete:
            answer = HttpAnswer(response.status_code, bytes(response.body))
            self._finish(Success(answer))

    def _finish(self, answer: Result[HttpAnswer, ExchangeError]) -> None:
        """End the exchange and return the connection to its client."""
        response, on_answer = self._response, self._on_answer
        self._timer.stop()
        self._timer.close()
        self._response = self._on_answer = None
        may_keep = isinstance(answer, Success) and not (
            self._unsent or response.has_extra or response.should_close()
        )
        if not may_keep:
            self.close()
        self._client.release(self, answer)
        on_answer(answer)


class KeepAliveClient:
    """Sends requests to one address over persistent connections.

    Args:
      address: IP number and port.
      connect_timeout: time to establish a connection.
      max_answer_bytes: maximum size of an answer's body.
    """

    def __init__(
        self,
        address: tuple[str, int],
        connect_timeout: timedelta,
        max_answer_bytes: int,
    ) -> None:
        self._address = address
        self._connect_timeout = connect_timeout
        self._max_answer_bytes = max_answer_bytes
        self._idle: deque[_Connection] = deque()
        self._requests = 0

    @property
    def max_answer_bytes(self) -> int:
        """Maximum size of an answer's body."""
        return self._max_answer_bytes

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def send(
        self, request: Request, timeout: timedelta
    ) -> Result[HttpAnswer, ExchangeError]:
        """Send a request and wait for the answer.

        Args:
          request: the request.
          timeout: time for the exchange, not including the connect.

        Returns:
          The answer, whatever its status, or why there is none.
        """
        answer: AsyncResult = AsyncResult()
        self.submit(request, timeout, answer.set)
        return answer.get()

    def submit(self, request: Request, timeout: timedelta, on_answer: OnAnswer) -> None:
        """Send a request without waiting for the answer.

        Args:
          request, timeout: as in ``send``.
          on_answer: called once with what ``send`` returns; must not block.
        """
        connection = self._take_idle()
        if connection is not None:
            self._start(connection, request, timeout, on_answer)
        else:
            gevent.spawn(self._connect, request, timeout, on_answer)

    def release(
        self, connection: _Connection, answer: Result[HttpAnswer, ExchangeError]
    ) -> None:
        """Take back a connection after an exchange."""
        if answer is _UNANSWERED:
            self._close_unproven(connection.number)
        if connection.is_closed:
            return
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        connection.answered = self._requests
        self._idle.append(connection)

    def _take_idle(self) -> _Connection | None:
        """Return an idle connection that is still usable, or None."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed:
                return connection
        return None

    def _start(
        self,
        connection: _Connection,
        request: Request,
        timeout: timedelta,
        on_answer: OnAnswer,
    ) -> None:
        self._requests += 1
        connection.number = self._requests
        payload = request_bytes(
            self._address,
            request.method,
            request.path,
            tuple(request.headers.items()),
            request.body,
        )
        connection.exchange(payload, request.method, timeout, on_answer)

    def _connect(
        self, request: Request, timeout: timedelta, on_answer: OnAnswer
    ) -> None:
        sock = socket(AF_INET, SOCK_STREAM)
        sock.settimeout(self._connect_timeout.total_seconds())
        try:
            sock.connect(self._address)
        except OSError:
            sock.close()
            on_answer(Failure(ExchangeError.NOT_SENT))
            return
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self._start(_Connection(self, sock), request, timeout, on_answer)

    def _close_unproven(self, number: int) -> None:
        """Close the idle connections that have not answered since a request."""
        unproven = [each for each in self._idle if each.answered < number]
        if not unproven:
            return
        self._idle = deque(each for each in self._idle if each.answered >= number)
        for connection in unproven:
            connection.close()
        host, port = self._address
        details = {"server": f"{host}:{port}", "connections": len(unproven)}
        _log.info({"message": "connections without proof closed", "details": details})


def success(answer: Result[HttpAnswer, ExchangeError]) -> Result[bytes, str]:
    """Return the body of a 2xx answer, or a description of the failure."""
    match answer:
        case Success(HttpAnswer(status, body)) if 200 <= status < 300:
            return Success(body)
        case Success(HttpAnswer(status, body)):
            return Failure(f"status {status}: {body[:200]!r}")
        case _:
            return Failure(answer.failure().value)
