"""Detects that a caller closes its connection while it waits for an answer."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from socket import MSG_PEEK

from gevent import get_hub
from gevent.socket import socket

_READABLE = 1


@contextmanager
def watch_disconnect(sock: socket, on_disconnect: Callable[[], None]) -> Iterator[None]:
    """Call a function once if the caller disconnects inside the block.

    An event-loop watcher is cheaper than a greenlet per request. Bytes of a pipelined
    request are not consumed.

    Args:
      sock: the caller's connection.
      on_disconnect: called from the event loop; must not block.
    """
    watcher = get_hub().loop.io(sock.fileno(), _READABLE)

    def check() -> None:
        # Unread bytes of a pipelined request would keep the socket readable.
        watcher.stop()
        if is_closed(sock):
            on_disconnect()

    watcher.start(check)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


def is_closed(sock: socket) -> bool:
    """Return whether the caller has closed its connection."""
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        return not sock.recv(1, MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(timeout)
