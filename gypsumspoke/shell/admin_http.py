"""The administration port that every role has: metrics, health and readiness.

``/healthz`` answers while the event loop runs, ``/readyz`` succeeds while the process
accepts new work. A role adds its own routes as WSGI applications by path prefix.
Connections are bounded and idle ones are closed, so that abandoned clients don't lock
out operators and scrapers.
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
    """Renders metrics for ``/metrics``."""

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


class AdminServer:
    """HTTP server of the administration port.

    Args:
      host, port: address to listen on; port 0 selects any free port.
      metrics: rendered for ``/metrics``.
      ready: returns whether this process accepts new work.
      extra_routes: WSGI applications by path prefix, such as ``/v1/``; the longest
        matching prefix wins.
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
        """The listening TCP port, once started."""
        return self._server.server_port

    def __enter__(self) -> "AdminServer":
        self.start()
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def start(self) -> None:
        """Listen and serve requests on the event loop.

        Raises:
          OSError: the address can't be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Close the port and abort open connections."""
        self._server.stop(timeout=0)

    def _answer(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        application = self._route(environ["PATH_INFO"])
        # Without a timeout a hung request would occupy its connection forever.
        with Timeout(REQUEST_TIMEOUT_SECONDS, False):
            return application(environ, start)
        return _respond(start, _TIMED_OUT, b"timed out\n")

    def _route(self, path: str) -> Application:
        builtin = {
            "/metrics": self._show_metrics,
            "/healthz": self._show_health,
            "/readyz": self._show_readiness,
        }
        if path in builtin:
            return _only_get(builtin[path])
        matching = [prefix for prefix in self._routes if path.startswith(prefix)]
        if not matching:
            return _not_found
        return self._routes[max(matching, key=len)]

    def _show_metrics(self, environ: Environ, start: StartResponse) -> list[bytes]:
        return _respond(start, _OK, self._metrics.render(), _METRICS_TYPE)

    def _show_health(self, environ: Environ, start: StartResponse) -> list[bytes]:
        return _respond(start, _OK, b"ok\n")

    def _show_readiness(self, environ: Environ, start: StartResponse) -> list[bytes]:
        if self._ready():
            return _respond(start, _OK, b"ready\n")
        return _respond(start, _NOT_READY, b"not ready\n")


def server_environ(host: str) -> dict[str, str]:
    """Return a WSGI environment that sets SERVER_NAME.

    Without SERVER_NAME the server looks up its host name, and an unresponsive resolver
    would delay the start.

    Args:
      host: the address it listens on.
    """
    return {"SERVER_NAME": host}


class IdleClosingHandler(WSGIHandler):
    """Closes a connection on which reads or writes make no progress for too long."""

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
