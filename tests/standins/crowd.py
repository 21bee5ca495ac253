"""Clients that don't behave, as a process of their own.

``python -m tests.standins.crowd KIND HOST:PORT PATH CONNECTIONS SECONDS`` opens the
connections, opens a new one for each that is closed, and ends after the time. It prints
one JSON line, "crowd ended", with the number of connections made, the closed ones and
the answers by status.
"""

import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

import gevent
from gevent.socket import AF_INET, SO_RCVBUF, SOCK_STREAM, SOL_SOCKET, socket

from gypsumspoke.runs.settings import Address, parse_address

HOST = "pots.example"
BODY_BYTES = 262_144
_RECONNECT_SECONDS = 0.2
_PIECE_BYTES = 8192
_PAUSE_SECONDS = 0.05
# Answers that a client doesn't read then wait at the server.
_UNREAD_BUFFER = 1024
# A step of a job. The estimate is how long the stand-in workers take.
_STEP = {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 100}


class Target(NamedTuple):
    """Where a crowd sends to.

    Attributes:
      address: host and port of the listener.
      path: path of the requests; ``{id}`` stands for the id of a new job.
    """

    address: Address
    path: str

    def request_line(self, method: str = "") -> bytes:
        """Return the request line and the Host header of a new request."""
        method = method or ("PUT" if "/instances/" in self.path else "POST")
        path = self.path.replace("{id}", f"{random.getrandbits(64):016x}")
        return f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n".encode()


# What a client sends on one connection: pieces, or seconds of a pause.
Sending = Iterator[bytes | float]


def _header(target: Target, length: int) -> bytes:
    return target.request_line() + b"Content-Length: %d\r\n\r\n" % length


def _body() -> bytes:
    fields = {"best_effort": True, "spec": "x", "steps": [_STEP]}
    text = json.dumps(fields).encode()
    return text[:-1] + b" " * (BODY_BYTES - len(text)) + b"}"


def _endless(piece: bytes) -> Sending:
    while True:
        yield piece


def stop_before_last_byte(target: Target) -> Sending:
    """A body of legal size in one piece, without its last byte."""
    yield _header(target, BODY_BYTES) + _body()[:-1]


def small_pieces(target: Target) -> Sending:
    """A body of legal size in small pieces, without its last byte."""
    yield _header(target, BODY_BYTES)
    body = _body()[:-1]
    for start in range(0, len(body), _PIECE_BYTES):
        yield body[start : start + _PIECE_BYTES]
        yield _PAUSE_SECONDS


def small_chunks(target: Target) -> Sending:
    """Bodies of legal size in chunks of 16 bytes."""
    body = _body()
    chunks = b"".join(
        b"10\r\n" + body[start : start + 16] + b"\r\n"
        for start in range(0, len(body), 16)
    )
    while True:
        yield target.request_line() + b"Transfer-Encoding: chunked\r\n\r\n"
        yield chunks + b"0\r\n\r\n"


def long_header(target: Target) -> Sending:
    """Endless header lines of 64 KB."""
    yield target.request_line()
    yield from _endless(b"X-Long: " + b"x" * 65_000 + b"\r\n")


def many_fields(target: Target) -> Sending:
    """Requests of legal size with as many header fields as fit in."""
    fields = b"".join(b"%x:\r\n" % number for number in range(2300))
    while True:
        yield target.request_line("GET") + fields + b"\r\n"


def many_steps_before(target: Target) -> Sending:
    """Jobs of legal size whose steps come after long lists of others.

    No worker has the label that the last step asks for, so that they cost the workers
    nothing.
    """
    later = {**_STEP, "after": [0] * 900}
    steps = [_STEP] + [later] * 90 + [{**later, "constraints": "nowhere"}]
    fields = {"best_effort": True, "spec": "x", "steps": steps}
    body = json.dumps(fields).encode()
    while True:
        yield _header(target, len(body)) + body


def many_steps_run(target: Target) -> Sending:
    """The same, with a last step that runs like the others."""
    later = {**_STEP, "after": [0] * 900}
    fields = {"best_effort": True, "spec": "x", "steps": [_STEP] + [later] * 91}
    body = json.dumps(fields).encode()
    while True:
        yield _header(target, len(body)) + body


def many_json_fields(target: Target) -> Sending:
    """Jobs of legal size made of very many short fields."""
    yield from _many_json_fields(target, _STEP)


