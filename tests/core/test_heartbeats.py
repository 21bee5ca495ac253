"""Heartbeats: reachability, newer versions at peers and clock skew."""

import pytest

from gypsumspoke.core import heartbeats, membership
from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import (
    PartitionsChanged,
    PeerConnected,
    PeerLost,
    ReachabilityChanged,
    Received,
)
from gypsumspoke.core.messages import Heartbeat, ManifestRequest, ManifestUpdate
from tests.core.membership_process import SECOND, Process, heartbeat, row_of, sidecar


def test_a_newer_version_at_a_peer_causes_a_read():
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


def test_a_newer_manifest_is_fetched_from_a_peer_and_passed_on():
    process = Process(sidecar("w1")).joined()
    process.event(heartbeat("w2-1", manifest_version=7))
    assert process.sent(ManifestRequest) == [ManifestRequest(0)]
    process.event(Received("w2-1", ManifestUpdate(7, "seven")))
    process.event(Received("w3-1", ManifestRequest(6)))
    assert process.sent(ManifestUpdate) == [ManifestUpdate(7, "seven")]


def test_heartbeats_are_answered_but_answers_are_not():
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


def test_a_pause_of_this_process_makes_no_peer_unreachable():
    """After a pause the peers' answers are still unread.

    If they counted as unanswered, the process would try to take over all partitions.
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


def test_a_slow_answer_is_no_clock_disagreement():
    rows = (row_of(sidecar("w2"), 1), row_of(sidecar("w3"), 2))
    process = Process(sidecar("w1"), rows).joined()
    process.tick()
    sent = process.now
    process.now += 2 * SECOND
    for peer in ("w2-1", "w3-1"):
        process.event(heartbeat(peer, clock=sent))
    assert not membership.clock_is_off(process.state)
