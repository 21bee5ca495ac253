"""Cancelled jobs, which no entry runs again.

The request of a job may arrive again at any entry, even seconds after the job was
cancelled. Each entry writes the ids of the jobs that were cancelled through it to rows
of the store, and follows the rows of all entries. A row is written once under a key of
its own, so no entry waits for another, and an entry that was cut off or restarted
catches up by reading.
"""

from collections import Counter
from collections.abc import Mapping
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.effects import Effect

# Shortest time between two writes: calls to the store are priced and rate-limited.
WRITE_INTERVAL = timedelta(milliseconds=500)
# Keeps a row far below the store's limit.
MAX_JOBS_PER_ROW = 1000
# A caller's repeated request arrives within seconds.
RETENTION = timedelta(minutes=2)
# Removals are rarely urgent.
REMOVAL_INTERVAL = timedelta(seconds=10)
# Rows removed by one call; the store accepts a hundred.
MAX_REMOVED_ROWS = 50
# Bounds the memory of one entry while the store is away.
MAX_UNSTORED = 10_000
# Beyond this number of known jobs, only cancels of jobs that are known here are taken:
# anybody can send any number of others.
MAX_KNOWN = 100_000
# Memory that an entry needs for each known job.
BYTES_PER_JOB = 200


class CancelEnd(NamedTuple):
    """How a request to cancel a job ended.

    Attributes:
      is_known: whether the job was in progress here or is known as cancelled.
      is_stored: whether every entry that reaches the store will know it as cancelled.
    """

    is_known: bool
    is_stored: bool


class AnswerCancel(NamedTuple):
    """Effect: answer a request that cancels a job."""

    request: str
    end: CancelEnd


class StoreCancelledJobs(NamedTuple):
    """Effect: write a row with the ids of cancelled jobs, until it is stored."""

    key: str
    jobs: tuple[str, ...]


class RemoveCancelledJobs(NamedTuple):
    """Effect: remove rows that are not needed any more."""

    keys: tuple[str, ...]


class CancelledJobsStored(NamedTuple):
    """Event: the store has confirmed the row with this key."""

    key: str


class CancelledJobsRead(NamedTuple):
    """Event: rows with cancelled jobs were read from the store.

    Attributes:
      rows: the jobs by key; None for a removed row.
      is_complete: whether these are all rows; otherwise only the changed ones.
    """

    rows: Mapping[str, frozenset[str] | None]
    is_complete: bool


class _Row(NamedTuple):
    jobs: frozenset[str]
    kept_until: datetime


class _Waiting(NamedTuple):
    request: str
    is_known: bool


class Cancellations:
    """The cancelled jobs that an entry knows.

    Args:
      origin: prefix of the keys of this entry's rows, unique to this process.
      now: when the process starts.
      max_known: number of known jobs from which on unknown ones are not added.
    """

    def __init__(self, origin: str, now: datetime, max_known: int = MAX_KNOWN) -> None:
        self._origin = origin
        self._max_known = max_known
        self._rows: dict[str, _Row] = {}
        # Number of rows with each job.
        self._stored: Counter[str] = Counter()
        # Requests that wait for the store, by job.
        self._unstored: dict[str, list[_Waiting]] = {}
        self._being_stored: dict[str, list[_Waiting]] = {}
        self._number = 0
        self._written_at = now - WRITE_INTERVAL
        self._removed_at = now

    def __contains__(self, job: str) -> bool:
        return job in self._stored or job in self._unstored or job in self._being_stored

    def __len__(self) -> int:
        return len(self._stored) + self.unstored

    @property
    def unstored(self) -> int:
        """Number of jobs that the store has not confirmed yet."""
        return len(self._unstored) + len(self._being_stored)

    def add(self, job: str, request: str, is_known: bool = True) -> list[Effect]:
        """Record a cancelled job; the request is answered once the job is stored.

        Args:
          job, request: the job, and the request that cancels it.
          is_known: as in ``CancelEnd``.
        """
        waiting = _Waiting(request, is_known)
        if job in self._stored:
            return [_answer(waiting, is_stored=True)]
        if job in self._being_stored:
            self._being_stored[job].append(waiting)
        elif job in self._unstored or self._has_room(is_known):
            self._unstored.setdefault(job, []).append(waiting)
        else:
            return [_answer(waiting, is_stored=False)]
        return []

    def _has_room(self, is_known: bool) -> bool:
        return self.unstored < MAX_UNSTORED and (
            is_known or len(self) < self._max_known
        )

    def to_store(self, now: datetime) -> list[Effect]:
        """Return the write that is due now, if any."""
        if not self._unstored or self._being_stored:
            return []
        if now - self._written_at < WRITE_INTERVAL:
            return []
        self._written_at = now
        self._number += 1
        for job in list(self._unstored)[:MAX_JOBS_PER_ROW]:
            self._being_stored[job] = self._unstored.pop(job)
        return [StoreCancelledJobs(self._key, tuple(self._being_stored))]

    @property
    def _key(self) -> str:
        """Key of this entry's latest row."""
        return f"{self._origin}/{self._number}"

    def record_stored(self, event: CancelledJobsStored, now: datetime) -> list[Effect]:
        """Answer the requests that waited for a row."""
        if event.key != self._key or not self._being_stored:
            return []
        stored = self._being_stored
        self._being_stored = {}
        self._add_row(event.key, frozenset(stored), now + RETENTION)
        return [
            _answer(waiting, is_stored=True)
            for requests in stored.values()
            for waiting in requests
        ]

    def record_read(self, event: CancelledJobsRead, now: datetime) -> set[str]:
        """Apply rows of the store.

        Returns:
          The jobs that were not known as cancelled.
        """
        found: set[str] = set()
        for key, jobs in event.rows.items():
            if jobs is None:
                self._drop_row(key)
            elif key not in self._rows:
                found.update(job for job in jobs if job not in self)
                # The entry that wrote it removes it earlier, if it still runs.
                self._add_row(key, jobs, now + 2 * RETENTION)
        if event.is_complete:
            # A row of this entry may be younger than what was read.
            own = f"{self._origin}/"
            for key in self._rows.keys() - event.rows.keys():
                if not key.startswith(own):
                    self._drop_row(key)
        return found

    def to_remove(self, now: datetime) -> list[Effect]:
        """Return the removal of rows that have been kept for long enough, if any."""
        if now - self._removed_at < REMOVAL_INTERVAL:
            return []
        self._removed_at = now
        expired = [key for key, row in self._rows.items() if row.kept_until <= now]
        if not expired:
            return []
        removed = expired[:MAX_REMOVED_ROWS]
        for key in removed:
            self._drop_row(key)
        return [RemoveCancelledJobs(tuple(removed))]

    def _add_row(self, key: str, jobs: frozenset[str], kept_until: datetime) -> None:
        self._drop_row(key)
        self._rows[key] = _Row(jobs, kept_until)
        self._stored.update(jobs)

    def _drop_row(self, key: str) -> None:
        row = self._rows.pop(key, None)
        if row is None:
            return
        for job in row.jobs:
            self._stored[job] -= 1
            if not self._stored[job]:
                del self._stored[job]


def _answer(waiting: _Waiting, is_stored: bool) -> AnswerCancel:
    return AnswerCancel(waiting.request, CancelEnd(waiting.is_known, is_stored))
