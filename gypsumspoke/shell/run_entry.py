"""Entry process of best-effort jobs: servers, store and loop of the coordinator."""

from collections.abc import Callable
from contextlib import ExitStack
from datetime import timedelta
from functools import partial
from typing import Any, NamedTuple, Protocol

from returns.result import Result

from gypsumspoke.core.clock import Clock
from gypsumspoke.http.limits import client_limits
from gypsumspoke.http.server import RequestPolicy
from gypsumspoke.http.values import DEFAULT_READ_LIMITS, ReadLimits
from gypsumspoke.runs import coordinator
from gypsumspoke.runs.caller_timeouts import StoreCallerTimeouts
from gypsumspoke.runs.cancellations import (
    AnswerCancel,
    RemoveCancelledJobs,
    StoreCancelledJobs,
)
from gypsumspoke.runs.coordinator_state import (
    AnswerJob,
    CoordinatorState,
    FirstConfiguration,
    PlacingContinues,
)
from gypsumspoke.runs.directory import Directory, neighbours
from gypsumspoke.runs.settings import RunSettings, address_text
from gypsumspoke.runs.values import Configuration
from gypsumspoke.shell.early_listeners import EarlyListeners
from gypsumspoke.shell.http_servers import open_http_server, open_metrics
from gypsumspoke.shell.run_role import (
    StorePort,
    open_run_context,
    open_runtime,
    run_until_stopped,
)
from gypsumspoke.shell.settings_file import SettingsFile

# Answers that are complete when an entry has stopped are still written.
_STOP_GRACE = timedelta(seconds=5)


class EntryStorePort(StorePort, Protocol):
    """The store, as an entry uses it."""

    def store_caller_timeouts(self, effect: StoreCallerTimeouts) -> None:
        """Store the learned timeouts of callers without blocking."""

    def store_cancelled_jobs(self, effect: StoreCancelledJobs) -> None:
        """Store cancelled jobs without blocking, and post an event when they are."""

    def remove_cancelled_jobs(self, effect: RemoveCancelledJobs) -> None:
        """Remove stored cancelled jobs without blocking."""


class EntryAdapter(NamedTuple):
    """Factories of the platform-specific parts of an entry.

    Attributes:
      parse_configuration: parses the text of a configuration.
      open_callers: makes the WSGI application towards callers, with ``deliver``,
        ``deliver_cancel``, ``on_first_configuration``, ``abort_all``, ``body_limit``,
        ``refuse_unread`` and ``FIELDS``, from the functions that post an event and
        count a refusal, the clock and the state.
      readiness: makes the WSGI application that reports whether the entry is ready.
      open_store: makes the store's client from the settings and the post function.
      settings_file: the settings file, for reloads.
    """

    parse_configuration: Callable[[str], Result[Configuration, str]]
    open_callers: Callable[..., Any]
    readiness: Callable[[Callable[[], bool]], Any]
    open_store: Callable[[RunSettings, Callable[[Any], None]], EntryStorePort]
    settings_file: SettingsFile


def run(
    settings: RunSettings,
    clock: Clock,
    adapter: EntryAdapter,
    listeners: EarlyListeners,
) -> int:
    """Run an entry until its graceful stop is complete.

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
        context = open_run_context(settings, "entry", clock, listeners, stack)
        own_address = address_text(settings.peers)
        state = CoordinatorState(
            adapter.parse_configuration,
            Directory(
                own_address,
                settings.known_entries,
                partial(neighbours, own_address),
            ),
            clock.now(),
            settings.budget,
            settings.remote_slowdown,
            context.incarnation,
            client_limits(settings.limits).job_bytes,
        )
        runtime = open_runtime(
            settings, context, coordinator.handle_event, state, clock, in_turns=True
        )
        runtime.add_handler(PlacingContinues, runtime.post)
        callers = adapter.open_callers(
            runtime.post, context.metrics.count, clock, state
        )
        runtime.add_handler(AnswerJob, callers.deliver)
        runtime.add_handler(AnswerCancel, callers.deliver_cancel)
        runtime.add_handler(FirstConfiguration, callers.on_first_configuration)
        context.metrics.gauge(
            "cordoned_domains",
            "Failure domains that operators have cordoned.",
            lambda: len(state.cordons.domains),
        )
        context.metrics.gauge(
            "job_bytes",
            "Estimated memory of the jobs in progress.",
            lambda: state.job_bytes,
        )
        context.metrics.gauge(
            "cancelled_jobs",
            "Cancelled jobs that this entry knows and doesn't run again.",
            lambda: len(state.cancellations),
        )
        is_ready = partial(_is_ready, state, clock)
        clients = context.clients
        open_metrics(settings.metrics, context.metrics, is_ready, stack, clients)
        readiness = adapter.readiness(is_ready)
        open_http_server(settings.readiness, readiness, listeners, stack, clients)
        policy = RequestPolicy(
            callers.FIELDS,
            partial(_read_limits, state),
            callers.body_limit,
            callers.refuse_unread,
        )
        open_http_server(
            settings.callers, callers, listeners, stack, clients, policy, _STOP_GRACE
        )
        stack.callback(callers.abort_all)
        store = adapter.open_store(settings, runtime.post)
        runtime.add_handler(StoreCallerTimeouts, store.store_caller_timeouts)
        runtime.add_handler(StoreCancelledJobs, store.store_cancelled_jobs)
        runtime.add_handler(RemoveCancelledJobs, store.remove_cancelled_jobs)
        return run_until_stopped(
            runtime,
            context,
            store,
            state.directory.to_dial,
            adapter.settings_file,
            stack,
        )


def _read_limits(state: CoordinatorState) -> ReadLimits:
    if state.table is None:
        return DEFAULT_READ_LIMITS
    limits = state.table.configuration.limits
    return ReadLimits(limits.header_bytes, limits.header_timeout, limits.idle_timeout)


def _is_ready(state: CoordinatorState, clock: Clock) -> bool:
    return coordinator.is_ready(state, clock.now())
