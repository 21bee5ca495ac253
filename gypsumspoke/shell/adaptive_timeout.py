"""How long to wait for an answer from a service that usually answers at once.

The worker beside a sidecar answers in a millisecond or two. Where it leaves some of the
orders unanswered, each of them costs the whole wait, and a wide job waits for one of
them as a rule. A fixed short wait would give up sound answers on an instance that is
slow. So the wait follows the answers, as TCP's does
(RFC 6298): the smoothed time and four times its deviation, within bounds.
"""

from datetime import timedelta

# Several times the usual answer, and a short pause of either process.
MIN_TIMEOUT = timedelta(milliseconds=30)
_GAIN = 0.125
_DEVIATION_GAIN = 0.25
_DEVIATIONS = 4


class AdaptiveTimeout:
    """The times of the latest answers.

    Args:
      longest: the wait before the first answer, and the most at any time.
    """

    def __init__(self, longest: timedelta) -> None:
        self._longest = longest
        self._smoothed: float | None = None
        self._deviation = 0.0

    @property
    def timeout(self) -> timedelta:
        """How long to wait for the next answer."""
        if self._smoothed is None:
            return self._longest
        seconds = self._smoothed + _DEVIATIONS * self._deviation
        return min(max(timedelta(seconds=seconds), MIN_TIMEOUT), self._longest)

    def record(self, took: timedelta) -> None:
        """Take the time of one answer."""
        seconds = took.total_seconds()
        if self._smoothed is None:
            self._smoothed = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self._smoothed
        self._deviation += _DEVIATION_GAIN * (abs(error) - self._deviation)
        self._smoothed += _GAIN * error

    def record_missing(self) -> None:
        """Wait longer after each answer that did not come: it may just be slow."""
        if self._smoothed is not None:
            self._deviation = min(self._deviation * 2, self._longest.total_seconds())
