"""Whether a process that was paused still counts.

While it was paused the platform may have replaced it. The replacement's registration
tells new homes that nothing starts here any more; if a former home woke up with it, the
two would start tasks that others started long ago. So after a pause nothing starts
until a fresh read of the own row says that it was not ended. That is enough: a process
is not replaced while it runs, and a shorter pause than ``OWN_PAUSE`` is too short for a
replacement to start and register.
"""

from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, ReadRows
from gypsumspoke.core.events import RowsRead
from gypsumspoke.core.rows import member_from_row, member_key

OWN_PAUSE = timedelta(seconds=2)
READ_RETRY = timedelta(seconds=1)
_REQUEST = "executor:self"


class PauseCheck:
    """The check of one process.

    Args:
      incarnation: own incarnation.
    """

    def __init__(self, incarnation: str) -> None:
        self._row_key = member_key(incarnation)
        self._last_event: datetime | None = None
        self._is_unverified = False
        self._asked: datetime | None = None
        self._number = 0

    @property
    def is_unverified(self) -> bool:
        """Whether nothing may start now."""
        return self._is_unverified

    def record_event(self, now: datetime) -> list[Effect]:
        """Notice a pause: several ticks a second come to a process that runs."""
        last = self._last_event
        self._last_event = now
        if last is None or now - last < OWN_PAUSE:
            return []
        self._is_unverified = True
        return self._read(now)

    def tick(self, now: datetime) -> list[Effect]:
        """Read again while the table has not answered."""
        if not self._is_unverified or now - self._asked < READ_RETRY:
            return []
        return self._read(now)

    def handle_rows_read(self, event: RowsRead) -> None:
        """Apply the end of a read, if it is of the last one asked for."""
        if event.request != f"{_REQUEST}:{self._number}":
            return
        for row in event.rows or ():
            if row.key == self._row_key and member_from_row(row).ended is None:
                self._is_unverified = False

    def _read(self, now: datetime) -> list[Effect]:
        # The number tells the answer apart from one asked for before another pause.
        self._number += 1
        self._asked = now
        return [ReadRows(f"{_REQUEST}:{self._number}", self._row_key)]
