"""Reads and writes the platform's table.

A transaction whose answer is lost may have taken effect. It is reported as LOST, never
as COMMITTED or CONFLICT, and is not repeated here: the reducer reads back and decides.
"""

import json
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import gevent
from gevent.queue import Full, Queue
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from gypsumspoke.core.effects import ReadRows, WriteRows
from gypsumspoke.core.events import RowsRead, RowsWritten, WriteOutcome
from gypsumspoke.core.values import Row
from gypsumspoke.shell.http_exchange import ExchangeLimits, HttpAnswer, post

READ_PATH = "/v1/read"
TRANSACTION_PATH = "/v1/transactions"

MAX_CALLS = 4
MAX_QUEUED = 256

_LIMITS = ExchangeLimits(
    connect_timeout=timedelta(seconds=1),
    answer_timeout=timedelta(seconds=5),
    max_answer_bytes=16 * 1024 * 1024,
)
_HEADERS = (("Content-Type", "application/json"),)
_OK = 200
_CONFLICT = 409

_log = logging.getLogger(__name__)


class TableClient:
    """Performs ``ReadRows`` and ``WriteRows`` with bounded concurrency.

    Args:
      address: IP address and port of the table service.
      limits: timeouts and size bound of one call.
    """

    def __init__(
        self, address: tuple[str, int], limits: ExchangeLimits = _LIMITS
    ) -> None:
        self._address = address
        self._limits = limits
        self._post_event: Callable[[RowsRead | RowsWritten], None] | None = None
        self._queue: Queue[ReadRows | WriteRows] = Queue(maxsize=MAX_QUEUED)
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, post_event: Callable[[RowsRead | RowsWritten], None]) -> None:
        """Start performing queued calls.

        Args:
          post_event: receives the outcome of each call.
        """
        self._post_event = post_event
        self._greenlets = [gevent.spawn(self._perform_queued) for _ in range(MAX_CALLS)]

    def close(self) -> None:
        """Stop; pending calls get no outcome."""
        gevent.killall(self._greenlets)

    def call(self, effect: ReadRows | WriteRows) -> None:
        """Queue one call without blocking."""
        try:
            self._queue.put_nowait(effect)
        except Full:
            # The queue fills up while the table is down. LOST makes no claim about the
            # effect of a call, so it also holds for a call that was never made.
            self._post_event(_lost(effect))

    def _perform_queued(self) -> None:
        while True:
            effect = self._queue.get()
            try:
                event = self._perform(effect)
            except Exception:
                _log.exception({"message": "table call failed unexpectedly"})
                event = _lost(effect)
            self._post_event(event)

    def _perform(self, effect: ReadRows | WriteRows) -> RowsRead | RowsWritten:
        if isinstance(effect, ReadRows):
            return self._read(effect)
        return self._write(effect)

    def _read(self, effect: ReadRows) -> RowsRead:
        answer = self._post(READ_PATH, {"prefix": effect.prefix})
        if not is_successful(answer) or answer.unwrap()[0] != _OK:
            return _lost(effect)
        return RowsRead(effect.request, _rows(answer.unwrap()[1]))

    def _write(self, effect: WriteRows) -> RowsWritten:
        body = {
            "checks": [
                {"key": key, "version": version} for key, version in effect.checks
            ],
            "writes": [{"key": key, "value": value} for key, value in effect.writes],
        }
        answer = self._post(TRANSACTION_PATH, body)
        if not is_successful(answer):
            return _lost(effect)
        status, fields = answer.unwrap()
        if status == _OK and fields.get("committed") is True:
            revision = int(fields["revision"])
            return RowsWritten(effect.request, WriteOutcome.COMMITTED, revision)
        if status == _CONFLICT and fields.get("committed") is False:
            return RowsWritten(effect.request, WriteOutcome.CONFLICT, 0)
        return _lost(effect)

    def _post(self, path: str, body: Any) -> Result[tuple[int, dict], str]:
        """Return the status and JSON object of the answer, or the reason for none."""
        payload = json.dumps(body).encode()
        answered = post(self._address, path, _HEADERS, payload, self._limits)
        if not is_successful(answered):
            return Failure(answered.failure().value)
        return _parse(answered.unwrap())


def _parse(answer: HttpAnswer) -> Result[tuple[int, dict], str]:
    try:
        fields = json.loads(answer.body)
    except ValueError:
        return Failure("the answer is not JSON")
    if not isinstance(fields, dict):
        return Failure("the answer is not an object")
    return Success((answer.status, fields))


def _rows(fields: dict) -> tuple[Row, ...]:
    return tuple(
        Row(row["key"], row["version"], row["value"]) for row in fields["rows"]
    )


def _lost(effect: ReadRows | WriteRows) -> RowsRead | RowsWritten:
    if isinstance(effect, ReadRows):
        return RowsRead(effect.request, None)
    return RowsWritten(effect.request, WriteOutcome.LOST, 0)
