"""Tests of the entry process: joining, serving and stopping."""

from datetime import timedelta

from returns.result import Success

from gypsumspoke.core import entry_role
from gypsumspoke.core.effects import Deliver, Exit, ReadRows, Send, WriteRows
from gypsumspoke.core.entry import CallerArrived
from gypsumspoke.core.events import (
    Drain,
    PeerConnected,
    Received,
    RowsRead,
    RowsWritten,
    Tick,
    WriteOutcome,
)
from gypsumspoke.core.messages import JobAnswer, SubmitJob
from gypsumspoke.core.rows import partition_key, partition_value
from gypsumspoke.core.values import Row
from tests.core.entry_reducer import (
    DONE,
    ENTRY,
    KEY,
    MANIFEST,
    PARTITION,
    PARTITIONS,
    START,
    SUBMISSION,
)

SECOND = timedelta(seconds=1)
DRAIN_TIMEOUT = 20 * SECOND


class Process:
    """An entry process with a table that answers at once."""

    def __init__(self):
        self.state = entry_role.new_entry_role(
            ENTRY, PARTITIONS, 1, lambda text: Success(MANIFEST), DRAIN_TIMEOUT
        )
        self.now = START
        self.revision = 2
        owner = partition_value("h1", 1, START)
        self.rows = {
            "manifest": Row("manifest", 1, "{}"),
            partition_key(PARTITION): Row(partition_key(PARTITION), 2, owner),
        }

    def event(self, event, after=timedelta(0)):
        self.now += after
        effects = entry_role.reduce(self.state, event, self.now)
        for effect in list(effects):
            if isinstance(effect, ReadRows):
                rows = [r for k, r in self.rows.items() if k.startswith(effect.prefix)]
                effects += self.event(RowsRead(effect.request, tuple(rows)))
            if isinstance(effect, WriteRows):
                self.revision += 1
                for key, value in effect.writes:
                    self.rows[key] = Row(key, self.revision, value)
                written = RowsWritten(
                    effect.request, WriteOutcome.COMMITTED, self.revision
                )
                effects += self.event(written)
        return effects

    def joined(self):
        self.event(Tick())
        self.event(PeerConnected("h1"))
        return self


def of(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def test_is_ready_once_registered_and_configured():
    process = Process()
    assert not entry_role.is_ready(process.state)
    process.joined()
    assert entry_role.is_ready(process.state)


def test_a_stop_answers_the_waiting_caller_before_it_exits():
    """A graceful stop must not drop a request that waits for its answer."""
    process = Process().joined()
    effects = process.event(CallerArrived("r1", SUBMISSION))
    assert isinstance(of(effects, Send)[-1].message, SubmitJob)
    process.event(Drain())
    assert not entry_role.is_ready(process.state)
    effects = process.event(Tick(), after=5 * SECOND)
    assert not of(effects, Exit)
    effects = process.event(Received("h1", JobAnswer("r1", KEY, DONE)))
    assert of(effects, Deliver) == [Deliver("r1", DONE)]
    assert of(effects, Exit) == [Exit()]
    assert '"ended": "2026' in process.rows["members/e-1"].value


def test_the_port_stays_open_until_the_balancer_has_noticed():
    process = Process().joined()
    assert not of(process.event(Drain()), Exit)
    assert not of(process.event(Tick(), after=SECOND / 2), Exit)
    assert of(process.event(Tick(), after=SECOND), Exit)
    assert not of(process.event(Tick(), after=SECOND), Exit)


def test_a_stop_is_bounded():
    process = Process().joined()
    process.event(CallerArrived("r1", SUBMISSION))
    process.event(Drain())
    effects = process.event(Tick(), after=DRAIN_TIMEOUT)
    assert len(of(effects, Deliver)) == 1
    assert of(effects, Exit)
