"""Sockets that listen while a process is still importing its modules.

When all processes restart at once, a client that connects before the servers exist
would be refused and would retry too late for its job. With the port open early, the
connection waits in the backlog instead. For this reason the module imports only the
standard library at the top, besides modules that do so too.
"""

import socket
from collections.abc import Iterable, Mapping
from contextlib import suppress

from gypsumspoke.http.limits import SocketBuffers
from gypsumspoke.http.listening import listen

Address = tuple[str, int]


class EarlyListeners:
    """Listening sockets, handed over to the servers that accept from them.

    Args:
      addresses: where to listen. An address that can't be bound is skipped; its server
        reports the error.
      buffers: buffers of each connection, by address; the system's default elsewhere.
    """

    def __init__(
        self,
        addresses: Iterable[Address] = (),
        buffers: Mapping[Address, SocketBuffers] | None = None,
    ) -> None:
        self._sockets: dict[Address, socket.socket] = {}
        buffers = buffers or {}
        for address in addresses:
            with suppress(OSError):
                self._sockets[address] = listen(address, buffers.get(address))

    def take(self, address: Address) -> socket.socket | None:
        """Remove and return the socket of an address, or None; it doesn't block."""
        return self._sockets.pop(address, None)

    def close(self) -> None:
        """Close the sockets that were not taken."""
        while self._sockets:
            _, listener = self._sockets.popitem()
            listener.close()