def low_estimates(target: Target) -> Sending:
    """The same, with estimates that are a hundred times too low."""
    yield from _many_json_fields(target, {**_STEP, "estimate_ms": 1})


def long_estimates(target: Target) -> Sending:
    """Jobs whose estimates are far too low, and others that claim to take centuries."""
    low = {**_STEP, "estimate_ms": 1}
    long = {**_STEP, "estimate_ms": 10**12 - 1}
    chain = [long] + [{**long, "after": [number]} for number in range(99)]
    bodies = [
        json.dumps({"best_effort": True, "spec": "x", "steps": steps}).encode()
        for steps in ([low], [low], [low], chain)
    ]
    while True:
        for body in bodies:
            yield _header(target, len(body)) + body
            yield _PAUSE_SECONDS


def _many_json_fields(target: Target, step: dict) -> Sending:
    fields = {"best_effort": True, "spec": "x", "steps": [step]}
    fields.update((f"{number:x}", [{}]) for number in range(18_000))
    body = json.dumps(fields).encode()
    while True:
        yield _header(target, len(body)) + body


def long_texts(target: Target) -> Sending:
    """Jobs of legal size that ask for a rack with a very long name."""
    step = {**_STEP, "affinity": "r" * 250_000}
    body = json.dumps({"best_effort": True, "spec": "x", "steps": [step]}).encode()
    while True:
        yield _header(target, len(body)) + body


def many_tasks(target: Target) -> Sending:
    """Jobs of few bytes with as many tasks as are taken."""
    steps = [{**_STEP, "count": 10}] * 100
    body = json.dumps({"best_effort": True, "spec": "x", "steps": steps}).encode()
    while True:
        yield _header(target, len(body)) + body


def large_heartbeats(target: Target) -> Sending:
    """Heartbeats of the largest legal size, made of very many short fields."""
    fields = {f"{number:x}": [{}] for number in range(270_000)}
    body = json.dumps(fields).encode()
    while True:
        yield _header(target, len(body)) + body


def over_the_limit(target: Target) -> Sending:
    """A body far over the limit, with its length."""
    yield _header(target, 10**9)
    yield from _endless(b"x" * 65_536)


def endless_chunks(target: Target) -> Sending:
    """A body without an end."""
    yield target.request_line() + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from _endless(b"4000\r\n" + b"x" * 0x4000 + b"\r\n")


def slow_header(target: Target) -> Sending:
    """A byte of a header now and then."""
    yield target.request_line() + b"X-Slow: "
    while True:
        yield 1.0
        yield b"x"


def slow_body(target: Target) -> Sending:
    """A byte of a body now and then."""
    yield _header(target, BODY_BYTES)
    while True:
        yield 1.0
        yield b" "


def stop_half_way(target: Target) -> Sending:
    """Half a header, half a body, or nothing at all."""
    sent = [b"", target.request_line(), _header(target, BODY_BYTES) + b" " * 4000]
    yield random.choice(sent)


def sent_ahead(target: Target) -> Sending:
    """Requests sent ahead without reading the answers."""
    while True:
        yield target.request_line("GET") + b"\r\n"


def some_ahead(target: Target) -> Sending:
    """Some requests sent ahead, then one now and then, without reading the answers."""
    yield (target.request_line("GET") + b"\r\n") * 200
    while True:
        yield 0.5
        yield target.request_line("GET") + b"\r\n"


def cancels(target: Target) -> Sending:
    """Requests to cancel jobs that nobody sent."""
    while True:
        yield target.request_line("DELETE") + b"\r\n"
        yield 0.01


def small_requests(target: Target) -> Sending:
    """Requests with hardly a pause, one after the other."""
    while True:
        yield target.request_line("GET") + b"\r\n"
        # Sending alone may never wait, and so keep the crowd from its end.
        yield 0.001


def long_chunk_lines(target: Target) -> Sending:
    """Bodies in chunks of a byte with long extensions."""
    yield target.request_line() + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from _endless((b"1;" + b"x" * 8000 + b"\r\nx\r\n") * 8)


def endless_trailer(target: Target) -> Sending:
    """Bodies of one chunk with a trailer without an end."""
    yield target.request_line() + b"Transfer-Encoding: chunked\r\n\r\n"
    yield b"1\r\nx\r\n0\r\n"
    yield from _endless(b"X-Long: " + b"x" * 4000 + b"\r\n")


