"""Ownership of one partition and the notices that its changes send to the home.

The modules ``claims``, ``fences`` and ``handoffs`` change the state of an ownership.
"""

from datetime import datetime
from enum import Enum
from typing import NamedTuple

from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.ledger import Floor
from gypsumspoke.core.messages import FenceAck
from gypsumspoke.core.values import (
    NOTHING_FORGOTTEN,
    ClosedRecord,
    FinishedRecord,
    JobKey,
    PartitionRow,
    RefusedRecord,
    StartRecord,
)


class Phase(Enum):
    """Stages of an ownership."""

    CLAIMING = "claiming"
    READING = "reading"
    FENCING = "fencing"
    SERVING = "serving"
    HANDING_OVER = "handing"


class HandedLedger(NamedTuple):
    """The complete ledger of a partition that its former owner handed over.

    Attributes:
      born_before, lossy_before: the former owner's floor, see ``ledger.Floor``.
      forgotten_before: keys born before this may have been dropped from the ledger.
      refused, finished: records; jobs still running are among ``finished``.
    """

    born_before: datetime
    lossy_before: datetime | None
    forgotten_before: datetime
    refused: tuple[RefusedRecord, ...]
    finished: tuple[FinishedRecord, ...]

    @property
    def running(self) -> list[FinishedRecord]:
        """Records of jobs without a final answer."""
        return [record for record in self.finished if is_running(record)]


def is_running(record: FinishedRecord) -> bool:
    """Return whether a record stands for a job without a final answer."""
    return record.answer.kind is ErrorKind.JOB_RUNNING


class AdoptedJob(NamedTuple):
    """A job that a former owner accepted and that was not resubmitted here yet.

    Attributes:
      birth, submission_attempt, digest: as in the records.
      started: (record, incarnation of the executor that holds it) by task.
      complete: whether no start record can be missing; if False, no task may start.
    """

    birth: datetime
    submission_attempt: int
    digest: bytes
    started: dict[int, tuple[StartRecord, str]]
    complete: bool


class Ownership:
    """A partition that this home owns or is about to own.

    Args:
      partition: number of the partition.
      epoch: epoch of the claim.
      replaced_row: the row that the claim replaces; None for a first claim.
      handed: the former owner's ledger if it was handed over, else None.
      handoff_sender: incarnation that waits for a HandoffAck; empty without a handoff.
      now: the current time.

    Attributes:
      phase: stage of the ownership.
      started: when the claim began.
      last_request: when the last message or table request of this phase was sent.
      floor: which unknown keys may run, see ``ledger.Floor``.
      required: executors whose fence acknowledgement is needed.
      partial_acks: chunks of incomplete fence acknowledgements, by executor.
      acks: complete fence acknowledgements, by executor.
      acknowledged: executors that sent a complete acknowledgement.
      departed: executors that ended or fell silent before they acknowledged.
      awaiting_second_ack: executors that were fenced again since one departed.
      second_fence_sent: when they were fenced again.
      uncovered: ended incarnations whose records may be lost.
      forgotten_before: keys born before this may have run without leaving a record.
      records_target: executor that was sent the local executor's records.
      remembered: whether that executor acknowledged them.
    """

    def __init__(
        self,
        partition: int,
        epoch: int,
        replaced_row: PartitionRow | None,
        handed: HandedLedger | None,
        handoff_sender: str,
        now: datetime,
    ) -> None:
        self.partition = partition
        self.epoch = epoch
        self.replaced_row = replaced_row
        self.handed = handed
        self.handoff_sender = handoff_sender
        self.phase = Phase.CLAIMING
        self.started = now
        self.last_request = now
        self.floor = Floor(epoch, 0, now, None)
        self.required: set[str] = set()
        self.partial_acks: dict[str, list[FenceAck]] = {}
        self.acks: dict[str, list[FenceAck]] = {}
        self.acknowledged: set[str] = set()
        self.departed: set[str] = set()
        self.awaiting_second_ack: set[str] = set()
        self.second_fence_sent = now
        self.uncovered: frozenset[str] = frozenset()
        self.forgotten_before = NOTHING_FORGOTTEN
        self.records_target = ""
        self.remembered = False


class PartitionServed(NamedTuple):
    """Notice: this home serves a partition from now on."""

    partition: int
    adopted: dict[JobKey, AdoptedJob]
    closed: tuple[ClosedRecord, ...]
    handed: HandedLedger | None


class PartitionLost(NamedTuple):
    """Notice: another home owns a partition, or a claim failed."""

    partition: int


class HandoffDue(NamedTuple):
    """Notice: a partition is to be handed over to the incarnation ``target``."""

    partition: int
    target: str


Notice = PartitionServed | PartitionLost | HandoffDue
