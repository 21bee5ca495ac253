"""Tests of the HTTP server over real sockets."""

import json
import socket
import time
from contextlib import ExitStack, closing, contextmanager
from datetime import timedelta

import gevent
import pytest
from gevent.event import Event
from gevent.socket import SHUT_WR, create_connection

from gypsumspoke.core.process_limits import DEFAULT_PROCESS_LIMITS
from gypsumspoke.http.answers import json_answer, read_body, respond
from gypsumspoke.http.clients import ClientRegistry
from gypsumspoke.http.limits import client_limits
from gypsumspoke.http.listening import listen
from gypsumspoke.http.server import HttpServer, RequestPolicy
from gypsumspoke.http.values import ReadLimits, SharedBody
from tests.standins.memory import bytes_in_sockets

TIMEOUT_SECONDS = 20
MAX_BODY_BYTES = 262_144
LIMITS = client_limits(DEFAULT_PROCESS_LIMITS)
READ_LIMITS = ReadLimits(
    header_bytes=16_384,
    header_timeout=timedelta(seconds=0.5),
    idle_timeout=timedelta(seconds=1),
)


class Application:
    """Answers with what it was sent.

    ``/wait`` waits until ``released``, ``/fail`` and ``/interrupt`` raise, ``/large``
    answers with much, ``/shared`` with the same text each time.
    """

    SHARED = bytes(1_000_000)

    def __init__(self):
        self.released = Event()
        self.answered = 0
        self.waiting = 0

    def __call__(self, environ, start):
        if environ["PATH_INFO"] == "/wait":
            self.waiting += 1
            self.released.wait(TIMEOUT_SECONDS)
        if environ["PATH_INFO"] == "/fail":
            raise RuntimeError
        if environ["PATH_INFO"] == "/shared":
            start("200 OK", [])
            return SharedBody([self.SHARED])
        if environ["PATH_INFO"] == "/interrupt":
            raise gevent.GreenletExit
        body = read_body(environ, MAX_BODY_BYTES)
        self.answered += 1
        shown = {"path": environ["PATH_INFO"], "size": len(body)}
        if environ["PATH_INFO"] == "/large":
            shown["padding"] = "x" * 1_000_000
        return respond(json_answer(shown), start)


@pytest.fixture
def application():
    return Application()


@contextmanager
def opened(application, limits=LIMITS, read_limits=READ_LIMITS):
    """Serve an application; yields the server and the registry."""
    with closing(ClientRegistry(limits)) as clients:
        policy = RequestPolicy(
            read_limits=lambda: read_limits,
            body_limit=lambda head: 0 if head.path == "/none" else MAX_BODY_BYTES,
        )
        listener = listen(("127.0.0.1", 0), clients.buffers)
        server = HttpServer(listener, application, policy, clients)
        with closing(server), gevent.Timeout(TIMEOUT_SECONDS):
            server.start()
            yield server, clients


@contextmanager
def serving(*arguments, **limits):
    """Serve an application; yields a function that connects, and the registry."""
    with opened(*arguments, **limits) as (server, clients):
        yield (lambda: create_connection(("127.0.0.1", server.port))), clients


@pytest.fixture
def connect(application):
    with serving(application) as (connect, _):
        yield connect


