"""The state of one executor, shared by the modules of its reducer.

``executor`` dispatches events, ``task_starts`` starts and refuses tasks, ``epochs``
refuses replaced homes, ``record_replication`` copies records to other executors.
"""

from collections import deque
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.messages import Remember, StartTask
from gypsumspoke.core.pause_check import PauseCheck
from gypsumspoke.core.policy import DEFAULT_POLICY, Policy
from gypsumspoke.core.refused_attempts import RefusedAttempts
from gypsumspoke.core.start_records import StartRecords
from gypsumspoke.core.values import AttemptId, Load

DEFAULT_QUEUE_LIMIT = 8


class WaitingTask(NamedTuple):
    """A task that waits for a slot."""

    start: StartTask
    home: str
    since: datetime


class RunningTask(NamedTuple):
    """A task at the upstream; its outcome goes to ``home``."""

    partition: int
    home: str
    since: datetime


class ExecutorState:
    """State of one executor.

    Args:
      incarnation: own incarnation.
      service: the upstream's service.
      slots: maximum number of concurrent tasks at the upstream.

    Attributes:
      epochs: the highest epoch seen of each partition.
      map_known: whether the partition map has been read.
      refused: attempts answered "not run", which must not start.
      partial_remembers: chunks of incomplete Remember sets by partition and source.
      unreplicated: partitions whose records no other executor has acknowledged yet;
        None before the replication starts.
    """

    def __init__(self, incarnation: str, service: str, slots: int) -> None:
        self.incarnation = incarnation
        self.service = service
        self.slots = slots
        self.queue_limit = DEFAULT_QUEUE_LIMIT
        self.policy: Policy = DEFAULT_POLICY
        self.records = StartRecords(incarnation, DEFAULT_POLICY.kept_bytes)
        self.epochs: dict[int, int] = {}
        self.map_known = False
        self.refused = RefusedAttempts()
        self.waiting: deque[WaitingTask] = deque()
        self.running: dict[AttemptId, RunningTask] = {}
        self.mean_run: timedelta | None = None
        self.leaving = False
        self.upstream_leaving = False
        self.reachable: frozenset[str] = frozenset()
        self.sidecars: frozenset[str] = frozenset()
        self.partial_remembers: dict[tuple[int, str], dict[int, Remember]] = {}
        self.unreplicated: set[int] | None = None
        self.replication_sent: datetime | None = None
        self.replication_round = 0
        self.pause_check = PauseCheck(incarnation)

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self.running and not self.waiting

    @property
    def departed(self) -> bool:
        """Whether it is leaving, idle, and its records are replicated."""
        return self.leaving and self.idle and self.unreplicated == set()


def load(state: ExecutorState) -> Load:
    """Return the executor's reported load, with no slots while it accepts no task."""
    slots = 0 if state.leaving or state.upstream_leaving else state.slots
    return Load(len(state.running), len(state.waiting), slots, state.mean_run)
