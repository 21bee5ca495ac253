"""Event loop that feeds events to a reducer, one at a time, and performs its effects.

Every source of events (peers, timers, HTTP callers, the table, the upstream) appends
to one queue, which a single greenlet consumes. So the reducer is never reentered, needs
no locks, and sees the same order in production as in a test that replays its events.
"""

import logging
import signal
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, Protocol

import gevent
from gevent.event import Event

from gypsumspoke.core.clock import Clock
from gypsumspoke.core.effects import Effect, Exit, ReadRows, Send, WriteRows
from gypsumspoke.core.events import TICK, TURN_ENDED, Arrival, Drain, Tick, Timed
from gypsumspoke.shell.loop_lag import LoopLag
from gypsumspoke.shell.loop_watch import LoopWatch
from gypsumspoke.wire.links import PeerLinks

EXIT_DONE = 0
EXIT_INTERNAL = 70
EXIT_DRAIN_TIMEOUT = 75
EXIT_SECOND_SIGNAL = 143

Reduce = Callable[[Any, Any, datetime], list[Effect]]
EffectHandler = Callable[[Any], None]

_MAX_EVENTS_PER_TURN = 256
# Sockets and timers are not served during a turn; peers close a connection on which
# they receive nothing for a few ticks.
_MAX_TURN_TIME = timedelta(milliseconds=25)

_log = logging.getLogger(__name__)


class Table(Protocol):
    """The client of the platform's table, as the loop uses it."""

    def start(self, post: Callable[[Any], None]) -> None:
        """Start posting results of calls as events."""

    def call(self, effect: ReadRows | WriteRows) -> None:
        """Queue a call without blocking."""


