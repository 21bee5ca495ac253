"""The validated manifest of the operators."""

from datetime import timedelta
from typing import NamedTuple


class ServicePolicy(NamedTuple):
    """Settings of one upstream service.

    Attributes:
      name: name of the service, as callers and members use it.
      connections: maximum number of connections from an executor to its upstream.
      connect_timeout: bound on opening a connection to the upstream.
      answer_timeout: bound on one task at the upstream; then it counts as UNKNOWN.
      queue_limit: maximum number of tasks queued at one executor.
    """

    name: str
    connections: int
    connect_timeout: timedelta
    answer_timeout: timedelta
    queue_limit: int


class TeamPolicy(NamedTuple):
    """Settings of one team.

    Attributes:
      name: name of the team.
      tasks_per_second: quota over all entries together.
      burst: tasks it may submit at once above that rate, over all entries together.
      weight: share when teams compete for slots.
    """

    name: str
    tasks_per_second: float
    burst: int
    weight: float


class Policy(NamedTuple):
    """Settings of the whole system.

    Attributes:
      retention: how long a key is remembered, from its birth.
      clock_skew: maximum difference between two clocks.
      retry_budget: placements beyond the first, as a share of first placements.
      task_attempts: maximum number of placements of one task.
      message_weight: 0 prefers response time, 1 prefers few messages.
      ledger_limit: maximum number of submissions that one home remembers.
      kept_bytes: maximum size in bytes of the results that one process keeps.
      home_queue_limit: maximum number of tasks queued at one home.
      unreachable_after: silence after which a started task counts as UNKNOWN.
      takeover_after: silence after which another home takes the partitions over.
      placement: name of a strategy in ``placement.STRATEGIES``.
    """

    retention: timedelta
    clock_skew: timedelta
    retry_budget: float
    task_attempts: int
    message_weight: float
    ledger_limit: int
    kept_bytes: int
    home_queue_limit: int
    unreachable_after: timedelta
    takeover_after: timedelta
    placement: str = "expected_wait"


class Manifest(NamedTuple):
    """The validated configuration of the operators."""

    services: tuple[ServicePolicy, ...]
    teams: tuple[TeamPolicy, ...]
    policy: Policy


DEFAULT_POLICY = Policy(
    retention=timedelta(minutes=10),
    clock_skew=timedelta(seconds=1),
    retry_budget=1.0,
    task_attempts=4,
    message_weight=0.0,
    ledger_limit=50_000,
    kept_bytes=8_000_000,
    home_queue_limit=2_000,
    unreachable_after=timedelta(seconds=4),
    takeover_after=timedelta(seconds=3),
)
