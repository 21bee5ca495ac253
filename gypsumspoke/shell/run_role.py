"""Start-up shared by both roles of best-effort jobs: peers, metrics, event loop."""

import gc
import logging
import os
import signal
import socket
from contextlib import ExitStack, closing
from datetime import timedelta
from typing import Any, NamedTuple, Protocol

import gevent
from gevent import socket as gevent_socket

from gypsumspoke.core.clock import Clock
from gypsumspoke.core.effects import Count, Log, Observe
from gypsumspoke.http.clients import ClientRegistry
from gypsumspoke.http.limits import client_limits
from gypsumspoke.runs.directory import (
    CloseConnection,
    DialEntries,
    ReplaceConnection,
)
from gypsumspoke.runs.settings import RunSettings, parse_address
from gypsumspoke.shell.client_metrics import add_client_gauges
from gypsumspoke.shell.deferred_metrics import DeferredMetrics
from gypsumspoke.shell.early_listeners import EarlyListeners
from gypsumspoke.shell.link_metrics import add_link_gauges
from gypsumspoke.shell.logs import log
from gypsumspoke.shell.runtime import Reduce, Runtime
from gypsumspoke.shell.settings_file import SettingsFile
from gypsumspoke.wire.dialler import Dialler
from gypsumspoke.wire.hello import PROTOCOL_VERSION, Hello
from gypsumspoke.wire.links import PeerLinks

# Reports and acks are sent several times a second, so a connection silent for this
# long is dead. Sidecars replace theirs earlier (``runs/silent_links.py``).
MAX_SILENCE = timedelta(milliseconds=750)
# Best-effort jobs have no homes. The hello carries this count, so processes with homes
# are refused as peers.
_PARTITIONS = 0
# A stop that the reducer does not end by itself ends this long before the platform
# kills the process.
_KILL_MARGIN = timedelta(milliseconds=300)

_log = logging.getLogger(__name__)


class StorePort(Protocol):
    """The store, as a role uses it."""

    def start(self) -> None:
        """Start posting the contents of the store as events."""

    def close(self) -> None:
        """Stop the client."""


class RunContext(NamedTuple):
    """Peers and metrics of one process.

    Attributes:
      incarnation: unique id of this start; begins with the instance's name.
      links: connections to peers.
      dialler: maintains connections to entries.
      metrics: metrics of this process.
      clients: the HTTP clients of this process.
    """

    incarnation: str
    links: PeerLinks
    dialler: Dialler
    metrics: DeferredMetrics
    clients: ClientRegistry


def open_run_context(
    settings: RunSettings,
    role: str,
    clock: Clock,
    listeners: EarlyListeners,
    stack: ExitStack,
) -> RunContext:
    """Generate an incarnation and listen for peers, if the role accepts them.

    Args:
      settings: settings of this process.
      role: name of the role, for metrics.
      clock: monotonic clock.
      listeners: sockets that listen already; closed with the stack.
      stack: closes the resources opened here.

    Raises:
      OSError: the port can't be bound.
    """
    stack.callback(listeners.close)
    incarnation = f"{settings.instance}-{os.urandom(8).hex()}"
    seed = int.from_bytes(os.urandom(8), "big")
    hello = Hello(PROTOCOL_VERSION, incarnation, settings.instance, _PARTITIONS)
    links = stack.enter_context(closing(PeerLinks(hello, clock, seed, MAX_SILENCE)))
    if settings.peers is not None:
        links.listen(*settings.peers, _gevent_socket(listeners.take(settings.peers)))
    dialler = stack.enter_context(closing(Dialler(links, clock, seed)))
    metrics = DeferredMetrics(role, settings.instance)
    add_link_gauges(metrics, links)
    clients = ClientRegistry(client_limits(settings.limits), clock)
    stack.callback(clients.close)
    add_client_gauges(metrics, clients)
    return RunContext(incarnation, links, dialler, metrics, clients)


def _gevent_socket(sock: socket.socket | None) -> gevent_socket.socket | None:
    if sock is None:
        return None
    return gevent_socket.socket(sock.family, sock.type, fileno=sock.detach())


def open_runtime(
    settings: RunSettings,
    context: RunContext,
    reduce: Reduce,
    state: Any,
    clock: Clock,
    in_turns: bool = False,
) -> Runtime:
    """Return the event loop of a reducer with the handlers that both roles share.

    Args:
      settings: settings of this process.
      context: peers and metrics.
      reduce: the role's reducer.
      state: the reducer's state.
      clock: monotonic clock.
      in_turns: see ``Runtime``.
    """
    runtime = Runtime(
        reduce,
        state,
        clock,
        context.links,
        drain_timeout=settings.grace - _KILL_MARGIN,
        ends_on_second_signal=False,
        tick=settings.budget.tick,
        in_turns=in_turns,
    )
    runtime.add_handler(Count, context.metrics.count)
    runtime.add_handler(Observe, context.metrics.observe)
    runtime.add_handler(Log, log)

    def dial(effect: DialEntries) -> None:
        context.dialler.set_addresses(map(parse_address, effect.addresses))

    def close_connection(effect: CloseConnection) -> None:
        context.links.disconnect(effect.incarnation)

    runtime.add_handler(DialEntries, dial)

    def replace_connection(effect: ReplaceConnection) -> None:
        context.dialler.replace(effect.incarnation)

    runtime.add_handler(CloseConnection, close_connection)
    runtime.add_handler(ReplaceConnection, replace_connection)
    return runtime


def run_until_stopped(
    runtime: Runtime,
    context: RunContext,
    store: StorePort,
    to_dial: tuple[str, ...],
    settings_file: SettingsFile,
    stack: ExitStack,
) -> int:
    """Start all parts and run the event loop.

    Args:
      runtime: the event loop.
      context: peers and metrics.
      store: started here, closed by the stack.
      to_dial: initial addresses of entries.
      settings_file: reread on SIGHUP and checked periodically.
      stack: closes the resources opened here.

    Returns:
      The exit status; see ``Runtime.run``.
    """
    on_hangup = gevent.signal_handler(signal.SIGHUP, settings_file.read, runtime.post)
    stack.callback(on_hangup.cancel)
    watching = gevent.spawn(settings_file.watch, runtime.post)
    stack.callback(watching.kill)
    stack.enter_context(closing(store))
    context.dialler.set_addresses(map(parse_address, to_dial))
    context.dialler.start()
    store.start()
    details = {"incarnation": context.incarnation}
    _log.info({"message": "started", "details": details})
    # What is loaded by now stays; collections needn't look at it again.
    gc.freeze()
    gc.enable()
    return runtime.run()
