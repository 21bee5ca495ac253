"""The settings file of a running process, which may change with or without a signal.

Only what can change while a process runs takes effect: the addresses of other entries.
Addresses that the process listens on hold until its next start.
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

# A look at the file's time costs some microseconds; what changes is needed only when
# most entries have been replaced.
LOOK_SECONDS = 2.0

_log = logging.getLogger(__name__)


class SettingsFile:
    """Reads the file again.

    Args:
      path: the file.
      parse: reads and checks it.
    """

    def __init__(
        self, path: Path, parse: Callable[[Path], Result[RunSettings, str]]
    ) -> None:
        self._path = path
        self._parse = parse
        self._seen = self._stamp()

    def read(self, post: Callable[[Any], None]) -> None:
        """Read the file and post what it names; invalid settings change nothing."""
        self._seen = self._stamp()
        parsed = self._parse(self._path)
        if not is_successful(parsed):
            details = {"reason": parsed.failure()}
            _log.error({"message": "settings are invalid, kept", "details": details})
            return
        entries = parsed.unwrap().known_entries
        _log.info({"message": "settings read again", "details": {"entries": entries}})
        post(SettingsRead(entries))

    def watch(self, post: Callable[[Any], None]) -> None:
        """Read the file whenever it has changed, until killed."""
        while True:
            gevent.sleep(LOOK_SECONDS)
            if self._stamp() != self._seen:
                self.read(post)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