def read_answer(stream):
    """Return status, headers and JSON body of the next answer; None without one."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while (field := stream.readline().strip()) != b"":
        name, _, value = field.partition(b": ")
        headers[name.decode().lower()] = value.decode()
    body = stream.read(int(headers["content-length"]))
    return int(line.split()[1]), headers, json.loads(body) if body else None


def post(path, body=b"", *fields):
    length = b"Content-Length: %d" % len(body)
    lines = [b"POST %s HTTP/1.1" % path, b"Host: x", length, *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def ask(connect, request):
    """Return the answer to a request on a connection of its own."""
    with connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(request)
        return read_answer(stream)


def chunks_of(size):
    body = b"x" * MAX_BODY_BYTES
    return b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (body[i : i + size] for i in range(0, len(body), size))
    )


def test_requests_on_one_connection_are_answered_in_order(connect):
    with connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(post(b"/a", b"x") + post(b"/b", b"xy") + post(b"/c%20d"))
        answers = [read_answer(stream) for _ in range(3)]
    assert [answer[2] for answer in answers] == [
        {"path": "/a", "size": 1},
        {"path": "/b", "size": 2},
        {"path": "/c d", "size": 0},
    ]


@pytest.mark.parametrize("size", [1, 16, 65_536])
def test_a_body_of_legal_size_in_chunks_is_served_when_alone(connect, size):
    """However small the chunks, a client inside the limits must be served."""
    head = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    status, _, body = ask(connect, head + chunks_of(size) + b"0\r\n\r\n")
    assert (status, body["size"]) == (200, MAX_BODY_BYTES)


def test_a_body_of_the_largest_size_is_served_when_alone(connect):
    status, _, body = ask(connect, post(b"/a", b"x" * MAX_BODY_BYTES))
    assert (status, body["size"]) == (200, MAX_BODY_BYTES)


def test_a_header_of_the_largest_size_is_served_when_alone(connect):
    """A header of legal size must not be refused for the number of its fields."""
    fields = [b"%x:" % number for number in range(2300)]
    assert sum(len(field) + 2 for field in fields) < READ_LIMITS.header_bytes
    assert ask(connect, post(b"/a", b"", *fields))[0] == 200


def test_a_header_over_the_limit_is_refused(connect):
    """The configured limit must be in force."""
    status, _, body = ask(connect, post(b"/a", b"", b"x: " + b"y" * 16_400))
    assert (status, body["reason"]) == (431, "header_too_large")


def test_a_client_that_waits_for_an_interim_answer_gets_it(connect):
    with connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(
            b"POST /a HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        )
        assert stream.readline() == b"HTTP/1.1 100 Continue\r\n"
        assert stream.readline() == b"\r\n"
        sock.sendall(b"xy")
        assert read_answer(stream)[0] == 200


def test_a_client_gets_its_refusal_while_it_still_sends(connect):
    """A connection closed with unread bytes is reset, and the refusal is lost."""
    head = b"POST /none HTTP/1.1\r\nContent-Length: 3000000\r\n\r\n"
    with connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(head + b"x" * 1_000_000)
        assert read_answer(stream)[1]["connection"] == "close"
        sock.sendall(b"x" * 1_000_000)


def test_a_client_that_sends_only_half_of_its_request_is_forgotten(application):
    with serving(application) as (connect, clients):
        with connect() as sock:
            sock.sendall(post(b"/a", b"x" * 100_000)[:50_000])
            wait_until(lambda: clients.held_bytes)
        wait_until(lambda: not clients.open_connections)
        assert not clients.held_bytes and not application.answered


def test_a_request_is_answered_though_the_client_sends_no_more(connect):
    with connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(post(b"/a"))
        sock.shutdown(SHUT_WR)
        assert read_answer(stream)[0] == 200


@pytest.mark.parametrize(
    "begin",
    [b"GET /a HTT", b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"],
    ids=["header", "body"],
)
def test_a_request_that_stops_half_way_is_refused(connect, begin):
    with connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(begin)
        status, headers, body = read_answer(stream)
    assert (status, body["reason"]) == (400, "request_timeout")
    assert headers["connection"] == "close"


def test_an_idle_connection_is_closed(connect):
    with connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(post(b"/a"))
        assert read_answer(stream)[0] == 200
        assert read_answer(stream) is None


def test_what_is_held_for_all_clients_is_bounded(application):
    """Many bodies of legal size that are never finished must not fill the memory."""
    limits = LIMITS._replace(held_bytes=1_000_000)
    unfinished = post(b"/a", b"x" * MAX_BODY_BYTES)[:-1]
    with serving(application, limits, ReadLimits()) as (connect, clients):
        asking = [gevent.spawn(ask, connect, unfinished) for _ in range(20)]
        while sum(each.ready() for each in asking) < 16:
            gevent.sleep(0.001)
            assert clients.held_bytes <= limits.held_bytes
        for status, headers, body in (each.value for each in asking if each.value):
            assert (status, body["reason"]) == (503, "clients_press")
            assert int(headers["retry-after"]) >= 1
        assert ask(connect, post(b"/a", b"x"))[0] == 200
        gevent.killall(asking)


def test_slow_clients_make_room_for_a_new_one(application):
    """Clients that occupy all connections must not lock out others."""
    limits = LIMITS._replace(connections=8)
    with serving(application, limits) as (connect, clients):
        socks = [connect() for _ in range(12)]
        assert ask(connect, post(b"/a"))[0] == 200
        assert clients.open_connections <= limits.connections
        for sock in socks:
            sock.close()


def test_a_request_that_is_answered_keeps_its_connection(application):
    """A job that was handed in is not given up to make room for others."""
    limits = LIMITS._replace(connections=4, held_bytes=10_000)
    with serving(application, limits) as (connect, _):
        with connect() as waiting, waiting.makefile("rb") as stream:
            waiting.sendall(post(b"/wait"))
            gevent.sleep(0.05)
            socks = [connect() for _ in range(12)]
            for sock in socks:
                sock.sendall(post(b"/a", b"x" * 9000)[:-1])
            gevent.sleep(0.05)
            application.released.set()
            assert read_answer(stream)[0] == 200
        for sock in socks:
            sock.close()


def test_a_client_that_reads_no_answers_is_closed(application):
    """Its answers would wait in this process for as long as it likes."""
    with serving(application) as (connect, clients):
        with connect() as sock:
            sending = gevent.spawn(send_until_closed, sock, post(b"/large") * 100)
            wait_until(lambda: sending.ready())
            wait_until(lambda: not clients.open_connections)


def test_answers_that_are_not_read_are_bounded(application):
    """Clients that read nothing must not fill the memory with their answers."""
    limits = LIMITS._replace(held_bytes=5_000_000)
    with serving(application, limits, ReadLimits()) as (connect, clients):
        with ExitStack() as stack:
            for number in range(20):
                sock = stack.enter_context(connect())
                sock.sendall(post(b"/large"))
                wait_until(lambda: application.answered > number)
                assert clients.held_bytes <= limits.held_bytes
            assert clients.held_bytes > limits.held_bytes / 2
            assert ask(connect, post(b"/large"))[0] == 200
        wait_until(lambda: not clients.held_bytes)


def test_what_is_kept_anyway_is_not_held_for_a_client(application):
    """Clients that don't read the metrics would be closed and come again at once."""
    limits = LIMITS._replace(held_bytes=100_000)
    with serving(application, limits, ReadLimits()) as (connect, clients):
        with ExitStack() as stack:
            socks = [stack.enter_context(connect()) for _ in range(20)]
            for sock in socks:
                sock.sendall(post(b"/shared"))
            gevent.sleep(0.2)
            assert clients.open_connections == 20
            assert clients.held_bytes < 20 * 500
            with socks[0].makefile("rb") as stream:
                assert stream.readline() == b"HTTP/1.1 200 OK\r\n"
                while stream.readline().strip():
                    pass
                assert stream.read(1_000_000) == application.SHARED


