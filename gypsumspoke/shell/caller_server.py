"""The HTTP server towards callers, around any WSGI application.

It bounds what a client can cost, and on a stop lets every answer under way be written.
It knows nothing of jobs, so that both kinds of entry share it and import no more.
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
# From the end of a request's first line to the end of its header, where no
# configuration says otherwise: a header comes in one packet or two.
HEADER_TIMEOUT = timedelta(seconds=10)
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
DISCARD_TIMEOUT_SECONDS = 5.0
STOP_TIMEOUT_SECONDS = 5.0
_DISCARD_CHUNK_BYTES = 16 * 1024


class CallerServer:
    """The HTTP server around the application.

    Args:
      host, port: where to listen; port 0 takes any free one.
      application: the WSGI application.
      header_timeout: returns how long a request's header may take.
      listener: a socket that listens there already, if there is one.
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
        """TCP port it listens on, once started."""
        return self._server.server_port

    def start(self) -> None:
        """Listen and serve on the loop.

        Raises:
          OSError: the port can't be had.
        """
        self._server.start()

    def close(self) -> None:
        """Stop listening, let every answer under way be written, close the rest."""
        self._server.stop_accepting()
        self._server.active_requests.wait_idle(STOP_TIMEOUT_SECONDS)
        self._server.stop(timeout=0)


class _ActiveRequests:
    """Counts requests whose answer is not fully written."""

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
        """Wait until no request is under way, for a bounded time."""
        self._idle.wait(seconds)


class _HeaderTimeout(Exception):
    """A request's header did not end in time."""


class _Handler(WSGIHandler):
    """Bounds what a client can cost: idle connections and bodies nobody wants."""

    def handle(self) -> None:
        self.socket.settimeout(IDLE_TIMEOUT_SECONDS)
        super().handle()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the header, within its bound.

        Without it a header that never ends would keep its connection for as long as
        its sender adds a byte a minute, and the connections are counted.
        """
        bound = self.server.header_timeout().total_seconds()
        with gevent.Timeout(bound, _HeaderTimeout):
            return super().read_request(raw_requestline)

    def get_environ(self) -> Environ:
        """Add the connection, on which an application may notice that a caller left."""
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
        """Read what is left of a refused body, within bounds; return whether all is.

        The refusal is written already. Closing with unread bytes would reset the
        connection, and the client would see that instead of the refusal.
        """
        left = MAX_DISCARDED_BYTES
        with gevent.Timeout(DISCARD_TIMEOUT_SECONDS, False):
            try:
                while left > 0:
                    piece = self.wsgi_input.read(_DISCARD_CHUNK_BYTES)
                    if not piece:
                        return True
                    left -= len(piece)
            except OSError:
                return False
        return False
