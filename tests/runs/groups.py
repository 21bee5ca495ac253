"""Groups of entries that a test draws anew."""

from datetime import datetime

from gypsumspoke.runs.entry_group import EntryGroup


class RedrawnGroup(EntryGroup):
    """A group that can be drawn anew, as if all entries had changed."""

    def redraw(self, seed: str) -> None:
        """Draw the group by another seed."""
        self._seed = seed
        self._ranked_from = ()


class SingleEntryGroup(RedrawnGroup):
    """A group of one entry, until it is widened to all."""

    def __init__(self, seed: str, now: datetime) -> None:
        super().__init__(seed, now)
        self._size = 1

    def widen(self) -> None:
        """Let the group contain all entries of a small deployment."""
        self._size = 8

    def advance(self, now: datetime) -> bool:
        """Advance the time, keeping the size."""
        self._now = now
        return False
