"""Bounds on the arrival times of events."""

import time
from contextlib import closing

import gevent
import pytest

from gypsumspoke.core.clock import SteadyClock
from gypsumspoke.shell.loop_watch import LoopWatch

BUSY_SECONDS = 0.2


@pytest.fixture
def clock():
    return SteadyClock()


def test_an_idle_loop_reads_events_immediately(clock):
    with closing(LoopWatch(clock)) as watch:
        watch.start()
        # Timing starts with the next iteration of the loop.
        gevent.sleep(0.01)
        before = clock.now()
        gevent.sleep(BUSY_SECONDS)
        arrival = watch.arrival
    assert before <= arrival.earliest == arrival.read <= clock.now()
    assert before <= arrival.heard <= arrival.read


def test_events_during_a_busy_loop_arrive_before_they_are_read(clock):
    """The arrival of events that waited for a busy loop must not be taken from the time
    of reading, or an overloaded process would seem to keep up.
    """
    with closing(LoopWatch(clock)) as watch:
        watch.start()
        gevent.sleep(0.01)
        arrived = clock.now()
        wake = gevent.spawn_later(0, lambda: watch.arrival)
        time.sleep(BUSY_SECONDS)
        arrival = wake.get()
    assert arrival.earliest <= arrived
    assert arrival.heard <= arrived
    assert (arrival.read - arrived).total_seconds() >= BUSY_SECONDS
