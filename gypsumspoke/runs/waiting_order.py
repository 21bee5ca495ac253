"""Order of the runs that wait at a sidecar, and which of them a new run displaces.

The load that this answers: on full workers all entries learn of free room at nearly the
same time, and the entry that is nearest or has the fastest processor places first. In
the order of arrival, callers of slower entries are late for its sake.

Runs are ordered by priority, then those that can still be in time before those that
can't, then by the time when they are due, then by arrival. A run without a due time, as
earlier versions send it, counts as in time and due at its arrival.
"""

from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.runs.supervisor_state import LocalRun
from gypsumspoke.runs.values import DisplacementReason, Room, add, fits, subtract

# Due times further away than this, in either direction, count as missing.
MAX_TIME_TO_DUE = timedelta(hours=1)


class Rank(NamedTuple):
    """Position of a waiting run; the smallest rank comes first."""

    priority: int
    is_late: bool
    due: datetime
    placement_number: int


def due_time(time_to_due: timedelta | None, arrived: datetime) -> datetime | None:
    """Return when a run is due.

    Args:
      time_to_due: what its entry says, counted from the arrival.
      arrived: when its placement arrived.

    Returns:
      The time; None if the entry doesn't say, or says an absurd one.
    """
    if time_to_due is None or abs(time_to_due) > MAX_TIME_TO_DUE:
        return None
    return arrived + time_to_due


def rank(local: LocalRun, pace: float, now: datetime) -> Rank:
    """Return a run's position among waiting runs.

    Args:
      local: the run.
      pace: the worker's run time over estimate.
      now: the current time.
    """
    due = local.due
    if due is None:
        return Rank(local.priority, False, local.arrived, local.placement_number)
    is_late = local.estimate * pace > due - now
    return Rank(local.priority, is_late, due, local.placement_number)


def in_order(runs: list[LocalRun], pace: float, now: datetime) -> list[LocalRun]:
    """Return runs in the order in which they start; arguments as for ``rank``."""
    return sorted(runs, key=lambda local: rank(local, pace, now))


def choose_displaced(
    new: LocalRun,
    displaceable: list[LocalRun],
    excess: Room,
    pace: float,
    now: datetime,
) -> list[LocalRun]:
    """Return the runs that give their place to a new one, the last one first.

    Args:
      new: the run that has just arrived.
      displaceable: the other runs that wait for nothing but room.
      excess: the room of all waiting runs, the new one included, beyond the room that
        is expected soon; negative where there is more.
      pace, now: as for ``rank``.

    Returns:
      Runs after the new one in the order, no more than needed; none if all of them are
      too few.
    """
    own = rank(new, pace, now)
    after = [local for local in displaceable if rank(local, pace, now) > own]
    chosen: list[LocalRun] = []
    freed = Room(0, 0, 0)
    for local in reversed(in_order(after, pace, now)):
        if fits(excess, freed):
            break
        chosen.append(local)
        freed = add(freed, local.room)
    if not fits(excess, freed):
        return []
    # A run may not be needed because a larger one was chosen after it.
    for local in reversed(chosen[:]):
        without = subtract(freed, local.room)
        if fits(excess, without):
            chosen.remove(local)
            freed = without
    return chosen


def displacement_reason(
    new: LocalRun, displaced: LocalRun, pace: float, now: datetime
) -> DisplacementReason:
    """Return why a new run comes before one that it displaces."""
    own, other = rank(new, pace, now), rank(displaced, pace, now)
    if own.priority != other.priority:
        return DisplacementReason.PRIORITY
    if own.is_late != other.is_late:
        return DisplacementReason.IN_TIME
    return DisplacementReason.DUE_EARLIER
