"""What is claimed of a task follows from how far its request went."""

from datetime import datetime, timedelta, timezone

import pytest
from gevent.queue import Queue

from gypsumspoke.core.effects import StartUpstream
from gypsumspoke.core.values import AttemptId, JobKey, Outcome
from gypsumspoke.shell.upstream_client import (
    DEFAULT_SERVICE,
    MAX_RESULT_BYTES,
    UpstreamClient,
)
from tests.standins.sockets import Server, closed_port

BOUND_SECONDS = 30
ATTEMPT = AttemptId(JobKey("orchards", "invoice-7"), 2, 1, 5)
START = StartUpstream(
    ATTEMPT, "invoicing", True, datetime(2030, 1, 1, tzinfo=timezone.utc), b'{"a": 1}'
)


class Bench:
    """A client, its upstream and the events it posts."""

    def __init__(self, address, **policy):
        self._events = Queue()
        self.client = UpstreamClient(address, self._events.put)
        self.client.set_policy(DEFAULT_SERVICE._replace(**policy))

    def next_event(self):
        return self._events.get(timeout=BOUND_SECONDS)


@pytest.fixture
def serve():
    servers = []

    def make(answer):
        servers.append(Server(answer))
        return servers[-1]

    yield make
    for server in servers:
        server.close()


def answer(status, body=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


@pytest.mark.parametrize(
    "sent, outcome, result, reason",
    [
        (answer(200, b"whole"), Outcome.DONE, b"whole", ""),
        (answer(201), Outcome.DONE, b"", ""),
        (answer(500, b"no"), Outcome.FAILED, b"", "upstream_failed"),
        (answer(302), Outcome.FAILED, b"", "upstream_failed"),
        (b"", Outcome.UNKNOWN, b"", "upstream_broken"),
        (answer(200, b"whole")[:-1], Outcome.UNKNOWN, b"", "upstream_broken"),
        (
            answer(200, bytes(MAX_RESULT_BYTES + 1)),
            Outcome.FAILED,
            b"",
            "upstream_failed",
        ),
    ],
    ids=["done", "empty", "failed", "redirect", "dropped", "cut", "too large"],
)
def test_an_answer_gives_the_outcome(serve, sent, outcome, result, reason):
    server = serve(sent)
    bench = Bench(server.address)
    bench.client.start(START)
    assert bench.next_event() == (ATTEMPT, outcome, result, reason)
    assert server.accepted == 1
    assert bench.client.running == 0


def test_a_task_is_not_run_only_when_no_connection_was_made():
    bench = Bench(closed_port())
    bench.client.start(START)
    event = bench.next_event()
    assert event.outcome is Outcome.NOT_RUN
    assert event.reason == "upstream_refused_connection"


def test_a_hanging_upstream_leaves_the_task_unknown(serve):
    """The upstream takes the request and never answers.

    The task may have run, so it is UNKNOWN after the service's bound: neither a start
    elsewhere nor a claim that it did not run would be right.
    """
    bench = Bench(serve(None).address, answer_timeout=timedelta(seconds=0.05))
    bench.client.start(START)
    event = bench.next_event()
    assert (event.outcome, event.reason) == (Outcome.UNKNOWN, "upstream_timeout")


def test_connections_are_bounded(serve):
    bench = Bench(serve(None).address, connections=1)
    bench.client.start(START)
    bench.client.start(START)
    assert bench.next_event().outcome is Outcome.NOT_RUN


def test_the_request_names_the_task_and_carries_the_body(serve):
    server = serve(answer(200))
    bench = Bench(server.address)
    bench.client.start(START)
    bench.next_event()
    head, body = server.requests[0].split(b"\r\n\r\n")
    assert body == START.body
    assert b"Gypsumspoke-Team: orchards\r\n" in head
    assert b"Gypsumspoke-Key: invoice-7\r\n" in head
    assert b"Gypsumspoke-Task: 2\r\n" in head
    assert b"Gypsumspoke-Not-Repeatable: true" in head


def test_a_key_cannot_add_headers(serve):
    server = serve(answer(200))
    bench = Bench(server.address)
    key = JobKey("orchards", "a\r\nEvil: 1\r\n\r\né")
    bench.client.start(START._replace(attempt=ATTEMPT._replace(key=key)))
    assert bench.next_event().outcome is Outcome.DONE
    assert b"Evil: 1" not in server.requests[0]