def deep_json(target: Target) -> Sending:
    """Jobs of legal size with a deeply nested field."""
    steps = json.dumps([_STEP]).encode()
    body = b'{"best_effort":true,"steps":%b,"x":%b%b}' % (
        steps,
        b"[" * 120_000,
        b"]" * 120_000,
    )
    while True:
        yield _header(target, len(body)) + body


def jobs_ahead(target: Target) -> Sending:
    """Ordinary jobs sent ahead without reading the answers."""
    body = json.dumps({"best_effort": True, "spec": "x", "steps": [_STEP]}).encode()
    while True:
        yield (_header(target, len(body)) + body)
        yield 0.01


def come_and_go(target: Target) -> Sending:
    """Connections that end at once, in the middle of a request."""
    yield _header(target, BODY_BYTES) + b" " * 2000
    raise ConnectionAbortedError


class Kind(NamedTuple):
    """A kind of client.

    Attributes:
      sending: what it sends on one connection.
      reads: whether it reads the answers.
    """

    sending: Callable[[Target], Sending]
    reads: bool = True


KINDS = {
    each.sending.__name__: each
    for each in (
        Kind(stop_before_last_byte),
        Kind(small_pieces),
        Kind(small_chunks),
        Kind(long_header),
        Kind(many_fields),
        Kind(many_steps_before),
        Kind(many_steps_run),
        Kind(many_json_fields),
        Kind(low_estimates),
        Kind(long_estimates),
        Kind(long_texts),
        Kind(many_tasks),
        Kind(large_heartbeats),
        Kind(over_the_limit),
        Kind(endless_chunks),
        Kind(slow_header),
        Kind(slow_body),
        Kind(stop_half_way),
        Kind(sent_ahead, reads=False),
        Kind(some_ahead, reads=False),
        Kind(cancels),
        Kind(small_requests),
        Kind(long_chunk_lines),
        Kind(endless_trailer),
        Kind(deep_json),
        Kind(jobs_ahead, reads=False),
        Kind(come_and_go),
    )
}


class Crowd:
    """Clients of one kind.

    Args:
      kind: the kind.
      target: where they send to.
    """

    def __init__(self, kind: Kind, target: Target) -> None:
        self._kind = kind
        self._target = target
        self.counts: Counter[str] = Counter()

    def run(self, connections: int, seconds: float) -> None:
        """Keep connections busy for a time."""
        clients = [gevent.spawn(self._connect_again) for _ in range(connections)]
        gevent.sleep(seconds)
        gevent.killall(clients)

    def _connect_again(self) -> None:
        while True:
            sock = socket(AF_INET, SOCK_STREAM)
            if not self._kind.reads:
                sock.setsockopt(SOL_SOCKET, SO_RCVBUF, _UNREAD_BUFFER)
            try:
                sock.connect(self._target.address)
                self.counts["connections"] += 1
                self._use(sock)
            except OSError:
                self.counts["closed"] += 1
            finally:
                sock.close()
            gevent.sleep(_RECONNECT_SECONDS)

    def _use(self, sock: socket) -> None:
        """Send until the server closes the connection."""
        reading = gevent.spawn(self._read, sock) if self._kind.reads else None
        try:
            for piece in self._kind.sending(self._target):
                if isinstance(piece, float):
                    gevent.sleep(piece)
                else:
                    sock.sendall(piece)
                if reading is not None and reading.ready():
                    return
            if reading is not None:
                reading.join()
            else:
                gevent.sleep(3600)
        finally:
            if reading is not None:
                reading.kill()

    def _read(self, sock: socket) -> None:
        try:
            while answer := sock.recv(65_536):
                for line in answer.split(b"\r\n"):
                    if line.startswith(b"HTTP/1.1 "):
                        self.counts[line[9:12].decode()] += 1
        except OSError:
            pass
        self.counts["closed"] += 1


def main(arguments: list[str]) -> None:
    """Run a crowd."""
    kind, address, path, connections, seconds = arguments
    random.seed(f"{kind} {path}")
    crowd = Crowd(KINDS[kind], Target(parse_address(address), path))
    started = time.monotonic()
    crowd.run(int(connections), float(seconds))
    took = round(time.monotonic() - started, 1)
    print(json.dumps({"message": "crowd ended", "took": took, **crowd.counts}))


if __name__ == "__main__":
    main(sys.argv[1:])
