"""HTTP exchanges over connections that are kept open, and never a second try.

As in ``shell/http_exchange.py``, a request is sent once: one whose connection ended
without an answer may have been carried out, and only the caller knows whether it may be
sent again. A kept connection on which the other side has already sent something, or its
end, is not used for another request.
"""

from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

import gevent
from gevent.socket import AF_INET, IPPROTO_TCP, SOCK_STREAM, TCP_NODELAY, socket
from returns.result import Failure, Result, Success

from gypsumspoke.shell.http_exchange import (
    ExchangeError,
    HttpAnswer,
    read_response,
    request_bytes,
)
from gypsumspoke.shell.http_parser import HTTPParseError, HTTPSocketResponse

# Connections kept open to one address; more requests at once open more and close them.
MAX_IDLE_CONNECTIONS = 8
_READ_BYTES = 64 * 1024


class Request(NamedTuple):
    """One HTTP request.

    Attributes:
      method, path: of the request line; the path with its query.
      headers: beyond Host and Content-Length.
      body: request body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""


class KeepAliveClient:
    """Sends requests to one address.

    Args:
      address: IP number and port.
      connect_timeout: bound on making a connection.
      max_answer_bytes: bound on the size of the answer's body.
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
        self._idle: deque[socket] = deque()

    def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            self._idle.pop().close()

    def send(
        self, request: Request, within: timedelta
    ) -> Result[HttpAnswer, ExchangeError]:
        """Send a request and read the whole answer.

        Args:
          request: what to send.
          within: bound on the exchange, without making a connection.

        Returns:
          The answer whatever its status, or why there is none.
        """
        sock = self._take_idle() or self._connect()
        if sock is None:
            return Failure(ExchangeError.NOT_SENT)
        keep = False
        try:
            answer, keep = self._exchange(sock, request, within)
            return answer
        finally:
            if keep and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(sock)
            else:
                sock.close()

    def _take_idle(self) -> socket | None:
        """Return a kept connection that nothing has come on, or None."""
        while self._idle:
            sock = self._idle.pop()
            if _is_quiet(sock):
                return sock
            sock.close()
        return None

    def _connect(self) -> socket | None:
        sock = socket(AF_INET, SOCK_STREAM)
        sock.settimeout(self._connect_timeout.total_seconds())
        try:
            sock.connect(self._address)
        except OSError:
            sock.close()
            return None
        sock.settimeout(None)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        return sock

    def _exchange(
        self, sock: socket, request: Request, within: timedelta
    ) -> tuple[Result[HttpAnswer, ExchangeError], bool]:
        """Return the answer, and whether the connection can be used again."""
        payload = request_bytes(
            self._address,
            request.method,
            request.path,
            tuple(request.headers.items()),
            request.body,
        )
        try:
            with gevent.Timeout(within.total_seconds()):
                sock.sendall(payload)
                response = HTTPSocketResponse(
                    sock, block_size=_READ_BYTES, method=request.method
                )
                answer = read_response(response, self._max_answer_bytes)
                keep = response.message_complete and not response.should_close()
                return answer, keep
        except gevent.Timeout:
            return Failure(ExchangeError.TIMEOUT), False
        except (OSError, HTTPParseError, ValueError):
            return Failure(ExchangeError.BROKEN), False


def _is_quiet(sock: socket) -> bool:
    """Return whether neither bytes nor the end has come on an idle connection."""
    sock.setblocking(False)
    try:
        sock.recv(1)
    except BlockingIOError:
        sock.setblocking(True)
        return True
    except OSError:
        return False
    return False


def success(answer: Result[HttpAnswer, ExchangeError]) -> Result[bytes, str]:
    """Return the body of a 2xx answer, or a sentence that says what came instead."""
    match answer:
        case Success(HttpAnswer(status, body)) if 200 <= status < 300:
            return Success(body)
        case Success(HttpAnswer(status, body)):
            return Failure(f"status {status}: {body[:200]!r}")
        case _:
            return Failure(answer.failure().value)
