"""Opens listening sockets.

Imports only the standard library: ports are opened before the libraries are loaded.
"""

import socket

from gypsumspoke.http.limits import BACKLOG, SocketBuffers


def listen(
    address: tuple[str, int], buffers: SocketBuffers | None = None
) -> socket.socket:
    """Return a new listening socket that doesn't block.

    Args:
      address: IP number and port; port 0 for any free one.
      buffers: buffers of each connection; None for the system's default.

    Raises:
      OSError: the address can't be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections inherit the sizes; they may carry bytes before they are accepted.
        if buffers is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffers.receive)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffers.send)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
