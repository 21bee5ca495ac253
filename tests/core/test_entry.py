"""What an entry passes on, sends again, answers and refuses."""

from datetime import datetime, timedelta, timezone

import pytest

from gypsumspoke.core import admission, copies, entry
from gypsumspoke.core.data import (
    DEFAULT_POLICY,
    Answer,
    Count,
    Counter,
    Deliver,
    Drain,
    JobAnswer,
    JobKey,
    Local,
    Manifest,
    ManifestChanged,
    Member,
    PartitionRow,
    PartitionsChanged,
    PeerLost,
    QueryJob,
    ReachabilityChanged,
    Received,
    RetryReason,
    Role,
    Send,
    ServicePolicy,
    Submission,
    SubmitJob,
    Task,
    TeamPolicy,
    Tick,
)
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.membership import ViewDoubted
from gypsumspoke.core.partitions import partition_of

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
    """An entry reducer with the effects of each event."""

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


def test_passes_a_job_to_the_home_and_its_answer_back():
    process = Entry()
    process.submit()
    message = SubmitJob("r1", PARTITION, SUBMISSION, True)
    assert process.sent() == [("h1", message)]
    process.answer()
    assert process.delivered() == [("r1", DONE)]


@pytest.mark.parametrize(
    "changes, kind",
    [
        ({"key": JobKey("nobody", "k1")}, ErrorKind.UNKNOWN_TEAM),
        ({"service": "nothing"}, ErrorKind.UNKNOWN_SERVICE),
        ({"deadline": START}, ErrorKind.DEADLINE_IN_PAST),
        ({"birth": START + 2 * SECOND}, ErrorKind.BIRTH_IN_FUTURE),
        ({"birth": START - timedelta(hours=1)}, ErrorKind.KEY_EXPIRED),
        ({"tasks": (Task(b"1"),) * 130, "attempt": 0}, None),
    ],
)
def test_refuses_what_can_not_be_served(changes, kind):
    process = Entry()
    process.submit(**changes)
    if kind is None:
        assert process.sent()
        return
    assert process.delivered_kind()[0] is kind
    assert process.counted() == [kind]
    assert not process.sent()


def test_over_the_quota_a_copy_is_not_passed_on_and_told_when_to_come_back():
    process = Entry()
    tasks = (Task(b"1"),) * 130
    for number in range(4):
        process.submit(f"r{number}", tasks=tasks)
    [(_, answer)] = process.delivered()
    assert (answer.kind, answer.work) == (
        ErrorKind.QUOTA_EXCEEDED,
        Work.NOT_PASSED_ON,
    )
    assert answer.retry_after >= 100 * MILLISECOND


def test_without_a_manifest_it_is_not_ready():
    process = Entry()
    process.state = entry.new_entry(ENTRY, PARTITIONS, seed=1)
    process.submit()
    assert process.delivered_kind()[0] is ErrorKind.ENTRY_NOT_READY


def test_with_a_wrong_clock_it_takes_no_key():
    process = Entry()
    entry.set_clock_off(process.state, True)
    process.submit()
    assert process.delivered_kind()[0] is ErrorKind.CLOCK_OFF


def test_waiting_requests_are_bounded_in_number(monkeypatch):
    monkeypatch.setattr(admission, "WAITING_LIMIT", 2)
    process = Entry()
    for number in range(3):
        process.submit(f"r{number}")
    assert process.delivered_kind()[0] is ErrorKind.ENTRY_OVERLOADED
    process.answer(request="r0")
    process.submit("r3")
    assert process.sent()


def test_waiting_requests_are_bounded_in_bytes(monkeypatch):
    monkeypatch.setattr(admission, "WAITING_BYTES_LIMIT", 10)
    process = Entry()
    process.submit("r0", tasks=(Task(b"0123456789"),))
    process.submit("r1")
    assert process.delivered_kind()[0] is ErrorKind.ENTRY_OVERLOADED
    process.answer(request="r0")
    process.submit("r2")
    assert process.sent()


def test_a_lost_home_gets_the_same_copy_again_when_it_is_back():
    """The connection to the home breaks while the caller waits.

    The answer that was under way is lost. When the home can be reached again it gets
    the unchanged copy and attaches it to the job, so the caller sees one answer.
    """
    process = Entry()
    process.submit()
    [(_, first)] = process.sent()
    process.event(PeerLost("h1"))
    assert not process.sent()
    process.reach("h1", "h2")
    assert process.sent() == [("h1", first)]
    assert process.counted() == [RetryReason.CONNECTION_LOST]
    process.answer()
    assert process.delivered() == [("r1", DONE)]


def test_a_partition_that_moves_takes_its_waiting_copies_along():
    process = Entry()
    process.submit(attempt=4)
    [(_, first)] = process.sent()
    process.own("h2")
    assert process.sent() == [("h2", first)]
    assert process.counted() == [RetryReason.HOME_MOVED]


