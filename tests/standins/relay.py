"""A TCP relay that can stall its connections, as a stateful middlebox may."""

from contextlib import ExitStack
from enum import Flag, auto

import gevent
from gevent.event import Event
from gevent.socket import SO_REUSEADDR, SOL_SOCKET, socket

READ_BYTES = 64 * 1024


class Way(Flag):
    """Directions of the bytes of a connection."""

    TO_SERVER = auto()
    TO_CLIENT = auto()
    BOTH = TO_SERVER | TO_CLIENT


class Relay:
    """Forwards connections to a target.

    Args:
      target: (host, port) to forward to; None until ``set_target``.
      listen: (host, port) to listen on; by default any free port of 127.0.0.1.
    """

    def __init__(
        self,
        target: tuple[str, int] | None,
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self._target = target
        self._listener = socket()
        self._listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._listener.bind(listen)
        self._listener.listen(64)
        self._forwarding = {way: _set_event() for way in (Way.TO_SERVER, Way.TO_CLIENT)}
        self._sockets: list[socket] = []
        self._greenlets = [gevent.spawn(self._accept)]
        self.accepted = 0

    @property
    def address(self) -> tuple[str, int]:
        """Host and port to connect to instead of the target."""
        return self._listener.getsockname()

    def set_target(self, target: tuple[str, int]) -> None:
        """Forward new connections to this (host, port)."""
        self._target = target

    def stall_connections(self, ways: Way = Way.BOTH) -> None:
        """Forward nothing more on open connections; new ones work."""
        for way in ways:
            self._forwarding[way].clear()
            self._forwarding[way] = _set_event()

    def close(self) -> None:
        """Close all connections and stop."""
        gevent.killall(self._greenlets)
        with ExitStack() as stack:
            for sock in [self._listener, *self._sockets]:
                stack.callback(sock.close)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            if self._target is None:
                client.close()
                continue
            server = socket()
            try:
                server.connect(self._target)
            except OSError:
                client.close()
                continue
            self.accepted += 1
            self._sockets += [client, server]
            for source, sink, way in (
                (client, server, Way.TO_SERVER),
                (server, client, Way.TO_CLIENT),
            ):
                forwarding = self._forwarding[way]
                forward = gevent.spawn(self._forward, source, sink, forwarding)
                self._greenlets.append(forward)

    def _forward(self, source: socket, sink: socket, forwarding: Event) -> None:
        try:
            while chunk := source.recv(READ_BYTES):
                forwarding.wait()
                sink.sendall(chunk)
            forwarding.wait()
            sink.shutdown(1)
        except OSError:
            sink.close()


def _set_event() -> Event:
    event = Event()
    event.set()
    return event
