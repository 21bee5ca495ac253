"""A timeout that adapts to the response times of a peer.

It is computed like TCP's retransmission timeout (RFC 6298): the smoothed response time
plus four times its mean deviation, within bounds. Lost requests to a fast peer are
detected early, and slow answers are still accepted on a slow instance.
"""

from datetime import timedelta

# Tolerates short pauses of either process.
MIN_TIMEOUT = timedelta(milliseconds=30)
_GAIN = 0.125
_DEVIATION_GAIN = 0.25
_DEVIATIONS = 4


class AdaptiveTimeout:
    """Computes the timeout of the next request from earlier response times.

    Args:
      maximum: the timeout before the first answer, and the upper bound.
    """

    def __init__(self, maximum: timedelta) -> None:
        self._maximum = maximum
        self._smoothed: float | None = None
        self._deviation = 0.0

    @property
    def timeout(self) -> timedelta:
        """The timeout for the next answer."""
        if self._smoothed is None:
            return self._maximum
        seconds = self._smoothed + _DEVIATIONS * self._deviation
        return min(max(timedelta(seconds=seconds), MIN_TIMEOUT), self._maximum)

    def record(self, took: timedelta) -> None:
        """Record the response time of one answer."""
        seconds = took.total_seconds()
        if self._smoothed is None:
            self._smoothed = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self._smoothed
        self._deviation += _DEVIATION_GAIN * (abs(error) - self._deviation)
        self._smoothed += _GAIN * error

    def record_missing(self) -> None:
        """Record a missing answer, which may just be slow: increase the timeout."""
        if self._smoothed is not None:
            self._deviation = min(self._deviation * 2, self._maximum.total_seconds())
