"""Keeps a connection to each of a set of addresses, whichever incarnation answers.

A restarted process keeps its address but has a new incarnation. Dialling by address
reaches it even while the store, which maps incarnations to addresses, is unavailable.
"""

import logging
import random
import socket as standard_socket
from collections.abc import Iterable
from contextlib import ExitStack
from datetime import timedelta
from typing import NoReturn

import gevent
from gevent.socket import socket

from gypsumspoke.core.clock import Clock
from gypsumspoke.wire.connection import Connection
from gypsumspoke.wire.links import PeerLinks
from gypsumspoke.wire.redial import MIN_CONNECT_TIMEOUT, RedialBackoff

Address = tuple[str, int]

# A peer that doesn't answer so soon on a new connection is slow or paused, and its
# present connection may be good.
IDENTIFY_TIMEOUT = timedelta(milliseconds=100)

_log = logging.getLogger(__name__)


class _Target:
    """One address: its greenlet, and the connection to it."""

    def __init__(self) -> None:
        self.greenlet: gevent.Greenlet | None = None
        self.connection: Connection | None = None
        self.replacing: gevent.Greenlet | None = None

    def stop(self) -> None:
        """Stop dialling; an open connection is kept."""
        for greenlet in (self.greenlet, self.replacing):
            if greenlet is not None:
                greenlet.kill(block=False)
        self.greenlet = self.replacing = None

    def wait_closed(self) -> None:
        """Wait until the connection and what has replaced it are closed."""
        while not self.connection.closed:
            self.connection.wait_closed()


class Dialler:
    """Connects to addresses and reconnects.

    Each address has a greenlet that sleeps while its connection is open.

    Args:
      links: receives the connections.
      clock: source of time.
      seed: seed of the delay jitter.
    """

    def __init__(self, links: PeerLinks, clock: Clock, seed: int = 0) -> None:
        self._links = links
        self._clock = clock
        self._random = random.Random(seed)
        self._started = False
        self._targets: dict[Address, _Target] = {}

    def set_addresses(self, addresses: Iterable[Address]) -> None:
        """Set the addresses to dial; open connections to other addresses are kept."""
        wanted = set(addresses)
        for address in wanted - self._targets.keys():
            self._targets[address] = _Target()
        for address in self._targets.keys() - wanted:
            self._targets.pop(address).stop()
        if self._started:
            self._spawn_missing()

    def start(self) -> None:
        """Start dialling."""
        self._started = True
        self._spawn_missing()

    def close(self) -> None:
        """Stop dialling; open connections are kept."""
        self._started = False
        for target in self._targets.values():
            target.stop()

    def replace(self, incarnation: str) -> None:
        """Make a second connection to a peer whose present one may be dead.

        The present connection is kept until the peer has answered on the new one.

        Args:
          incarnation: the connected peer; another one is ignored.
        """
        for address, target in self._targets.items():
            connection = target.connection
            if connection is None or connection.closed or target.replacing:
                continue
            if connection.peer and connection.peer.incarnation == incarnation:
                target.replacing = gevent.spawn(self._replace, address, target)

    def _replace(self, address: Address, target: _Target) -> None:
        present = target.connection
        try:
            sock = _connect(address, MIN_CONNECT_TIMEOUT)
        except OSError as error:
            _log_failure(address, error)
            return
        finally:
            target.replacing = None
        replacement = target.connection = self._links.adopt(sock)
        if not replacement.wait_identified(IDENTIFY_TIMEOUT):
            if not present.closed:
                target.connection = present
            replacement.close("not answered")

    def _spawn_missing(self) -> None:
        for address, target in self._targets.items():
            if target.greenlet is None:
                keep = gevent.spawn(self._keep_connected, address, target)
                target.greenlet = keep

    def _keep_connected(self, address: Address, target: _Target) -> NoReturn:
        """Dial an address whenever it has no connection."""
        backoff = RedialBackoff()
        while True:
            delay = self._dial(address, target, backoff)
            gevent.sleep(delay.total_seconds())

    def _dial(
        self, address: Address, target: _Target, backoff: RedialBackoff
    ) -> timedelta:
        """Connect and wait for the connection to close; return the delay to redial."""
        try:
            sock = _connect(address, backoff.connect_timeout)
        except OSError as error:
            return self._record_failure(address, backoff, error)
        due = self._clock.now() + backoff.record_connected()
        target.connection = self._links.adopt(sock)
        target.wait_closed()
        return max(due - self._clock.now(), timedelta())

    def _record_failure(
        self, address: Address, backoff: RedialBackoff, error: OSError
    ) -> timedelta:
        """Log the first failed dial; return the delay until the next one."""
        if backoff.is_first:
            _log_failure(address, error)
        if isinstance(error, ConnectionRefusedError):
            delay = backoff.record_refused()
        else:
            delay = backoff.record_unanswered()
        return delay * self._random.uniform(0.5, 1.0)


def _connect(address: Address, timeout: timedelta) -> socket:
    """Return a connected socket.

    Raises:
      OSError: the connection can't be made within the timeout.
    """
    with ExitStack() as stack:
        sock = socket(standard_socket.AF_INET, standard_socket.SOCK_STREAM)
        stack.callback(sock.close)
        sock.settimeout(timeout.total_seconds())
        sock.connect(address)
        sock.settimeout(None)
        stack.pop_all()
        return sock


def _log_failure(address: Address, error: OSError) -> None:
    details = {"address": f"{address[0]}:{address[1]}", "reason": str(error)}
    _log.info({"message": "dial failed", "details": details})
