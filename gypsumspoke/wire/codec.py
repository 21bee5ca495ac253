"""Encodes and decodes messages with thrift's compact protocol.

The message tuples of ``core`` and ``runs/messages.py`` don't depend on thrift. Each is
converted to and from the generated struct with the same fields. The converters are
built from the tuples' annotations at import, so a field that the IDL lacks is an error
at import instead of being dropped silently.

Thrift's C extension is required: the pure Python implementation is too slow.
"""

import types
import typing
from collections.abc import Callable
from datetime import datetime, timedelta, timezone
from enum import Enum
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success
from thrift.protocol import fastbinary
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from gypsumspoke.core.messages import Message
from gypsumspoke.runs import messages
from gypsumspoke.wire.generated import ttypes
from gypsumspoke.wire.hello import Hello

WireMessage = Message | messages.RunMessage | Hello

_EPOCH = datetime(1970, 1, 1, tzinfo=timezone.utc)
_MICROSECOND = timedelta(microseconds=1)
_RESERVED_WORDS = {"service": "service_name"}

# The only unnamed tuple type in a message.
_TEAM_RATES = tuple[str, float, float]

_Convert = Callable[[Any], Any]


# A field without a default; another one may be absent, as in messages of processes of
# an earlier version.
_REQUIRED = object()


class InvalidField(ValueError):
    """A field is absent or its value is not valid for its type."""


class _Converter(NamedTuple):
    """Converts values of one annotation; None means no conversion."""

    to_wire: _Convert | None
    from_wire: _Convert | None


class _Field(NamedTuple):
    """One field of a message tuple and the matching struct attribute."""

    wire_name: str
    optional: bool
    converter: _Converter
    default: Any = _REQUIRED


def _time_to_wire(time: datetime) -> int:
    return (time - _EPOCH) // _MICROSECOND


def _time_from_wire(micros: int) -> datetime:
    return _EPOCH + timedelta(microseconds=micros)


def _duration_to_wire(duration: timedelta) -> int:
    return duration // _MICROSECOND


def _duration_from_wire(micros: int) -> timedelta:
    return timedelta(microseconds=micros)


def _team_rates_to_wire(rates: tuple[str, float, float]) -> ttypes.TeamRates:
    return ttypes.TeamRates(*rates)


def _team_rates_from_wire(rates: ttypes.TeamRates) -> tuple[str, float, float]:
    values = (rates.team, rates.offered, rates.admitted)
    if None in values:
        raise InvalidField("TeamRates is incomplete")
    return values


_CONVERTERS: dict[Any, _Converter] = {
    str: _Converter(None, None),
    bytes: _Converter(None, None),
    int: _Converter(None, None),
    float: _Converter(None, None),
    bool: _Converter(None, None),
    datetime: _Converter(_time_to_wire, _time_from_wire),
    timedelta: _Converter(_duration_to_wire, _duration_from_wire),
    _TEAM_RATES: _Converter(_team_rates_to_wire, _team_rates_from_wire),
}


def _enum_converter(enum: type[Enum]) -> _Converter:
    by_value = {member.value: member for member in enum}

    def from_wire(value: str) -> Enum:
        if value not in by_value:
            raise InvalidField(f"{value!r} is not a valid {enum.__name__}")
        return by_value[value]

    return _Converter(lambda member: member.value, from_wire)


def _list_converter(item: _Converter) -> _Converter:
    to_wire, from_wire = item
    return _Converter(
        (
            list
            if to_wire is None
            else lambda items: [to_wire(element) for element in items]
        ),
        (
            tuple
            if from_wire is None
            else lambda items: tuple([from_wire(element) for element in items])
        ),
    )


def _field(name: str, annotation: Any, default: Any) -> _Field:
    optional = typing.get_origin(annotation) in (types.UnionType, typing.Union)
    if optional:
        kinds = typing.get_args(annotation)
        annotation = next(kind for kind in kinds if kind is not types.NoneType)
    wire_name = _RESERVED_WORDS.get(name, name)
    return _Field(
        wire_name, optional, _converter(annotation), None if optional else default
    )


