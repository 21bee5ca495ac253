"""Attempts that an executor has answered "not run", so that none starts later.

The message of such an attempt may arrive late or twice, after its home has placed the
task elsewhere; the executor must then refuse it. Nothing starts after an attempt's
deadline, so entries expire then, which bounds their number on an overloaded executor.
"""

import heapq
from datetime import datetime
from typing import NamedTuple

from gypsumspoke.core.values import AttemptId, JobKey


class _Refusal(NamedTuple):
    """The highest refused attempt of a task, and when it expires."""

    epoch: int
    number: int
    until: datetime


class RefusedAttempts:
    """The refused attempts of one executor."""

    def __init__(self) -> None:
        self._refusals: dict[tuple[JobKey, int], _Refusal] = {}
        self._expiry: list[tuple[datetime, JobKey, int]] = []

    def covers(self, attempt: AttemptId) -> bool:
        """Return whether this attempt, or a later one of its task, was refused."""
        refusal = self._refusals.get((attempt.key, attempt.task))
        return refusal is not None and (attempt.epoch, attempt.number) <= refusal[:2]

    def add(self, attempt: AttemptId, until: datetime) -> None:
        """Refuse this attempt and earlier ones of its task until a time."""
        task_id = (attempt.key, attempt.task)
        known = self._refusals.get(task_id)
        epoch, number = attempt.epoch, attempt.number
        if known is not None:
            epoch, number = max(known[:2], (epoch, number))
            until = max(known.until, until)
        self._refusals[task_id] = _Refusal(epoch, number, until)
        heapq.heappush(self._expiry, (until, *task_id))

    def expire(self, before: datetime) -> None:
        """Drop the attempts whose expiry is before this time."""
        while self._expiry and self._expiry[0][0] < before:
            _, key, task = heapq.heappop(self._expiry)
            refusal = self._refusals.get((key, task))
            if refusal is not None and refusal.until < before:
                del self._refusals[key, task]
