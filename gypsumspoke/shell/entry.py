"""Entry process: runs the reducer of ``core/entry_role.py`` with its servers."""

from collections.abc import Callable
from contextlib import ExitStack, closing
from datetime import timedelta

from gypsumspoke.core import entry_role, membership
from gypsumspoke.core.clock import Clock
from gypsumspoke.core.effects import Count, Deliver
from gypsumspoke.core.process_limits import DEFAULT_PROCESS_LIMITS
from gypsumspoke.http.clients import ClientRegistry
from gypsumspoke.http.limits import client_limits
from gypsumspoke.http.listening import listen
from gypsumspoke.http.server import HttpServer, RequestPolicy
from gypsumspoke.parser.manifest import parse_manifest
from gypsumspoke.parser.settings import Settings
from gypsumspoke.shell import metrics
from gypsumspoke.shell.admin_http import AdminServer
from gypsumspoke.shell.client_metrics import add_client_gauges
from gypsumspoke.shell.entry_http import EntryHttp
from gypsumspoke.shell.operator_http import (
    FIELDS as OPERATOR_FIELDS,
    MAX_BODY_BYTES,
    OperatorHttp,
)
from gypsumspoke.shell.operator_table import OperatorTable
from gypsumspoke.shell.role import (
    log_listening,
    open_peer_context,
    own_member,
    with_addresses,
)
from gypsumspoke.shell.runtime import Runtime
from gypsumspoke.shell.table_client import TableClient

OPERATOR_PREFIX = "/v1/"
# The reducer itself ends a stop that exceeds its timeout and answers all waiting
# callers; the runtime allows this much more before it ends the process.
_DRAIN_MARGIN = timedelta(seconds=5)
_STOP_GRACE = timedelta(seconds=5)


def run(settings: Settings, clock: Clock) -> int:
    """Run an entry until its graceful stop is complete.

    Args:
      settings: checked settings of the role entry.
      clock: source of time.

    Returns:
      The exit status; see ``Runtime.run``.

    Raises:
      OSError: a port can't be bound.
    """
    with ExitStack() as stack:
        return _open(settings, clock, stack).run()


def _open(settings: Settings, clock: Clock, stack: ExitStack) -> Runtime:
    """Bind the ports and connect the parts; the stack closes them."""
    identity, links, peer_port, own_metrics = open_peer_context(settings, clock, stack)
    # The member, and so the state, needs the bound admin port. The lambdas resolve
    # state and runtime later; nothing is served before the loop runs.
    operators = _open_operators(
        settings,
        clock,
        lambda: state.members,
        lambda event: runtime.post(event),
        own_metrics.count,
        stack,
    )
    clients = ClientRegistry(client_limits(DEFAULT_PROCESS_LIMITS), clock)
    stack.callback(clients.close)
    add_client_gauges(own_metrics, clients)
    admin = AdminServer(
        settings.host,
        settings.admin_port,
        own_metrics,
        ready=lambda: entry_role.is_ready(state),
        extra_routes={OPERATOR_PREFIX: operators},
        clients=clients,
        fields=OPERATOR_FIELDS,
        max_body_bytes=MAX_BODY_BYTES,
    )
    stack.enter_context(admin)
    member = own_member(settings, identity, peer_port, admin.port, clock.now())
    state = entry_role.new_entry_role(
        member,
        settings.partition_count,
        identity.seed,
        parse_manifest,
        settings.drain_timeout,
    )
    table = stack.enter_context(closing(_table_client(settings)))
    runtime = Runtime(
        with_addresses(entry_role.reduce, _membership_of, links),
        state,
        clock,
        links,
        table,
        drain_timeout=settings.drain_timeout + _DRAIN_MARGIN,
        is_draining=lambda: entry_role.is_draining(state),
    )
    metrics.install(runtime, own_metrics)
    callers = _open_callers(settings, clock, state, runtime, own_metrics, clients)
    stack.callback(callers.close, _STOP_GRACE)
    log_listening(peer_port=peer_port, http_port=callers.port, admin_port=admin.port)
    return runtime


def _membership_of(state: entry_role.EntryRoleState) -> membership.MembershipState:
    return state.members


def _table_client(settings: Settings) -> TableClient:
    return TableClient((settings.table_host, settings.table_port))


def _open_operators(
    settings: Settings,
    clock: Clock,
    view: Callable[[], membership.MembershipState],
    post: Callable[[object], None],
    count: Callable[[Count], None],
    stack: ExitStack,
) -> OperatorHttp:
    """Return the operators' HTTP interface with its own table client."""
    table = stack.enter_context(closing(OperatorTable(_table_client(settings))))
    return OperatorHttp(table, view, post, count, clock)


def _open_callers(
    settings: Settings,
    clock: Clock,
    state: entry_role.EntryRoleState,
    runtime: Runtime,
    own_metrics: metrics.Metrics,
    clients: ClientRegistry,
) -> HttpServer:
    """Start the callers' server and connect it to the runtime."""
    application = EntryHttp(
        runtime.post,
        own_metrics.count,
        clock,
        is_draining=lambda: entry_role.is_draining(state),
    )
    runtime.add_handler(Deliver, application.deliver)
    policy = RequestPolicy(
        application.FIELDS,
        body_limit=application.body_limit,
        refuse=application.refuse_unread,
    )
    listener = listen((settings.host, settings.http_port), clients.buffers)
    server = HttpServer(listener, application, policy, clients)
    server.start()
    return server
