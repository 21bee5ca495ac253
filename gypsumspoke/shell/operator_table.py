"""Blocking access to the platform's table for operators' requests."""

import itertools
from typing import Any

import gevent
from gevent.event import AsyncResult

from gypsumspoke.core.effects import ReadRows, WriteRows
from gypsumspoke.core.events import RowsRead, RowsWritten, WriteOutcome
from gypsumspoke.core.values import Row
from gypsumspoke.shell.table_client import TableClient

MAX_WRITE_ATTEMPTS = 3
ANSWER_TIMEOUT_SECONDS = 8.0


class OperatorTable:
    """Calls the platform's table and waits for the answer.

    Args:
      client: a separate client, so that operators don't wait for the role's calls.
    """

    def __init__(self, client: TableClient) -> None:
        self._client = client
        self._numbers = itertools.count(1)
        self._waiting: dict[str, AsyncResult] = {}
        client.start(self._resolve)

    def close(self) -> None:
        """Stop; pending calls get no answer."""
        self._client.close()

    def read(self, prefix: str) -> dict[str, Row] | None:
        """Return the rows whose key starts with ``prefix``; None without an answer."""
        request = self._next_request()
        event = self._call(ReadRows(request, prefix), RowsRead(request, None))
        if event.rows is None:
            return None
        return {row.key: row for row in event.rows}

    def write(
        self,
        checks: tuple[tuple[str, int], ...],
        writes: tuple[tuple[str, str | None], ...],
    ) -> RowsWritten:
        """Run one transaction; repeat it while its answer is lost.

        It can't take effect twice, because the first commit changes a checked row. A
        CONFLICT after a lost answer may be a conflict with the first attempt.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            request = self._next_request()
            lost = RowsWritten(request, WriteOutcome.LOST, 0)
            event = self._call(WriteRows(request, checks, writes), lost)
            if event.outcome is not WriteOutcome.LOST:
                break
        return event

    def _call(self, effect: ReadRows | WriteRows, lost: Any) -> Any:
        result = AsyncResult()
        self._waiting[effect.request] = result
        try:
            self._client.call(effect)
            return result.get(timeout=ANSWER_TIMEOUT_SECONDS)
        except gevent.Timeout:
            return lost
        finally:
            del self._waiting[effect.request]

    def _resolve(self, event: RowsRead | RowsWritten) -> None:
        waiting = self._waiting.get(event.request)
        if waiting is not None:
            waiting.set(event)

    def _next_request(self) -> str:
        return f"operator:{next(self._numbers)}"
