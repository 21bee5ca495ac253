"""Tells whether this process's clock disagrees with most of its peers.

Births and retention are compared between machines, so a process whose clock is off
would take keys for expired, or expired keys for fresh ones. A peer's answer to a
heartbeat proves a disagreement only if the peer's time lies outside the interval
from our question to its answer, widened by the allowed skew; a slow network or a
pause widens the interval and can't accuse anybody.
"""

from datetime import datetime, timedelta


class ClockCheck:
    """The verdict of each peer on this process's clock."""

    def __init__(self) -> None:
        self._disagrees: dict[str, bool] = {}

    def record_answer(
        self,
        peer: str,
        asked: datetime,
        answered: datetime,
        peer_time: datetime,
        skew: timedelta,
    ) -> bool:
        """Record one answered heartbeat.

        Args:
          peer: incarnation that answered.
          asked: our time when the question was sent.
          answered: our time when the answer came.
          peer_time: the peer's time in its answer.
          skew: most that two clocks may differ.

        Returns:
          True if the two clocks disagree.
        """
        disagrees = not asked - skew <= peer_time <= answered + skew
        self._disagrees[peer] = disagrees
        return disagrees

    def forget(self, peer: str) -> None:
        """Drop the verdict of a peer that is not heard any more."""
        self._disagrees.pop(peer, None)

    def is_off(self) -> bool:
        """Return whether more than half of the group, us included, disagree with us.

        With a single peer nobody can tell whose clock is wrong, so neither is off.
        """
        against = sum(self._disagrees.values())
        group = len(self._disagrees) + 1
        return 2 * against > group
