"""Tests of an entry's HTTP interface for callers, without its event loop."""

import json
from io import BytesIO
from typing import Any

import gevent
import pytest
from gevent.socket import socket, socketpair
from returns.result import Failure

from gypsumspoke.core.clock import ManualClock
from gypsumspoke.http.heads import parse_head
from gypsumspoke.http.server import SOCKET_KEY, UnreadRefusal
from gypsumspoke.http.values import UNREAD_STATUS, Unread
from gypsumspoke.platform.callers import Callers
from gypsumspoke.runs.admission import FIRST_CONFIGURATION_TIMEOUT
from gypsumspoke.runs.coordinator_state import (
    CoordinatorState,
    FirstConfiguration,
    JobArrived,
)
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.values import RefusalReason
from tests.runs.world import CONFIGURATION, ROUTE, START

JOB = b"""{"best_effort": true, "spec": "x",
    "steps": [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 900}]}"""
JOB_ID = "5c0e7a21d94b36f8"


class Entry:
    """A new entry without a configuration."""

    def __init__(self) -> None:
        self.clock = ManualClock(START)
        self.state = CoordinatorState(
            lambda text: Failure("none"), Directory("", ()), START
        )
        self.counted: list[RefusalReason] = []
        self.posted: list[Any] = []
        self.callers = Callers(
            self.posted.append,
            lambda count: self.counted.append(count.what),
            self.clock,
            self.state,
        )

    def submit(self, connection: socket) -> str:
        """Submit a job on a connection; return the status line."""
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": ROUTE.path_prefix + JOB_ID,
            "HTTP_HOST": ROUTE.host,
            "HTTP_GYPSUMSPOKE_DEADLINE_MS": "1500",
            "wsgi.input": BytesIO(JOB),
            SOCKET_KEY: connection,
        }
        self.callers(environ, lambda status, headers: statuses.append(status))
        return statuses[0]

    def overload(self) -> None:
        """Make the load shedder refuse all new jobs because of event lag."""
        now = START
        for _ in range(10):
            now += self.state.budget.tick
            self.state.load_shedder.record_lag(self.state.budget.tick, now)

    def post(self, job_id: str) -> tuple[str, dict]:
        """Submit an unsupported job; return status line and body."""
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": ROUTE.path_prefix + job_id,
            "HTTP_HOST": ROUTE.host,
            "CONTENT_LENGTH": "2",
            "wsgi.input": BytesIO(b"{}"),
        }
        body = self.callers(environ, lambda status, headers: statuses.append(status))
        return statuses[0], json.loads(b"".join(body))

    def get(self) -> tuple[str, dict]:
        """Query the number of pending jobs; return status line and body."""
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": ROUTE.path_prefix,
            "HTTP_HOST": ROUTE.host,
        }
        body = self.callers(environ, lambda status, headers: statuses.append(status))
        return statuses[0], json.loads(b"".join(body))


@pytest.fixture
def entry() -> Entry:
    return Entry()


def test_a_request_waits_for_the_first_configuration(entry):
    """Entries that start while the store is slow must not refuse jobs that could still
    complete in time.
    """
    response = gevent.spawn(entry.get)
    gevent.sleep(0)
    assert not response.ready()
    entry.state.table = RoutingTable(CONFIGURATION)
    entry.callers.on_first_configuration(FirstConfiguration())
    assert response.get() == ("200 OK", {"pending": 0})
    assert entry.counted == []


def test_a_request_is_refused_after_the_first_configuration_timeout(entry):
    entry.clock.advance(FIRST_CONFIGURATION_TIMEOUT)
    status, body = entry.get()
    assert status.startswith("503")
    assert body["reason"] == RefusalReason.NO_CONFIGURATION.value
    assert entry.counted == [RefusalReason.NO_CONFIGURATION]


def test_a_stop_answers_a_request_that_waits_for_the_configuration(entry):
    response = gevent.spawn(entry.get)
    gevent.sleep(0)
    entry.callers.abort_all()
    status, body = response.get()
    assert status.startswith("503")
    assert body["reason"] == RefusalReason.STOPPING.value


