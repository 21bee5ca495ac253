"""Client that sends a sidecar's commands to its worker."""

import json
import logging
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial
from typing import Any

from returns.pipeline import is_successful
from returns.result import Result

from gypsumspoke.core.clock import Clock
from gypsumspoke.platform.names import parse_run_id, task_name
from gypsumspoke.runs.settings import Address
from gypsumspoke.runs.supervisor_renewals import COMMAND_TIMEOUT
from gypsumspoke.runs.values import RunEnd, RunId
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
from gypsumspoke.shell.keep_alive import KeepAliveClient, OnAnswer, Request

_MILLISECOND = timedelta(milliseconds=1)
_CONNECT_TIMEOUT = timedelta(milliseconds=200)
_MAX_ANSWER_BYTES = 4 * 1024 * 1024

_CONFLICT = 409
_MISDIRECTED_REQUEST = 421
_BAD_REQUEST = 400
_UNHEALTHY_STATUSES = (429, 503)
_CONFLICT_REASONS = {
    "fence": CommandResult.FENCED,
    "old": CommandResult.NUMBER_TOO_LOW,
    "late": CommandResult.LATE,
    "room": CommandResult.NO_ROOM,
}
# "lapsed": the lease expired. "broken" and "alone" are ends of gangs, which are not
# placed here. The "saved" field of an end is a checkpoint and ignored: best-effort jobs
# have none.
_RUN_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LOST,
    "broken": RunEnd.LOST,
    "alone": RunEnd.LOST,
}

_EXCHANGE_RESULTS = {
    ExchangeError.NOT_SENT: CommandResult.NOT_SENT,
    ExchangeError.TIMEOUT: CommandResult.UNANSWERED,
    ExchangeError.BROKEN: CommandResult.CLOSED,
    ExchangeError.TOO_LARGE: CommandResult.UNANSWERED,
}
_UNCERTAIN_RESULTS = (CommandResult.UNANSWERED, CommandResult.CLOSED)

_log = logging.getLogger(__name__)


class WorkerClient:
    """Sends commands to the worker and posts its answers, without blocking.

    Args:
      address: address of the worker.
      post: queues the events that answer the commands.
      clock: source of time.
    """

    def __init__(
        self, address: Address, post: Callable[[Any], None], clock: Clock
    ) -> None:
        self._client = KeepAliveClient(address, _CONNECT_TIMEOUT, _MAX_ANSWER_BYTES)
        self._post = post
        self._clock = clock
        self._answer_timeout = AdaptiveTimeout(COMMAND_TIMEOUT)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def start(self, command: StartCommand) -> None:
        """Send a start command in the background."""
        body = {
            "task": task_name(command.run.task),
            "run": command.run.number,
            "spec": command.spec,
            # The end of the worker's lease, not a deadline of this run.
            "deadline_ms": command.lease_end // _MILLISECOND,
            "fencing_token": command.token,
        }
        self._send_command(CommandKind.START, "/v1/run-start", command, body)

    def stop(self, command: StopCommand) -> None:
        """Send a stop command in the background."""
        body = {
            "task": task_name(command.run.task),
            "run": command.run.number,
            "fencing_token": command.token,
        }
        self._send_command(CommandKind.STOP, "/v1/run-stop", command, body)

    def renew(self, command: RenewCommand) -> None:
        """Renew the lease and get the worker's lists of runs, in the background."""
        body: dict[str, Any] = {
            "fencing_token": command.token,
            "last_seen": command.last_seen,
            "wait_ms": command.wait // _MILLISECOND,
        }
        if command.lease_end is not None:
            body["deadline_ms"] = command.lease_end // _MILLISECOND
        timeout = command.wait + self._answer_timeout.timeout
        on_answer = partial(self._handle_renewal_answer, command, self._clock.now())
        self._send("/v1/hold", command.worker, body, timeout, on_answer)

    def _send_command(
        self,
        kind: CommandKind,
        path: str,
        command: StartCommand | StopCommand,
        body: dict[str, Any],
    ) -> None:
        on_answer = partial(
            self._handle_command_answer, kind, command.run, self._clock.now()
        )
        timeout = self._answer_timeout.timeout
        self._send(path, command.worker, body, timeout, on_answer)

    def _send(
        self,
        path: str,
        worker: str,
        body: dict[str, Any],
        timeout: timedelta,
        on_answer: OnAnswer,
    ) -> None:
        headers = {"Content-Type": "application/json"}
        if worker:
            # Another worker that listens at this address now refuses the request.
            headers["Gypsumspoke-Expect-Instance"] = worker
        request = Request("POST", path, headers, json.dumps(body).encode())
        self._client.submit(request, timeout, on_answer)

    def _handle_command_answer(
        self,
        kind: CommandKind,
        run: RunId,
        sent: datetime,
        answer: Result[HttpAnswer, ExchangeError],
    ) -> None:
        fields = _fields(answer)
        result = _result(answer, fields)
        if result in _UNCERTAIN_RESULTS:
            self._answer_timeout.record_missing()
        elif result is not CommandResult.NOT_SENT:
            self._answer_timeout.record(self._clock.now() - sent)
        self._post(CommandAnswered(kind, run, result, _clock_of(fields), sent))

    def _handle_renewal_answer(
        self,
        command: RenewCommand,
        sent: datetime,
        answer: Result[HttpAnswer, ExchangeError],
    ) -> None:
        fields = _fields(answer)
        result = _result(answer, fields)
        event = None
        if result is CommandResult.ACCEPTED:
            event = _renewal_answered(sent, command, fields)
        clock = _clock_of(fields)
        failed = RenewalFailed(
            result,
            clock,
            command.is_extra,
            command.token,
            command.number,
            command.worker,
        )
        self._post(event or failed)


def _result(
    answer: Result[HttpAnswer, ExchangeError], fields: dict[str, Any] | None
) -> CommandResult:
    if not is_successful(answer):
        return _EXCHANGE_RESULTS[answer.failure()]
    status = answer.unwrap().status
    if 200 <= status < 300:
        return CommandResult.ACCEPTED
    if status == _CONFLICT:
        reason = (fields or {}).get("reason")
        return _CONFLICT_REASONS.get(reason, CommandResult.INVALID)
    if status == _MISDIRECTED_REQUEST:
        return CommandResult.OTHER_WORKER
    if status in _UNHEALTHY_STATUSES:
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


def _renewal_answered(
    sent: datetime, command: RenewCommand, fields: dict | None
) -> RenewalAnswered | None:
    """Return the event for an answer, or None if it is malformed."""
    try:
        born = fields.get("born")
        return RenewalAnswered(
            sent,
            fields["clock_ms"] * _MILLISECOND,
            int(born) if born is not None else None,
            tuple(_running(row) for row in fields["running"]),
            tuple(_ended(row) for row in fields["ended"]),
            command.is_extra,
            command.token,
            command.number,
        )
    except (AttributeError, KeyError, TypeError, ValueError, IndexError) as error:
        _log.error({"message": "unreadable list of runs", "reason": repr(error)})
        return None


def _running(row: list) -> RunningRun:
    return RunningRun(parse_run_id(row[0], row[1]), int(row[3]))


def _ended(row: list) -> EndedRun:
    return EndedRun(
        int(row[0]), parse_run_id(row[1], row[2]), _RUN_ENDS[row[3]], row[3] == "lapsed"
    )
