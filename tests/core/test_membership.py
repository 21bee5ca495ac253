"""Registration, the view of members and partitions, manifests and clocks."""

from datetime import datetime, timedelta, timezone

import pytest
from returns.result import Failure, Success

from gypsumspoke.core import heartbeats, membership, registration
from gypsumspoke.core.data import (
    DEFAULT_POLICY,
    TICK,
    ApplyManifest,
    Drain,
    Heartbeat,
    Local,
    Manifest,
    ManifestRequest,
    ManifestUpdate,
    Member,
    MembersChanged,
    PartitionsChanged,
    PeerConnected,
    PeerLost,
    ReachabilityChanged,
    ReadRows,
    Received,
    Role,
    Row,
    RowsRead,
    RowsWritten,
    Send,
    Tick,
    WriteOutcome,
    WriteRows,
)
from gypsumspoke.core.rows import member_from_row, member_key, member_value

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
    """A membership reducer with a small table that answers when told to."""

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


def test_registers_first_and_reads_the_map_second():
    process = Process(sidecar("w1"))
    process.tick()
    process.settle()
    table = [e for e in process.effects if isinstance(e, (ReadRows, WriteRows))]
    prefixes = [getattr(effect, "prefix", "write") for effect in table]
    assert prefixes == ["members/", "write", "members/", "manifest", "partitions/"]


def test_ends_the_earlier_incarnation_of_its_worker_only():
    old, other = sidecar("w1"), sidecar("w2")
    process = Process(sidecar("w1", 2), (row_of(old, 1), row_of(other, 2))).joined()
    rows = {k: member_from_row(row) for k, row in process.rows.items()}
    assert rows["members/w1-1"].ended is not None
    assert rows["members/w2-1"].ended is None
    assert rows["members/w1-2"].ended is None


def test_a_registration_whose_answer_is_lost_is_found_by_reading_back():
    """The write takes effect but its answer is lost; writing again would conflict.

    The process reads its own row back and goes on as registered, without a second
    incarnation and without giving up.
    """
    process = Process(sidecar("w1"))
    process.tick()
    process.answer()
    process.answer(lose=True)
    assert not membership.is_registered(process.state)
    process.tick(5 * SECOND)
    process.settle()
    assert membership.is_registered(process.state)
    assert [m.incarnation for m in membership.members(process.state)] == ["w1-1"]


def test_a_lost_write_that_never_happened_is_made_again():
    process = Process(sidecar("w1"))
    process.tick()
    process.answer()
    process.answer(down=True)
    process.tick(5 * SECOND)
    process.settle()
    assert membership.is_registered(process.state)


def test_keeps_trying_ever_more_slowly_while_the_table_is_down():
    process = Process(sidecar("w1"))
    reads = 0
    for _ in range(600):
        process.tick()
        while process.asked:
            process.answer(down=True)
            reads += 1
    assert 6 <= reads <= 20
    process.tick(10 * SECOND)
    process.settle()
    assert membership.is_registered(process.state)


def test_an_answer_that_never_comes_is_given_up():
    process = Process(sidecar("w1"))
    process.tick()
    process.asked.clear()
    process.tick(registration.TABLE_ANSWER_WITHIN + SECOND)
    process.tick(10 * SECOND)
    process.settle()
    assert membership.is_registered(process.state)


def test_serves_from_the_last_view_while_the_table_is_down():
    process = Process(sidecar("w1"), (row_of(sidecar("w2"), 1),)).joined()
    process.tick(SECOND)
    process.event(heartbeat("w2-1", members_version=99))
    process.answer(down=True)
    assert membership.is_registered(process.state)
    assert len(membership.members(process.state)) == 2


