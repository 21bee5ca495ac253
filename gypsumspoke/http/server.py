"""HTTP server that calls a WSGI application for each complete request."""

import logging
import socket
import time
from collections.abc import Callable, Iterable
from datetime import timedelta
from http import HTTPStatus
from typing import Any, NamedTuple

from gevent import get_hub
from gevent.event import Event
from gevent.pool import Pool

from gypsumspoke.core.clock import Clock
from gypsumspoke.http.answers import (
    Environ,
    HttpAnswer,
    json_answer,
    retry_headers,
)
from gypsumspoke.http.clients import ClientRegistry
from gypsumspoke.http.connection import ClientConnection
from gypsumspoke.http.heads import RequestHead
from gypsumspoke.http.pacing import Work
from gypsumspoke.http.values import (
    DEFAULT_READ_LIMITS,
    PRESSED_RETRY_AFTER,
    UNREAD_STATUS,
    Payload,
    ReadLimits,
    SharedBody,
    Unread,
)

Application = Callable[..., Iterable[bytes]]

# Environment key of the client's socket, with which an application detects that the
# client leaves.
SOCKET_KEY = "gypsumspoke.socket"

# Connections accepted before other events are handled. A few, since a request takes
# several turns of the event loop.
_MAX_ACCEPTED = 16
_ACCEPT_RETRY_DELAY = timedelta(milliseconds=100)
_READABLE = 1
_NO_BODY = frozenset((204, 304))

_log = logging.getLogger(__name__)


class UnreadRefusal(NamedTuple):
    """A request that is refused before its application sees it.

    Attributes:
      reason: why.
      head: its head, if that was read.
      retry_after: how long the client should wait before a retry; None for no use.
    """

    reason: Unread
    head: RequestHead | None
    retry_after: timedelta | None


def plain_refusal(refusal: UnreadRefusal) -> HttpAnswer | None:
    """Return the answer to a request that is refused unread."""
    body = {"error": "the request was not read", "reason": refusal.reason.value}
    headers = retry_headers(refusal.retry_after)
    return json_answer(body, UNREAD_STATUS[refusal.reason], headers)


class RequestPolicy(NamedTuple):
    """What an application asks of its server.

    Attributes:
      fields: names of the header fields that it looks at, in lower case.
      read_limits: returns the bounds on reading a request.
      body_limit: returns the size up to which it reads a request's body.
      refuse: makes, and counts, the answer to a request that is refused unread; None
        closes the connection without an answer.
    """

    fields: frozenset[str] = frozenset()
    read_limits: Callable[[], ReadLimits] = lambda: DEFAULT_READ_LIMITS
    body_limit: Callable[[RequestHead], int] = lambda head: 0
    refuse: Callable[[UnreadRefusal], HttpAnswer | None] = plain_refusal


