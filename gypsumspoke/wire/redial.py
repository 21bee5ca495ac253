"""Connect timeouts and retry delays for one address.

The timeouts and delays are short so that, after all processes restart at once, sidecars
find the entries quickly. Until then their workers are idle while callers wait. A packet
to an instance that is down is lost, and a long connect timeout would delay the next try
until well after the instance is back.
"""

from datetime import timedelta

# The timeout doubles after an unanswered dial, in case the network is slow.
MIN_CONNECT_TIMEOUT = timedelta(milliseconds=100)
MAX_CONNECT_TIMEOUT = timedelta(milliseconds=200)
# The delay doubles while an address does not answer.
MIN_RETRY_DELAY = timedelta(milliseconds=50)
MAX_RETRY_DELAY = timedelta(milliseconds=200)
# A refused connection means that the instance is up and its process is usually about to
# start, so the delay grows only after ``MAX_QUICK_REFUSALS`` in a row.
REFUSED_DELAY = timedelta(milliseconds=100)
MAX_QUICK_REFUSALS = 20


class RedialBackoff:
    """Backoff state of the dials to one address."""

    def __init__(self) -> None:
        self._unanswered = 0
        self._refusals = 0

    @property
    def is_first(self) -> bool:
        """Whether no dial has failed since the last connection."""
        return not self._unanswered and not self._refusals

    @property
    def connect_timeout(self) -> timedelta:
        """Timeout of the next dial."""
        return _doubled(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT, self._unanswered)

    def record_connected(self) -> timedelta:
        """Reset the backoff; return the minimum delay until the next dial."""
        self._unanswered = 0
        self._refusals = 0
        return REFUSED_DELAY

    def record_refused(self) -> timedelta:
        """Count a refused dial; return the delay until the next one."""
        self._refusals += 1
        further = max(self._refusals - MAX_QUICK_REFUSALS, 0)
        return _doubled(REFUSED_DELAY, 2 * MAX_RETRY_DELAY, further)

    def record_unanswered(self) -> timedelta:
        """Count an unanswered dial; return the delay until the next one."""
        delay = _doubled(MIN_RETRY_DELAY, MAX_RETRY_DELAY, self._unanswered)
        self._unanswered += 1
        return delay


def _doubled(minimum: timedelta, maximum: timedelta, times: int) -> timedelta:
    """Return ``minimum`` doubled ``times`` times, up to ``maximum``."""
    doubled = minimum
    for _ in range(times):
        if doubled >= maximum:
            return maximum
        doubled *= 2
    return min(doubled, maximum)
