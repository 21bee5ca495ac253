"""Event loop with a fake reducer and real links."""

import signal
import time
from datetime import timedelta

import gevent
import pytest

from gypsumspoke.core.clock import SystemClock
from gypsumspoke.core.counters import Counter
from gypsumspoke.core.effects import Count, Exit, ReadRows, Send
from gypsumspoke.core.events import Drain, Received, RowsRead, Tick
from gypsumspoke.core.messages import QueryJob
from gypsumspoke.core.values import JobKey, Member, Role
from gypsumspoke.shell import runtime as module
from gypsumspoke.shell.runtime import Runtime
from gypsumspoke.shell.table_client import TableClient
from gypsumspoke.wire.hello import PROTOCOL_VERSION, Hello
from gypsumspoke.wire.links import PeerLinks
from tests.standins.sockets import closed_port

TIMEOUT_SECONDS = 30
QUERY = QueryJob("r1", 3, JobKey("orchards", "invoice-7"))


class FakeReducer:
    """Records its events and returns given effects; fails when reentered."""

    def __init__(self, effects):
        self._effects = effects
        self.events = []
        self.depth = 0

    def reduce(self, state, event, now):
        assert self.depth == 0
        self.depth += 1
        if not isinstance(event, Tick):
            self.events.append(event)
        effects = self._effects(event)
        self.depth -= 1
        return effects


@pytest.fixture
def make():
    closers = []

    def make_runtime(effects, name="home", **options):
        clock = SystemClock()
        links = PeerLinks(Hello(PROTOCOL_VERSION, name, name, 64), clock)
        table = TableClient(closed_port())
        closers.extend([links.close, table.close])
        reducer = FakeReducer(effects)
        port = links.listen("127.0.0.1", 0)
        runtime = Runtime(reducer.reduce, reducer, clock, links, table, **options)
        return runtime, reducer, links, port

    yield make_runtime
    for close in closers:
        close()


def run(runtime):
    with gevent.Timeout(TIMEOUT_SECONDS):
        return runtime.run()


def test_it_ticks_until_exit(make):
    ticks = []

    def effects(event):
        ticks.append(event)
        return [Exit()] if len(ticks) == 3 else []

    runtime, _, _, _ = make(effects)
    assert run(runtime) == module.EXIT_DONE
    assert ticks == [Tick()] * 3


def test_an_effect_reaches_its_handlers_although_one_fails(make):
    handled = []

    def fail(effect):
        raise OSError

    runtime, _, _, _ = make(lambda event: [Count(Counter.PEER_LOST), Exit()])
    runtime.add_handler(Count, fail)
    runtime.add_handler(Count, handled.append)
    assert run(runtime) == module.EXIT_DONE
    assert handled == [Count(Counter.PEER_LOST)]


def test_events_are_reduced_in_order_without_reentrance(make):
    def effects(event):
        return [Count(Counter.PEER_LOST)] if event in ("a", "b") else [Exit()]

    runtime, reducer, _, _ = make(effects)
    runtime.add_handler(Count, lambda effect: runtime.post("nested"))
    for event in ("a", "b", Drain()):
        runtime.post(event)
    run(runtime)
    assert reducer.events[:3] == ["a", "b", Drain()]


def test_an_exception_in_the_reducer_ends_the_process(make):
    def effects(event):
        raise ZeroDivisionError

    runtime, _, _, _ = make(effects)
    assert run(runtime) == module.EXIT_INTERNAL


def test_sigterm_drains_and_a_second_one_ends_at_once(make):
    def effects(event):
        if isinstance(event, Drain):
            signal.raise_signal(signal.SIGTERM)
        elif isinstance(event, Tick) and not reducer.events:
            signal.raise_signal(signal.SIGTERM)
        return []

    runtime, reducer, _, _ = make(effects)
    assert run(runtime) == module.EXIT_SECOND_SIGNAL
    assert Drain() in reducer.events


def test_a_drain_ends_after_its_timeout(make):
    runtime, _, _, _ = make(lambda event: [], drain_timeout=timedelta(seconds=0.1))
    runtime.drain()
    assert run(runtime) == module.EXIT_DRAIN_TIMEOUT


def test_a_drain_begun_by_the_reducer_ends_after_its_timeout(make):
    options = {"drain_timeout": timedelta(0), "is_draining": lambda: True}
    runtime, _, _, _ = make(lambda event: [], **options)
    assert run(runtime) == module.EXIT_DRAIN_TIMEOUT


def test_timers_run_while_events_keep_coming(make):
    """Without bounded turns, peers would get no heartbeats under load and would close
    their connections.
    """

    def effects(event):
        if event != "more":
            return []
        time.sleep(0.002)
        return [Exit()] if due else [Count(Counter.PEER_LOST)]

    due = []
    runtime, reducer, _, _ = make(effects)
    runtime.add_handler(Count, lambda effect: runtime.post("more"))
    runtime.post("more")
    timer = gevent.spawn_later(0.005, due.append, True)
    assert run(runtime) == module.EXIT_DONE
    timer.kill()
    assert reducer.events.count("more") < 100


def test_an_unreachable_table_is_reported(make):
    def effects(event):
        return [Exit()] if isinstance(event, RowsRead) else [ReadRows("r", "members/")]

    runtime, reducer, _, _ = make(effects)
    run(runtime)
    assert reducer.events == [RowsRead("r", None)]


def test_two_processes_exchange_messages(make):
    def answer(event):
        if isinstance(event, Received):
            return [Send(event.sender, event.message)]
        return []

    def ask(event):
        if isinstance(event, Received):
            return [Exit()]
        return [Send("home", QUERY)] if event == "ask" else []

    home, _, _, port = make(answer)
    entry, asked, links, _ = make(ask, name="entry")
    links.set_addresses([_member("home", port)])
    serving = gevent.spawn(home.run)
    entry.post("ask")
    assert run(entry) == module.EXIT_DONE
    assert Received("home", QUERY) in asked.events
    serving.kill()


def _member(name, port):
    now = SystemClock().now()
    return Member(
        name, name, Role.SIDECAR, "127.0.0.1", port, "d1", "r1", "s", 8, now, None, 0
    )