def test_a_peer_that_knows_more_makes_it_read():
    process = Process(sidecar("w1"), (row_of(sidecar("w2"), 1),)).joined()
    process.tick()
    process.put(
        "partitions/00003",
        '{"owner": "w2-1", "epoch": 1, "since": "2026-01-01T00:00:00+00:00"}',
    )
    process.tick(SECOND)
    process.event(heartbeat("w2-1", partitions_version=process.revision))
    process.settle()
    assert membership.partition_rows(process.state)[3].owner == "w2-1"
    assert process.local(PartitionsChanged)[-1].rows[0].partition == 3


def test_many_peers_that_know_more_cause_one_read():
    process = Process(sidecar("w1")).joined()
    process.tick(SECOND)
    for number in range(10):
        process.event(heartbeat(f"x{number}", members_version=99))
    assert len(process.asked) == 1


def test_a_sidecar_does_not_read_unprompted_and_an_entry_does():
    for role, expected in ((Role.SIDECAR, 0), (Role.ENTRY, 3)):
        process = Process(sidecar("w1", role=role)).joined()
        process.effects.clear()
        process.tick(5 * SECOND)
        reads = [e for e in process.effects if isinstance(e, ReadRows)]
        assert len(reads) == expected


def test_a_manifest_never_falls():
    process = Process(sidecar("w1")).joined()
    process.event(Received("w2-1", ManifestUpdate(7, "seven")))
    process.event(Received("w2-1", ManifestUpdate(5, "five")))
    applied = [e for e in process.effects if isinstance(e, ApplyManifest)]
    assert [e.version for e in applied] == [7]


def test_an_invalid_manifest_is_ignored_and_not_asked_for_again():
    process = Process(sidecar("w1")).joined()
    process.event(Received("w2-1", ManifestUpdate(7, "bad")))
    process.event(heartbeat("w2-1", manifest_version=7))
    assert membership.manifest(process.state) is None
    assert not process.sent(ManifestRequest)


def test_asks_the_peer_that_has_a_newer_manifest_and_hands_it_on():
    process = Process(sidecar("w1")).joined()
    process.event(heartbeat("w2-1", manifest_version=7))
    assert process.sent(ManifestRequest) == [ManifestRequest(0)]
    process.event(Received("w2-1", ManifestUpdate(7, "seven")))
    process.event(Received("w3-1", ManifestRequest(6)))
    assert process.sent(ManifestUpdate) == [ManifestUpdate(7, "seven")]


def test_a_question_is_answered_and_an_answer_is_not():
    process = Process(sidecar("w1")).joined()
    process.event(heartbeat("w2-1", answer=False))
    assert [message.answer for message in process.sent(Heartbeat)] == [True]
    process.event(heartbeat("w2-1", answer=True))
    assert len(process.sent(Heartbeat)) == 1


def test_a_peer_that_stops_answering_becomes_unreachable():
    process = Process(sidecar("w1"), (row_of(sidecar("w2"), 1),)).joined()
    process.event(PeerConnected("w2-1"))
    assert process.local(ReachabilityChanged)[-1].reachable == {"w2-1"}
    for _ in range(45):
        process.tick()
    assert process.local(ReachabilityChanged)[-1].reachable == frozenset()


def test_a_lost_connection_makes_unreachable_at_once():
    process = Process(sidecar("w1"), (row_of(sidecar("w2"), 1),)).joined()
    process.event(PeerConnected("w2-1"))
    process.event(PeerLost("w2-1"))
    assert process.local(ReachabilityChanged)[-1].reachable == frozenset()


def test_its_own_pause_makes_nobody_unreachable():
    """A process paused for a minute wakes with its peers' answers still unread.

    Judged by the questions asked before the pause all peers would look silent at
    once, and it would try to take over their partitions.
    """
    process = Process(sidecar("w1"), (row_of(sidecar("w2"), 1),)).joined()
    process.tick()
    process.event(PeerConnected("w2-1"))
    process.tick(60 * SECOND)
    assert membership.reachable(process.state) == {"w2-1"}


