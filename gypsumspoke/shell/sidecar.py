"""Sidecar process: runs the reducer of ``core/sidecar.py`` beside an upstream."""

from contextlib import ExitStack, closing

from gypsumspoke.core import membership, sidecar
from gypsumspoke.core.clock import Clock
from gypsumspoke.core.effects import ApplyManifest, StartUpstream
from gypsumspoke.core.process_limits import DEFAULT_PROCESS_LIMITS
from gypsumspoke.http.clients import ClientRegistry
from gypsumspoke.http.limits import client_limits
from gypsumspoke.parser.manifest import parse_manifest
from gypsumspoke.parser.settings import Settings
from gypsumspoke.shell import metrics
from gypsumspoke.shell.admin_http import AdminServer
from gypsumspoke.shell.client_metrics import add_client_gauges
from gypsumspoke.shell.role import (
    log_listening,
    open_peer_context,
    own_member,
    with_addresses,
)
from gypsumspoke.shell.runtime import Runtime
from gypsumspoke.shell.table_client import TableClient
from gypsumspoke.shell.upstream_client import UpstreamClient
from gypsumspoke.shell.upstream_http import MAX_BODY_BYTES, UPSTREAM_PATH, UpstreamHttp


def run(settings: Settings, clock: Clock) -> int:
    """Run a sidecar until its graceful stop is complete.

    Args:
      settings: checked settings of the role sidecar.
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
    # state, runtime and upstream later; nothing is served before the loop runs.
    announcements = UpstreamHttp(
        lambda: state,
        lambda event: runtime.post(event),
        own_metrics.count,
        lambda port: upstream.set_port(port),
        settings.upstream_port,
    )
    clients = ClientRegistry(client_limits(DEFAULT_PROCESS_LIMITS), clock)
    stack.callback(clients.close)
    add_client_gauges(own_metrics, clients)
    admin = AdminServer(
        settings.host,
        settings.admin_port,
        own_metrics,
        ready=lambda: sidecar.is_ready(state),
        extra_routes={UPSTREAM_PATH: announcements},
        clients=clients,
        max_body_bytes=MAX_BODY_BYTES,
    )
    stack.enter_context(admin)
    member = own_member(settings, identity, peer_port, admin.port, clock.now())
    state = sidecar.new_sidecar(
        member, settings.partition_count, identity.seed, parse_manifest
    )
    table = TableClient((settings.table_host, settings.table_port))
    stack.enter_context(closing(table))
    reduce = with_addresses(sidecar.reduce, _membership_of, links)
    runtime = Runtime(
        reduce,
        state,
        clock,
        links,
        table,
        drain_timeout=settings.drain_timeout,
        is_draining=lambda: state.is_draining,
    )
    metrics.install(runtime, own_metrics)
    upstream = _install_upstream(settings, state, runtime)
    log_listening(peer_port=peer_port, admin_port=admin.port)
    return runtime


def _membership_of(state: sidecar.SidecarState) -> membership.MembershipState:
    return state.membership


def _install_upstream(
    settings: Settings, state: sidecar.SidecarState, runtime: Runtime
) -> UpstreamClient:
    """Connect the upstream client and apply its service's policy on each manifest."""
    upstream = UpstreamClient(
        (settings.upstream_host, settings.upstream_port), runtime.post
    )

    def apply_manifest(effect: ApplyManifest) -> None:
        in_force = membership.manifest(state.membership)
        for policy in in_force.services:
            if policy.name == state.member.service:
                upstream.set_policy(policy)

    runtime.add_handler(StartUpstream, upstream.start)
    runtime.add_handler(ApplyManifest, apply_manifest)
    return upstream
