"""One HTTP request and its answer on a connection of its own, and never a second try.

geventhttpclient's ``HTTPClient`` sends a request again when a kept-alive connection
turns out to be closed. Towards an upstream that would be a second start of a task, and
towards the table a second transaction whose conflict with the first looks like a
refusal. So only its response parser is used here. A fresh connection for each request
also makes "not sent" exact: it is claimed only when the connection was never made.
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

    ``NOT_SENT``: not one byte of the request left. After the others the request may
    have been carried out. ``TIMEOUT``: no whole answer in time. ``BROKEN``: the
    connection ended, or what came is not a whole answer. ``TOO_LARGE``: the answer
    exceeds the bound.
    """

    NOT_SENT = "not_sent"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    TOO_LARGE = "too_large"


class ExchangeLimits(NamedTuple):
    """Bounds of one exchange.

    Attributes:
      connect_timeout: bound on making the connection.
      answer_timeout: bound from then until the whole answer is here.
      max_answer_bytes: bound on the size of the answer's body.
    """

    connect_timeout: timedelta
    answer_timeout: timedelta
    max_answer_bytes: int


class HttpAnswer(NamedTuple):
    """Status code and whole body."""

    status: int
    body: bytes


def post(
    address: tuple[str, int],
    path: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    limits: ExchangeLimits,
) -> Result[HttpAnswer, ExchangeError]:
    """Send one POST and read the whole answer.

    Args:
      address: IP number and port.
      path: absolute path.
      headers: names and values without line ends; length and host are added.
      body: request body.
      limits: bounds.

    Returns:
      The answer whatever its status, or why there is none.
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
    """Return a whole request.

    Args:
      address: IP number and port, for the Host header.
      method, path: of the request line.
      headers: names and values without line ends; length and host are added.
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
    response: HTTPSocketResponse, bound: int
) -> Result[HttpAnswer, ExchangeError]:
    """Read the body of a response whose header has come.

    Args:
      response: the response.
      bound: most bytes of the body.
    """
    # Without a declared end, a body that was cut when the server died looks whole, and
    # the caller would get a partial answer as a complete one.
    if not _has_declared_end(response):
        return Failure(ExchangeError.BROKEN)
    body = bytearray()
    while chunk := response.read(_READ_BYTES):
        body += chunk
        if len(body) > bound:
            return Failure(ExchangeError.TOO_LARGE)
    return Success(HttpAnswer(response.status_code, bytes(body)))


def _has_declared_end(response: HTTPSocketResponse) -> bool:
    coding = str(response.get("transfer-encoding", "")).lower()
    no_content = response.status_code in (204, 304)
    return no_content or "chunked" in coding or response.content_length is not None