def test_a_home_that_stops_answering_heartbeats_counts_as_silent():
    process = Entry()
    process.submit()
    process.reach("h2")
    process.own("h2")
    assert [to for to, _ in process.sent()] == ["h2"]


def test_a_home_that_is_not_the_owner_makes_it_read_the_map_and_try_again():
    process = Entry()
    process.submit()
    process.answer(refused(ErrorKind.NOT_OWNER))
    assert Local(ViewDoubted()) in process.last
    assert not process.delivered()
    process.event(Tick(), after=SECOND)
    assert [to for to, _ in process.sent()] == ["h1"]
    assert RetryReason.HOME_MOVED in process.counted()


def test_a_copy_sent_again_during_a_takeover_is_counted_as_that():
    process = Entry()
    process.submit()
    process.answer(refused(ErrorKind.TAKEOVER_IN_PROGRESS))
    process.event(Tick(), after=SECOND)
    assert [to for to, _ in process.sent()] == ["h1"]
    assert process.counted() == [RetryReason.TAKEOVER_IN_PROGRESS]


def test_a_takeover_that_takes_too_long_gives_unknown():
    process = Entry()
    process.submit()
    for _ in range(30):
        process.answer(refused(ErrorKind.TAKEOVER_IN_PROGRESS))
        if process.delivered():
            break
        process.event(Tick(), after=100 * MILLISECOND)
    kind = process.delivered_kind()
    assert kind == (ErrorKind.TAKEOVER_IN_PROGRESS, Work.UNKNOWN)
    assert process.now - START <= copies.TURNED_AWAY_PATIENCE + SECOND


def test_a_copy_that_was_never_sent_is_not_passed_on():
    process = Entry(owner="h9")
    process.submit()
    assert not process.sent()
    process.event(Tick(), after=10 * SECOND)
    assert process.delivered_kind() == (
        ErrorKind.HOME_UNREACHABLE,
        Work.NOT_PASSED_ON,
    )


def test_a_copy_that_was_sent_once_is_unknown():
    process = Entry()
    process.submit()
    process.event(PeerLost("h1"))
    process.event(Tick(), after=10 * SECOND)
    assert process.delivered_kind() == (ErrorKind.HOME_SILENT, Work.UNKNOWN)
    [(_, answer)] = process.delivered()
    assert answer.retry_after is not None


def test_a_silent_home_is_given_up_at_the_deadline():
    process = Entry()
    process.submit(deadline=START + SECOND)
    process.event(Tick(), after=SECOND)
    assert not process.delivered()
    process.event(Tick(), after=copies.DEADLINE_GRACE)
    assert process.delivered_kind() == (ErrorKind.HOME_SILENT, Work.UNKNOWN)


def test_late_and_crossed_answers_are_dropped():
    process = Entry()
    process.submit()
    process.answer(key=JobKey("pots", "other"))
    assert process.counted() == [Counter.LATE_ANSWER_DROPPED]
    process.answer()
    process.answer()
    assert not process.delivered()
    assert process.counted() == [Counter.LATE_ANSWER_DROPPED]


def test_a_former_home_may_only_bring_a_complete_answer():
    """The partition moves while the caller waits, then the former home answers.

    A refusal of the former home is stale: the next home has the copy already. A
    complete answer is true whoever brings it.
    """
    process = Entry()
    process.submit()
    process.own("h2")
    process.answer(refused(ErrorKind.NOT_OWNER), sender="h1")
    assert process.counted() == [Counter.LATE_ANSWER_DROPPED]
    process.answer(DONE, sender="h1")
    assert process.delivered() == [("r1", DONE)]


def test_two_callers_of_one_key_get_an_answer_each():
    process = Entry()
    process.submit("r1")
    process.submit("r2")
    process.answer(request="r2")
    assert process.delivered() == [("r2", DONE)]
    process.answer(request="r1")
    assert process.delivered() == [("r1", DONE)]


def test_a_caller_that_leaves_does_not_cancel():
    process = Entry(owner="h9")
    process.submit()
    process.event(entry.CallerLeft("r1"))
    process.own("h1")
    assert len(process.sent()) == 1
    process.answer()
    assert not process.delivered()
    assert entry.waiting_count(process.state) == 0


def test_a_query_goes_to_the_home():
    process = Entry()
    process.event(entry.QueryArrived("r1", KEY))
    assert process.sent() == [("h1", QueryJob("r1", PARTITION, KEY))]
    running = Answer(ErrorKind.JOB_RUNNING, Work.RUNNING, retry_after=SECOND)
    process.answer(running)
    assert process.delivered() == [("r1", running)]


def test_a_draining_entry_refuses_new_and_finishes_waiting_requests():
    process = Entry()
    process.submit()
    process.event(Drain())
    process.submit("r2")
    assert process.delivered_kind() == (
        ErrorKind.ENTRY_DRAINING,
        Work.NOT_PASSED_ON,
    )
    process.answer()
    assert process.delivered() == [("r1", DONE)]
    assert entry.waiting_count(process.state) == 0
