"""One executor's records of started tasks, by partition.

The records are the only evidence that a task started, so they decide whether it may
start again. They are kept in memory: every start is known to its executor and to the
home that placed it, on another worker. A record is dropped only when its submission is
older than the retention, because the key itself is refused from then on.

The covers of a partition name other incarnations whose records are also held here in
full. A new home uses them to distinguish "nothing was started" from "the record is
lost". A plain name is that of a process that starts nothing any more; ``name@epoch`` is
a process that owned the partition under that epoch, valid until a later home owns it.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.chunks import split_into_chunks
from gypsumspoke.core.messages import FenceAck, Remember
from gypsumspoke.core.values import (
    NOTHING_FORGOTTEN,
    AttemptId,
    ClosedRecord,
    JobKey,
    StartRecord,
    TaskState,
)

_COVER_SEPARATOR = "@"

_STATE_RANK = {
    TaskState.UNKNOWN: 0,
    TaskState.RUNNING: 1,
    TaskState.FAILED: 2,
    TaskState.DONE: 3,
}


def supersedes(record: StartRecord, other: StartRecord) -> bool:
    """Return whether ``record`` replaces ``other`` for the same task.

    A later attempt implies that the earlier one did not run: its executor reported that
    to the home, which then placed the task again.
    """
    later = (record.attempt.epoch, record.attempt.number)
    earlier = (other.attempt.epoch, other.attempt.number)
    if later != earlier:
        return later > earlier
    if record.state is other.state:
        return other.result is None and record.result is not None
    return _STATE_RANK[record.state] > _STATE_RANK[other.state]


class Chunk(NamedTuple):
    """Some of a partition's records, few enough for one frame."""

    started: tuple[StartRecord, ...]
    closed: tuple[ClosedRecord, ...]


class StartRecords:
    """The records of one executor.

    Args:
      incarnation: the executor's incarnation, always among the covers.
      kept_bytes: maximum size of all kept results.
    """

    def __init__(self, incarnation: str, kept_bytes: int) -> None:
        self._incarnation = incarnation
        self._kept_bytes = kept_bytes
        self._started: dict[int, dict[JobKey, dict[int, StartRecord]]] = {}
        self._closed: dict[int, dict[JobKey, ClosedRecord]] = {}
        self._covers: dict[int, set[str]] = {}
        self._expiry: list[tuple[datetime, int, JobKey]] = []
        self._results: OrderedDict[tuple[int, JobKey, int], int] = OrderedDict()
        self._result_bytes = 0
        self._count = 0
        self._forgotten_before = NOTHING_FORGOTTEN

    @property
    def count(self) -> int:
        """Number of start records held."""
        return self._count

    @property
    def kept_bytes(self) -> int:
        """Size of all kept results in bytes."""
        return self._result_bytes

    @property
    def forgotten_before(self) -> datetime:
        """Records of submissions with an earlier birth may have been dropped.

        It never decreases: otherwise a longer retention would make keys valid again
        whose records are gone, and a resubmission would start them a second time.
        """
        return self._forgotten_before

    def set_kept_bytes(self, limit: int) -> None:
        """Change the maximum size of all kept results."""
        self._kept_bytes = limit
        self._drop_results()

    def partitions(self) -> list[int]:
        """Return the partitions with any record or cover, in order."""
        return sorted(set(self._started) | set(self._closed) | set(self._covers))

    def find(self, partition: int, key: JobKey, task: int) -> StartRecord | None:
        """Return the record of a started task, or None."""
        return self._started.get(partition, {}).get(key, {}).get(task)

    def is_closed(self, partition: int, key: JobKey) -> bool:
        """Return whether no further task of this job may start."""
        return key in self._closed.get(partition, {})

    def add(self, partition: int, record: StartRecord) -> None:
        """Add a record, unless the present one of the task supersedes it."""
        key = record.attempt.key
        tasks = self._started.setdefault(partition, {}).setdefault(key, {})
        if not tasks:
            heapq.heappush(self._expiry, (record.birth, partition, key))
        known = tasks.get(record.attempt.task)
        if known is None:
            self._count += 1
        elif not supersedes(record, known):
            return
        tasks[record.attempt.task] = record
        self._record_result_size(partition, record)

    def finish(
        self, partition: int, attempt: AttemptId, state: TaskState, result: bytes | None
    ) -> None:
        """Record the end of a started task, if its record is still held."""
        known = self.find(partition, attempt.key, attempt.task)
        if known is None or known.attempt != attempt:
            return
        ended = known._replace(state=state, result=result)
        self._started[partition][attempt.key][attempt.task] = ended
        self._record_result_size(partition, ended)

    def forget(self, partition: int, attempt: AttemptId) -> None:
        """Drop the record of an attempt of which no byte reached the upstream."""
        tasks = self._started.get(partition, {}).get(attempt.key, {})
        known = tasks.get(attempt.task)
        if known is not None and known.attempt == attempt:
            del tasks[attempt.task]
            self._count -= 1

    def raise_forgotten_before(self, born_before: datetime) -> None:
        """Apply another executor's ``forgotten_before`` to records taken from it."""
        self._forgotten_before = max(self._forgotten_before, born_before)

    def close(self, partition: int, record: ClosedRecord) -> None:
        """Refuse further starts of a job."""
        closed = self._closed.setdefault(partition, {})
        if record.key not in closed:
            closed[record.key] = record
            heapq.heappush(self._expiry, (record.birth, partition, record.key))

    def add_covers(self, partition: int, incarnations: Iterable[str]) -> None:
        """Add incarnations whose records of a partition are held here in full."""
        self._covers.setdefault(partition, set()).update(incarnations)

    def covers(self, partition: int) -> tuple[str, ...]:
        """Return whose records of a partition are held in full, including its own."""
        return tuple(sorted({self._incarnation} | self._covers.get(partition, set())))

    def retain_covers(self, incarnations: Iterable[str]) -> None:
        """Drop the covers of all other incarnations.

        Their rows are deleted only after the retention, when no record matters.
        """
        known = set(incarnations)
        for partition, covered in self._covers.items():
            self._covers[partition] = {
                cover for cover in covered if cover.split(_COVER_SEPARATOR)[0] in known
            }

    def expire(self, born_before: datetime) -> None:
        """Drop all records of submissions with a birth before this time."""
        self._forgotten_before = max(self._forgotten_before, born_before)
        while self._expiry and self._expiry[0][0] < born_before:
            _, partition, key = heapq.heappop(self._expiry)
            tasks = self._started.get(partition, {}).pop(key, {})
            self._count -= len(tasks)
            for task in tasks:
                self._result_bytes -= self._results.pop((partition, key, task), 0)
            self._closed.get(partition, {}).pop(key, None)

    def chunks(self, partition: int) -> list[Chunk]:
        """Return all records of a partition in chunks; at least one."""
        started = [
            record
            for tasks in self._started.get(partition, {}).values()
            for record in tasks.values()
        ]
        return chunk_records(started, list(self._closed.get(partition, {}).values()))

    def _record_result_size(self, partition: int, record: StartRecord) -> None:
        task_id = (partition, record.attempt.key, record.attempt.task)
        self._result_bytes -= self._results.pop(task_id, 0)
        if record.result:
            self._results[task_id] = len(record.result)
            self._result_bytes += len(record.result)
            self._drop_results()

    def _drop_results(self) -> None:
        """Drop the oldest results over the bound; their start records stay."""
        while self._result_bytes > self._kept_bytes:
            (partition, key, task), size = self._results.popitem(last=False)
            self._result_bytes -= size
            record = self._started[partition][key][task]
            self._started[partition][key][task] = record._replace(result=None)


