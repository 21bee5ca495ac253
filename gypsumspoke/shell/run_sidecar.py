"""Sidecar process of best-effort jobs: servers, store and loop of the supervisor."""

from collections.abc import Callable
from contextlib import ExitStack, closing
from functools import partial
from typing import Any, NamedTuple, Protocol

from gypsumspoke.core.clock import Clock
from gypsumspoke.http.server import RequestPolicy
from gypsumspoke.runs import supervisor
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.entry_group import EntryGroup
from gypsumspoke.runs.settings import RunSettings
from gypsumspoke.runs.supervisor_report import can_start
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.worker_commands import RenewCommand, StartCommand, StopCommand
from gypsumspoke.runs.worker_record import StoreWorkerRecord
from gypsumspoke.shell.early_listeners import EarlyListeners
from gypsumspoke.shell.http_servers import open_http_server, open_metrics
from gypsumspoke.shell.run_role import (
    RunContext,
    StorePort,
    open_run_context,
    open_runtime,
    run_until_stopped,
)
from gypsumspoke.shell.settings_file import SettingsFile


class SidecarStorePort(StorePort, Protocol):
    """The store, as a sidecar uses it."""

    def store_worker_record(self, effect: StoreWorkerRecord) -> None:
        """Store the record of the worker without blocking."""


class SidecarAdapter(NamedTuple):
    """Factories of the platform-specific parts of a sidecar.

    Attributes:
      open_worker: makes the worker's client from its address, the function that posts
        an event, and the clock.
      registration: makes the WSGI application that receives the worker's heartbeats.
      open_store: makes the store's client from the settings and the post function.
      settings_file: the settings file, for reloads.
    """

    open_worker: Callable[..., Any]
    registration: Callable[[Callable[[Any], None]], Any]
    open_store: Callable[[RunSettings, Callable[[Any], None]], SidecarStorePort]
    settings_file: SettingsFile


def run(
    settings: RunSettings,
    clock: Clock,
    adapter: SidecarAdapter,
    listeners: EarlyListeners,
) -> int:
    """Run a sidecar until its graceful stop is complete.

    Args:
      settings: settings of this process.
      clock: monotonic clock.
      adapter: platform-specific parts.
      listeners: sockets that listen already.

    Returns:
      The exit status; see ``Runtime.run``.

    Raises:
      OSError: a port can't be bound.
    """
    with ExitStack() as stack:
        context = open_run_context(settings, "sidecar", clock, listeners, stack)
        group = EntryGroup(settings.instance, clock.now())
        state = SupervisorState(
            settings.service,
            Directory("", settings.known_entries, group.select),
            clock.now(),
            settings.budget,
            group,
            settings.failure_domain,
        )
        runtime = open_runtime(settings, context, supervisor.reduce, state, clock)
        worker = stack.enter_context(
            closing(adapter.open_worker(settings.worker, runtime.post, clock))
        )
        runtime.add_handler(StartCommand, worker.start)
        runtime.add_handler(StopCommand, worker.stop)
        runtime.add_handler(RenewCommand, worker.renew)
        _add_gauges(context, state)
        is_ready = partial(_is_ready, state, clock)
        clients = context.clients
        open_metrics(settings.metrics, context.metrics, is_ready, stack, clients)
        registration = adapter.registration(runtime.post)
        policy = RequestPolicy(body_limit=registration.body_limit)
        open_http_server(
            settings.registration, registration, listeners, stack, clients, policy
        )
        store = adapter.open_store(settings, runtime.post)
        runtime.add_handler(StoreWorkerRecord, store.store_worker_record)
        return run_until_stopped(
            runtime,
            context,
            store,
            state.directory.to_dial,
            adapter.settings_file,
            stack,
        )


def _add_gauges(context: RunContext, state: SupervisorState) -> None:
    context.metrics.gauge(
        "runs", "Runs on the worker that have not ended.", lambda: len(state.runs)
    )
    context.metrics.gauge(
        "cordoned",
        "Whether operators have cordoned the failure domain.",
        lambda: state.is_cordoned,
    )


def _is_ready(state: SupervisorState, clock: Clock) -> bool:
    return can_start(state, clock.now())
