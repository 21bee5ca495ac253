"""Orders to the worker beside a sidecar, in the platform's words."""

import json
import logging
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

import gevent
from returns.pipeline import is_successful
from returns.result import Result

from gypsumspoke.core.clock import Clock
from gypsumspoke.platform.names import parse_run_id, task_name
from gypsumspoke.runs.settings import Address
from gypsumspoke.runs.supervisor_renewals import COMMAND_TIMEOUT
from gypsumspoke.runs.values import RunEnd
from gypsumspoke.runs.worker_commands import (
    CommandAnswered,
    CommandKind,
    CommandResult,
    EndedRun,
    RenewalAnswered,
    RenewalFailed,
    RenewCommand,
    RunningRun,
    StartCommand,
    StopCommand,
)
from gypsumspoke.shell.adaptive_timeout import AdaptiveTimeout
from gypsumspoke.shell.http_exchange import ExchangeError, HttpAnswer
from gypsumspoke.shell.keep_alive import KeepAliveClient, Request

_MILLISECOND = timedelta(milliseconds=1)
_CONNECT_TIMEOUT = timedelta(milliseconds=200)
_ANSWER_BYTES = 4 * 1024 * 1024

_CONFLICT = 409
_OTHER_LIFE = 421
_BAD_REQUEST = 400
_UNHEALTHY = (429, 503)
_REASONS = {
    "fence": CommandResult.FENCED,
    "old": CommandResult.NUMBER_TOO_LOW,
    "late": CommandResult.LATE,
    "room": CommandResult.NO_ROOM,
}
# "lapsed": the lease ended. "broken" and "alone" speak of gangs, which are not placed
# here. "saved" beside each end is a checkpoint, which best-effort jobs do not use.
_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LOST,
    "broken": RunEnd.LOST,
    "alone": RunEnd.LOST,
}

_log = logging.getLogger(__name__)


class WorkerClient:
    """Carries out orders, each in a greenlet of its own.

    Args:
      address: where the worker listens.
      post: takes the events that answer the orders.
      clock: source of time.
    """

    def __init__(
        self, address: Address, post: Callable[[Any], None], clock: Clock
    ) -> None:
        self._client = KeepAliveClient(address, _CONNECT_TIMEOUT, _ANSWER_BYTES)
        self._post = post
        self._clock = clock
        self._answer_time = AdaptiveTimeout(COMMAND_TIMEOUT)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def start(self, order: StartCommand) -> None:
        """Tell the worker to start a run; returns at once."""
        body = {
            "task": task_name(order.run.task),
            "run": order.run.number,
            "spec": order.spec,
            # Not this run's deadline: the end of the lease of all that runs there.
            "deadline_ms": order.lease_end // _MILLISECOND,
            "fencing_token": order.token,
        }
        gevent.spawn(
            self._order,
            CommandKind.START,
            "/v1/run-start",
            order.run,
            order.worker,
            body,
        )

    def stop(self, order: StopCommand) -> None:
        """Tell the worker to stop a run; returns at once."""
        body = {
            "task": task_name(order.run.task),
            "run": order.run.number,
            "fencing_token": order.token,
        }
        gevent.spawn(
            self._order, CommandKind.STOP, "/v1/run-stop", order.run, order.worker, body
        )

    def renew(self, order: RenewCommand) -> None:
        """Extend the lease and ask for the lists; returns at once."""
        gevent.spawn(self._hold, order)

    def _order(
        self, kind: CommandKind, path: str, run, worker: str, body: dict
    ) -> None:
        sent = self._clock.now()
        answer = self._send(path, worker, body, self._answer_time.timeout)
        result = _result(answer)
        if result is CommandResult.UNANSWERED:
            self._answer_time.record_missing()
        elif result is not CommandResult.NOT_SENT:
            self._answer_time.record(self._clock.now() - sent)
        fields = _fields(answer)
        self._post(CommandAnswered(kind, run, result, _clock_of(fields), sent))

    def _hold(self, order: RenewCommand) -> None:
        body: dict[str, Any] = {
            "fencing_token": order.token,
            "last_seen": order.last_seen,
            "wait_ms": order.wait // _MILLISECOND,
        }
        if order.lease_end is not None:
            body["deadline_ms"] = order.lease_end // _MILLISECOND
        sent = self._clock.now()
        within = order.wait + self._answer_time.timeout
        answer = self._send("/v1/hold", order.worker, body, within)
        result = _result(answer)
        fields = _fields(answer)
        event = None
        if result is CommandResult.ACCEPTED:
            event = _hold_answered(sent, order, fields)
        clock = _clock_of(fields)
        failed = RenewalFailed(result, clock, order.is_extra, order.token, order.number)
        self._post(event or failed)

    def _send(
        self, path: str, worker: str, body: dict, within: timedelta
    ) -> Result[HttpAnswer, ExchangeError]:
        headers = {"Content-Type": "application/json"}
        if worker:
            # Names the worker that is meant; another one at this address refuses.
            headers["Gypsumspoke-Expect-Instance"] = worker
        request = Request("POST", path, headers, json.dumps(body).encode())
        return self._client.send(request, within)


def _result(answer: Result[HttpAnswer, ExchangeError]) -> CommandResult:
    if not is_successful(answer):
        unsent = answer.failure() is ExchangeError.NOT_SENT
        return CommandResult.NOT_SENT if unsent else CommandResult.UNANSWERED
    status = answer.unwrap().status
    if 200 <= status < 300:
        return CommandResult.ACCEPTED
    if status == _CONFLICT:
        reason = (_fields(answer) or {}).get("reason")
        return _REASONS.get(reason, CommandResult.INVALID)
    if status == _OTHER_LIFE:
        return CommandResult.OTHER_WORKER
    if status in _UNHEALTHY:
        return CommandResult.UNHEALTHY
    if status == _BAD_REQUEST:
        return CommandResult.INVALID
    return CommandResult.UNANSWERED


def _fields(answer: Result[HttpAnswer, ExchangeError]) -> dict[str, Any] | None:
    if not is_successful(answer):
        return None
    try:
        fields = json.loads(answer.unwrap().body)
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None


def _clock_of(fields: dict[str, Any] | None) -> timedelta | None:
    clock = (fields or {}).get("clock_ms")
    return clock * _MILLISECOND if isinstance(clock, (int, float)) else None


def _hold_answered(
    sent: datetime, order: RenewCommand, fields: dict | None
) -> RenewalAnswered | None:
    """Return the event of an answer, or None for one that can't be read."""
    try:
        born = fields.get("born")
        return RenewalAnswered(
            sent,
            fields["clock_ms"] * _MILLISECOND,
            int(born) if born is not None else None,
            tuple(_running(row) for row in fields["running"]),
            tuple(_ended(row) for row in fields["ended"]),
            order.is_extra,
            order.token,
            order.number,
        )
    except (AttributeError, KeyError, TypeError, ValueError, IndexError) as error:
        _log.error({"message": "unreadable list of runs", "reason": repr(error)})
        return None


def _running(row: list) -> RunningRun:
    return RunningRun(parse_run_id(row[0], row[1]), int(row[3]))


def _ended(row: list) -> EndedRun:
    return EndedRun(
        int(row[0]), parse_run_id(row[1], row[2]), _ENDS[row[3]], row[3] == "lapsed"
    )
