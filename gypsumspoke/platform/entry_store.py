"""What entries keep in the store of their callers' patience: one row for each entry."""

import json
import logging
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

from gypsumspoke.platform.store import Store, Watch
from gypsumspoke.runs.caller_timeouts import CallerTimeoutsRead, StoreCallerTimeouts
from gypsumspoke.runs.settings import RunSettings

CALLER_TIMEOUTS_TABLE = "gypsumspoke-patience"
_MILLISECOND = timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


class EntryStore(Store):
    """The store as an entry uses it.

    Args:
      settings: settings of this process.
      watches: see ``Store``.
      post: takes the event that tells what was kept.
    """

    def __init__(
        self,
        settings: RunSettings,
        watches: tuple[Watch, ...],
        post: Callable[[Any], None],
    ) -> None:
        super().__init__(settings.store, watches)
        self._instance = settings.instance
        self.read_once(CALLER_TIMEOUTS_TABLE, partial(_take_kept, post))

    def store_caller_timeouts(self, effect: StoreCallerTimeouts) -> None:
        """Write this entry's row; returns at once."""
        usual = {route: value // _MILLISECOND for route, value in effect.usual}
        self.put(CALLER_TIMEOUTS_TABLE, self._instance, json.dumps(usual).encode())


def _take_kept(post: Callable[[Any], None], rows: dict[str, bytes]) -> None:
    kept = [usual for usual in map(_usual, rows.values()) if usual]
    post(CallerTimeoutsRead(tuple(kept)))


def _usual(value: bytes) -> dict[str, timedelta]:
    """Return what a row holds; nothing of one that can't be read."""
    try:
        return {
            str(route): float(usual) * _MILLISECOND
            for route, usual in json.loads(value).items()
        }
    except (ValueError, TypeError, AttributeError) as error:
        _log.error({"message": "unreadable row", "details": {"reason": repr(error)}})
        return {}
