"""Keeps one connection to each of a set of addresses, whoever answers there.

A process that starts again keeps its address but not its incarnation. Dialling by
address reaches it at once, also while the store, which names incarnations, is away.
"""

import logging
import random
import socket as standard_socket
from collections.abc import Iterable
from datetime import datetime, timedelta

import gevent
from gevent.socket import socket

from gypsumspoke.core.clock import Clock
from gypsumspoke.wire.connection import Connection
from gypsumspoke.wire.links import PeerLinks
from gypsumspoke.wire.redial import Redial

Address = tuple[str, int]

_ROUND = timedelta(milliseconds=25)
_log = logging.getLogger(__name__)


class _Target:
    """One address and the connection to it."""

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.dialling = False
        self.retry_at: datetime | None = None
        self.redial = Redial()


class Dialler:
    """Connects to addresses and connects again.

    Args:
      links: takes the connections.
      clock: source of time.
      seed: for the jitter of the pauses.
    """

    def __init__(self, links: PeerLinks, clock: Clock, seed: int = 0) -> None:
        self._links = links
        self._clock = clock
        self._random = random.Random(seed)
        self._targets: dict[Address, _Target] = {}
        self._greenlet: gevent.Greenlet | None = None

    def set_addresses(self, addresses: Iterable[Address]) -> None:
        """Take the addresses to connect to; connections to others are left alone."""
        wanted = set(addresses)
        for address in wanted - self._targets.keys():
            self._targets[address] = _Target()
        for address in self._targets.keys() - wanted:
            del self._targets[address]

    def start(self) -> None:
        """Begin to dial."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop dialling; connections stay."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            now = self._clock.now()
            for address, target in list(self._targets.items()):
                self._dial_if_due(address, target, now)
            gevent.sleep(_ROUND.total_seconds())

    def _dial_if_due(self, address: Address, target: _Target, now: datetime) -> None:
        if target.connection is not None:
            if not target.connection.closed:
                return
            target.connection = None
        if target.dialling or (target.retry_at is not None and now < target.retry_at):
            return
        target.dialling = True
        gevent.spawn(self._dial, address, target)

    def _dial(self, address: Address, target: _Target) -> None:
        sock = socket(standard_socket.AF_INET, standard_socket.SOCK_STREAM)
        sock.settimeout(target.redial.patience.total_seconds())
        try:
            sock.connect(address)
        except OSError as error:
            sock.close()
            self._note_failure(address, target, error)
            return
        finally:
            target.dialling = False
        sock.settimeout(None)
        target.retry_at = self._clock.now() + target.redial.note_connected()
        target.connection = self._links.adopt(sock)

    def _note_failure(self, address: Address, target: _Target, error: OSError) -> None:
        if target.redial.is_first:
            # Each further failure says the same.
            details = {"address": f"{address[0]}:{address[1]}", "reason": str(error)}
            _log.info({"message": "dial failed", "details": details})
        if isinstance(error, ConnectionRefusedError):
            pause = target.redial.note_refused()
        else:
            pause = target.redial.note_unanswered()
        target.retry_at = self._clock.now() + pause * self._random.uniform(0.5, 1.0)
