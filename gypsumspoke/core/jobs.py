"""Jobs that a home runs: their tasks, waiting requests and final answers.

An answer claims no more than is known. A task that was never placed, or that an
executor refused, has not run; a placed task without an outcome is unknown. The claim
about the whole job follows from its tasks.
"""

from collections import Counter
from datetime import datetime, timedelta
from enum import Enum
from typing import NamedTuple

from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind, Work
from gypsumspoke.core.values import Answer, AttemptId, Outcome, Submission

# An answer is sent to the entry in one frame, which ``wire`` bounds at 4 MiB; the rest
# is for the lengths of the results and the other fields.
MAX_ANSWER_BYTES = 3 * 1024 * 1024


class Waiter(NamedTuple):
    """A request that waits for the answer of a job."""

    entry: str
    request: str


class SlotState(Enum):
    """Progress of a task as known to its home."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


class TaskSlot:
    """One task of a running job.

    Attributes:
      attempt: the last attempt; None before the first placement.
      executor: where the last attempt was placed.
      placed_at: when it was placed.
      asked_at: when its executor last reported it or was queried about it.
      placements: number of placements so far.
      excluded: executors that refused the task.
      is_running: whether the executor reported that it runs.
      result: body of the result; None unless done and kept.
    """

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
      submission: the submission, with the highest attempt and latest deadline so far.
      partition: its partition.
      accepted_at: when it was accepted.

    Attributes:
      unfinished: number of tasks that are not done.
      waiters: requests that wait for the answer.
      ending: why the job is ending; None while it runs.
      ending_since: when it began to end.
      confirmed: whether the home's epoch was confirmed after that.
      resumable: False if records of its tasks may be missing, as after a takeover.
      dropped: whether it was answered, or left with its partition.
      longest_run: longest run time of its tasks.
      messages: messages sent and received for it.
      wasted: messages without progress, by reason.
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
        """Whether it was stopped, so that no further task of it starts."""
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
        """Record that a task is done; its result is kept while all fit one answer.

        A result that is not kept is None: an empty one is a valid result.
        """
        slot.state = SlotState.DONE
        self.unfinished -= 1
        self.result_bytes += len(result)
        slot.result = None if self.is_too_large else result

    @property
    def has_open_slots(self) -> bool:
        """Whether the executor of a placed task has not answered yet."""
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
    """Return the known outcome of each task."""
    return tuple(_OUTCOME_OF_SLOT[slot.state] for slot in job.slots)


def work_of(known: tuple[Outcome, ...]) -> Work:
    """Return what may be claimed of a job with these task outcomes."""
    if Outcome.UNKNOWN in known:
        return Work.UNKNOWN
    if Outcome.NOT_RUN not in known:
        return Work.RAN
    if set(known) == {Outcome.NOT_RUN}:
        return Work.NOT_RUN
    return Work.PARTLY_RAN


def failed_answer(job: Job, confirmed: bool) -> Answer:
    """Return the final answer of an ending job.

    Args:
      job: the job; ``ending`` is set.
      confirmed: whether an executor confirmed the home's epoch after the end was
        decided; otherwise another home may be running the other tasks.

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
