"""Applying and rejecting rows of the table and manifests of peers."""

from gypsumspoke.core import membership
from gypsumspoke.core.effects import ApplyManifest
from gypsumspoke.core.events import Drain, MembersChanged, Received
from gypsumspoke.core.messages import ManifestRequest, ManifestUpdate
from gypsumspoke.core.rows import member_value
from gypsumspoke.core.values import Row
from tests.core.membership_process import SECOND, START, Process, heartbeat, sidecar


def test_an_older_manifest_is_ignored():
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


def test_an_incarnation_that_others_ended_drains():
    """Guards against second starts by a paused process whose registration was ended.

    New homes don't fence it, so they would not know of tasks that it still starts.
    """
    process = Process(sidecar("w1")).joined()
    process.put("members/w1-1", member_value(sidecar("w1", ended=START)))
    process.tick(SECOND)
    process.event(heartbeat("w2-1", members_version=process.revision))
    process.settle()
    assert membership.was_ended(process.state)
    assert not membership.is_registered(process.state)
    assert process.local(Drain)


def test_a_drain_request_in_the_own_row_is_followed():
    process = Process(sidecar("w1")).joined()
    process.put("members/w1-1", member_value(sidecar("w1", draining=True)))
    process.tick(SECOND)
    process.event(heartbeat("w2-1", members_version=process.revision))
    process.settle()
    assert len(process.local(Drain)) == 1
    assert membership.is_registered(process.state)


def test_an_invalid_member_row_is_skipped():
    process = Process(sidecar("w1"), (Row("members/x", 1, "{"),)).joined()
    assert len(process.local(MembersChanged)[-1].members) == 1
