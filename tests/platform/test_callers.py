"""The callers' side of an entry, without its loop."""

import json
from io import BytesIO
from typing import Any

import gevent
import pytest
from gevent.socket import socket, socketpair
from returns.result import Failure

from gypsumspoke.core.clock import ManualClock
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
from gypsumspoke.shell.caller_server import SOCKET_KEY
from tests.runs.world import CONFIGURATION, ROUTE, START

JOB = b"""{"best_effort": true, "spec": "x",
    "steps": [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 900}]}"""
JOB_ID = "5c0e7a21d94b36f8"


class Entry:
    """An entry that has just started and has no configuration yet."""

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
        """Hand a job in on a connection; return the status line."""
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

    def fall_behind(self) -> None:
        """Handle events so late, for so long, that all new jobs are refused."""
        now = START
        for _ in range(10):
            now += self.state.budget.tick
            self.state.load_shedder.record_lag(self.state.budget.tick, now)

    def post(self, job_id: str) -> tuple[str, dict]:
        """Send a job that is not supported; return status line and body."""
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
        """Ask for the route's count; return status line and body."""
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
    """All entries start at once beside a slow store, and callers are sent to them all
    the same. A request that comes before the configuration is answered by it; refused
    at once, its caller would have lost a job that could be done in time.
    """
    asked = gevent.spawn(entry.get)
    gevent.sleep(0)
    assert not asked.ready()
    entry.state.table = RoutingTable(CONFIGURATION)
    entry.callers.on_first_configuration(FirstConfiguration())
    assert asked.get() == ("200 OK", {"pending": 0})
    assert entry.counted == []


def test_without_a_configuration_for_long_a_request_is_refused_at_once(entry):
    entry.clock.advance(FIRST_CONFIGURATION_TIMEOUT)
    status, body = entry.get()
    assert status.startswith("503")
    assert body["reason"] == RefusalReason.NO_CONFIGURATION.value
    assert entry.counted == [RefusalReason.NO_CONFIGURATION]


def test_a_request_that_waits_for_the_configuration_is_answered_at_a_stop(entry):
    asked = gevent.spawn(entry.get)
    gevent.sleep(0)
    entry.callers.abort_all()
    status, body = asked.get()
    assert status.startswith("503")
    assert body["reason"] == RefusalReason.STOPPING.value


@pytest.mark.parametrize("has_left", [True, False])
def test_a_job_whose_caller_left_before_it_was_read_does_not_start(entry, has_left):
    """An entry is paused, and a caller sends a job, waits in vain, and has sent it
    through another entry when this one goes on and reads both the request and the end
    of its connection. Started here, the task ran twice at once until it was withdrawn.
    """
    entry.state.table = RoutingTable(CONFIGURATION)
    here, caller = socketpair()
    with here, caller:
        if has_left:
            caller.close()
        submitted = gevent.spawn(entry.submit, here)
        gevent.sleep(0)
        arrived = [event for event in entry.posted if isinstance(event, JobArrived)]
        assert len(arrived) == (0 if has_left else 1)
        entry.callers.abort_all()
        assert submitted.get().startswith("504")
    assert entry.counted == ([RefusalReason.CALLER_LEFT] if has_left else [])


def test_an_entry_that_is_behind_refuses_a_job_unread(entry):
    """Reading and checking a job costs what an entry that is behind lacks."""
    entry.state.table = RoutingTable(CONFIGURATION)
    assert entry.post(JOB_ID)[1]["reason"] == RefusalReason.NOT_SUPPORTED.value
    entry.fall_behind()
    status, body = entry.post(JOB_ID)
    assert status.startswith("503")
    assert body["reason"] == RefusalReason.ENTRY_BEHIND.value
    assert entry.counted[-1] is RefusalReason.ENTRY_BEHIND


def test_a_copy_of_a_job_that_runs_here_is_not_refused_unread(entry):
    """Told "not run", its caller would take a job for lost that may yet be done."""
    entry.state.table = RoutingTable(CONFIGURATION)
    entry.fall_behind()
    entry.state.jobs[JOB_ID] = None
    assert entry.post(JOB_ID)[1]["reason"] == RefusalReason.NOT_SUPPORTED.value


def test_an_entry_that_is_cut_off_and_behind_claims_nothing(entry):
    """Refused with "not run", its caller would not go to an entry that can serve it."""
    entry.state.table = RoutingTable(CONFIGURATION)
    entry.fall_behind()
    entry.state.isolated = True
    assert entry.post(JOB_ID)[1]["reason"] == RefusalReason.NOT_SUPPORTED.value
