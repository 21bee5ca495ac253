"""A stream for log lines that never blocks and bounds what is written.

A blocking write to a full pipe would stop the event loop with all its timers. Lines
that don't fit into the pipe are buffered; lines over the buffer size or over the rate
limit are dropped. The number of dropped lines is logged once lines are accepted again.
"""

import json
import os
import time
from collections.abc import Callable

BUFFER_BYTES = 256 * 1024
# Several times what a busy process writes.
LINES_PER_SECOND = 500
BURST_LINES = 1000


class LogStream:
    """A text stream on a file descriptor, usable by ``logging.StreamHandler``.

    Args:
      descriptor: file descriptor to write to; set to non-blocking.
      monotonic: returns the seconds of a monotonic clock.
    """

    def __init__(
        self, descriptor: int, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._buffer = bytearray()
        self._tokens = float(BURST_LINES)
        self._refilled_at = monotonic()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last notice about them."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write one line, or drop it; never blocks and never raises."""
        self._drain()
        if not self._take_token() or len(self._buffer) > BUFFER_BYTES:
            self._dropped += 1
            return len(text)
        if self._dropped:
            self._buffer += self._dropped_notice().encode()
        self._buffer += text.encode()
        self._drain()
        return len(text)

    def flush(self) -> None:
        """Write as much as the pipe accepts without blocking."""
        self._drain()

    def _dropped_notice(self) -> str:
        line = {
            "level": "WARNING",
            "message": "log lines dropped",
            "details": {"lines": self._dropped},
        }
        self._dropped = 0
        return json.dumps(line) + "\n"

    def _take_token(self) -> bool:
        now = self._monotonic()
        gained = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(self._tokens + gained, BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _drain(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer[:65536])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe.
                self._buffer.clear()
                return
            del self._buffer[:written]
