"""The record of a sidecar's worker in the store, which survives the sidecar's process.

A restarted sidecar would otherwise wait for its worker's next heartbeat, up to 1.5 s
during which callers come back, and would have lost the worker's pace.

The record is a hint of an earlier process. The worker is restored from it only once it
has named the record's incarnation in an answer to a renewal of this process, and any
heartbeat of that incarnation replaces it. If the heartbeat comes first, the pace alone
is restored.
"""

import logging
import sys
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs.values import Registration, Room, WorkerReady, WorkerRecordEvent

# Shortest time between two writes. Each write has a cost, and a worker may restart
# every second or two. The pace changes with each run and is only an average.
WRITE_INTERVAL = timedelta(seconds=2)
PACE_WRITE_INTERVAL = timedelta(seconds=10)
# Relative change from which on a new pace is written.
MIN_PACE_CHANGE = 0.25
# Lower than that of any heartbeat.
_LOWEST_SEQUENCE = -sys.maxsize


class WorkerRecord(NamedTuple):
    """What a sidecar keeps of its worker.

    Attributes:
      worker: the worker's id.
      incarnation, service, state, capacity, labels: as in its registration.
      pace: run time over estimate, smoothed; 0 while unknown.
    """

    worker: str
    incarnation: int
    service: str
    state: WorkerReady
    capacity: Room
    labels: tuple[str, ...]
    pace: float

    def registration(self) -> Registration:
        """Return the registration that any heartbeat of its incarnation replaces."""
        return Registration(
            id=self.worker,
            incarnation=self.incarnation,
            sequence=_LOWEST_SEQUENCE,
            service=self.service,
            state=self.state,
            capacity=self.capacity,
            labels=self.labels,
            clock=timedelta(),
        )


class StoreWorkerRecord(NamedTuple):
    """Effect: replace the stored record of this sidecar's worker."""

    record: WorkerRecord


class WorkerRecordRead(NamedTuple):
    """Event: the stored record was read at startup.

    Attributes:
      record: None if there is none or it can't be decoded.
      error: why it can't be decoded; empty otherwise.
    """

    record: WorkerRecord | None
    error: str = ""


class WorkerRecords:
    """When the record is written, and whether the stored one may be used.

    Attributes:
      is_restored: whether the worker is known only from the record.
    """

    def __init__(self) -> None:
        self.is_restored = False
        self._is_read = False
        self._candidate: WorkerRecord | None = None
        self._has_left = False
        self._stored: WorkerRecord | None = None
        self._stored_at: datetime | None = None

    def record_read(self, event: WorkerRecordRead, service: str) -> list[Effect]:
        """Handle the stored record; it stays unused until ``restore`` returns it.

        Args:
          event: the record.
          service: the service named in the settings; empty for any.
        """
        self._is_read = True
        self._stored = event.record
        if event.error:
            return _drop(WorkerRecordEvent.UNREADABLE, (("error", event.error),))
        if event.record is None:
            return [Count(WorkerRecordEvent.MISSING)]
        if service and event.record.service != service:
            fields = (("service", event.record.service),)
            return _drop(WorkerRecordEvent.OTHER_SERVICE, fields)
        self._candidate = event.record
        return []

    def record_left(self) -> None:
        """Record that the worker deregistered before its first heartbeat here."""
        self._has_left = True

    def record_heartbeat(self) -> None:
        """Record that a heartbeat was accepted."""
        self.is_restored = False

    def restore(
        self, worker: Registration | None, incarnation: int | None
    ) -> tuple[WorkerRecord | None, list[Effect]]:
        """Return the record once its incarnation is proven, or drop it.

        Where a heartbeat of that incarnation came first, only the record's pace is of
        use.

        Args:
          worker: the worker's registration; None if none has arrived.
          incarnation: the incarnation that the worker's latest answer has named.

        Returns:
          The record to restore the worker or its pace from, or None; and what to log
          and count.
        """
        record = self._candidate
        if record is None:
            return None, []
        reason = None
        if worker is not None and worker.incarnation == record.incarnation:
            self._candidate = None
            log = Log(logging.INFO, "worker pace restored", fields=_details(record))
            return record, [Count(WorkerRecordEvent.PACE_RESTORED), log]
        if worker is not None:
            reason = WorkerRecordEvent.OTHER_INCARNATION
        elif self._has_left:
            reason = WorkerRecordEvent.WORKER_LEFT
        elif incarnation is None:
            return None, []
        elif incarnation != record.incarnation:
            reason = WorkerRecordEvent.OTHER_INCARNATION
        self._candidate = None
        if reason is not None:
            return None, _drop(reason, _identity(record))
        self.is_restored = True
        log = Log(logging.INFO, "worker record restored", fields=_details(record))
        return record, [Count(WorkerRecordEvent.RESTORED), log]

    def withdraw(self, worker: Registration, incarnation: int) -> list[Effect] | None:
        """Drop a restored worker once an answer names another incarnation.

        An answer of the record's incarnation may have been under way while the worker
        restarted.

        Args:
          worker: the restored registration.
          incarnation: the incarnation that the worker's latest answer has named.

        Returns:
          What to log and count; None if the worker stays.
        """
        if not self.is_restored or worker.incarnation == incarnation:
            return None
        self.is_restored = False
        fields = (("worker", worker.id), ("born", worker.incarnation))
        return _drop(WorkerRecordEvent.OTHER_INCARNATION, fields)

    def to_store(
        self,
        worker: Registration | None,
        incarnation: int | None,
        pace: float,
        now: datetime,
    ) -> list[Effect]:
        """Return the write that is due now, if any.

        Nothing is written before the stored record was read, since most often it is the
        same. Answers never name incarnation 0, so its record would never be used.

        Args:
          worker: the worker's registration.
          incarnation: the worker's latest incarnation, which the pace belongs to.
          pace: the worker's smoothed pace; 0 while unknown.
          now: the current time.
        """
        if not self._is_read or worker is None or not worker.incarnation:
            return []
        if worker.incarnation != incarnation:
            return []
        # The record doesn't say how much of the worker may be offered.
        if worker.cold:
            return []
        record = WorkerRecord(
            worker.id,
            worker.incarnation,
            worker.service,
            worker.state,
            worker.capacity,
            worker.labels,
            pace,
        )
        interval = _write_interval(self._stored, record)
        if interval is None:
            return []
        if self._stored_at is not None and now - self._stored_at < interval:
            return []
        self._stored = record
        self._stored_at = now
        return [Count(WorkerRecordEvent.WRITTEN), StoreWorkerRecord(record)]


def _write_interval(
    stored: WorkerRecord | None, current: WorkerRecord
) -> timedelta | None:
    """Return how long after the previous write this one is due; None for never."""
    if stored is None or stored._replace(pace=current.pace) != current:
        return WRITE_INTERVAL
    change = abs(current.pace - stored.pace)
    if current.pace and change >= stored.pace * MIN_PACE_CHANGE and change > 0:
        return PACE_WRITE_INTERVAL
    return None


def _identity(record: WorkerRecord) -> tuple[tuple[str, str | int], ...]:
    return (("worker", record.worker), ("born", record.incarnation))


def _details(record: WorkerRecord) -> tuple[tuple[str, str | int | float], ...]:
    return (
        *_identity(record),
        ("state", record.state.value),
        ("cpu", record.capacity.cpu),
        ("pace", round(record.pace, 3)),
    )


def _drop(reason: WorkerRecordEvent, fields: tuple) -> list[Effect]:
    fields = (("reason", reason.value), *fields)
    log = Log(logging.INFO, "worker record dropped", fields=fields)
    return [Count(reason), log]
