"""Stores the record of a sidecar's worker: one row in a part of the sidecar's own.

A part of the store sustains a limited rate of writes, so a single part for all sidecars
would delay the writes of a large fleet.
"""

import json
from collections.abc import Callable
from functools import partial
from typing import Any

from returns.result import Failure, Result, Success

from gypsumspoke.platform.store import Store, Table, Watch
from gypsumspoke.runs.settings import RunSettings
from gypsumspoke.runs.values import Room, WorkerReady
from gypsumspoke.runs.worker_record import (
    StoreWorkerRecord,
    WorkerRecord,
    WorkerRecordRead,
)

WORKERS_TABLE = "gypsumspoke-workers"
WORKER_KEY = "worker"
# Larger values can only be faults; the room of a worker is sent in messages.
_MAX_ROOM = 10**9
_MAX_PACE = 1000.0


class SidecarStore(Store):
    """Store client of a sidecar, which also reads and writes its worker's record.

    Args:
      settings: settings of this process.
      watches: see ``Store``.
      post: queues the event with the stored record.
    """

    def __init__(
        self,
        settings: RunSettings,
        watches: tuple[Watch, ...],
        post: Callable[[Any], None],
    ) -> None:
        super().__init__(settings.store, watches)
        self._part = settings.instance
        self.read_once(WORKERS_TABLE, partial(_on_rows, post), self._part)

    def store_worker_record(self, effect: StoreWorkerRecord) -> None:
        """Write the row in the background."""
        value = encode_worker_record(effect.record)
        self.put(WORKERS_TABLE, WORKER_KEY, value, self._part)


def encode_worker_record(record: WorkerRecord) -> bytes:
    """Return the value of a record's row, a JSON object."""
    fields = {
        "id": record.worker,
        "born": record.incarnation,
        "service": record.service,
        "state": record.state.value,
        "cpu": record.capacity.cpu,
        "mem_mb": record.capacity.memory,
        "gpu": record.capacity.gpu,
        "labels": record.labels,
        "pace": round(record.pace, 4),
    }
    return json.dumps(fields).encode()


def parse_worker_record(value: bytes) -> Result[WorkerRecord, str]:
    """Decode the value of a record's row.

    Args:
      value: JSON text.

    Returns:
      The record, or an error message.
    """
    try:
        return Success(_record(json.loads(value)))
    except KeyError as error:
        return Failure(f"{error.args[0]} is missing")
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        return Failure(str(error))


def _on_rows(post: Callable[[Any], None], table: Table) -> None:
    if WORKER_KEY not in table.rows:
        post(WorkerRecordRead(None))
        return
    match parse_worker_record(table.rows[WORKER_KEY]):
        case Success(record):
            post(WorkerRecordRead(record))
        case Failure(reason):
            post(WorkerRecordRead(None, reason))


def _record(fields: dict[str, Any]) -> WorkerRecord:
    labels = fields["labels"]
    if not isinstance(labels, list):
        raise TypeError("labels is not a list")
    worker = _text(fields["id"], "id")
    # The id is sent as a header.
    if not worker or not worker.isascii() or not worker.isprintable():
        raise ValueError("id is not a worker's id")
    return WorkerRecord(
        worker=worker,
        incarnation=_whole(fields["born"], "born", 1, 2**63),
        service=_text(fields["service"], "service"),
        state=WorkerReady(fields["state"]),
        capacity=Room(
            *(
                _whole(fields[name], name, 0, _MAX_ROOM)
                for name in ("cpu", "mem_mb", "gpu")
            )
        ),
        labels=tuple(_text(label, "labels") for label in labels),
        pace=_pace(fields["pace"]),
    )


def _text(value: Any, name: str) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{name} is not a text")
    return value


def _whole(value: Any, name: str, least: int, most: int) -> int:
    if type(value) is not int or not least <= value <= most:
        raise ValueError(f"{name} is out of range")
    return value


def _pace(value: Any) -> float:
    if type(value) not in (int, float) or not 0 <= value <= _MAX_PACE:
        raise ValueError("pace is out of range")
    return float(value)
