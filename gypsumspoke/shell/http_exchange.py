"""HTTP client that sends one request per connection and never retries.

geventhttpclient's ``HTTPClient`` resends a request when a kept-alive connection turns
out to be closed. That could start a task twice at an upstream, or repeat a transaction
at the table, which would then conflict with itself. Only the package's response parser
is used here. With a new connection for each request, "not sent" is reported exactly
when the connection could not be established.
"""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

import gevent
from gevent.socket import AF_INET, IPPROTO_TCP, SOCK_STREAM, TCP_NODELAY, socket
from returns.result import Failure, Result, Success

from gypsumspoke.shell.http_parser import HTTPParseError, HTTPSocketResponse

_READ_BYTES = 16 * 1024


class ExchangeError(Enum):
    """Why there is no answer.

    ``NOT_SENT``: no byte of the request was sent; after the other errors the request
    may have taken effect. ``TIMEOUT``: no complete answer in time. ``BROKEN``: the
    connection ended, or the answer is malformed or incomplete. ``TOO_LARGE``: the
    answer exceeds the size limit.
    """

    NOT_SENT = "not_sent"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    TOO_LARGE = "too_large"


class ExchangeLimits(NamedTuple):
    """Limits of one exchange.

    Attributes:
      connect_timeout: time to establish the connection.
      answer_timeout: time from then until the answer is complete.
      max_answer_bytes: maximum size of the answer's body.
    """

    connect_timeout: timedelta
    answer_timeout: timedelta
    max_answer_bytes: int


class HttpAnswer(NamedTuple):
    """Status code and complete body."""

    status: int
    body: bytes


def post(
    address: tuple[str, int],
    path: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    limits: ExchangeLimits,
) -> Result[HttpAnswer, ExchangeError]:
    """Send one POST request and read the answer.

    Args:
      address: IP number and port.
      path: absolute path.
      headers: names and values without line breaks; Host and Content-Length are added.
      body: request body.
      limits: limits of the exchange.

    Returns:
      The answer, whatever its status, or why there is none.
    """
    sock = socket(AF_INET, SOCK_STREAM)
    try:
        sock.settimeout(limits.connect_timeout.total_seconds())
        try:
            sock.connect(address)
        except OSError:
            return Failure(ExchangeError.NOT_SENT)
        closing = (("Connection", "close"), *headers)
        payload = request_bytes(address, "POST", path, closing, body)
        return _exchange(sock, payload, limits)
    finally:
        sock.close()


def request_bytes(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> bytes:
    """Return an encoded request.

    Args:
      address: IP number and port, for the Host header.
      method, path: for the request line.
      headers: names and values without line breaks; Host and Content-Length are added.
      body: request body.
    """
    host, port = address
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}:{port}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def _exchange(
    sock: socket, request: bytes, limits: ExchangeLimits
) -> Result[HttpAnswer, ExchangeError]:
    sock.settimeout(None)
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    try:
        with gevent.Timeout(limits.answer_timeout.total_seconds()):
            sock.sendall(request)
            response = HTTPSocketResponse(sock, block_size=_READ_BYTES, method="POST")
            return read_response(response, limits.max_answer_bytes)
    except gevent.Timeout:
        return Failure(ExchangeError.TIMEOUT)
    except (OSError, HTTPParseError, ValueError):
        return Failure(ExchangeError.BROKEN)


def read_response(
    response: HTTPSocketResponse, max_bytes: int
) -> Result[HttpAnswer, ExchangeError]:
    """Read the body of a response whose header is parsed.

    Args:
      response: the response.
      max_bytes: maximum size of the body.
    """
    # Without Content-Length or chunked encoding, a body truncated by a crash of the
    # server would pass for a complete answer.
    if not _has_declared_end(response):
        return Failure(ExchangeError.BROKEN)
    body = bytearray()
    while chunk := response.read(_READ_BYTES):
        body += chunk
        if len(body) > max_bytes:
            return Failure(ExchangeError.TOO_LARGE)
    return Success(HttpAnswer(response.status_code, bytes(body)))


def _has_declared_end(response: HTTPSocketResponse) -> bool:
    coding = str(response.get("transfer-encoding", "")).lower()
    no_content = response.status_code in (204, 304)
    return no_content or "chunked" in coding or response.content_length is not None
