"""What a process takes from the table, and what it ignores."""

from gypsumspoke.core import membership
from gypsumspoke.core.effects import ApplyManifest
from gypsumspoke.core.events import Drain, MembersChanged, Received
from gypsumspoke.core.messages import ManifestRequest, ManifestUpdate
from gypsumspoke.core.rows import member_value
from gypsumspoke.core.values import Row
from tests.core.membership_process import SECOND, START, Process, heartbeat, sidecar


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


def test_a_bad_member_row_hides_no_other():
    process = Process(sidecar("w1"), (Row("members/x", 1, "{"),)).joined()
    assert len(process.local(MembersChanged)[-1].members) == 1
