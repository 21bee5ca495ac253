"""Tests of framing on a byte stream."""

from hypothesis import given, settings, strategies as st
from returns.pipeline import is_successful

from gypsumspoke.wire.frames import (
    HEARTBEAT_FRAME,
    MAX_FIRST_FRAME_BYTES,
    MAX_FRAME_BYTES,
    FrameReader,
    frame,
)

PAYLOADS = st.lists(st.binary(min_size=1, max_size=30), max_size=8)


@settings(derandomize=True, deadline=None)
@given(PAYLOADS, st.lists(st.integers(min_value=1, max_value=9), min_size=1))
def test_payloads_survive_any_cut_of_the_stream(payloads, cuts):
    stream = HEARTBEAT_FRAME.join(frame(payload).unwrap() for payload in payloads)
    reader = FrameReader()
    received = []
    position = 0
    while position < len(stream):
        size = cuts[position % len(cuts)]
        received += reader.feed(stream[position : position + size]).unwrap()
        position += size
    assert received == payloads
    assert not reader.incomplete


def test_a_cut_frame_is_incomplete():
    reader = FrameReader()
    assert reader.feed(frame(b"abc").unwrap()[:-1]).unwrap() == []
    assert reader.incomplete


def test_an_oversized_frame_fails_before_its_body_arrives():
    length = (MAX_FRAME_BYTES + 1).to_bytes(4, "big")
    assert not is_successful(FrameReader().feed(length))


def test_an_oversized_payload_is_not_framed():
    assert is_successful(frame(bytes(MAX_FRAME_BYTES)))
    assert not is_successful(frame(bytes(MAX_FRAME_BYTES + 1)))


def test_a_large_first_frame_fails_before_its_body_arrives():
    """Anybody may connect; only a peer that has said hello may send large frames."""
    length = (MAX_FIRST_FRAME_BYTES + 1).to_bytes(4, "big")
    assert not is_successful(FrameReader().feed(HEARTBEAT_FRAME + length))


def test_a_large_frame_may_come_right_behind_the_first():
    large = bytes(MAX_FIRST_FRAME_BYTES + 1)
    stream = frame(b"hello").unwrap() + frame(large).unwrap()
    assert FrameReader().feed(stream).unwrap() == [b"hello", large]
