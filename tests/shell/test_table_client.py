"""The table client with a simulated table and each of its faults."""

from datetime import timedelta

import pytest
from gevent.queue import Queue

from gypsumspoke.core.effects import ReadRows, WriteRows
from gypsumspoke.core.events import WriteOutcome
from gypsumspoke.core.values import Row
from gypsumspoke.shell.http_exchange import ExchangeLimits
from gypsumspoke.shell.table_client import MAX_CALLS, MAX_QUEUED, TableClient
from tests.standins.processes import call_json
from tests.standins.server import make_server
from tests.standins.sockets import Server, closed_port
from tests.standins.table import Table

TIMEOUT_SECONDS = 30
LIMITS = ExchangeLimits(timedelta(seconds=5), timedelta(seconds=5), 100_000)
SHORT_LIMITS = LIMITS._replace(answer_timeout=timedelta(seconds=0.1))
ADD = WriteRows("w1", (("a", 0),), (("a", "1"),))
READ = ReadRows("r1", "")


class ClientHarness:
    """A client and the events it posts."""

    def __init__(self, address, limits=LIMITS):
        self._events = Queue()
        self._client = TableClient(address, limits)
        self._client.start(self._events.put)
        self.close = self._client.close

    def call(self, effect):
        """Perform one call and return its event."""
        self._client.call(effect)
        return self._events.get(timeout=TIMEOUT_SECONDS)

    def call_all(self, effects):
        """Queue all calls and return their events."""
        for effect in effects:
            self._client.call(effect)
        return [self._events.get(timeout=TIMEOUT_SECONDS) for _ in effects]


@pytest.fixture
def port():
    server = make_server(0, Table().routes)
    server.start()
    yield server.server_port
    server.stop(timeout=0)


@pytest.fixture
def make_client():
    clients = []

    def make(address, limits=LIMITS):
        clients.append(ClientHarness(address, limits))
        return clients[-1]

    yield make
    for client in clients:
        client.close()


@pytest.fixture
def table(port, make_client):
    return make_client(("127.0.0.1", port))


def set_faults(port, **faults):
    call_json(port, "POST", "/faults", faults)


def test_a_written_row_is_read_back(table):
    written = table.call(ADD)
    assert (written.request, written.outcome) == ("w1", WriteOutcome.COMMITTED)
    rows = table.call(READ).rows
    assert rows == (Row("a", written.revision, "1"),)


def test_a_changed_row_is_a_conflict(table):
    table.call(ADD)
    assert table.call(ADD).outcome is WriteOutcome.CONFLICT


def test_versions_increase_across_a_delete(table):
    first = table.call(ADD).revision
    table.call(WriteRows("w2", (("a", first),), (("a", None),)))
    assert table.call(ADD).revision > first


def test_only_rows_of_the_prefix_are_read(table):
    table.call(WriteRows("w", (), (("a/1", "x"), ("b/1", "y"))))
    assert [row.key for row in table.call(ReadRows("r", "b/")).rows] == ["b/1"]


def test_a_lost_answer_is_not_repeated(port, table):
    """A repeated transaction would conflict with itself and be reported as CONFLICT
    although the row was written.
    """
    set_faults(port, lose_answers=1)
    assert table.call(ADD).outcome is WriteOutcome.LOST
    assert [row.value for row in table.call(READ).rows] == ["1"]
    assert call_json(port, "GET", "/counts")[1]["writes"] == 1


def test_calls_to_an_unavailable_table_are_lost(port, table):
    set_faults(port, down=True)
    assert table.call(ADD).outcome is WriteOutcome.LOST
    assert table.call(READ).rows is None
    set_faults(port, down=False)
    assert table.call(READ).rows == ()


def test_calls_to_a_slow_table_are_lost_after_the_timeout(port, make_client):
    table = make_client(("127.0.0.1", port), SHORT_LIMITS)
    set_faults(port, delay_seconds=TIMEOUT_SECONDS)
    assert table.call(ADD).outcome is WriteOutcome.LOST
    assert table.call(READ).rows is None


def test_a_refused_connection_is_lost(make_client):
    assert make_client(closed_port()).call(ADD).outcome is WriteOutcome.LOST


@pytest.mark.parametrize(
    "status, body",
    [
        (200, b"{}"),
        (200, b"not json"),
        (200, b"[]"),
        (200, b'{"committed": true}'),
        (409, b"{}"),
        (500, b'{"committed": true, "revision": 1}'),
    ],
)
def test_an_invalid_answer_is_lost(make_client, status, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    server = Server(head + body)
    client = make_client(server.address)
    assert client.call(ADD).outcome is WriteOutcome.LOST
    assert client.call(READ).rows is None
    server.close()


def test_calls_over_the_queue_bound_are_lost_at_once(make_client):
    server = Server(None)
    client = make_client(server.address, SHORT_LIMITS)
    events = client.call_all([ADD] * (MAX_QUEUED + MAX_CALLS + 5))
    assert {event.outcome for event in events} == {WriteOutcome.LOST}
    assert server.accepted < len(events)
    server.close()