class Runtime:
    """Event loop of one reducer.

    Args:
      reduce: the role's reducer.
      state: the reducer's state.
      clock: source of the ``now`` passed with each event.
      links: connections to peers.
      table: client of the platform's table; None for a role without one.
      drain_timeout: maximum duration of a graceful stop; None for no limit.
      is_draining: whether the reducer has begun a graceful stop, which an operator
        or another process may request; None when only SIGTERM can.
      ends_on_second_signal: whether a second SIGTERM ends the process immediately.
        False where planned stops may overlap: the second would abort the first.
      tick: interval between Tick events.
      in_turns: whether events are wrapped in ``Timed`` with their arrival times, and
        each turn ends with a ``TurnEnded`` event.
    """

    def __init__(
        self,
        reduce: Reduce,
        state: Any,
        clock: Clock,
        links: PeerLinks,
        table: Table | None = None,
        drain_timeout: timedelta | None = None,
        is_draining: Callable[[], bool] | None = None,
        ends_on_second_signal: bool = True,
        tick: timedelta = TICK,
        in_turns: bool = False,
    ) -> None:
        self._reduce = reduce
        self._state = state
        self._clock = clock
        self._links = links
        self._table = table
        self._watch = LoopWatch(clock)
        self._lag = LoopLag(tick, clock.now())
        self._events: deque[tuple[Arrival, Any]] = deque()
        self._pending = Event()
        self._tick_queued = False
        self._tick_interval = tick
        self._in_turns = in_turns
        self._draining = False
        self._drain_timeout = drain_timeout
        self._is_draining = is_draining or (lambda: False)
        self._ends_on_second_signal = ends_on_second_signal
        self._drain_timer: gevent.Greenlet | None = None
        self._status: int | None = None
        self._handlers: dict[type, list[EffectHandler]] = {
            Send: [self._send],
            Exit: [self._on_exit],
        }
        if table is not None:
            self.add_handler(ReadRows, table.call)
            self.add_handler(WriteRows, table.call)

    @property
    def state(self) -> Any:
        """The reducer's state, for health checks."""
        return self._state

    @property
    def draining(self) -> bool:
        """Whether a graceful stop has begun."""
        return self._draining

    def add_handler(self, effect_type: type, handler: EffectHandler) -> None:
        """Add a handler for effects of one type.

        Args:
          effect_type: type of effect.
          handler: called with the effect; must not block.
        """
        self._handlers.setdefault(effect_type, []).append(handler)

    def post(self, event: Any) -> None:
        """Queue an event without blocking; safe from any greenlet."""
        self._events.append((self._watch.arrival, event))
        self._pending.set()

    def drain(self) -> None:
        """Begin a graceful stop, as SIGTERM does; a second call may end the loop."""
        if self._draining and not self._ends_on_second_signal:
            return
        if self._draining:
            self._links.abort()
            self._stop(EXIT_SECOND_SIGNAL)
            return
        self._draining = True
        self._start_drain_timer()
        self.post(Drain())

    def _start_drain_timer(self) -> None:
        """Start the timer that bounds a graceful stop, unless it runs already."""
        if self._drain_timer is None and self._drain_timeout is not None:
            seconds = self._drain_timeout.total_seconds()
            self._drain_timer = gevent.spawn_later(
                seconds, self._stop, EXIT_DRAIN_TIMEOUT
            )

    def run(self) -> int:
        """Reduce events until the graceful stop is complete.

        Returns:
          The exit status: 0 after a graceful stop, 75 when it exceeded its timeout,
          143 after a second SIGTERM, 70 after an exception in the reducer.
        """
        on_signal = gevent.signal_handler(signal.SIGTERM, self.drain)
        ticker = gevent.spawn(self._tick)
        self._watch.start()
        self._links.start(self.post)
        if self._table is not None:
            self._table.start(self.post)
        try:
            while self._status is None:
                self._pending.wait()
                self._run_turn()
                if self._events:
                    _poll()
        finally:
            on_signal.cancel()
            ticker.kill()
            self._watch.close()
            if self._drain_timer is not None:
                self._drain_timer.kill()
        return self._status

    def _run_turn(self) -> None:
        """Reduce a bounded number of the queued events, for a bounded time."""
        now = self._clock.now()
        end = now + _MAX_TURN_TIME
        arrival = None
        for _ in range(_MAX_EVENTS_PER_TURN):
            if not self._events:
                self._pending.clear()
                break
            arrival, event = self._events.popleft()
            self._reduce_one(arrival, event, now)
            if self._status is not None:
                return
            now = self._clock.now()
            if now >= end:
                break
        if self._in_turns and arrival is not None:
            self._reduce_one(arrival, TURN_ENDED, now)

    def _reduce_one(self, arrival: Arrival, event: Any, now: datetime) -> None:
        self._lag.record(arrival, now)
        if isinstance(event, Tick):
            self._tick_queued = False
            for effect in self._lag.report(now, len(self._events)):
                self._dispatch(effect)
        input_event = Timed(arrival, event) if self._in_turns else event
        try:
            effects = self._reduce(self._state, input_event, now)
        except Exception:
            # The state may be inconsistent. Exiting is safe: peers treat it like any
            # other crash of a process.
            _log.exception(
                {"message": "reducer failed", "details": {"on": type(event).__name__}}
            )
            self._stop(EXIT_INTERNAL)
            return
        for effect in effects:
            self._dispatch(effect)

    def _dispatch(self, effect: Effect) -> None:
        for handler in self._handlers.get(type(effect), ()):
            try:
                handler(effect)
            except Exception:
                # A failed log line or metric must neither end the process nor prevent
                # the remaining effects.
                _log.exception(
                    {
                        "message": "effect failed",
                        "details": {"of": type(effect).__name__},
                    }
                )

    def _send(self, effect: Send) -> None:
        self._links.send(effect.to, effect.message)

    def _on_exit(self, effect: Exit) -> None:
        self._stop(EXIT_DONE)

    def _stop(self, status: int) -> None:
        self._status = status
        self._pending.set()

    def _tick(self) -> None:
        while True:
            # At most one tick is queued, so that they do not accumulate under load.
            if not self._tick_queued:
                self._tick_queued = True
                self.post(Tick())
            if self._is_draining():
                self._start_drain_timer()
            gevent.sleep(self._tick_interval.total_seconds())


def _poll() -> None:
    """Let gevent poll its sockets and timers once.

    ``gevent.sleep(0)`` is not enough: it may return many times without a poll.
    """
    hub = gevent.get_hub()
    with hub.loop.timer(0) as timer:
        hub.wait(timer)
