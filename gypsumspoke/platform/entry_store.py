"""Stores the caller timeouts that entries have observed, one row for each entry."""

import json
import logging
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

from gypsumspoke.platform.store import Store, Table, Watch
from gypsumspoke.runs.caller_timeouts import CallerTimeoutsRead, StoreCallerTimeouts
from gypsumspoke.runs.settings import RunSettings

CALLER_TIMEOUTS_TABLE = "gypsumspoke-patience"
_MILLISECOND = timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


class EntryStore(Store):
    """Store client of an entry, which also reads and writes caller timeouts.

    Args:
      settings: settings of this process.
      watches: see ``Store``.
      post: queues the event with the stored caller timeouts.
    """

    def __init__(
        self,
        settings: RunSettings,
        watches: tuple[Watch, ...],
        post: Callable[[Any], None],
    ) -> None:
        super().__init__(settings.store, watches)
        self._instance = settings.instance
        self.read_once(CALLER_TIMEOUTS_TABLE, partial(_on_caller_timeouts, post))

    def store_caller_timeouts(self, effect: StoreCallerTimeouts) -> None:
        """Write this entry's row in the background."""
        timeouts = {route: value // _MILLISECOND for route, value in effect.usual}
        self.put(CALLER_TIMEOUTS_TABLE, self._instance, json.dumps(timeouts).encode())


def _on_caller_timeouts(post: Callable[[Any], None], table: Table) -> None:
    stored = [timeouts for timeouts in map(_decode, table.rows.values()) if timeouts]
    post(CallerTimeoutsRead(tuple(stored)))


def _decode(value: bytes) -> dict[str, timedelta]:
    """Return the timeouts by route in a row; empty if it can't be decoded."""
    try:
        return {
            str(route): float(timeout) * _MILLISECOND
            for route, timeout in json.loads(value).items()
        }
    except (ValueError, TypeError, AttributeError) as error:
        _log.error({"message": "unreadable row", "details": {"reason": repr(error)}})
        return {}
