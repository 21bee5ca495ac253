"""A home's ledger of answers and refusals, and how attempt numbers are issued.

A "not run" must stay true for requests that are still in flight, so each refusal is
kept until its key expires. When the table of refusals is full, the *floor* replaces it:
unknown keys born before the floor run only with an attempt number that no earlier
refusal issued, which the generation in the number guarantees. A takeover uses the same
rule, since a new home doesn't know what the former one refused.

An attempt number is ``epoch << 32 | generation << 12 | count``. It stays below
2**53, up to which JSON parsers keep integers exact, for the first 2**21 epochs.
"""

import heapq
from collections import OrderedDict
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.values import (
    NOTHING_FORGOTTEN,
    Answer,
    FinishedRecord,
    JobKey,
    RefusedRecord,
)

MAX_REFUSALS = 20_000
GENERATION_BITS = 20
COUNT_BITS = 12
_EPOCH_SHIFT = GENERATION_BITS + COUNT_BITS


def first_attempt(epoch: int, generation: int) -> int:
    """Return the lowest attempt number of a generation of an epoch."""
    return epoch << _EPOCH_SHIFT | generation << COUNT_BITS


class Floor(NamedTuple):
    """Bounds below which unknown keys of a partition don't run at once.

    Attributes:
      epoch: epoch of the ownership.
      generation: grows by one each time the floor is raised.
      born_before: unknown keys born before this need an attempt number of at least
        ``first_attempt(epoch, generation)``.
      lossy_before: records of keys born before this were lost, so unknown ones may have
        run and never run again; None if no records were lost.
    """

    epoch: int
    generation: int
    born_before: datetime
    lossy_before: datetime | None

    @property
    def attempt(self) -> int:
        """The lowest attempt number that runs with a birth before the floor."""
        return first_attempt(self.epoch, self.generation)

    @property
    def ceiling(self) -> int:
        """The lowest attempt number that this ownership can't have issued."""
        return first_attempt(self.epoch + 1, 0)

    def raised(self, born_before: datetime) -> "Floor":
        """Return the floor of the next generation."""
        return self._replace(
            generation=self.generation + 1,
            born_before=max(self.born_before, born_before),
        )


class Ledger:
    """Answers and refusals that one home keeps, by partition and key.

    Args:
      kept_bytes: maximum size of the kept results.
    """

    def __init__(self, kept_bytes: int) -> None:
        self._kept_bytes = kept_bytes
        self._finished: dict[int, dict[JobKey, FinishedRecord]] = {}
        self._refused: dict[int, dict[JobKey, RefusedRecord]] = {}
        self._expiry: list[tuple[datetime, int, JobKey]] = []
        self._results: OrderedDict[tuple[int, JobKey], int] = OrderedDict()
        self._result_bytes = 0
        self._finished_count = 0
        self._forgotten_before = NOTHING_FORGOTTEN

    @property
    def forgotten_before(self) -> datetime:
        """Records of submissions born before this may have been dropped."""
        return self._forgotten_before

    @property
    def finished_count(self) -> int:
        """Number of kept answers."""
        return self._finished_count

    @property
    def kept_bytes(self) -> int:
        """Size of the kept results in bytes."""
        return self._result_bytes

    def set_kept_bytes(self, limit: int) -> None:
        """Set the maximum size of the kept results in bytes."""
        self._kept_bytes = limit
        self._drop_results()

    def finished(self, partition: int, key: JobKey) -> FinishedRecord | None:
        """Return the kept answer of a key, or None."""
        return self._finished.get(partition, {}).get(key)

    def refused(self, partition: int, key: JobKey) -> RefusedRecord | None:
        """Return the last refusal of a key, or None."""
        return self._refused.get(partition, {}).get(key)

    def refused_count(self, partition: int) -> int:
        """Return how many refusals of a partition are kept."""
        return len(self._refused.get(partition, {}))

    def keep_finished(self, partition: int, record: FinishedRecord) -> None:
        """Keep a final answer; it replaces an earlier refusal."""
        self._refused.get(partition, {}).pop(record.key, None)
        known = self._finished.setdefault(partition, {})
        self._finished_count += record.key not in known
        known[record.key] = record
        heapq.heappush(self._expiry, (record.birth, partition, record.key))
        self._account((partition, record.key), record)

    def keep_refused(self, partition: int, record: RefusedRecord) -> None:
        """Keep a refusal."""
        known = self._refused.setdefault(partition, {})
        if record.key not in known:
            heapq.heappush(self._expiry, (record.birth, partition, record.key))
        known[record.key] = record

    def forget_refused(self, partition: int, key: JobKey) -> None:
        """Drop a refusal whose key now runs under a higher attempt."""
        self._refused.get(partition, {}).pop(key, None)

    def clear_refused(self, partition: int) -> None:
        """Drop the refusals of a partition, which a higher floor replaces."""
        self._refused.pop(partition, None)

    def drop(self, partition: int) -> None:
        """Drop all records of a partition that another home owns now."""
        finished = self._finished.pop(partition, {})
        self._finished_count -= len(finished)
        for key in finished:
            self._result_bytes -= self._results.pop((partition, key), 0)
        self._refused.pop(partition, None)

    def all_finished(self, partition: int) -> list[FinishedRecord]:
        """Return the kept answers of a partition."""
        return list(self._finished.get(partition, {}).values())

    def all_refused(self, partition: int) -> list[RefusedRecord]:
        """Return the kept refusals of a partition."""
        return list(self._refused.get(partition, {}).values())

    def expire(self, born_before: datetime) -> None:
        """Drop all records of submissions born before a time."""
        self._forgotten_before = max(self._forgotten_before, born_before)
        while self._expiry and self._expiry[0][0] < born_before:
            _, partition, key = heapq.heappop(self._expiry)
            finished = self._finished.get(partition, {})
            if key in finished and finished[key].birth < born_before:
                del finished[key]
                self._finished_count -= 1
                self._result_bytes -= self._results.pop((partition, key), 0)
            refused = self._refused.get(partition, {})
            if key in refused and refused[key].birth < born_before:
                del refused[key]

    def _account(self, place: tuple[int, JobKey], record: FinishedRecord) -> None:
        self._result_bytes -= self._results.pop(place, 0)
        size = sum(len(result) for result in record.answer.results)
        if size:
            self._results[place] = size
            self._result_bytes += size
            self._drop_results()

    def _drop_results(self) -> None:
        """Drop the oldest results above the bound; their jobs stay known as run."""
        while self._result_bytes > self._kept_bytes:
            (partition, key), size = self._results.popitem(last=False)
            self._result_bytes -= size
            record = self._finished[partition][key]
            lost = Answer(ErrorKind.RESULT_LOST, Work.RAN)
            self._finished[partition][key] = record._replace(answer=lost)


def next_attempt(refused: int, floor: Floor) -> int:
    """Return the attempt number with which a refused submission may be resubmitted.

    Args:
      refused: the attempt number that was refused.
      floor: the partition's floor.

    Returns:
      A number above ``refused`` and not below the floor's.
    """
    return max(refused + 1, floor.attempt)


def needs_new_generation(refused: int, floor: Floor) -> bool:
    """Return whether the next number would belong to the next generation.

    A later floor would then not be above all attempt numbers issued before it.
    """
    return next_attempt(refused, floor) >= first_attempt(
        floor.epoch, floor.generation + 1
    )


def floor_birth(now: datetime, skew: timedelta) -> datetime:
    """Return a bound on the births that another home can have accepted by ``now``.

    A home accepts births up to its own clock plus ``skew``, and its clock may be ahead
    of this one by ``skew``.
    """
    return now + 2 * skew
