"""The partitions that a home owns, and what it sees of the others.

Claims, fences and handoffs change this state, each in a module of its own; ``takeover``
is what the home calls. What the home must act on is left here as notices.
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
    """How far an ownership is."""

    CLAIMING = "claiming"
    READING = "reading"
    FENCING = "fencing"
    SERVING = "serving"
    HANDING_OVER = "handing"


class HandedLedger(NamedTuple):
    """The ledger of a partition as its former owner handed it over, in full."""

    born_before: datetime
    lossy_before: datetime | None
    forgotten_before: datetime
    refused: tuple[RefusedRecord, ...]
    finished: tuple[FinishedRecord, ...]

    @property
    def running(self) -> list[FinishedRecord]:
        """Jobs that had no final answer yet."""
        return [record for record in self.finished if is_running(record)]


def is_running(record: FinishedRecord) -> bool:
    """Return whether a handed record stands for a job without a final answer."""
    return record.answer.kind is ErrorKind.JOB_RUNNING


class AdoptedJob(NamedTuple):
    """A job that a former owner accepted and that no copy has reached here yet.

    Attributes:
      birth, submission_attempt, digest: as in the records.
      started: (record, incarnation of the executor that holds it) by task.
      complete: False when records may be missing, so that nothing more may start.
    """

    birth: datetime
    submission_attempt: int
    digest: bytes
    started: dict[int, tuple[StartRecord, str]]
    complete: bool


class Ownership:
    """One partition that this home owns or is about to own.

    Args:
      partition: its number.
      epoch: the epoch of the claim.
      replaced_row: the row that the claim replaces; None for a first claim.
      handed: the former owner's ledger, if it handed it over.
      handoff_sender: incarnation that waits for a HandoffAck; empty if none.
      now: the current time.

    ``parts`` holds the answers to fences that are under way, ``heard`` all that came in
    full, ``acknowledged`` who sent one. ``went`` names executors that ended, or fell
    silent, before they answered; ``awaited`` those that are asked once more since then.
    ``unheard`` names incarnations whose records were lost before they were heard.
    Keys born before ``forgotten_before`` may have run without leaving a record.
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
    """Notice: a partition is served from now on."""

    partition: int
    adopted: dict[JobKey, AdoptedJob]
    closed: tuple[ClosedRecord, ...]
    handed: HandedLedger | None


class PartitionLost(NamedTuple):
    """Notice: another home owns the partition, or the claim failed."""

    partition: int


class HandoffDue(NamedTuple):
    """Notice: hand the partition to this incarnation."""

    partition: int
    target: str


Notice = PartitionServed | PartitionLost | HandoffDue
