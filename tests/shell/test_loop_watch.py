"""When what the event loop reads had arrived."""

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


def test_an_idle_loop_reads_at_once(clock):
    with closing(LoopWatch(clock)) as watch:
        watch.start()
        # The watch begins with the next turn of the loop.
        gevent.sleep(0.01)
        before = clock.now()
        gevent.sleep(BUSY_SECONDS)
        arrival = watch.arrival
    assert before <= arrival.earliest == arrival.read <= clock.now()
    assert before <= arrival.heard <= arrival.read


def test_what_came_while_the_loop_was_busy_counts_from_then(clock):
    """A process handles something long while messages arrive. Counted from when they
    are read they look fresh, and the process seems to keep up however late it is.
    """
    with closing(LoopWatch(clock)) as watch:
        watch.start()
        gevent.sleep(0.01)
        came = clock.now()
        wake = gevent.spawn_later(0, lambda: watch.arrival)
        time.sleep(BUSY_SECONDS)
        arrival = wake.get()
    assert arrival.earliest <= came
    assert arrival.heard <= came
    assert (arrival.read - came).total_seconds() >= BUSY_SECONDS