def test_more_peers_than_the_limit_get_a_bounded_number_of_heartbeats():
    rows = tuple(row_of(sidecar(f"w{n:03d}"), n) for n in range(2, 102))
    process = Process(sidecar("w001"), rows).joined()
    process.effects.clear()
    process.tick(SECOND)
    targets = {e.to for e in process.effects if isinstance(e, Send)}
    assert len(targets) == heartbeats.RING_PEERS + heartbeats.RANDOM_PEERS
    assert {"w002-1", "w003-1", "w004-1", "w005-1"} <= targets


def answer_from(process, peer, offset):
    process.event(heartbeat(peer, clock=process.now + offset))


@pytest.mark.parametrize("wrong, off", [(0, False), (1, False), (2, True)])
def test_a_clock_is_off_when_most_peers_contradict_it(wrong, off):
    peers = ["w2", "w3"]
    rows = tuple(row_of(sidecar(w), n + 1) for n, w in enumerate(peers))
    process = Process(sidecar("w1"), rows).joined()
    process.tick()
    for number, peer in enumerate(peers):
        offset = 10 * SECOND if number < wrong else SECOND / 10
        answer_from(process, f"{peer}-1", offset)
    assert membership.clock_is_off(process.state) is off


def test_a_slow_answer_does_not_accuse_the_clock():
    rows = (row_of(sidecar("w2"), 1), row_of(sidecar("w3"), 2))
    process = Process(sidecar("w1"), rows).joined()
    process.tick()
    sent = process.now
    process.now += 2 * SECOND
    for peer in ("w2-1", "w3-1"):
        process.event(heartbeat(peer, clock=sent))
    assert not membership.clock_is_off(process.state)


def test_an_incarnation_that_others_ended_takes_nothing_new():
    """An operator declares a paused worker gone; others stop waiting for its answers.

    When it wakes and reads its own row as ended it drains: work started there from
    now on would be unknown to the next home and could start twice.
    """
    process = Process(sidecar("w1")).joined()
    process.put("members/w1-1", member_value(sidecar("w1", ended=START)))
    process.tick(SECOND)
    process.event(heartbeat("w2-1", members_version=process.revision))
    process.settle()
    assert membership.was_ended(process.state)
    assert not membership.is_registered(process.state)
    assert process.local(Drain)


def test_an_operators_drain_reaches_it_through_its_row():
    process = Process(sidecar("w1")).joined()
    process.put("members/w1-1", member_value(sidecar("w1", draining=True)))
    process.tick(SECOND)
    process.event(heartbeat("w2-1", members_version=process.revision))
    process.settle()
    assert len(process.local(Drain)) == 1
    assert membership.is_registered(process.state)


def test_a_clean_leave_ends_its_row():
    process = Process(sidecar("w1")).joined()
    process.event(membership.Leave())
    assert not membership.has_left(process.state)
    process.settle()
    assert membership.has_left(process.state)
    assert member_from_row(process.rows["members/w1-1"]).ended is not None


def test_a_leave_does_not_wait_for_a_table_that_is_down():
    process = Process(sidecar("w1")).joined()
    process.event(membership.Leave())
    process.answer(down=True)
    process.tick(registration.LEAVE_WITHIN + SECOND)
    assert membership.has_left(process.state)


def test_rows_that_ended_long_ago_are_deleted_one_at_a_time():
    long_ago = START - timedelta(hours=1)
    old = [sidecar(f"o{n}", ended=long_ago) for n in range(3)]
    recent = sidecar("r", ended=START)
    rows = tuple(row_of(m, n + 1) for n, m in enumerate([*old, recent]))
    process = Process(sidecar("w1"), rows).joined()
    process.effects.clear()
    for _ in range(105):
        process.tick()
    writes = [e for e in process.effects if isinstance(e, WriteRows)]
    assert len(writes) == 1
    [(key, value)] = writes[0].writes
    assert key.startswith("members/o") and value is None


def test_a_bad_member_row_hides_no_other():
    process = Process(sidecar("w1"), (Row("members/x", 1, "{"),)).joined()
    assert len(process.local(MembersChanged)[-1].members) == 1
