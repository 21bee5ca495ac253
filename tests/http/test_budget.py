"""Tests of which connections are closed when clients occupy too much."""

from datetime import datetime, timedelta, timezone
from typing import NamedTuple

from gypsumspoke.core.process_limits import ProcessLimits
from gypsumspoke.http.budget import Occupancy, connections_to_close
from gypsumspoke.http.limits import client_limits

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
LIMIT = Occupancy(connections=10, held_bytes=1000)


class Client(NamedTuple):
    held: int
    since: datetime
    is_waiting_for_client: bool = True


def client(held=0, seconds=0.0, waits=True):
    return Client(held, NOW - timedelta(seconds=seconds), waits)


def test_what_holds_much_for_long_goes_first():
    small, large, old = client(10, 0.1), client(900, 0.1), client(900, 5)
    chosen = connections_to_close([small, large, old], Occupancy(0, 100), LIMIT, NOW)
    assert chosen == [old]


def test_as_many_go_as_are_needed():
    clients = [client(100, seconds) for seconds in (1, 2, 3, 4)]
    chosen = connections_to_close(clients, Occupancy(0, 180), LIMIT, NOW)
    assert chosen == clients[:0:-1]


def test_the_slow_make_room_for_new_connections():
    """A new client would be locked out by those that send a byte now and then."""
    new, idle, slow = client(seconds=0), client(seconds=1), client(50, 3)
    chosen = connections_to_close([new, idle, slow], Occupancy(1, 0), LIMIT, NOW)
    assert chosen == [slow]


def test_a_single_request_is_read_whatever_its_size():
    """A request inside the configured limits must be served when it is alone."""
    alone = client(5000, 3)
    idle = client(0, 9)
    assert not connections_to_close([alone, idle], Occupancy(0, 4000), LIMIT, NOW)


def test_a_request_that_is_answered_is_never_given_up():
    """A job that was handed in must be run and answered."""
    busy = client(900, 20, waits=False)
    assert not connections_to_close([busy], Occupancy(0, 500), LIMIT, NOW)
    assert not connections_to_close([busy], Occupancy(1, 0), LIMIT, NOW)


def test_all_bounds_together_leave_half_of_the_memory():
    """The process itself needs the rest; bytes in sockets count as its memory."""
    for limits in (
        ProcessLimits(160_000_000, 3075),
        ProcessLimits(300_000_000, 4100),
        ProcessLimits(552_000_000, 8192),
    ):
        bounds = client_limits(limits)
        # The system reserves twice the size of each buffer.
        in_sockets = bounds.connections * sum(bounds.buffers) * 2
        bounded = in_sockets + bounds.held_bytes + bounds.job_bytes
        assert bounded < limits.memory_bytes / 2
        assert bounds.connections < limits.descriptors - 200
