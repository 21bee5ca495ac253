"""Start-up shared by both roles: identity, connections to peers, membership row."""

import logging
import os
from collections.abc import Callable
from contextlib import ExitStack, closing
from datetime import datetime
from typing import Any, NamedTuple

from gypsumspoke.core import membership
from gypsumspoke.core.clock import Clock
from gypsumspoke.core.effects import Effect
from gypsumspoke.core.values import Member
from gypsumspoke.parser.settings import Settings
from gypsumspoke.shell.link_metrics import add_link_gauges
from gypsumspoke.shell.metrics import Metrics
from gypsumspoke.shell.runtime import Reduce
from gypsumspoke.wire.hello import PROTOCOL_VERSION, Hello
from gypsumspoke.wire.links import PeerLinks

_INCARNATION_BYTES = 8
_SEED_BYTES = 8

_log = logging.getLogger(__name__)


class Identity(NamedTuple):
    """Random values generated at each start of a process.

    Attributes:
      incarnation: unique id of this start; begins with the worker's name.
      seed: seeds the random choices of reducers and reconnects.
    """

    incarnation: str
    seed: int


class PeerContext(NamedTuple):
    """Connections to peers and metrics of one process.

    Attributes:
      identity: identity of this start.
      links: connections to peers, listening.
      peer_port: port on which the links listen.
      metrics: metrics of this process, including those of the links.
    """

    identity: Identity
    links: PeerLinks
    peer_port: int
    metrics: Metrics


def open_peer_context(
    settings: Settings, clock: Clock, stack: ExitStack
) -> PeerContext:
    """Generate an identity and listen for peers.

    Args:
      settings: checked settings.
      clock: source of time.
      stack: closes the links.

    Raises:
      OSError: the port can't be bound.
    """
    identity = new_identity(settings)
    links = stack.enter_context(closing(open_links(settings, identity, clock)))
    peer_port = links.listen(settings.host, settings.peer_port)
    metrics = Metrics(settings.role.value, settings.worker)
    add_link_gauges(metrics, links)
    return PeerContext(identity, links, peer_port, metrics)


def new_identity(settings: Settings) -> Identity:
    """Return the identity of this start of the process."""
    suffix = os.urandom(_INCARNATION_BYTES).hex()
    seed = int.from_bytes(os.urandom(_SEED_BYTES), "big")
    return Identity(f"{settings.worker}-{suffix}", seed)


def open_links(settings: Settings, identity: Identity, clock: Clock) -> PeerLinks:
    """Return the connections to peers, not listening yet."""
    hello = Hello(
        PROTOCOL_VERSION,
        identity.incarnation,
        settings.worker,
        settings.partition_count,
    )
    return PeerLinks(hello, clock, identity.seed)


def own_member(
    settings: Settings,
    identity: Identity,
    peer_port: int,
    admin_port: int,
    now: datetime,
) -> Member:
    """Return the membership row of this process.

    Args:
      settings: checked settings.
      identity: identity of this start.
      peer_port, admin_port: bound ports.
      now: the current time.
    """
    return Member(
        incarnation=identity.incarnation,
        worker=settings.worker,
        role=settings.role,
        host=settings.host,
        port=peer_port,
        failure_domain=settings.failure_domain,
        rack=settings.rack,
        service=settings.service,
        slots=settings.slots,
        registered=now,
        ended=None,
        admin_port=admin_port,
    )


def with_addresses(
    reduce: Reduce,
    membership_of: Callable[[Any], membership.MembershipState],
    links: PeerLinks,
) -> Reduce:
    """Return a reducer that updates the links' addresses before effects are performed.

    An event that adds a member may also produce a message to it, a fence for example,
    which would be lost if its address were set afterwards.

    Args:
      reduce: the role's reducer.
      membership_of: returns the membership state within the role's state.
      links: connections to peers.
    """
    known_version = -1

    def reduce_with_addresses(state: Any, event: Any, now: datetime) -> list[Effect]:
        nonlocal known_version
        effects = reduce(state, event, now)
        part = membership_of(state)
        if part.members_version != known_version:
            known_version = part.members_version
            links.set_addresses(membership.members(part))
        return effects

    return reduce_with_addresses


def log_listening(**ports: int) -> None:
    """Log the bound ports, which the settings may leave to the kernel as 0."""
    _log.info({"message": "listening", "details": ports})
