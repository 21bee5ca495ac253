"""Sockets that listen while a process is still importing its modules.

When all processes restart at once, a client that connects before the servers exist
would be refused and would retry too late for its job. With the port open early, the
connection waits in the backlog instead. For this reason the module imports only the
standard library at the top.
"""

import socket
from collections.abc import Iterable
from typing import Any

Address = tuple[str, int]

# Connections that may arrive before the server accepts; more are retried by TCP.
BACKLOG = 512


class EarlyListeners:
    """Listening sockets, handed over to the servers that accept from them.

    Args:
      addresses: where to listen. An address that can't be bound is skipped; its server
        reports the error.
    """

    def __init__(self, addresses: Iterable[Address] = ()) -> None:
        self._sockets: dict[Address, socket.socket] = {}
        for address in addresses:
            listener = _listen(address)
            if listener is not None:
                self._sockets[address] = listener

    def take(self, address: Address) -> Any | None:
        """Remove and return the socket of an address as a gevent socket, or None."""
        from gevent import socket as gevent_socket

        listener = self._sockets.pop(address, None)
        if listener is None:
            return None
        return gevent_socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, fileno=listener.detach()
        )

    def close(self) -> None:
        """Close the sockets that were not taken."""
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
