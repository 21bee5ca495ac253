"""The outcome of a task depends on how far its request went."""

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

TIMEOUT_SECONDS = 30
ATTEMPT = AttemptId(JobKey("orchards", "invoice-7"), 2, 1, 5)
START = StartUpstream(
    ATTEMPT, "invoicing", True, datetime(2030, 1, 1, tzinfo=timezone.utc), b'{"a": 1}'
)


class ClientHarness:
    """A client, its upstream and the events it posts."""

    def __init__(self, address, **policy):
        self._events = Queue()
        self.client = UpstreamClient(address, self._events.put)
        self.client.set_policy(DEFAULT_SERVICE._replace(**policy))

    def next_event(self):
        return self._events.get(timeout=TIMEOUT_SECONDS)


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
def test_the_answer_determines_the_outcome(serve, sent, outcome, result, reason):
    server = serve(sent)
    harness = ClientHarness(server.address)
    harness.client.start(START)
    assert harness.next_event() == (ATTEMPT, outcome, result, reason)
    assert server.accepted == 1
    assert harness.client.running == 0


def test_a_task_is_not_run_only_when_no_connection_was_made():
    harness = ClientHarness(closed_port())
    harness.client.start(START)
    event = harness.next_event()
    assert event.outcome is Outcome.NOT_RUN
    assert event.reason == "upstream_refused_connection"


def test_a_task_is_unknown_if_the_upstream_never_answers(serve):
    """The task may have run, so it must not be reported as NOT_RUN."""
    harness = ClientHarness(serve(None).address, answer_timeout=timedelta(seconds=0.05))
    harness.client.start(START)
    event = harness.next_event()
    assert (event.outcome, event.reason) == (Outcome.UNKNOWN, "upstream_timeout")


def test_connections_are_bounded(serve):
    harness = ClientHarness(serve(None).address, connections=1)
    harness.client.start(START)
    harness.client.start(START)
    assert harness.next_event().outcome is Outcome.NOT_RUN


def test_the_request_has_the_task_headers_and_the_body(serve):
    server = serve(answer(200))
    harness = ClientHarness(server.address)
    harness.client.start(START)
    harness.next_event()
    head, body = server.requests[0].split(b"\r\n\r\n")
    assert body == START.body
    assert b"Gypsumspoke-Team: orchards\r\n" in head
    assert b"Gypsumspoke-Key: invoice-7\r\n" in head
    assert b"Gypsumspoke-Task: 2\r\n" in head
    assert b"Gypsumspoke-Not-Repeatable: true" in head


def test_a_key_cannot_inject_headers(serve):
    server = serve(answer(200))
    harness = ClientHarness(server.address)
    key = JobKey("orchards", "a\r\nEvil: 1\r\n\r\né")
    harness.client.start(START._replace(attempt=ATTEMPT._replace(key=key)))
    assert harness.next_event().outcome is Outcome.DONE
    assert b"Evil: 1" not in server.requests[0]
