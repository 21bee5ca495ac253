"""Notices that a caller has closed its connection while its answer is awaited."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from socket import MSG_PEEK

from gevent import get_hub
from gevent.socket import socket

_READABLE = 1


@contextmanager
def watch_disconnect(sock: socket, on_left: Callable[[], None]) -> Iterator[None]:
    """Call a function once if the caller leaves inside the block.

    A watcher costs less than a greenlet for each request, and neither reads what the
    caller may already have sent of its next request.

    Args:
      sock: the caller's connection.
      on_left: called from the loop; must not block.
    """
    watcher = get_hub().loop.io(sock.fileno(), _READABLE)

    def look() -> None:
        # Bytes of a next request are left alone; they would be readable for ever.
        watcher.stop()
        if is_closed(sock):
            on_left()

    watcher.start(look)
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
