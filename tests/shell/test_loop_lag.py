"""What shows that the event loop is behind."""

from datetime import datetime, timedelta, timezone

from gypsumspoke.core.effects import Log, Observe
from gypsumspoke.core.events import Arrival
from gypsumspoke.shell.loop_lag import LoopLag

START = datetime(2030, 1, 1, tzinfo=timezone.utc)
TICK = timedelta(milliseconds=100)


def ms(value):
    return timedelta(milliseconds=value)


class Played:
    """A loop of which each tick has one event with a given lag."""

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
        came = read - ms(unread)
        self.lag.record(Arrival(came, came, read), self.now)
        for effect in self.lag.report(self.now, queued):
            if isinstance(effect, Log):
                self.lines.append((effect.event, dict(effect.fields)))
            elif isinstance(effect, Observe):
                self.observed.append((effect.label, round(effect.value * 1000)))


def test_each_tick_shows_the_worst_lag_by_its_parts():
    played = Played()
    played.tick(unread=30, unhandled=20)
    assert played.observed == [("unread", 30), ("unhandled", 20)]
    assert played.lines == []


def test_a_loop_that_is_behind_is_logged_once_a_second_until_it_caught_up():
    played = Played()
    for _ in range(25):
        played.tick(unread=150, unhandled=80, queued=7)
    events = [event for event, _ in played.lines]
    assert events == ["event loop behind"] * 3
    assert played.lines[1][1] == {
        "lag_ms": 230,
        "unread_ms": 150,
        "queued": 7,
        "behind_ms": 1000,
        "processor_ms": 500,
        "span_ms": 1000,
    }
    for _ in range(30):
        played.tick()
    assert [event for event, _ in played.lines[3:]][-1] == "event loop caught up"
    assert len(played.lines) <= 6


def test_a_single_pause_below_the_limit_is_not_logged():
    played = Played()
    for _ in range(30):
        played.tick(unread=90)
    assert played.lines == []