def test_the_system_buffers_little_of_an_answer(application):
    """What waits in the system for a client that doesn't read has no other bound."""
    with serving(application, read_limits=ReadLimits()) as (connect, clients):
        with connect() as sock:
            sock.sendall(post(b"/large"))
            wait_until(lambda: clients.held_bytes)
            host, port = sock.getpeername()
            waiting = bytes_in_sockets({host}, port)[host].unsent
            # The system reserves twice the size.
            assert 0 < waiting <= LIMITS.buffers.send * 2 + 4096


def test_a_crowd_of_new_connections_is_accepted_a_few_at_a_time(application):
    """What takes several turns of the event loop waited for hundreds of connections in
    each of them.
    """
    open_connections = []

    def recorded(environ, start):
        open_connections.append(clients.open_connections)
        return application(environ, start)

    with opened(recorded) as (server, clients), ExitStack() as stack:
        for _ in range(200):
            # These wait to be accepted: a socket that blocks doesn't run the loop.
            sock = stack.enter_context(closing(socket.socket()))
            sock.connect(("127.0.0.1", server.port))
            sock.sendall(post(b"/a"))
        wait_until(lambda: len(open_connections) == 200)
    assert open_connections[0] <= 50


def test_a_stop_waits_no_longer_than_for_the_last_answers(application):
    """A server whose last answers came at once waited until it was killed."""
    with opened(application) as (server, _):
        address = ("127.0.0.1", server.port)
        with ExitStack() as stack:
            for _ in range(3):
                sock = stack.enter_context(closing(create_connection(address)))
                sock.sendall(post(b"/wait"))
            wait_until(lambda: application.waiting == 3)
            stop = gevent.spawn(server.close, timedelta(minutes=5))
            gevent.sleep()
            application.released.set()
            stop.get()
    assert application.answered == 3


def test_an_application_that_is_interrupted_closes_the_connection(connect):
    """The connection would stay open for good, and never make room for others."""
    assert ask(connect, post(b"/interrupt")) is None


def test_bytes_that_waited_during_a_pause_are_read(application, monkeypatch):
    """A process that was paused must not take its own pause for the client's."""
    limits = ReadLimits(header_timeout=timedelta(milliseconds=200))
    with serving(application, read_limits=limits) as (connect, clients):
        with connect() as sock, sock.makefile("rb") as stream:
            sock.sendall(b"GET /a ")
            wait_until(lambda: clients.held_bytes)
            sock.sendall(b"HTTP/1.1\r\n\r\n")
            # Nothing is read meanwhile.
            time.sleep(0.6)
            assert read_answer(stream)[0] == 200


def test_a_failed_application_closes_the_connection(connect):
    status, headers, _ = ask(connect, post(b"/fail"))
    assert (status, headers["connection"]) == (500, "close")


def send_until_closed(sock, payload):
    try:
        while True:
            sock.sendall(payload)
    except OSError:
        pass


def wait_until(condition):
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.01)
