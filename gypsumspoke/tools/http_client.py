"""One HTTP request to a process, with every end of it as a value.

The operator commands must tell a refusal from silence, and silence after the request
was sent (it may have taken effect) from a connection that never came up (it can't).
"""

from collections.abc import Mapping
from contextlib import closing
from typing import NamedTuple

import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

# Longer than the administration port takes to give a request up by itself.
DEFAULT_TIMEOUT_SECONDS = 45.0
_CONNECT_TIMEOUT_SECONDS = 5.0


class Address(NamedTuple):
    """Where a process listens."""

    host: str
    port: int


class Reply(NamedTuple):
    """A whole HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class NoReply(NamedTuple):
    """No answer came.

    Attributes:
      sent: whether the request may have reached the other side.
      reason: what went wrong.
    """

    sent: bool
    reason: str


class Request(NamedTuple):
    """What to ask."""

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""


def exchange(
    address: Address, request: Request, timeout: float = DEFAULT_TIMEOUT_SECONDS
) -> Result[Reply, NoReply]:
    """Send one request on a connection of its own and read the whole answer.

    Args:
      address: where to.
      request: what to ask.
      timeout: bound on each wait for the other side, in seconds.

    Returns:
      The answer, or why there is none.
    """
    try:
        gevent.socket.create_connection(address, _CONNECT_TIMEOUT_SECONDS).close()
    except OSError as error:
        return Failure(NoReply(False, _reason(error)))
    try:
        return Success(_exchange(address, request, timeout))
    except (OSError, HTTPParseError) as error:
        # The library repeats idempotent methods on its own, so even a connection
        # refused here may follow a request that was sent.
        return Failure(NoReply(True, _reason(error)))


def _exchange(address: Address, request: Request, timeout: float) -> Reply:
    client = HTTPClient(
        *address,
        connection_timeout=_CONNECT_TIMEOUT_SECONDS,
        network_timeout=timeout,
    )
    with closing(client):
        response = client.request(
            request.method, request.path, request.body, dict(request.headers)
        )
        body = bytes(response.read())
        headers = {name.lower(): value for name, value in response.headers}
        return Reply(response.status_code, headers, body)


def _reason(error: Exception) -> str:
    return str(error) or type(error).__name__
