"""How long a dial may take, and when an address is dialled again.

Load that it answers: all processes are lost at once and come back within some tenths of
a second of each other. What a sidecar has not found, an entry can't use, so each tenth
of a second between the return of one and the next dial of the other leaves a worker
idle while callers wait. The first packet to an instance without power is lost, and
waiting long for its answer means not to ask again when the instance is back.
"""

from datetime import timedelta

# Peers answer within some milliseconds. An address that did not is given more time at
# its next dial, should the way there just be slow.
FIRST_PATIENCE = timedelta(milliseconds=100)
LAST_PATIENCE = timedelta(milliseconds=200)
# Pauses grow for an address that does not answer: an instance is back within a second
# or two, a lost one never.
FIRST_PAUSE = timedelta(milliseconds=50)
LAST_PAUSE = timedelta(milliseconds=200)
# A refusal says that the instance lives and only its process does not, so it is back
# soon as a rule; so many refusals in a row are followed by a pause that stays short.
REFUSED_PAUSE = timedelta(milliseconds=100)
QUICK_REFUSALS = 20


class Redial:
    """The dials to one address."""

    def __init__(self) -> None:
        self._unanswered = 0
        self._refusals = 0

    @property
    def is_first(self) -> bool:
        """Whether no dial has failed since the last connection."""
        return not self._unanswered and not self._refusals

    @property
    def patience(self) -> timedelta:
        """How long the next dial may take."""
        return _grown(FIRST_PATIENCE, LAST_PATIENCE, self._unanswered)

    def note_connected(self) -> timedelta:
        """Return the pause after a connection, which may end at once."""
        self._unanswered = 0
        self._refusals = 0
        return REFUSED_PAUSE

    def note_refused(self) -> timedelta:
        """Return the pause after a dial to which nobody listened."""
        self._refusals += 1
        late = max(self._refusals - QUICK_REFUSALS, 0)
        return _grown(REFUSED_PAUSE, 2 * LAST_PAUSE, late)

    def note_unanswered(self) -> timedelta:
        """Return the pause after a dial without an answer."""
        pause = _grown(FIRST_PAUSE, LAST_PAUSE, self._unanswered)
        self._unanswered += 1
        return pause


def _grown(first: timedelta, last: timedelta, times: int) -> timedelta:
    """Return ``first`` doubled so many times, up to ``last``."""
    grown = first
    for _ in range(times):
        if grown >= last:
            return last
        grown *= 2
    return min(grown, last)
