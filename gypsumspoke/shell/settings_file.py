"""Reloads the settings file of a running process, on a signal or when it changes.

Only the addresses of other entries take effect; all other settings, such as listening
addresses, need a restart.
"""

import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from returns.pipeline import is_successful
from returns.result import Result

from gypsumspoke.runs.directory import SettingsRead
from gypsumspoke.runs.settings import RunSettings

POLL_INTERVAL_SECONDS = 2.0

_log = logging.getLogger(__name__)


class SettingsFile:
    """Reloads a settings file.

    Args:
      path: the file.
      parse: reads and validates it.
    """

    def __init__(
        self, path: Path, parse: Callable[[Path], Result[RunSettings, str]]
    ) -> None:
        self._path = path
        self._parse = parse
        self._last_read = self._signature()

    def read(self, post: Callable[[Any], None]) -> None:
        """Read the file and post its entries; an invalid file changes nothing."""
        self._last_read = self._signature()
        parsed = self._parse(self._path)
        if not is_successful(parsed):
            details = {"reason": parsed.failure()}
            _log.error({"message": "settings are invalid, kept", "details": details})
            return
        entries = parsed.unwrap().known_entries
        _log.info({"message": "settings read again", "details": {"entries": entries}})
        post(SettingsRead(entries))

    def watch(self, post: Callable[[Any], None]) -> None:
        """Read the file whenever it changes, until killed."""
        while True:
            gevent.sleep(POLL_INTERVAL_SECONDS)
            if self._signature() != self._last_read:
                self.read(post)

    def _signature(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
