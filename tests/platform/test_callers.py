"""The callers' side of an entry, without its loop."""

import json

import gevent
import pytest
from returns.result import Failure

from gypsumspoke.core.clock import ManualClock
from gypsumspoke.platform.callers import Callers
from gypsumspoke.runs.admission import CONFIGURATION_SETTLING
from gypsumspoke.runs.coordinator_state import CoordinatorState, FirstConfiguration
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.values import RefusalReason
from tests.runs.world import CONFIGURATION, ROUTE, START


class Entry:
    """An entry that has just started and has no configuration yet."""

    def __init__(self) -> None:
        self.clock = ManualClock(START)
        self.state = CoordinatorState(
            lambda text: Failure("none"), Directory("", ()), START
        )
        self.counted: list[RefusalReason] = []
        self.callers = Callers(
            lambda event: None,
            lambda count: self.counted.append(count.what),
            self.clock,
            self.state,
        )

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
    entry.callers.note_configured(FirstConfiguration())
    assert asked.get() == ("200 OK", {"pending": 0})
    assert entry.counted == []


def test_without_a_configuration_for_long_a_request_is_refused_at_once(entry):
    entry.clock.advance(CONFIGURATION_SETTLING)
    status, body = entry.get()
    assert status.startswith("503")
    assert body["reason"] == RefusalReason.NO_CONFIGURATION.value
    assert entry.counted == [RefusalReason.NO_CONFIGURATION]


def test_a_request_that_waits_for_the_configuration_is_answered_at_a_stop(entry):
    asked = gevent.spawn(entry.get)
    gevent.sleep(0)
    entry.callers.give_up_all()
    status, body = asked.get()
    assert status.startswith("503")
    assert body["reason"] == RefusalReason.STOPPING.value