def chunk_records(
    started: list[StartRecord], closed: list[ClosedRecord]
) -> list[Chunk]:
    """Split records into chunks bounded in number and in bytes of results.

    Returns:
      At least one chunk, so that an empty partition is acknowledged too.
    """
    chunks = [Chunk(part, ()) for part in split_into_chunks(started, _result_bytes)]
    chunks += [Chunk((), part) for part in split_into_chunks(closed, _no_bytes)]
    return chunks or [Chunk((), ())]


def _result_bytes(record: StartRecord) -> int:
    return len(record.result or b"")


def _no_bytes(record: ClosedRecord) -> int:
    return 0


def fence_acks(
    records: StartRecords, partition: int, epoch: int, incarnation: str
) -> list[FenceAck]:
    """Return the acknowledgement of a fence, in chunks."""
    chunks = records.chunks(partition)
    covers = records.covers(partition)
    return [
        FenceAck(
            partition,
            epoch,
            incarnation,
            number,
            len(chunks),
            chunk.started,
            chunk.closed,
            covers,
            records.forgotten_before,
        )
        for number, chunk in enumerate(chunks)
    ]


def remember_messages(
    partition: int,
    epoch: int,
    source: str,
    started: list[StartRecord],
    closed: list[ClosedRecord],
    covers: tuple[str, ...],
    forgotten_before: datetime,
) -> list[Remember]:
    """Return the messages that replicate the records of ``source``."""
    chunks = chunk_records(started, closed)
    return [
        Remember(
            partition,
            epoch,
            source,
            number,
            len(chunks),
            chunk.started,
            chunk.closed,
            covers,
            forgotten_before,
        )
        for number, chunk in enumerate(chunks)
    ]


def expiry_bound(now: datetime, retention: timedelta, skew: timedelta) -> datetime:
    """Return the birth before which records may be dropped.

    Entry and home refuse keys older than the retention. Their clocks may differ by
    ``skew`` from each other and from the caller's, hence twice.
    """
    return now - retention - 2 * skew
