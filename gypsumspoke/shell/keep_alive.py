"""HTTP client with persistent connections that never retries.

As in ``shell/http_exchange.py``, a request is sent once: without an answer it may have
taken effect, and only the caller knows whether it may be repeated. An idle connection
on which the server has sent bytes, or has closed, is not reused.

Connections may go silent without being closed, often all at once, when something on the
way has lost track of them. A new connection then works. So after a request without an
answer no other connection is reused that has not answered since that request was sent.
"""

import logging
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

# Connections kept open per address; concurrent requests beyond it open temporary ones.
MAX_IDLE_CONNECTIONS = 8
_READ_BYTES = 64 * 1024

_log = logging.getLogger(__name__)
_UNANSWERED: Result[HttpAnswer, ExchangeError] = Failure(ExchangeError.TIMEOUT)


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


class _Idle(NamedTuple):
    """An idle connection, and the number of the latest request when it answered."""

    sock: socket
    answered: int


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
        self._idle: deque[_Idle] = deque()
        self._requests = 0

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().sock.close()

    def send(
        self, request: Request, timeout: timedelta
    ) -> Result[HttpAnswer, ExchangeError]:
        """Send a request and read the answer.

        Args:
          request: the request.
          timeout: time for the exchange, not including the connect.

        Returns:
          The answer, whatever its status, or why there is none.
        """
        sock = self._take_idle() or self._connect()
        if sock is None:
            return Failure(ExchangeError.NOT_SENT)
        self._requests += 1
        number = self._requests
        keep = False
        try:
            answer, keep = self._exchange(sock, request, timeout)
            if answer == _UNANSWERED:
                self._close_unproven(number)
            return answer
        finally:
            if keep and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(_Idle(sock, self._requests))
            else:
                sock.close()

    def _take_idle(self) -> socket | None:
        """Return an idle connection that is still usable, or None."""
        while self._idle:
            sock = self._idle.pop().sock
            if _is_quiet(sock):
                return sock
            sock.close()
        return None

    def _close_unproven(self, number: int) -> None:
        """Close the idle connections that have not answered since a request."""
        unproven = [idle for idle in self._idle if idle.answered < number]
        if not unproven:
            return
        self._idle = deque(idle for idle in self._idle if idle.answered >= number)
        for idle in unproven:
            idle.sock.close()
        host, port = self._address
        details = {"server": f"{host}:{port}", "connections": len(unproven)}
        _log.info({"message": "connections without proof closed", "details": details})

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
        self, sock: socket, request: Request, timeout: timedelta
    ) -> tuple[Result[HttpAnswer, ExchangeError], bool]:
        """Return the answer and whether the connection can be reused."""
        payload = request_bytes(
            self._address,
            request.method,
            request.path,
            tuple(request.headers.items()),
            request.body,
        )
        try:
            with gevent.Timeout(timeout.total_seconds()):
                sock.sendall(payload)
                response = HTTPSocketResponse(
                    sock, block_size=_READ_BYTES, method=request.method
                )
                answer = read_response(response, self._max_answer_bytes)
                keep = response.message_complete and not response.should_close()
                return answer, keep
        except gevent.Timeout:
            return _UNANSWERED, False
        except (OSError, HTTPParseError, ValueError):
            return Failure(ExchangeError.BROKEN), False


def _is_quiet(sock: socket) -> bool:
    """Return whether the server has neither sent bytes nor closed the connection."""
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
    """Return the body of a 2xx answer, or a description of the failure."""
    match answer:
        case Success(HttpAnswer(status, body)) if 200 <= status < 300:
            return Success(body)
        case Success(HttpAnswer(status, body)):
            return Failure(f"status {status}: {body[:200]!r}")
        case _:
            return Failure(answer.failure().value)
