"""Test fixture: one process's membership reducer with an in-memory table."""

from datetime import datetime, timedelta, timezone

from returns.result import Failure, Success

from gypsumspoke.core import membership
from gypsumspoke.core.effects import Local, ReadRows, Send, WriteRows
from gypsumspoke.core.events import (
    TICK,
    Received,
    RowsRead,
    RowsWritten,
    Tick,
    WriteOutcome,
)
from gypsumspoke.core.messages import Heartbeat
from gypsumspoke.core.policy import DEFAULT_POLICY, Manifest
from gypsumspoke.core.rows import member_key, member_value
from gypsumspoke.core.values import Member, Role, Row

START = datetime(2026, 1, 1, tzinfo=timezone.utc)
SECOND = timedelta(seconds=1)
MANIFEST = Manifest((), (), DEFAULT_POLICY)


def parse(text):
    return Failure(("bad",)) if text == "bad" else Success(MANIFEST)


def sidecar(worker, number=1, **changes):
    member = Member(
        incarnation=f"{worker}-{number}",
        worker=worker,
        role=Role.SIDECAR,
        host="127.0.0.1",
        port=1000 + number,
        failure_domain="a",
        rack="r",
        service="estimate",
        slots=8,
        registered=START,
        ended=None,
        admin_port=1,
    )
    return member._replace(**changes)


class Process:
    """Runs a membership reducer; the test decides when the table answers."""

    def __init__(self, member, rows=()):
        self.member = member
        self.state = membership.new_membership(member, 8, 1, parse)
        self.rows = {row.key: row for row in rows}
        self.revision = max([row.version for row in rows], default=0)
        self.now = START
        self.asked = []
        self.effects = []

    def event(self, event):
        effects = membership.reduce(self.state, event, self.now)
        self.asked += [e for e in effects if isinstance(e, (ReadRows, WriteRows))]
        self.effects += effects
        return effects

    def tick(self, step=TICK):
        self.now += step
        return self.event(Tick())

    def put(self, key, value):
        self.revision += 1
        self.rows[key] = Row(key, self.revision, value)

    def commit(self, write):
        versions = {key: row.version for key, row in self.rows.items()}
        if any(versions.get(key, 0) != version for key, version in write.checks):
            return WriteOutcome.CONFLICT
        self.revision += 1
        for key, value in write.writes:
            self.rows[key] = Row(key, self.revision, value)
        return WriteOutcome.COMMITTED

    def answer(self, lose=False, down=False):
        request = self.asked.pop(0)
        if isinstance(request, ReadRows):
            found = [r for k, r in self.rows.items() if k.startswith(request.prefix)]
            rows = None if down else tuple(found)
            return self.event(RowsRead(request.request, rows))
        outcome = WriteOutcome.LOST if down else self.commit(request)
        shown = WriteOutcome.LOST if lose else outcome
        return self.event(RowsWritten(request.request, shown, self.revision))

    def settle(self):
        while self.asked:
            self.answer()

    def joined(self):
        self.tick()
        self.settle()
        return self

    def sent(self, kind):
        messages = [e.message for e in self.effects if isinstance(e, Send)]
        return [message for message in messages if isinstance(message, kind)]

    def local(self, kind):
        events = [e.event for e in self.effects if isinstance(e, Local)]
        return [event for event in events if isinstance(event, kind)]


def row_of(member, version):
    return Row(member_key(member.incarnation), version, member_value(member))


def heartbeat(peer, **changes):
    message = Heartbeat(peer, START, 0, 0, 0, None, False, True)
    return Received(peer, message._replace(**changes))
