"""Values of the HTTP server."""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

# Request line with its line end, as other servers commonly allow.
MAX_REQUEST_LINE_BYTES = 8192


class Unread(Enum):
    """Why a request is refused before an application sees it."""

    MALFORMED_REQUEST = "malformed_request"
    REQUEST_LINE_TOO_LONG = "request_line_too_long"
    HEADER_TOO_LARGE = "header_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    CLIENTS_PRESS = "clients_press"


UNREAD_STATUS = {
    Unread.MALFORMED_REQUEST: 400,
    Unread.REQUEST_LINE_TOO_LONG: 414,
    Unread.HEADER_TOO_LARGE: 431,
    Unread.REQUEST_TIMEOUT: 400,
    Unread.CLIENTS_PRESS: 503,
}
# Retry-After of a request that is refused to make room for others.
PRESSED_RETRY_AFTER = timedelta(seconds=2)


class SharedBody(list[bytes]):
    """A body that the application keeps for the answers to several requests.

    An application returns it in place of a list. The server doesn't copy it, and
    doesn't count it as held for a client that doesn't read.
    """


class Payload(NamedTuple):
    """An encoded answer.

    Attributes:
      own: status line and headers, and the body unless it is shared.
      shared: the body if it is a ``SharedBody``.
    """

    own: bytes
    shared: bytes = b""


class ReadLimits(NamedTuple):
    """Bounds on reading one request.

    Attributes:
      header_bytes: maximum size of all header lines.
      header_timeout: time from a request's first byte to the end of its header.
      idle_timeout: time that a connection may be idle between requests, and that a
        client may pause within a body or leave an answer unread.
    """

    header_bytes: int = 64 * 1024
    header_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)


DEFAULT_READ_LIMITS = ReadLimits()
