"""Detects whether this process's clock disagrees with those of most peers.

Births are compared with clocks of other machines, so a process with a wrong clock
would treat valid keys as expired or expired keys as valid. An answered heartbeat shows
a disagreement only if the peer's time lies outside the interval from sending the
heartbeat to receiving the answer, widened by the allowed skew. Delays only widen the
interval, so they cause no false alarms.
"""

from datetime import datetime, timedelta


class ClockCheck:
    """The latest clock comparison with each peer."""

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
          asked: local time when the heartbeat was sent.
          answered: local time when the answer arrived.
          peer_time: the peer's time in its answer.
          skew: maximum allowed difference of two clocks.

        Returns:
          True if the two clocks disagree.
        """
        disagrees = not asked - skew <= peer_time <= answered + skew
        self._disagrees[peer] = disagrees
        return disagrees

    def forget(self, peer: str) -> None:
        """Drop the comparison with a peer that is no longer reachable."""
        self._disagrees.pop(peer, None)

    def is_off(self) -> bool:
        """Return whether more than half of all processes contradict this clock.

        This process counts as one that agrees, so a single peer is never a majority.
        """
        disagreeing = sum(self._disagrees.values())
        group = len(self._disagrees) + 1
        return 2 * disagreeing > group
