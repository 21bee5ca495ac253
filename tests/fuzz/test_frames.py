"""Fuzz tests of frames: mutated messages, and streams split anywhere."""

import typing

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from returns.pipeline import is_successful

from gypsumspoke.wire.codec import WireMessage, decode, encode
from gypsumspoke.wire.frames import MAX_FRAME_BYTES, FrameReader, frame
from tests.wire.strategies import values_of

KINDS = typing.get_args(WireMessage)
POSITIONS = st.integers(0, 1_000_000)

_flips = st.tuples(st.just("flip"), POSITIONS, st.binary(min_size=1, max_size=1))
_inserts = st.tuples(st.just("insert"), POSITIONS, st.binary(min_size=1, max_size=6))
_cuts = st.tuples(st.just("cut"), POSITIONS, st.just(b""))
MUTATIONS = st.lists(_flips | _inserts | _cuts, min_size=1, max_size=4)


def mutated(payload, mutations):
    """Return the payload with bytes flipped, inserted or cut off."""
    for action, position, data in mutations:
        at = position % (len(payload) + 1)
        rest = payload[at:]
        if action == "flip":
            rest = data + rest[1:]
        elif action == "insert":
            rest = data + rest
        else:
            rest = b""
        payload = payload[:at] + rest
    return payload


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_a_mutated_message_decodes_to_an_error_or_a_valid_message(kind):
    @settings(suppress_health_check=[HealthCheck.too_slow])
    @given(values_of(kind), MUTATIONS)
    def decodes(message, mutations):
        result = decode(mutated(encode(message), mutations))
        if is_successful(result):
            # A field of the wrong type would raise in a reducer.
            again = result.unwrap()
            assert type(again) in KINDS
            assert repr(decode(encode(again)).unwrap()) == repr(again)

    decodes()


@given(st.lists(st.binary(max_size=40), max_size=5), st.lists(POSITIONS, max_size=8))
def test_a_stream_split_anywhere_gives_the_same_payloads(payloads, cuts):
    stream = b"".join(frame(payload).unwrap() for payload in payloads)
    bounds = sorted({0, len(stream), *(cut % (len(stream) + 1) for cut in cuts)})
    reader = FrameReader()
    read = []
    for start, end in zip(bounds, bounds[1:]):
        read += reader.feed(stream[start:end]).unwrap()
    assert read == [payload for payload in payloads if payload]
    assert not reader.incomplete


@given(st.lists(st.binary(max_size=40), max_size=20))
def test_a_random_stream_gives_an_error_or_bounded_payloads(chunks):
    reader = FrameReader()
    for chunk in chunks:
        result = reader.feed(chunk)
        if not is_successful(result):
            return
        assert all(0 < len(payload) <= MAX_FRAME_BYTES for payload in result.unwrap())
