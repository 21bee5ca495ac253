"""The platform's table as operators' requests use it: call and wait for the answer."""

import itertools
from typing import Any

import gevent
from gevent.event import AsyncResult

from gypsumspoke.core.effects import ReadRows, WriteRows
from gypsumspoke.core.events import RowsRead, RowsWritten, WriteOutcome
from gypsumspoke.core.values import Row
from gypsumspoke.shell.table_client import TableClient

WRITE_TRIES = 3
TABLE_ANSWER_SECONDS = 8.0


class OperatorTable:
    """Calls the platform's table and waits for its answer.

    Args:
      client: a client of its own, so that operators don't wait behind the role.
    """

    def __init__(self, client: TableClient) -> None:
        self._client = client
        self._numbers = itertools.count(1)
        self._waiting: dict[str, AsyncResult] = {}
        client.start(self._resolve)

    def close(self) -> None:
        """Stop; calls under way go unanswered."""
        self._client.close()

    def read(self, prefix: str) -> dict[str, Row] | None:
        """Return the rows whose key starts with ``prefix``, or None without answer."""
        request = self._next()
        event = self._call(ReadRows(request, prefix), RowsRead(request, None))
        if event.rows is None:
            return None
        return {row.key: row for row in event.rows}

    def write(
        self,
        checks: tuple[tuple[str, int], ...],
        writes: tuple[tuple[str, str | None], ...],
    ) -> RowsWritten:
        """Run one transaction; while its answer is lost, send the very same again.

        Sent again it can't take effect twice, because the first would have changed a
        checked row. A CONFLICT after a lost answer may be with itself.
        """
        for _ in range(WRITE_TRIES):
            request = self._next()
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
            return result.get(timeout=TABLE_ANSWER_SECONDS)
        except gevent.Timeout:
            return lost
        finally:
            del self._waiting[effect.request]

    def _resolve(self, event: RowsRead | RowsWritten) -> None:
        waiting = self._waiting.get(event.request)
        if waiting is not None:
            waiting.set(event)

    def _next(self) -> str:
        return f"operator:{next(self._numbers)}"
