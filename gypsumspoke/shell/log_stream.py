"""A stream for log lines that never blocks and bounds what is written.

Who reads the log may stop reading, and a full pipe blocks its writer: a process would
then stand still with all its timers. So lines that do not fit the pipe wait in a small
buffer, and beyond it they are dropped and counted. A burst of decisions could also cost
more processor time in log lines than in decisions; lines beyond a rate are dropped and
counted too. How many were lost is written as soon as there is room again.
"""

import json
import os
import time
from collections.abc import Callable

# About two seconds of a busy process.
BUFFER_BYTES = 256 * 1024
# Several times what a busy process writes.
LINES_PER_SECOND = 500
BURST_LINES = 1000


class LogStream:
    """A text stream on a file descriptor; has what ``logging`` asks of one.

    Args:
      descriptor: written to; set to non-blocking.
      steady: seconds of a steady clock.
    """

    def __init__(
        self, descriptor: int, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self._descriptor = descriptor
        self._steady = steady
        self._buffer = bytearray()
        self._allowance = float(BURST_LINES)
        self._refilled = steady()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines lost since the last one that says so."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write one line, or drop it; never blocks and never raises."""
        self._drain()
        if not self._is_allowed() or len(self._buffer) > BUFFER_BYTES:
            self._dropped += 1
            return len(text)
        if self._dropped:
            self._buffer += self._notice().encode()
        self._buffer += text.encode()
        self._drain()
        return len(text)

    def flush(self) -> None:
        """Write what the pipe takes now."""
        self._drain()

    def _notice(self) -> str:
        line = {
            "level": "WARNING",
            "message": "log lines dropped",
            "details": {"lines": self._dropped},
        }
        self._dropped = 0
        return json.dumps(line) + "\n"

    def _is_allowed(self) -> bool:
        now = self._steady()
        gained = (now - self._refilled) * LINES_PER_SECOND
        self._allowance = min(self._allowance + gained, BURST_LINES)
        self._refilled = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _drain(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer[:65536])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; nobody will ever see these lines.
                self._buffer.clear()
                return
            del self._buffer[:written]
