"""Tests of message encoding and decoding."""

import typing
from datetime import datetime, timedelta, timezone
from enum import Enum

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from returns.pipeline import is_successful
from thrift.protocol import fastbinary
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from gypsumspoke.core.messages import Message, QueryJob
from gypsumspoke.core.values import JobKey
from gypsumspoke.runs.messages import ReportAck, RunMessage
from gypsumspoke.wire.codec import WireMessage, decode, encode
from gypsumspoke.wire.generated import ttypes
from gypsumspoke.wire.hello import Hello
from tests.wire.strategies import values_of

EPOCH = datetime(1970, 1, 1, tzinfo=timezone.utc)
KINDS = typing.get_args(WireMessage)
FEW_EXAMPLES = settings(
    derandomize=True,
    max_examples=30,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
JOB_KEY = ttypes.JobKey("orchards", "invoice-7")
QUERY = QueryJob("r1", 3, JobKey("orchards", "invoice-7"))


def test_every_message_type_can_be_sent():
    messages = set(typing.get_args(Message)) | set(typing.get_args(RunMessage))
    assert messages | {Hello} == set(KINDS)


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_decoding_restores_the_message(kind):
    @FEW_EXAMPLES
    @given(values_of(kind))
    def roundtrip(message):
        decoded = decode(encode(message)).unwrap()
        assert decoded == message
        assert type(decoded) is kind

    roundtrip()


def test_the_c_extension_is_used():
    buffer = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(buffer, fallback=False)
    assert protocol._fast_encode is fastbinary.encode_compact
    assert protocol._fast_decode is fastbinary.decode_compact
    ttypes.Message(query_job=ttypes.QueryJob("r1", 3, JOB_KEY)).write(protocol)
    assert encode(QUERY) == buffer.getvalue()


def struct_of(value):
    """Return the generated struct, or the plain value, of a part of a message."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, datetime):
        return (value - EPOCH) // timedelta(microseconds=1)
    if isinstance(value, timedelta):
        return value // timedelta(microseconds=1)
    if not isinstance(value, tuple):
        return value
    if not hasattr(value, "_fields"):
        return [struct_of(item) for item in value]
    return getattr(ttypes, type(value).__name__)(*map(struct_of, value))


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_the_bytes_are_those_of_the_generated_structs(kind):
    """Processes of earlier versions read and write the generated structs."""
    (member,) = (
        entry[2]
        for entry in ttypes.Message.thrift_spec
        if entry and entry[3][0].__name__ == kind.__name__
    )

    @FEW_EXAMPLES
    @given(values_of(kind))
    def compare(message):
        union = ttypes.Message(**{member: struct_of(message)})
        buffer = TMemoryBuffer()
        union.write(TCompactProtocolAccelerated(buffer, fallback=False))
        assert encode(message) == buffer.getvalue()

    compare()


def test_a_field_with_a_default_may_be_absent():
    """A process of an earlier version doesn't send it."""
    union = ttypes.Message(report_ack=ttypes.ReportAck(heard=5))
    buffer = TMemoryBuffer()
    union.write(TCompactProtocolAccelerated(buffer, fallback=False))
    ack = decode(buffer.getvalue()).unwrap()
    assert ack == ReportAck(timedelta(microseconds=5), sidecars=0)


@FEW_EXAMPLES
@given(st.integers(min_value=0))
def test_a_truncated_message_is_an_error_value(cut):
    payload = encode(QUERY)
    assert not is_successful(decode(payload[: cut % len(payload)]))


@settings(FEW_EXAMPLES, max_examples=500)
@given(st.binary(max_size=200))
def test_garbage_is_an_error_value_or_a_message(garbage):
    result = decode(garbage)
    assert not is_successful(result) or type(result.unwrap()) in KINDS


@settings(FEW_EXAMPLES, max_examples=500)
@given(st.integers(min_value=0), st.integers(min_value=0, max_value=255))
def test_a_flipped_byte_is_an_error_value_or_a_message(position, byte):
    payload = bytearray(encode(QUERY))
    payload[position % len(payload)] = byte
    result = decode(bytes(payload))
    assert not is_successful(result) or type(result.unwrap()) in KINDS


def test_deep_nesting_is_an_error_value():
    """Nested unknown structs must not overflow the decoder's C stack."""
    nested_struct = b"\xfc" + b"\x1c" * 1_000_000
    assert not is_successful(decode(nested_struct))


def test_a_huge_declared_length_is_an_error_value():
    union = ttypes.Message(team_usage=ttypes.TeamUsage("i", 1, []))
    buffer = TMemoryBuffer()
    union.write(TCompactProtocolAccelerated(buffer, fallback=False))
    payload = buffer.getvalue()
    empty_list = b"\x19\x0c"
    assert empty_list in payload
    huge_list = b"\x19\xfc" + b"\xff\xff\xff\xff\x07"
    assert not is_successful(decode(payload.replace(empty_list, huge_list)))


@pytest.mark.parametrize(
    "union",
    [
        ttypes.Message(),
        ttypes.Message(query_job=ttypes.QueryJob(request="r")),
        ttypes.Message(
            manifest_request=ttypes.ManifestRequest(1),
            handoff_ack=ttypes.HandoffAck(1, 1, True),
        ),
    ],
    ids=["none", "field absent", "two"],
)
def test_an_incomplete_union_is_an_error_value(union):
    buffer = TMemoryBuffer()
    union.write(TCompactProtocolAccelerated(buffer, fallback=False))
    assert not is_successful(decode(buffer.getvalue()))
