"""Keeps one connection to each of a set of addresses, whoever answers there.

A process that starts again keeps its address but not its incarnation. Dialling by
address reaches it at once, also while the store, which names incarnations, is away.
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
from gypsumspoke.wire.redial import Redial

Address = tuple[str, int]

_log = logging.getLogger(__name__)


class Dialler:
    """Connects to addresses and connects again.

    Each address has a greenlet that sleeps while its connection lasts, so that a
    process whose connections hold is not woken for them.

    Args:
      links: takes the connections.
      clock: source of time.
      seed: for the jitter of the pauses.
    """

    def __init__(self, links: PeerLinks, clock: Clock, seed: int = 0) -> None:
        self._links = links
        self._clock = clock
        self._random = random.Random(seed)
        self._started = False
        self._targets: dict[Address, gevent.Greenlet | None] = {}

    def set_addresses(self, addresses: Iterable[Address]) -> None:
        """Take the addresses to connect to; connections to others are left alone."""
        wanted = set(addresses)
        for address in wanted - self._targets.keys():
            self._targets[address] = None
        for address in self._targets.keys() - wanted:
            _stop(self._targets.pop(address))
        if self._started:
            self._keep_all()

    def start(self) -> None:
        """Begin to dial."""
        self._started = True
        self._keep_all()

    def close(self) -> None:
        """Stop dialling; connections stay."""
        self._started = False
        for address, greenlet in self._targets.items():
            _stop(greenlet)
            self._targets[address] = None

    def _keep_all(self) -> None:
        for address, greenlet in self._targets.items():
            if greenlet is None:
                self._targets[address] = gevent.spawn(self._keep, address)

    def _keep(self, address: Address) -> NoReturn:
        """Dial an address, again and again, while there is no connection."""
        redial = Redial()
        while True:
            gevent.sleep(self._dial(address, redial).total_seconds())

    def _dial(self, address: Address, redial: Redial) -> timedelta:
        """Connect and wait for the connection's end; return the pause after it."""
        with ExitStack() as stack:
            try:
                sock = socket(standard_socket.AF_INET, standard_socket.SOCK_STREAM)
                stack.callback(sock.close)
                sock.settimeout(redial.patience.total_seconds())
                sock.connect(address)
            except OSError as error:
                return self._note_failure(address, redial, error)
            sock.settimeout(None)
            stack.pop_all()
        due = self._clock.now() + redial.note_connected()
        self._links.adopt(sock).wait_closed()
        return max(due - self._clock.now(), timedelta())

    def _note_failure(
        self, address: Address, redial: Redial, error: OSError
    ) -> timedelta:
        """Return the pause after a failed dial."""
        if redial.is_first:
            # Each further failure says the same.
            details = {"address": f"{address[0]}:{address[1]}", "reason": str(error)}
            _log.info({"message": "dial failed", "details": details})
        if isinstance(error, ConnectionRefusedError):
            pause = redial.note_refused()
        else:
            pause = redial.note_unanswered()
        return pause * self._random.uniform(0.5, 1.0)


def _stop(greenlet: gevent.Greenlet | None) -> None:
    if greenlet is not None:
        greenlet.kill(block=False)
