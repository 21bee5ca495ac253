"""HTTP servers of the roles of best-effort jobs."""

from contextlib import ExitStack
from datetime import timedelta

from gypsumspoke.http.clients import ClientRegistry
from gypsumspoke.http.listening import listen
from gypsumspoke.http.server import (
    Application,
    HttpServer,
    RequestPolicy,
)
from gypsumspoke.runs.settings import Address
from gypsumspoke.shell.admin_http import AdminServer, MetricsRenderer
from gypsumspoke.shell.early_listeners import EarlyListeners


def open_http_server(
    address: Address,
    application: Application,
    listeners: EarlyListeners,
    stack: ExitStack,
    clients: ClientRegistry,
    policy: RequestPolicy = RequestPolicy(),
    grace: timedelta = timedelta(),
) -> HttpServer:
    """Serve an application.

    Args:
      address: where to listen.
      application: WSGI application.
      listeners: sockets that listen already.
      stack: closes the server.
      clients: the clients of this process.
      policy: what the application asks of its server.
      grace: how long answers in progress may take when the server is closed.

    Raises:
      OSError: the address can't be bound.
    """
    listener = listeners.take(address) or listen(address, clients.buffers)
    server = HttpServer(listener, application, policy, clients)
    server.start()
    stack.callback(server.close, grace)
    return server


def open_metrics(
    address: Address,
    metrics: MetricsRenderer,
    is_ready,
    stack: ExitStack,
    clients: ClientRegistry,
) -> None:
    """Serve metrics and health checks.

    Args:
      address: where to listen.
      metrics: metrics to expose.
      is_ready: whether this process accepts new work.
      stack: closes the server.
      clients: the clients of this process.
    """
    server = AdminServer(*address, metrics, is_ready, clients=clients)
    stack.enter_context(server)
