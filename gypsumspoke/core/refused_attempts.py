"""Tries that an executor has answered "not run", so that none starts later.

A try's message may come again, or for the first time, after its home was told "not
run" and placed the task elsewhere. Then the mark makes the executor refuse it. A mark
is needed only until the try's deadline, after which nothing starts, so the marks of
an overloaded executor don't pile up.
"""

import heapq
from datetime import datetime
from typing import NamedTuple

from gypsumspoke.core.values import AttemptId, JobKey


class _Mark(NamedTuple):
    """The highest refused try of a task, and until when its mark is needed."""

    epoch: int
    number: int
    until: datetime


class RefusedAttempts:
    """The refused tries of one executor."""

    def __init__(self) -> None:
        self._marks: dict[tuple[JobKey, int], _Mark] = {}
        self._expiry: list[tuple[datetime, JobKey, int]] = []

    def covers(self, attempt: AttemptId) -> bool:
        """Return whether this try, or a later one of its task, was refused."""
        mark = self._marks.get((attempt.key, attempt.task))
        return mark is not None and (attempt.epoch, attempt.number) <= mark[:2]

    def add(self, attempt: AttemptId, until: datetime) -> None:
        """Refuse this try, and lower ones of its task, until a time."""
        place = (attempt.key, attempt.task)
        known = self._marks.get(place)
        epoch, number = attempt.epoch, attempt.number
        if known is not None:
            epoch, number = max(known[:2], (epoch, number))
            until = max(known.until, until)
        self._marks[place] = _Mark(epoch, number, until)
        heapq.heappush(self._expiry, (until, *place))

    def expire(self, before: datetime) -> None:
        """Drop the marks that were needed until a time before this one."""
        while self._expiry and self._expiry[0][0] < before:
            _, key, task = heapq.heappop(self._expiry)
            mark = self._marks.get((key, task))
            if mark is not None and mark.until < before:
                del self._marks[key, task]
