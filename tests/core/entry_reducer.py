"""Test harness: an entry reducer that records the effects of each event."""

from datetime import datetime, timedelta, timezone

from gypsumspoke.core import entry
from gypsumspoke.core.effects import Count, Deliver, Send
from gypsumspoke.core.errors import Work
from gypsumspoke.core.events import (
    ManifestChanged,
    PartitionsChanged,
    ReachabilityChanged,
    Received,
)
from gypsumspoke.core.messages import JobAnswer
from gypsumspoke.core.partitions import partition_of
from gypsumspoke.core.policy import DEFAULT_POLICY, Manifest, ServicePolicy, TeamPolicy
from gypsumspoke.core.values import (
    Answer,
    JobKey,
    Member,
    PartitionRow,
    Role,
    Submission,
    Task,
)

START = datetime(2026, 1, 1, tzinfo=timezone.utc)
SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
PARTITIONS = 8
KEY = JobKey("pots", "k1")
PARTITION = partition_of(KEY, PARTITIONS)
DONE = Answer(None, Work.RAN, (b"1",))
MANIFEST = Manifest(
    (ServicePolicy("estimate", 64, SECOND, 30 * SECOND, 16),),
    (TeamPolicy("pots", 1000, 500, 1),),
    DEFAULT_POLICY,
)
ENTRY = Member("e-1", "e", Role.ENTRY, "127.0.0.1", 1, "a", "r", "", 0, START, None, 2)
SUBMISSION = Submission(
    KEY, START, 0, "estimate", START + 30 * SECOND, False, (Task(b"1"),), b"d"
)


class Entry:
    """An entry reducer; ``last`` holds the effects of the last event."""

    def __init__(self, owner="h1", reachable=("h1", "h2")):
        self.state = entry.new_entry(ENTRY, PARTITIONS, seed=1)
        self.now = START
        self.event(ManifestChanged(1, MANIFEST))
        self.version = 0
        self.own(owner)
        self.reach(*reachable)

    def event(self, event, after=timedelta(0)):
        self.now += after
        self.last = entry.reduce(self.state, event, self.now)
        return self.last

    def own(self, owner):
        self.version += 1
        row = PartitionRow(PARTITION, owner, self.version, START, self.version)
        self.event(PartitionsChanged((row,)))

    def reach(self, *peers):
        self.event(ReachabilityChanged(frozenset(peers)))

    def submit(self, request="r1", wait=True, **changes):
        submission = SUBMISSION._replace(**changes)
        return self.event(entry.CallerArrived(request, submission, wait))

    def answer(self, answer=DONE, request="r1", sender="h1", key=KEY):
        return self.event(Received(sender, JobAnswer(request, key, answer)))

    def sent(self):
        return [(e.to, e.message) for e in self.last if isinstance(e, Send)]

    def delivered(self):
        return [(e.request, e.answer) for e in self.last if isinstance(e, Deliver)]

    def delivered_kind(self):
        [(_, answer)] = self.delivered()
        return answer.kind, answer.work

    def counted(self):
        return [e.what for e in self.last if isinstance(e, Count)]


def refused(kind):
    return Answer(kind, Work.UNKNOWN, retry_after=SECOND)
