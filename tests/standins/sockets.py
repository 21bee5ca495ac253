"""A TCP server that answers with fixed bytes, for malformed or missing answers."""

import gevent
from gevent.socket import socket


class Server:
    """Listens on 127.0.0.1; reads one request on each connection.

    Args:
      answer: bytes to send before closing; None to send nothing and stay open.
    """

    def __init__(self, answer: bytes | None) -> None:
        self._answer = answer
        self._listener = socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        self._sockets: list[socket] = [self._listener]
        self._accepting = gevent.spawn(self._accept)
        self.requests: list[bytes] = []
        self.accepted = 0

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the server."""
        return self._listener.getsockname()

    def close(self) -> None:
        """Close all sockets."""
        self._accepting.kill()
        for sock in self._sockets:
            sock.close()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            self.accepted += 1
            self._sockets.append(sock)
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket) -> None:
        self.requests.append(sock.recv(65536))
        if self._answer is not None:
            sock.sendall(self._answer)
            sock.close()


def closed_port() -> tuple[str, int]:
    """Return an address on which nothing listens."""
    probe = socket()
    probe.bind(("127.0.0.1", 0))
    address = probe.getsockname()
    probe.close()
    return address
