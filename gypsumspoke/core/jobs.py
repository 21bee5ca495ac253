"""A job that a home runs: its tasks, who waits for it, and what its end claims.

An answer must not claim more than is known. A task that was never placed, or that an
executor refused, has not run; one that was sent out and not heard of is unknown. The
claim about the whole job follows from its tasks here, in one place.
"""

from collections import Counter
from datetime import datetime, timedelta
from enum import Enum
from typing import NamedTuple

from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind, Work
from gypsumspoke.core.values import Answer, AttemptId, Outcome, Submission

# A whole answer goes to the entry in one frame, bounded by ``wire`` at 4 MiB. The rest
# is for the lengths of up to 130 results and the fields around them.
MAX_ANSWER_BYTES = 3 * 1024 * 1024


class Waiter(NamedTuple):
    """One copy of a submission that waits for the answer."""

    entry: str
    request: str


class SlotState(Enum):
    """How far a task is, as its home knows."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


class TaskSlot:
    """One task of a running job."""

    def __init__(self) -> None:
        self.state = SlotState.WAITING
        self.attempt: AttemptId | None = None
        self.executor = ""
        self.placed_at: datetime | None = None
        self.asked_at: datetime | None = None
        self.placements = 0
        self.excluded: frozenset[str] = frozenset()
        self.is_running = False
        self.result: bytes | None = None


class Job:
    """A submission that has no final answer yet.

    Args:
      submission: the copy that is run.
      partition: its partition.
      accepted_at: when it was accepted.
    """

    def __init__(
        self, submission: Submission, partition: int, accepted_at: datetime
    ) -> None:
        self.submission = submission
        self.partition = partition
        self.accepted_at = accepted_at
        self.slots = [TaskSlot() for _ in submission.tasks]
        self.unfinished = len(submission.tasks)
        self.result_bytes = 0
        self.waiters: list[Waiter] = []
        self.ending: ErrorKind | None = None
        self.detail = ""
        self.ending_since: datetime | None = None
        self.confirmed = False
        self.resumable = True
        self.dropped = False
        self.longest_run = timedelta(0)
        self.messages = 0
        self.wasted: Counter[str] = Counter()

    @property
    def is_ending(self) -> bool:
        """Whether it was given up on and only waits for confirmations."""
        return self.ending is not None

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.unfinished == 0

    @property
    def is_too_large(self) -> bool:
        """Whether its results don't fit one answer."""
        return self.result_bytes > MAX_ANSWER_BYTES

    def set_done(self, slot: TaskSlot, result: bytes) -> None:
        """Note that a task is done; its result is kept while all fit one answer.

        Without the bound one job could hold 130 results of the largest size, of which
        no caller gets any. A result that is not kept is None, never empty: an empty
        one is an answer too.
        """
        slot.state = SlotState.DONE
        self.unfinished -= 1
        self.result_bytes += len(result)
        slot.result = None if self.is_too_large else result

    @property
    def has_open_slots(self) -> bool:
        """Whether a placed task has not been heard of yet."""
        return any(
            slot.state is SlotState.PLACED and not slot.is_running
            for slot in self.slots
        )

    @property
    def has_started(self) -> bool:
        """Whether a task ran or may have run."""
        return any(slot.state is not SlotState.WAITING for slot in self.slots)


_OUTCOME_OF_SLOT = {
    SlotState.WAITING: Outcome.NOT_RUN,
    SlotState.PLACED: Outcome.UNKNOWN,
    SlotState.DONE: Outcome.DONE,
    SlotState.FAILED: Outcome.FAILED,
    SlotState.UNKNOWN: Outcome.UNKNOWN,
}


def complete_answer(job: Job) -> Answer:
    """Return the answer of a job whose tasks are all done."""
    results = tuple(slot.result for slot in job.slots)
    return Answer(None, Work.RAN, results)


def outcomes(job: Job) -> tuple[Outcome, ...]:
    """Return what is known of each task."""
    return tuple(_OUTCOME_OF_SLOT[slot.state] for slot in job.slots)


def work_of(known: tuple[Outcome, ...]) -> Work:
    """Return what may be claimed of a job from what is known of its tasks."""
    if Outcome.UNKNOWN in known:
        return Work.UNKNOWN
    if Outcome.NOT_RUN not in known:
        return Work.RAN
    if set(known) == {Outcome.NOT_RUN}:
        return Work.NOT_RUN
    return Work.PARTLY_RAN


def failed_answer(job: Job, confirmed: bool) -> Answer:
    """Return the final answer of a job that was given up on.

    Args:
      job: the job; ``ending`` is set.
      confirmed: whether an executor confirmed the home's epoch after the end was
        decided. Without that another home may be running the rest.

    Returns:
      An answer with the outcome of each task; "not run" only when confirmed.
    """
    known = outcomes(job)
    if not confirmed:
        known = tuple(
            Outcome.UNKNOWN if outcome is Outcome.NOT_RUN else outcome
            for outcome in known
        )
    work = work_of(known)
    kind = job.ending or ErrorKind.INTERNAL
    listed = () if work is Work.NOT_RUN else known
    retry_after = ANSWER_RULES[kind].retry_after if work is Work.NOT_RUN else None
    return Answer(
        kind, work, outcomes=listed, retry_after=retry_after, detail=job.detail
    )
