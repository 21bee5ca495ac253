"""The administration port."""

from contextlib import closing
from datetime import datetime, timedelta, timezone

import gevent
import gevent.event
import gevent.socket
import pytest
from geventhttpclient import HTTPClient

from gypsumspoke.core.clock import ManualClock
from gypsumspoke.core.process_limits import DEFAULT_PROCESS_LIMITS
from gypsumspoke.http.clients import ClientRegistry
from gypsumspoke.http.limits import client_limits
from gypsumspoke.http.values import ReadLimits
from gypsumspoke.shell import admin_http
from gypsumspoke.shell.admin_http import AdminServer
from gypsumspoke.shell.metrics import Metrics


class Readiness:
    def __init__(self):
        self.value = True

    def __call__(self):
        return self.value


def echo_path(environ, start):
    start("200 OK", [])
    return [environ["PATH_INFO"].encode()]


def hang(environ, start):
    gevent.event.Event().wait()


@pytest.fixture
def ready():
    return Readiness()


@pytest.fixture
def client(ready):
    routes = {"/v1/": echo_path, "/v1/hang": hang}
    with AdminServer("127.0.0.1", 0, Metrics(), ready, routes) as server:
        client = HTTPClient("127.0.0.1", server.port, network_timeout=60)
        yield client
        client.close()


def get(client, path):
    response = client.get(path)
    return response.status_code, response.read()


def test_metrics_and_health(client):
    status, body = get(client, "/metrics")
    assert status == 200
    assert b'gypsumspoke_refusals_total{kind="queue_full"} 0.0' in body
    assert get(client, "/healthz") == (200, b"ok\n")


def test_readiness_follows_the_process(client, ready):
    assert get(client, "/readyz") == (200, b"ready\n")
    ready.value = False
    assert get(client, "/readyz") == (503, b"not ready\n")


def test_a_role_adds_routes(client):
    assert get(client, "/v1/status") == (200, b"/v1/status")
    assert get(client, "/v2/status")[0] == 404
    assert client.post("/metrics", b"").status_code == 405


def test_a_hung_request_times_out(client, monkeypatch):
    """A request that never finishes gets 504 instead of occupying its connection."""
    monkeypatch.setattr(admin_http, "REQUEST_TIMEOUT_SECONDS", 0.01)
    assert get(client, "/v1/hang")[0] == 504


def test_silent_connections_make_room_for_others(ready):
    """Idle clients that occupy every connection must not lock out the next request."""
    limits = client_limits(DEFAULT_PROCESS_LIMITS)._replace(connections=2)
    with closing(ClientRegistry(limits)) as clients:
        with AdminServer("127.0.0.1", 0, Metrics(), ready, clients=clients) as server:
            address = ("127.0.0.1", server.port)
            idle = [gevent.socket.create_connection(address) for _ in range(4)]
            new_client = HTTPClient(*address, network_timeout=60)
            assert get(new_client, "/healthz") == (200, b"ok\n")
            new_client.close()
            for connection in idle:
                connection.close()


def test_silent_connections_are_closed(ready, monkeypatch):
    """An abandoned client must not keep its connection open."""
    limits = ReadLimits(idle_timeout=timedelta(milliseconds=50))
    monkeypatch.setattr(admin_http, "READ_LIMITS", limits)
    with AdminServer("127.0.0.1", 0, Metrics(), ready) as server:
        address = ("127.0.0.1", server.port)
        idle = [gevent.socket.create_connection(address) for _ in range(4)]
        with gevent.Timeout(60):
            assert [connection.recv(1) for connection in idle] == [b""] * 4
        for connection in idle:
            connection.close()


def test_frequent_requests_for_metrics_are_answered_from_one_rendering(ready):
    """Clients that ask without a pause must not take all of the processor time."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=timezone.utc))

    class SlowMetrics:
        rendered = 0

        def render(self):
            self.rendered += 1
            clock.advance(timedelta(milliseconds=10))
            return b"x %d\n" % self.rendered

    clients = ClientRegistry(clock=clock)
    with (
        closing(clients),
        AdminServer("127.0.0.1", 0, SlowMetrics(), ready, clients=clients) as server,
    ):
        client = HTTPClient("127.0.0.1", server.port, network_timeout=60)
        assert [get(client, "/metrics")[1] for _ in range(3)] == [b"x 1\n"] * 3
        clock.advance(timedelta(milliseconds=200))
        assert get(client, "/metrics")[1] == b"x 2\n"
        client.close()
