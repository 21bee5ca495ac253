"""State of one entry: requests without an answer, and its view of the system."""

import random
from datetime import datetime

from gypsumspoke.core import quota
from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.messages import CancelJob, QueryJob, SubmitJob
from gypsumspoke.core.policy import DEFAULT_POLICY, Manifest, Policy
from gypsumspoke.core.values import Answer, JobKey, Member, PartitionRow


class PendingRequest:
    """A request that has not been answered yet.

    Args:
      message: the message for the home, identical in every retry.
      key: identity of the submission.
      arrived: when the request arrived.
      deadline: when the caller stops waiting.

    Attributes:
      home: the home that it was sent to; empty while none can be reached.
      was_sent: whether it was ever sent to a home.
      without_home_since: since when no home can be reached; None if one can.
      not_served_since: since when homes answer that they don't serve the key.
      resend_at: time of the next retry, if scheduled.
      reason: why the next sending is a retry.
      last_refusal: the last answer of a home that does not serve the key.
      caller_left: whether the caller disconnected, so that no answer is delivered.
      size: bytes of the tasks' bodies.
    """

    def __init__(
        self,
        message: SubmitJob | QueryJob | CancelJob,
        key: JobKey,
        arrived: datetime,
        deadline: datetime,
    ) -> None:
        self.message = message
        self.key = key
        self.arrived = arrived
        self.deadline = deadline
        self.home = ""
        self.was_sent = False
        self.without_home_since: datetime | None = arrived
        self.not_served_since: datetime | None = None
        self.resend_at: datetime | None = None
        self.reason: RetryReason | None = None
        self.last_refusal: Answer | None = None
        self.caller_left = False
        self.size = 0
        if isinstance(message, SubmitJob):
            self.size = sum(len(task.body) for task in message.submission.tasks)


class EntryState:
    """One entry's requests and view; created by ``new_entry``.

    Attributes:
      waiting: requests without an answer, by identity.
      waiting_bytes: total size of their bodies.
      entries: incarnations of all entries, this one included.
      teams, services: names in the manifest in force.
    """

    def __init__(self, member: Member, partition_count: int, seed: int) -> None:
        self.member = member
        self.partition_count = partition_count
        self.random = random.Random(seed)
        self.waiting: dict[str, PendingRequest] = {}
        self.waiting_bytes = 0
        self.partitions: dict[int, PartitionRow] = {}
        self.entries: frozenset[str] = frozenset()
        self.reachable: frozenset[str] = frozenset()
        self.manifest: Manifest | None = None
        self.teams: frozenset[str] = frozenset()
        self.services: frozenset[str] = frozenset()
        self.quota = quota.new_quota(member.incarnation)
        self.draining = False
        self.clock_off = False

    @property
    def policy(self) -> Policy:
        """The policy in force, or the default before the first manifest."""
        return self.manifest.policy if self.manifest else DEFAULT_POLICY
