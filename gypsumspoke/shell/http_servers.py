"""HTTP servers of the roles of best-effort jobs: metrics, readiness, registration."""

import logging
from contextlib import ExitStack

from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from gypsumspoke.runs.settings import Address
from gypsumspoke.shell.admin_http import (
    AdminServer,
    Application,
    IdleClosingHandler,
    MetricsRenderer,
    server_environ,
)
from gypsumspoke.shell.early_listeners import EarlyListeners

_MAX_CONNECTIONS = 32


def open_http_server(
    address: Address,
    application: Application,
    listeners: EarlyListeners,
    stack: ExitStack,
) -> None:
    """Serve an application for few clients, such as readiness checks or heartbeats.

    Args:
      address: where to listen.
      application: WSGI application.
      listeners: sockets that listen already.
      stack: closes the server.

    Raises:
      OSError: the address can't be bound.
    """
    server = WSGIServer(
        listeners.take(address) or address,
        application,
        spawn=Pool(_MAX_CONNECTIONS),
        handler_class=IdleClosingHandler,
        log=None,
        error_log=logging.getLogger("gypsumspoke.http"),
        environ=server_environ(address[0]),
    )
    server.start()
    stack.callback(server.stop, timeout=0)


def open_metrics(
    address: Address, metrics: MetricsRenderer, is_ready, stack: ExitStack
) -> None:
    """Serve metrics and health checks.

    Args:
      address: where to listen.
      metrics: metrics to expose.
      is_ready: whether this process accepts new work.
      stack: closes the server.
    """
    stack.enter_context(AdminServer(address[0], address[1], metrics, is_ready))
