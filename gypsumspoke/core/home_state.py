"""The state of one home, shared by the modules of its reducer.

``home`` routes events, ``intake`` handles requests, ``dispatch`` places tasks,
``endings`` refuses and ends jobs, ``adoption`` adopts jobs and hands partitions over,
``inquiries`` finds out the outcomes of attempts at executors that ended.
"""

from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.effects import Effect, Send
from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind
from gypsumspoke.core.fair_queue import FairQueue
from gypsumspoke.core.jobs import Job, Waiter
from gypsumspoke.core.ledger import Ledger
from gypsumspoke.core.messages import (
    CancelJob,
    FenceAck,
    JobAnswer,
    QueryJob,
    SubmitJob,
)
from gypsumspoke.core.ownership import AdoptedJob, Ownership, Phase
from gypsumspoke.core.placement import PlacementState, new_placement
from gypsumspoke.core.policy import DEFAULT_POLICY, Policy
from gypsumspoke.core.takeover_state import TakeoverState
from gypsumspoke.core.values import Answer, AttemptId, JobKey, Member

Request = SubmitJob | QueryJob | CancelJob


class ParkedRequest(NamedTuple):
    """A request held until its partition is served."""

    sender: str
    message: Request
    since: datetime


class Refusal(NamedTuple):
    """A "not run" answer held back until the home's epoch is confirmed."""

    waiter: Waiter
    key: JobKey
    answer: Answer


class Confirmation:
    """A request to an executor to confirm that the home's epoch is current.

    Attributes:
      partition, epoch: the ownership to confirm.
      asked: executors it was sent to so far.
      sent: when it was last sent; None before the first time.
      refusals: refusals that wait for the confirmation.
      jobs: ending jobs that wait for the confirmation.
    """

    def __init__(self, partition: int, epoch: int) -> None:
        self.partition = partition
        self.epoch = epoch
        self.asked: list[str] = []
        self.sent: datetime | None = None
        self.refusals: list[Refusal] = []
        self.jobs: list[Job] = []


class PlacedAttempt(NamedTuple):
    """The job and task index of an attempt in flight."""

    job: Job
    task: int


class RecordTransfer(NamedTuple):
    """Records of a lost executor on their way to another executor."""

    lost: str
    sent: datetime


class Inquiry:
    """A request to all executors for the records of an ended one, in one partition.

    Args:
      lost: incarnation of the ended executor.
      partition: partition whose tasks it may have started.
      epoch: epoch under which the partition is served here.
      asked: incarnations that have not answered yet.
      transfers_records: whether this home's records of the ended executor are sent to
        another executor afterwards.
      now: the current time.

    Attributes:
      parts: incomplete answers, by incarnation.
      heard: the parts of all complete answers.
    """

    def __init__(
        self,
        lost: str,
        partition: int,
        epoch: int,
        asked: set[str],
        transfers_records: bool,
        now: datetime,
    ) -> None:
        self.lost = lost
        self.partition = partition
        self.epoch = epoch
        self.asked = asked
        self.transfers_records = transfers_records
        self.since = now
        self.parts: dict[str, list[FenceAck]] = {}
        self.heard: list[FenceAck] = []


class HomeState:
    """The state of one home.

    Args:
      member: this process.
      partition_count: number of partitions.
      seed: for the random choice of executors.

    Attributes:
      jobs: jobs without a final answer, by partition and key.
      adopted: jobs accepted by a former home and not resubmitted yet.
      parked: requests for partitions that are owned but not served yet.
      retry_tokens: the retry budget left.
      in_flight: attempts without an outcome, by executor.
      silent_since: since when executors with attempts in flight can't be reached.
      deadlines: heap of (deadline, partition, key).
      unsent_confirmations: confirmations still collecting, by partition.
      confirmations: (number, confirmation) that was sent, by partition.
      inquiries: open inquiries by partition and ended executor.
      record_transfers: unacknowledged transfers by partition and source.
    """

    def __init__(self, member: Member, partition_count: int, seed: int) -> None:
        self.member = member
        self.takeover = TakeoverState(member, partition_count)
        self.policy: Policy = DEFAULT_POLICY
        self.ledger = Ledger(DEFAULT_POLICY.kept_bytes)
        self.jobs: dict[int, dict[JobKey, Job]] = {}
        self.job_count = 0
        self.adopted: dict[int, dict[JobKey, AdoptedJob]] = {}
        self.parked: dict[int, list[ParkedRequest]] = {}
        self.placement: PlacementState = new_placement(seed)
        self.queues: dict[str, FairQueue] = {}
        self.team_weights: dict[str, float] = {}
        self.team_queued: dict[str, int] = {}
        self.queued = 0
        self.retry_tokens = 0.0
        self.placement_number = 0
        self.in_flight: dict[str, dict[AttemptId, PlacedAttempt]] = {}
        self.lost_peers: set[str] = set()
        self.silent_since: dict[str, datetime] = {}
        self.deadlines: list[tuple[datetime, int, JobKey]] = []
        self.unsent_confirmations: dict[int, Confirmation] = {}
        self.confirmations: dict[int, tuple[int, Confirmation]] = {}
        self.confirmation_number = 0
        self.inquiries: dict[tuple[int, str], Inquiry] = {}
        self.record_transfers: dict[tuple[int, str], RecordTransfer] = {}
        self.reachable: frozenset[str] = frozenset()
        self.clock_is_off = False
        self.draining_since: datetime | None = None
        self.last_scan: datetime | None = None

    @property
    def incarnation(self) -> str:
        """Incarnation of this process."""
        return self.member.incarnation

    def job(self, partition: int, key: JobKey) -> Job | None:
        """Return a job that has no final answer yet, or None."""
        return self.jobs.get(partition, {}).get(key)

    def all_jobs(self) -> Iterator[Job]:
        """Iterate over all jobs that have no final answer yet."""
        for jobs in list(self.jobs.values()):
            yield from list(jobs.values())

    def add_job(self, job: Job) -> None:
        """Add an accepted job."""
        self.jobs.setdefault(job.partition, {})[job.submission.key] = job
        self.job_count += 1

    def remove_job(self, job: Job) -> None:
        """Remove a job that has its final answer or left with its partition."""
        if self.jobs.get(job.partition, {}).pop(job.submission.key, None) is job:
            self.job_count -= 1

    def serving(self, partition: int) -> Ownership | None:
        """Return the ownership of a partition that is served here, or None."""
        ownership = self.takeover.owned.get(partition)
        if ownership is None or ownership.phase is not Phase.SERVING:
            return None
        return ownership


def answer_of(
    kind: ErrorKind, retry_after: timedelta | None = None, detail: str = ""
) -> Answer:
    """Return an answer of a kind whose claim is fixed in ``ANSWER_RULES``.

    Args:
      kind: the reason.
      retry_after: when to retry; None for the default of the kind.
      detail: one sentence for a person.

    Raises:
      ValueError: the claim of the kind is not fixed.
    """
    rule = ANSWER_RULES[kind]
    if rule.work is None:
        raise ValueError(f"{kind} has no fixed claim in ANSWER_RULES")
    if retry_after is None:
        retry_after = rule.retry_after
    return Answer(kind, rule.work, retry_after=retry_after, detail=detail)


def reply(waiter: Waiter, key: JobKey, answer: Answer) -> Effect:
    """Return the effect that answers one request."""
    return Send(waiter.entry, JobAnswer(waiter.request, key, answer))