def _struct_converter(kind: type) -> _Converter:
    """Return the converter of a NamedTuple.

    Raises:
      TypeError: the fields of the IDL's struct differ in name or order.
    """
    struct = getattr(ttypes, kind.__name__)
    hints = typing.get_type_hints(kind)
    fields = [
        _field(name, hints[name], kind._field_defaults.get(name, _REQUIRED))
        for name in kind._fields
    ]
    wire_names = [entry[2] for entry in struct.thrift_spec if entry]
    if wire_names != [field.wire_name for field in fields]:
        raise TypeError(f"the IDL's {kind.__name__} has fields {wire_names}")
    writers = [field.converter.to_wire for field in fields]
    readers = [
        (field.wire_name, field.default, field.converter.from_wire) for field in fields
    ]

    def to_wire(value: Any) -> Any:
        return struct(
            *[
                item if write is None or item is None else write(item)
                for write, item in zip(writers, value)
            ]
        )

    def from_wire(value: Any) -> Any:
        items = []
        for name, default, read in readers:
            item = getattr(value, name)
            if item is None:
                item = default
                if item is _REQUIRED:
                    raise InvalidField(f"{kind.__name__}.{name} is absent")
            elif read is not None:
                item = read(item)
            items.append(item)
        return kind(*items)

    return _Converter(to_wire, from_wire)


def _converter(annotation: Any) -> _Converter:
    """Return the converter of a message annotation, cached after the first call."""
    if annotation in _CONVERTERS:
        return _CONVERTERS[annotation]
    if typing.get_origin(annotation) is tuple:
        return _list_converter(_converter(typing.get_args(annotation)[0]))
    if issubclass(annotation, Enum):
        converter = _enum_converter(annotation)
    else:
        converter = _struct_converter(annotation)
    _CONVERTERS[annotation] = converter
    return converter


class _Kind(NamedTuple):
    """One member of the IDL's message union."""

    union_field: str
    converter: _Converter


def _kinds() -> dict[type, _Kind]:
    """Map each message type to its member of the union.

    Raises:
      TypeError: the IDL's union lacks a message.
    """
    wanted = {kind.__name__: kind for kind in typing.get_args(WireMessage)}
    kinds = {}
    for entry in ttypes.Message.thrift_spec:
        if entry:
            kind = wanted.pop(entry[3][0].__name__)
            kinds[kind] = _Kind(entry[2], _converter(kind))
    if wanted:
        raise TypeError(f"the IDL's union lacks {sorted(wanted)}")
    return kinds


_KINDS = _kinds()
_UNION = [ttypes.Message, ttypes.Message.thrift_spec]
_BY_UNION_FIELD = [(kind.union_field, kind.converter) for kind in _KINDS.values()]


def encode(message: WireMessage) -> bytes:
    """Return the bytes of a message.

    Args:
      message: any message of ``core/messages.py`` or ``runs/messages.py``, or a Hello.

    Returns:
      The payload of one frame, without its length.

    Raises:
      KeyError: the type is not a message.
    """
    kind = _KINDS[type(message)]
    union = ttypes.Message()
    setattr(union, kind.union_field, kind.converter.to_wire(message))
    # Same as union.write(), without creating a protocol object for each message.
    return fastbinary.encode_compact(union, _UNION)


def decode(payload: bytes) -> Result[WireMessage, str]:
    """Decode the payload of a frame.

    Args:
      payload: content of one frame.

    Returns:
      The message, or why the payload is invalid. Never raises, for any input.
    """
    union = ttypes.Message()
    size = len(payload)
    # Without these limits a corrupt length would make the decoder allocate gigabytes.
    # No string or list can have more bytes or items than the payload.
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(payload),
        string_length_limit=size,
        container_length_limit=size,
        fallback=False,
    )
    try:
        union.read(protocol)
        return Success(_union_member(union))
    except (InvalidField, TProtocolException, UnicodeDecodeError) as error:
        return Failure(f"invalid message: {error}")
    except (EOFError, TException, OverflowError, ValueError, TypeError) as error:
        return Failure(f"truncated or malformed message: {error!r}")


def _union_member(union: ttypes.Message) -> WireMessage:
    """Return the message held by the union, which must be exactly one."""
    found = None
    for name, converter in _BY_UNION_FIELD:
        value = getattr(union, name)
        if value is None:
            continue
        if found is not None:
            raise InvalidField("more than one message in a frame")
        found = converter.from_wire(value)
    if found is None:
        raise InvalidField("no known message in the frame")
    return found