class HttpServer:
    """Calls a WSGI application for the requests of clients.

    The application gets a request once it is complete; the body is an in-memory stream.

    Args:
      listener: a listening socket, owned and closed by the server.
      application: the WSGI application.
      policy: what it asks of the server.
      clients: the clients of this process.
    """

    def __init__(
        self,
        listener: socket.socket,
        application: Application,
        policy: RequestPolicy,
        clients: ClientRegistry,
    ) -> None:
        self._listener = listener
        self._application = application
        self._policy = policy
        self._clients = clients
        self._connections: set[ClientConnection] = set()
        self._answering = Pool()
        # Not the size of the pool: those that have ended stay in it for a while.
        self._unanswered = 0
        self._idle = Event()
        self._idle.set()
        host, port = listener.getsockname()
        self._environ = {
            "SERVER_NAME": host,
            "SERVER_PORT": str(port),
            "SCRIPT_NAME": "",
            "wsgi.url_scheme": "http",
        }
        self._port = port
        loop = get_hub().loop
        self._acceptable = loop.io(listener.fileno(), _READABLE)
        self._retry = loop.timer(_ACCEPT_RETRY_DELAY.total_seconds())

    @property
    def port(self) -> int:
        """TCP port."""
        return self._port

    def start(self) -> None:
        """Accept connections."""
        self._acceptable.start(self._accept)

    def close(self, grace: timedelta = timedelta()) -> None:
        """Stop accepting, let answers in progress complete, close all connections.

        Args:
          grace: how long to wait for the answers.
        """
        if self._listener.fileno() < 0:
            return
        for watcher in (self._acceptable, self._retry):
            watcher.stop()
            watcher.close()
        self._listener.close()
        if grace:
            self._idle.wait(grace.total_seconds())
        for connection in list(self._connections):
            connection.close()
        self._answering.kill(block=False)

    # Accepting

    def _accept(self) -> None:
        for _ in range(_MAX_ACCEPTED):
            try:
                sock, client = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # For example out of file descriptors. Pending connections stay in the
                # backlog meanwhile.
                details = {"reason": str(error)}
                _log.error({"message": "accept failed", "details": details})
                self._acceptable.stop()
                self._retry.start(self.start)
                return
            self._add(sock, client)

    def _add(self, sock: socket.socket, client: tuple[str, int]) -> None:
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # Reset before it was accepted.
            sock.close()
            return
        connection = ClientConnection(sock, client, self)
        self._connections.add(connection)
        self._clients.add(connection)

    # What connections need

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clients.clock

    @property
    def kept_fields(self) -> frozenset[str]:
        """Names of the header fields that the application looks at."""
        return self._policy.fields

    def read_limits(self) -> ReadLimits:
        """Return the bounds on the next request."""
        return self._policy.read_limits()

    def body_limit(self, head: RequestHead) -> int:
        """Return the size up to which a request's body is wanted."""
        return self._policy.body_limit(head)

    def pace(self, work: Work) -> None:
        """Queue work on a large request."""
        self._clients.pace(work)

    def on_held(self, change: int) -> None:
        """Account for a change of the bytes that are held."""
        self._clients.on_held(change)

    def on_closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)
        self._clients.remove(connection)

    def refusal(self, reason: Unread, head: RequestHead | None) -> bytes | None:
        """Return the answer to a request that isn't read; None to give none."""
        self._clients.count(reason)
        is_temporary = reason is Unread.CLIENTS_PRESS
        retry_after = PRESSED_RETRY_AFTER if is_temporary else None
        answer = self._policy.refuse(UnreadRefusal(reason, head, retry_after))
        if answer is None:
            return None
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            *answer.headers,
            ("Connection", "close"),
        ]
        return _encode_head(_status_line(answer.status), headers) + answer.body

    def on_request(self, connection: ClientConnection) -> None:
        """Answer a complete request in the background."""
        self._unanswered += 1
        self._idle.clear()
        self._answering.spawn(self._answer, connection)

    # Answering

    def _answer(self, connection: ClientConnection) -> None:
        try:
            payload, keeps_open = self._call(connection)
            connection.write(payload, keeps_open)
        finally:
            connection.abandon()
            self._unanswered -= 1
            if not self._unanswered:
                self._idle.set()

    def _call(self, connection: ClientConnection) -> tuple[Payload, bool]:
        """Call the application; return the encoded answer and whether to keep open."""
        head = connection.reader.head
        started: list[tuple[str, list[tuple[str, str]]]] = []

        def start(status: str, headers: list[tuple[str, str]], *error: Any) -> None:
            started[:] = [(status, headers)]

        try:
            environ = self._request_environ(connection, head)
            parts = self._application(environ, start)
            body = b"".join(parts)
            status, headers = started[0]
        except Exception:
            _log.exception({"message": "request failed", "details": {"on": head.path}})
            return Payload(_encode_head(_status_line(500), _CLOSING_HEADERS)), False
        names = {name.lower(): value for name, value in headers}
        keeps_open = head.keeps_alive and not connection.reader.is_cut
        if names.get("connection", "").lower() == "close":
            keeps_open = False
        elif not keeps_open:
            headers = [*headers, ("Connection", "close")]
        elif head.version == "HTTP/1.0":
            headers = [*headers, ("Connection", "keep-alive")]
        if "content-length" not in names and int(status[:3]) not in _NO_BODY:
            headers = [*headers, ("Content-Length", str(len(body)))]
        if head.method == "HEAD":
            body = b""
        encoded = _encode_head(status, headers)
        if isinstance(parts, SharedBody):
            return Payload(encoded, body), keeps_open
        return Payload(encoded + body), keeps_open

    def _request_environ(
        self, connection: ClientConnection, head: RequestHead
    ) -> Environ:
        length = connection.reader.content_length
        environ = {
            **self._environ,
            "REQUEST_METHOD": head.method,
            "PATH_INFO": head.decoded_path,
            "QUERY_STRING": head.query,
            "SERVER_PROTOCOL": head.version,
            "REMOTE_ADDR": connection.client[0],
            "REMOTE_PORT": str(connection.client[1]),
            "wsgi.input": _Body(connection),
            SOCKET_KEY: connection.sock,
        }
        for name, value in head.fields.items():
            environ["HTTP_" + name.upper().replace("-", "_")] = value
        if length is not None:
            environ["CONTENT_LENGTH"] = str(length)
        if "content-type" in head.fields:
            environ["CONTENT_TYPE"] = head.fields["content-type"]
        return environ


class _Body:
    """A request's body, which is kept only until it is read.

    An application keeps its environment until it has answered.
    """

    def __init__(self, connection: ClientConnection) -> None:
        self._connection: ClientConnection | None = connection
        self._rest = b""

    def read(self, size: int = -1) -> bytes:
        """Return, and forget, the next ``size`` bytes; all without a size."""
        if self._connection is not None:
            self._rest = self._connection.take_body()
            self._connection = None
        end = len(self._rest) if size < 0 else size
        taken, self._rest = self._rest[:end], self._rest[end:]
        return taken


_CLOSING_HEADERS = [("Content-Length", "0"), ("Connection", "close")]


def _status_line(status: int) -> str:
    return f"{status} {HTTPStatus(status).phrase}"


def _encode_head(status: str, headers: list[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status}"]
    lines += (f"{name}: {value}" for name, value in headers)
    lines.append(
        time.strftime("Date: %a, %d %b %Y %H:%M:%S GMT\r\n\r\n", time.gmtime())
    )
    return "\r\n".join(lines).encode("latin-1")
