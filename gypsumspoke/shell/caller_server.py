"""HTTP server for callers.

It limits the resources that a client can occupy, and on a stop lets answers in progress
complete. It does not depend on jobs, so both kinds of entry use it.
"""

import logging
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import gevent
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import Input, WSGIHandler, WSGIServer
from gevent.socket import socket

from gypsumspoke.shell.admin_http import server_environ

Environ = dict[str, Any]
Application = Callable[..., Iterable[bytes]]

SOCKET_KEY = "gypsumspoke.socket"
MAX_CONNECTIONS = 3_000
IDLE_TIMEOUT_SECONDS = 60.0
# Default time from the end of the request line to the end of the header, which comes
# in one or two packets.
HEADER_TIMEOUT = timedelta(seconds=10)
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
DISCARD_TIMEOUT_SECONDS = 5.0
STOP_TIMEOUT_SECONDS = 5.0
_DISCARD_CHUNK_BYTES = 16 * 1024


class CallerServer:
    """Serves a WSGI application to callers.

    Args:
      host, port: where to listen; port 0 takes any free one.
      application: the WSGI application.
      header_timeout: returns the current timeout for reading a request's header.
      listener: socket that listens on the address already, if any.
    """

    def __init__(
        self,
        host: str,
        port: int,
        application: Application,
        header_timeout: Callable[[], timedelta] = lambda: HEADER_TIMEOUT,
        listener: socket | None = None,
    ) -> None:
        self._server = WSGIServer(
            listener or (host, port),
            application,
            spawn=Pool(MAX_CONNECTIONS),
            handler_class=_Handler,
            log=None,
            error_log=logging.getLogger("gypsumspoke.callers"),
            environ=server_environ(host),
        )
        self._server.active_requests = _ActiveRequests()
        self._server.header_timeout = header_timeout

    @property
    def port(self) -> int:
        """TCP port, available once started."""
        return self._server.server_port

    def start(self) -> None:
        """Listen and serve on the event loop.

        Raises:
          OSError: the port can't be bound.
        """
        self._server.start()

    def close(self) -> None:
        """Stop listening, let answers in progress complete, close all connections."""
        self._server.stop_accepting()
        self._server.active_requests.wait_idle(STOP_TIMEOUT_SECONDS)
        self._server.stop(timeout=0)


class _ActiveRequests:
    """Counts requests whose answer is not completely written."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = Event()
        self._idle.set()

    def __enter__(self) -> None:
        self._count += 1
        self._idle.clear()

    def __exit__(self, *error: object) -> None:
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    def wait_idle(self, seconds: float) -> None:
        """Wait until no request is active, for a bounded time."""
        self._idle.wait(seconds)


class _HeaderTimeout(Exception):
    """A request's header was not complete in time."""


class _Handler(WSGIHandler):
    """Limits idle connections, slow headers and unread request bodies."""

    def handle(self) -> None:
        self.socket.settimeout(IDLE_TIMEOUT_SECONDS)
        super().handle()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the header within its timeout.

        The idle timeout alone would let a client that sends a byte now and then occupy
        one of the limited connections.
        """
        seconds = self.server.header_timeout().total_seconds()
        with gevent.Timeout(seconds, _HeaderTimeout):
            return super().read_request(raw_requestline)

    def get_environ(self) -> Environ:
        """Add the socket, so that the application can detect a disconnect."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_response(self) -> None:
        with self.server.active_requests:
            super().handle_one_response()

    def run_application(self) -> None:
        super().run_application()
        if not self._discard_rest():
            self.wsgi_input = Input(self.rfile, 0)
            self.close_connection = True

    def _discard_rest(self) -> bool:
        """Discard the unread part of a body, within limits; return whether all is read.

        Closing a connection with unread bytes resets it, and the client would see the
        reset instead of the answer that is already written.
        """
        left = MAX_DISCARDED_BYTES
        with gevent.Timeout(DISCARD_TIMEOUT_SECONDS, False):
            try:
                while left > 0:
                    chunk = self.wsgi_input.read(_DISCARD_CHUNK_BYTES)
                    if not chunk:
                        return True
                    left -= len(chunk)
            except OSError:
                return False
        return False
