"""Ports that listen while a process is still loading its libraries.

Load that it answers: all processes are lost at once and come back, each after some
tenths of a second of loading. A caller who connects meanwhile was refused, and comes
back more than a second later, when its job is late; so does a readiness check, a worker
or a peer. With the port open the connection waits for the process instead. This module
imports nothing beyond the standard library's sockets for that reason.
"""

import socket
from collections.abc import Iterable
from typing import Any

Address = tuple[str, int]

# As many as may come while a process loads; one more is made to wait by its kernel.
BACKLOG = 512


class EarlyListeners:
    """Listening sockets, to be taken by the servers that accept from them.

    Args:
      addresses: where to listen. One that can't be had is left to its server, which
        reports the error.
    """

    def __init__(self, addresses: Iterable[Address] = ()) -> None:
        self._sockets: dict[Address, socket.socket] = {}
        for address in addresses:
            listener = _listen(address)
            if listener is not None:
                self._sockets[address] = listener

    def take(self, address: Address) -> Any | None:
        """Return the socket that listens at an address as one of gevent's, or None."""
        from gevent import socket as cooperative

        listener = self._sockets.pop(address, None)
        if listener is None:
            return None
        return cooperative.socket(
            socket.AF_INET, socket.SOCK_STREAM, fileno=listener.detach()
        )

    def close(self) -> None:
        """Close what nobody took."""
        while self._sockets:
            _, listener = self._sockets.popitem()
            listener.close()


def _listen(address: Address) -> socket.socket | None:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        return None
    return listener
