"""The administration port that every role has: metrics, health and readiness.

``/healthz`` tells whether the loop turns at all, ``/readyz`` whether new work may come.
A role adds its own routes as WSGI applications by path prefix. Operators and scrapers
share the port, so connections are bounded and idle ones are closed: otherwise a few
forgotten clients would keep an operator out.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from gevent import Timeout
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

MAX_CONNECTIONS = 64
IDLE_TIMEOUT_SECONDS = 10.0
REQUEST_TIMEOUT_SECONDS = 30.0

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

_OK = "200 OK"
_NOT_READY = "503 Service Unavailable"
_NOT_FOUND = "404 Not Found"
_NOT_ALLOWED = "405 Method Not Allowed"
_TIMED_OUT = "504 Gateway Timeout"
_TEXT = "text/plain; charset=utf-8"
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsRenderer(Protocol):
    """What the administration port asks of the metrics."""

    def render(self) -> bytes:
        """Return all metrics as text."""


class AdminServer:
    """HTTP server of the administration port.

    Args:
      host, port: where to listen; port 0 takes any free one.
      metrics: what ``/metrics`` shows.
      ready: whether this process takes new work now.
      extra_routes: WSGI applications by path prefix, such as ``/v1/``; the longest
        prefix that fits is taken.
    """

    def __init__(
        self,
        host: str,
        port: int,
        metrics: MetricsRenderer,
        ready: Callable[[], bool],
        extra_routes: Mapping[str, Application] | None = None,
    ) -> None:
        self._metrics = metrics
        self._ready = ready
        self._routes = dict(extra_routes or {})
        self._server = WSGIServer(
            (host, port),
            self._answer,
            spawn=Pool(MAX_CONNECTIONS),
            handler_class=IdleClosingHandler,
            log=None,
            error_log=logging.getLogger("gypsumspoke.admin"),
            environ=server_environ(host),
        )

    @property
    def port(self) -> int:
        """TCP port it listens on, once started."""
        return self._server.server_port

    def __enter__(self) -> "AdminServer":
        self.start()
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def start(self) -> None:
        """Listen and serve on the loop.

        Raises:
          OSError: the port can't be had.
        """
        self._server.start()

    def stop(self) -> None:
        """Close the port and give up open connections."""
        self._server.stop(timeout=0)

    def _answer(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        application = self._route(environ["PATH_INFO"])
        # A request that hangs would hold its connection for good.
        with Timeout(REQUEST_TIMEOUT_SECONDS, False):
            return application(environ, start)
        return _respond(start, _TIMED_OUT, b"timed out\n")

    def _route(self, path: str) -> Application:
        own = {
            "/metrics": self._show_metrics,
            "/healthz": self._show_health,
            "/readyz": self._show_readiness,
        }
        if path in own:
            return _only_get(own[path])
        fitting = [prefix for prefix in self._routes if path.startswith(prefix)]
        if not fitting:
            return _not_found
        return self._routes[max(fitting, key=len)]

    def _show_metrics(self, environ: Environ, start: StartResponse) -> list[bytes]:
        return _respond(start, _OK, self._metrics.render(), _METRICS_TYPE)

    def _show_health(self, environ: Environ, start: StartResponse) -> list[bytes]:
        return _respond(start, _OK, b"ok\n")

    def _show_readiness(self, environ: Environ, start: StartResponse) -> list[bytes]:
        if self._ready():
            return _respond(start, _OK, b"ready\n")
        return _respond(start, _NOT_READY, b"not ready\n")


def server_environ(host: str) -> dict[str, str]:
    """Return what a WSGI server must not find out by itself.

    The server asks the resolver for its host's name, in a thread started for that; a
    resolver that does not answer would hold up the start. Nobody reads the name.

    Args:
      host: the address listened on.
    """
    return {"SERVER_NAME": host}


class IdleClosingHandler(WSGIHandler):
    """Closes a connection that sends nothing or takes nothing for too long."""

    def handle(self) -> None:
        self.socket.settimeout(IDLE_TIMEOUT_SECONDS)
        super().handle()


def _only_get(application: Application) -> Application:
    def answer(environ: Environ, start: StartResponse) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            return _respond(start, _NOT_ALLOWED, b"only GET\n")
        return application(environ, start)

    return answer


def _not_found(environ: Environ, start: StartResponse) -> list[bytes]:
    return _respond(start, _NOT_FOUND, b"no such path\n")


def _respond(
    start: StartResponse, status: str, body: bytes, content_type: str = _TEXT
) -> list[bytes]:
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start(status, headers)
    return [body]
