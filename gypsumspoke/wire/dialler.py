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
from gypsumspoke.wire.links import PeerLinks
from gypsumspoke.wire.redial import RedialBackoff

Address = tuple[str, int]

_log = logging.getLogger(__name__)


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
        self._targets: dict[Address, gevent.Greenlet | None] = {}

    def set_addresses(self, addresses: Iterable[Address]) -> None:
        """Set the addresses to dial; open connections to other addresses are kept."""
        wanted = set(addresses)
        for address in wanted - self._targets.keys():
            self._targets[address] = None
        for address in self._targets.keys() - wanted:
            _stop(self._targets.pop(address))
        if self._started:
            self._spawn_missing()

    def start(self) -> None:
        """Start dialling."""
        self._started = True
        self._spawn_missing()

    def close(self) -> None:
        """Stop dialling; open connections are kept."""
        self._started = False
        for address, greenlet in self._targets.items():
            _stop(greenlet)
            self._targets[address] = None

    def _spawn_missing(self) -> None:
        for address, greenlet in self._targets.items():
            if greenlet is None:
                self._targets[address] = gevent.spawn(self._keep_connected, address)

    def _keep_connected(self, address: Address) -> NoReturn:
        """Dial an address whenever it has no connection."""
        backoff = RedialBackoff()
        while True:
            gevent.sleep(self._dial(address, backoff).total_seconds())

    def _dial(self, address: Address, backoff: RedialBackoff) -> timedelta:
        """Connect and wait for the connection to close; return the delay to redial."""
        with ExitStack() as stack:
            try:
                sock = socket(standard_socket.AF_INET, standard_socket.SOCK_STREAM)
                stack.callback(sock.close)
                sock.settimeout(backoff.connect_timeout.total_seconds())
                sock.connect(address)
            except OSError as error:
                return self._record_failure(address, backoff, error)
            sock.settimeout(None)
            stack.pop_all()
        due = self._clock.now() + backoff.record_connected()
        self._links.adopt(sock).wait_closed()
        return max(due - self._clock.now(), timedelta())

    def _record_failure(
        self, address: Address, backoff: RedialBackoff, error: OSError
    ) -> timedelta:
        """Log the first failed dial; return the delay until the next one."""
        if backoff.is_first:
            details = {"address": f"{address[0]}:{address[1]}", "reason": str(error)}
            _log.info({"message": "dial failed", "details": details})
        if isinstance(error, ConnectionRefusedError):
            delay = backoff.record_refused()
        else:
            delay = backoff.record_unanswered()
        return delay * self._random.uniform(0.5, 1.0)


def _stop(greenlet: gevent.Greenlet | None) -> None:
    if greenlet is not None:
        greenlet.kill(block=False)
