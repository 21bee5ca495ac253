"""When a command to the worker is sent again after its connection failed.

The load that this answers: a worker that goes down and comes back by turns, or accepts
connections and closes them. Its sidecar would otherwise repeat renewals and stops
without a pause, a new connection for each, and place runs on a worker that isn't there.

A connection that is closed without an answer is most often an idle one that the worker
had closed meanwhile, and run ends may be waiting, so the first such failure is followed
by another attempt at once. After that commands wait for the next tick, later for two.
The phase of ticks differs between sidecars, so that they don't retry in step.

A command that timed out has already waited, and may yet be carried out. It neither
counts here nor ends a series: a worker that is silent is noticed by ``worker_silence``.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs.values import WorkerFailure
from gypsumspoke.runs.worker_commands import CommandResult

# Renewals in a row without a connection from which on the worker counts as down.
MIN_DOWN_FAILURES = 2
# Renewals in a row from which on the pause is two ticks instead of one.
LONG_PAUSE_FAILURES = 6

_FAILURES = {
    CommandResult.NOT_SENT: WorkerFailure.REFUSED,
    CommandResult.CLOSED: WorkerFailure.CLOSED,
    CommandResult.UNANSWERED: WorkerFailure.TIMED_OUT,
}


class WorkerRetries:
    """The latest series of renewals that failed with their connection.

    Args:
      tick: interval at which retries are sent.
    """

    def __init__(self, tick: timedelta) -> None:
        self._tick = tick
        self._failures = 0
        self._failing_since: datetime | None = None
        self._next_at: datetime | None = None

    @property
    def is_down(self) -> bool:
        """Whether no connection to the worker has worked lately."""
        return self._failures >= MIN_DOWN_FAILURES

    def may_send(self, now: datetime) -> bool:
        """Return whether a renewal or a stop may be sent now."""
        return self._next_at is None or now >= self._next_at

    def end_pause(self) -> None:
        """Allow the next command at once, since the worker has started again."""
        self._next_at = None

    def may_repeat_at_once(self, result: CommandResult) -> bool:
        """Return whether a renewal that failed in this way is repeated at once."""
        if result is CommandResult.CLOSED:
            return self._failures == 1
        return result is CommandResult.UNANSWERED

    def record_failure(
        self, result: CommandResult, lease_ends_by: datetime, now: datetime
    ) -> list[Effect]:
        """Record a renewal that got no answer; other results change nothing.

        Args:
          result: how it failed.
          lease_ends_by: when the worker's lease ends at the latest. The pause stays
            short until then, since runs may still be saved by a renewal.
          now: the current time.
        """
        if result not in _FAILURES:
            return []
        effects: list[Effect] = [Count(_FAILURES[result])]
        if result is CommandResult.UNANSWERED:
            return effects
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = now
        if self._failures >= LONG_PAUSE_FAILURES and now >= lease_ends_by:
            self._next_at = now + self._tick
        if self._failures == MIN_DOWN_FAILURES:
            fields = (("reason", _FAILURES[result].value),)
            effects.append(Log(logging.WARNING, "worker unreachable", fields=fields))
        return effects

    def record_answer(self, now: datetime) -> list[Effect]:
        """Record that the worker has answered a renewal, which ends a series."""
        effects: list[Effect] = []
        if self.is_down:
            lasted = (now - self._failing_since) // timedelta(milliseconds=1)
            fields = (("failures", self._failures), ("lasted_ms", lasted))
            effects.append(Log(logging.INFO, "worker reached again", fields=fields))
        self._failures = 0
        self._failing_since = None
        self._next_at = None
        return effects
