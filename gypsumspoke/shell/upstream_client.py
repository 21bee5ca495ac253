"""Runs tasks at the upstream of this process.

Each task is one POST on its own connection. The outcome is NOT_RUN only if no
connection was made; once bytes may have been sent, a missing answer is UNKNOWN.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from urllib.parse import quote

import gevent
from returns.pipeline import is_successful

from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import StartUpstream
from gypsumspoke.core.events import UpstreamAnswered
from gypsumspoke.core.policy import ServicePolicy
from gypsumspoke.core.values import Outcome
from gypsumspoke.shell.http_exchange import (
    ExchangeError,
    ExchangeLimits,
    HttpAnswer,
    post,
)

RUN_PATH = "/run"
MAX_RESULT_BYTES = 1024 * 1024

_HEADER_PREFIX = "Gypsumspoke-"
_FIRST_SUCCESS = 200
_LAST_SUCCESS = 299

_ERRORS = {
    ExchangeError.NOT_SENT: (Outcome.NOT_RUN, RetryReason.UPSTREAM_REFUSED_CONNECTION),
    ExchangeError.TIMEOUT: (Outcome.UNKNOWN, RetryReason.UPSTREAM_TIMEOUT),
    ExchangeError.BROKEN: (Outcome.UNKNOWN, RetryReason.UPSTREAM_BROKEN),
    ExchangeError.TOO_LARGE: (Outcome.FAILED, RetryReason.UPSTREAM_FAILED),
}

DEFAULT_SERVICE = ServicePolicy(
    name="",
    connections=64,
    connect_timeout=timedelta(seconds=1),
    answer_timeout=timedelta(seconds=30),
    queue_limit=32,
)

_log = logging.getLogger(__name__)


class UpstreamClient:
    """Performs ``StartUpstream`` and reports ``UpstreamAnswered``.

    Args:
      address: IP address and port of the upstream.
      post_event: receives the outcomes.
    """

    def __init__(
        self,
        address: tuple[str, int],
        post_event: Callable[[UpstreamAnswered], None],
    ) -> None:
        self._address = address
        self._post_event = post_event
        self._policy = DEFAULT_SERVICE
        self._running = 0

    @property
    def running(self) -> int:
        """Number of tasks running at the upstream."""
        return self._running

    def set_port(self, port: int) -> None:
        """Set the upstream's port for tasks that start from now on."""
        host, _ = self._address
        self._address = (host, port)

    def set_policy(self, policy: ServicePolicy) -> None:
        """Set the policy for tasks that start from now on."""
        self._policy = policy

    def start(self, effect: StartUpstream) -> None:
        """Start a task without blocking."""
        # The executor starts at most as many tasks as it has slots, but the manifest
        # may allow fewer connections.
        if self._running >= self._policy.connections:
            self._report(
                effect, Outcome.NOT_RUN, b"", RetryReason.EXECUTOR_QUEUE_FULL.value
            )
            return
        self._running += 1
        gevent.spawn(self._run, effect, self._policy)

    def _run(self, effect: StartUpstream, policy: ServicePolicy) -> None:
        # Every task must get an outcome, or its slot would stay occupied. After an
        # unexpected error it is unknown how far the request went.
        outcome, result = Outcome.UNKNOWN, b""
        reason = RetryReason.UPSTREAM_BROKEN.value
        try:
            outcome, result, reason = self._post_task(effect, policy)
        except Exception:
            _log.exception({"message": "upstream call failed unexpectedly"})
        finally:
            self._running -= 1
            self._report(effect, outcome, result, reason)

    def _post_task(
        self, effect: StartUpstream, policy: ServicePolicy
    ) -> tuple[Outcome, bytes, str]:
        limits = ExchangeLimits(
            policy.connect_timeout, policy.answer_timeout, MAX_RESULT_BYTES
        )
        answered = post(self._address, RUN_PATH, _headers(effect), effect.body, limits)
        if is_successful(answered):
            return _task_outcome(answered.unwrap())
        outcome, reason = _ERRORS[answered.failure()]
        return outcome, b"", reason.value

    def _report(
        self, effect: StartUpstream, outcome: Outcome, result: bytes, reason: str
    ) -> None:
        self._post_event(UpstreamAnswered(effect.attempt, outcome, result, reason))


def _task_outcome(answer: HttpAnswer) -> tuple[Outcome, bytes, str]:
    """Return the outcome, result and retry reason for the upstream's answer."""
    if _FIRST_SUCCESS <= answer.status <= _LAST_SUCCESS:
        return Outcome.DONE, answer.body, ""
    return Outcome.FAILED, b"", RetryReason.UPSTREAM_FAILED.value


def _headers(effect: StartUpstream) -> tuple[tuple[str, str], ...]:
    """Return the headers that identify the task.

    Team and key are chosen by the caller and are percent-encoded to prevent header
    injection.
    """
    key = effect.attempt.key
    return (
        ("Content-Type", "application/json"),
        (_HEADER_PREFIX + "Team", quote(key.team, safe="")),
        (_HEADER_PREFIX + "Key", quote(key.key, safe="")),
        (_HEADER_PREFIX + "Task", str(effect.attempt.task)),
        (_HEADER_PREFIX + "Not-Repeatable", str(effect.not_repeatable).lower()),
    )
