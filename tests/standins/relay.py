"""A TCP relay that can stall its connections, as a stateful middlebox may."""

from contextlib import ExitStack

import gevent
from gevent.event import Event
from gevent.socket import socket

READ_BYTES = 64 * 1024


class Relay:
    """Forwards 127.0.0.1 connections to a target.

    Args:
      target: (host, port) to forward to; None until ``set_target``.
    """

    def __init__(self, target: tuple[str, int] | None) -> None:
        self._target = target
        self._listener = socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        self._forwarding = Event()
        self._forwarding.set()
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

    def stall_connections(self) -> None:
        """Forward nothing more on open connections; new ones work."""
        self._forwarding.clear()
        self._forwarding = Event()
        self._forwarding.set()

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
            for source, sink in ((client, server), (server, client)):
                forward = gevent.spawn(self._forward, source, sink, self._forwarding)
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
