"""The administration port that every role has: metrics, health and readiness.

``/healthz`` answers while the event loop runs, ``/readyz`` succeeds while the process
accepts new work. A role adds its own routes as WSGI applications by path prefix.
Idle connections are closed, so that abandoned clients don't lock out operators and
scrapers.
"""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any, Protocol

from gevent import Timeout

from gypsumspoke.http.clients import ClientRegistry
from gypsumspoke.http.heads import RequestHead
from gypsumspoke.http.listening import listen
from gypsumspoke.http.server import HttpServer, RequestPolicy
from gypsumspoke.http.values import ReadLimits, SharedBody

READ_LIMITS = ReadLimits(idle_timeout=timedelta(seconds=10))
REQUEST_TIMEOUT_SECONDS = 30.0
# Rendered metrics are reused for this many times as long as rendering took, so that
# frequent requests for them take a bounded part of the processor time.
_RENDER_PAUSE_FACTOR = 10

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
      clients: the clients of this process.
      fields: names of the header fields that the extra routes look at.
      max_body_bytes: size of the largest body that they read.
    """

    def __init__(
        self,
        host: str,
        port: int,
        metrics: MetricsRenderer,
        ready: Callable[[], bool],
        extra_routes: Mapping[str, Application] | None = None,
        clients: ClientRegistry | None = None,
        fields: frozenset[str] = frozenset(),
        max_body_bytes: int = 0,
    ) -> None:
        self._address = (host, port)
        self._metrics = metrics
        self._ready = ready
        self._routes = dict(extra_routes or {})
        self._clients = clients or ClientRegistry()
        self._max_body_bytes = max_body_bytes
        self._policy = RequestPolicy(fields, lambda: READ_LIMITS, self._body_limit)
        self._server: HttpServer | None = None
        self._rendered = b""
        self._render_again_at = self._clients.clock.now()

    @property
    def port(self) -> int:
        """The listening TCP port, once started."""
        return self._server.port

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
        listener = listen(self._address, self._clients.buffers)
        self._server = HttpServer(listener, self._answer, self._policy, self._clients)
        self._server.start()

    def stop(self) -> None:
        """Close the port and abort open connections."""
        self._server.close()

    def _body_limit(self, head: RequestHead) -> int:
        is_extra = self._route(head.decoded_path) in self._routes.values()
        return self._max_body_bytes if is_extra else 0

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
        started = self._clients.clock.now()
        if started >= self._render_again_at:
            self._rendered = self._metrics.render()
            now = self._clients.clock.now()
            self._render_again_at = now + (now - started) * _RENDER_PAUSE_FACTOR
        return SharedBody(_respond(start, _OK, self._rendered, _METRICS_TYPE))

    def _show_health(self, environ: Environ, start: StartResponse) -> list[bytes]:
        return _respond(start, _OK, b"ok\n")

    def _show_readiness(self, environ: Environ, start: StartResponse) -> list[bytes]:
        if self._ready():
            return _respond(start, _OK, b"ready\n")
        return _respond(start, _NOT_READY, b"not ready\n")


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
