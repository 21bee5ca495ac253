"""Checks after a pause of this process that its registration was not ended.

The platform may replace a process while it is paused. New homes then no longer fence
it, so if a former home resumed together with it, the two could start tasks that have
already started elsewhere. After a pause nothing starts until a fresh read of this
process's own row shows that it was not ended. The platform replaces no running process,
and within a pause shorter than ``MIN_PAUSE`` a replacement can't start and register.
"""

from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, ReadRows
from gypsumspoke.core.events import RowsRead
from gypsumspoke.core.rows import member_from_row, member_key

MIN_PAUSE = timedelta(seconds=2)
READ_RETRY_DELAY = timedelta(seconds=1)
_REQUEST = "executor:self"


class PauseCheck:
    """Detects pauses of this process and verifies its registration after them.

    Args:
      incarnation: incarnation of this process.
    """

    def __init__(self, incarnation: str) -> None:
        self._row_key = member_key(incarnation)
        self._last_event: datetime | None = None
        self._is_unverified = False
        self._last_read: datetime | None = None
        self._number = 0

    @property
    def is_unverified(self) -> bool:
        """Whether the registration is unverified since a pause: nothing may start."""
        return self._is_unverified

    def record_event(self, now: datetime) -> list[Effect]:
        """Start a check if the last event was at least ``MIN_PAUSE`` ago.

        Ticks come several times a second, so a longer gap means a pause.
        """
        last = self._last_event
        self._last_event = now
        if last is None or now - last < MIN_PAUSE:
            return []
        self._is_unverified = True
        return self._read(now)

    def tick(self, now: datetime) -> list[Effect]:
        """Repeat the read until the table answers."""
        if not self._is_unverified or now - self._last_read < READ_RETRY_DELAY:
            return []
        return self._read(now)

    def handle_rows_read(self, event: RowsRead) -> None:
        """Apply the result of the latest read; ignore those of earlier reads."""
        if event.request != f"{_REQUEST}:{self._number}":
            return
        for row in event.rows or ():
            if row.key == self._row_key and member_from_row(row).ended is None:
                self._is_unverified = False

    def _read(self, now: datetime) -> list[Effect]:
        # The number distinguishes the answer from those to reads before this pause.
        self._number += 1
        self._last_read = now
        return [ReadRows(f"{_REQUEST}:{self._number}", self._row_key)]
