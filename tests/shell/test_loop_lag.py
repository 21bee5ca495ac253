"""Metrics and log lines about an event loop that is behind."""

from datetime import datetime, timedelta, timezone

from gypsumspoke.core.effects import Log, Observe
from gypsumspoke.core.events import Arrival
from gypsumspoke.shell.loop_lag import LoopLag

START = datetime(2030, 1, 1, tzinfo=timezone.utc)
TICK = timedelta(milliseconds=100)


def ms(value):
    return timedelta(milliseconds=value)


class LoopSimulation:
    """A loop with one event of a given lag at each tick."""

    def __init__(self):
        self.now = START
        self.processor = 0.0
        self.lag = LoopLag(TICK, self.now, lambda: self.processor)
        self.lines = []
        self.observed = []

    def tick(self, unread=0, unhandled=0, queued=0):
        self.now += TICK
        self.processor += 0.05
        read = self.now - ms(unhandled)
        arrived = read - ms(unread)
        self.lag.record(Arrival(arrived, arrived, read), self.now)
        for effect in self.lag.report(self.now, queued):
            if isinstance(effect, Log):
                self.lines.append((effect.event, dict(effect.fields)))
            elif isinstance(effect, Observe):
                self.observed.append((effect.label, round(effect.value * 1000)))


def test_each_tick_observes_both_parts_of_the_worst_lag():
    loop = LoopSimulation()
    loop.tick(unread=30, unhandled=20)
    assert loop.observed == [("unread", 30), ("unhandled", 20)]
    assert loop.lines == []


def test_a_loop_that_is_behind_logs_once_per_interval_until_it_catches_up():
    loop = LoopSimulation()
    for _ in range(25):
        loop.tick(unread=150, unhandled=80, queued=7)
    events = [event for event, _ in loop.lines]
    assert events == ["event loop behind"] * 3
    assert loop.lines[1][1] == {
        "lag_ms": 230,
        "unread_ms": 150,
        "queued": 7,
        "behind_ms": 1000,
        "processor_ms": 500,
        "span_ms": 1000,
    }
    for _ in range(30):
        loop.tick()
    assert [event for event, _ in loop.lines[3:]][-1] == "event loop caught up"
    assert len(loop.lines) <= 6


def test_a_lag_below_the_maximum_is_not_logged():
    loop = LoopSimulation()
    for _ in range(30):
        loop.tick(unread=90)
    assert loop.lines == []