@pytest.mark.parametrize("has_left", [True, False])
def test_a_job_whose_caller_left_before_it_was_read_does_not_start(entry, has_left):
    """A paused entry must not start a job whose caller has resubmitted it to another
    entry meanwhile, or a task runs twice at once.
    """
    entry.state.table = RoutingTable(CONFIGURATION)
    connection, caller = socketpair()
    with connection, caller:
        if has_left:
            caller.close()
        submitted = gevent.spawn(entry.submit, connection)
        gevent.sleep(0)
        arrived = [event for event in entry.posted if isinstance(event, JobArrived)]
        assert len(arrived) == (0 if has_left else 1)
        entry.callers.abort_all()
        assert submitted.get().startswith("504")
    assert entry.counted == ([RefusalReason.CALLER_LEFT] if has_left else [])


def test_an_overloaded_entry_refuses_a_job_without_parsing_it(entry):
    """Parsing a job would cost time that an overloaded entry lacks."""
    entry.state.table = RoutingTable(CONFIGURATION)
    assert entry.post(JOB_ID)[1]["reason"] == RefusalReason.NOT_SUPPORTED.value
    entry.overload()
    status, body = entry.post(JOB_ID)
    assert status.startswith("503")
    assert body["reason"] == RefusalReason.ENTRY_BEHIND.value
    assert entry.counted[-1] is RefusalReason.ENTRY_BEHIND


def test_an_overloaded_entry_parses_the_resubmission_of_a_running_job(entry):
    """The caller must not be told "not run" about a job that may still complete."""
    entry.state.table = RoutingTable(CONFIGURATION)
    entry.overload()
    entry.state.jobs[JOB_ID] = None
    assert entry.post(JOB_ID)[1]["reason"] == RefusalReason.NOT_SUPPORTED.value


def test_an_isolated_and_overloaded_entry_parses_a_job(entry):
    """An answer "not run" would keep the caller from resubmitting to another entry."""
    entry.state.table = RoutingTable(CONFIGURATION)
    entry.overload()
    entry.state.isolated = True
    assert entry.post(JOB_ID)[1]["reason"] == RefusalReason.NOT_SUPPORTED.value


def refusal(reason, job_id=JOB_ID):
    """Return the refusal of a request whose head has been read."""
    text = f"POST {ROUTE.path_prefix}{job_id} HTTP/1.1\r\nHost: {ROUTE.host}"
    return UnreadRefusal(
        reason, parse_head(text.encode(), Callers.FIELDS).unwrap(), None
    )


@pytest.mark.parametrize("reason", Unread)
def test_a_request_that_is_refused_unread_is_counted_by_its_reason(entry, reason):
    answer = entry.callers.refuse_unread(refusal(reason))
    assert answer.status == UNREAD_STATUS[reason]
    (counted,) = entry.counted
    assert json.loads(answer.body)["reason"] == counted.value


def test_the_resubmission_of_a_running_job_is_not_refused_as_not_run(entry):
    """The caller would believe that the job that runs here has not run."""
    entry.state.jobs[JOB_ID] = None
    assert entry.callers.refuse_unread(refusal(Unread.CLIENTS_PRESS)) is None
    other = refusal(Unread.CLIENTS_PRESS, "5c0e7a21d94b36f9")
    assert entry.callers.refuse_unread(other).status == 503


def test_only_the_body_of_a_job_on_a_route_is_wanted(entry):
    """Bodies on other paths must not be held."""
    head = refusal(Unread.CLIENTS_PRESS).head
    assert entry.callers.body_limit(head) > 0
    entry.state.table = RoutingTable(CONFIGURATION)
    assert entry.callers.body_limit(head) == CONFIGURATION.limits.body_bytes
    assert entry.callers.body_limit(head._replace(path="/nothing")) == 0
    assert entry.callers.body_limit(head._replace(method="GET")) == 0


def test_the_body_of_a_job_on_an_encoded_path_is_wanted(entry):
    """Its request would be refused as invalid, since the body was not read."""
    entry.state.table = RoutingTable(CONFIGURATION)
    head = refusal(Unread.CLIENTS_PRESS).head
    encoded = head._replace(path=f"/%{ord(head.path[1]):x}{head.path[2:]}")
    assert entry.callers.body_limit(encoded) == CONFIGURATION.limits.body_bytes
