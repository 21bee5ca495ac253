"""Encodes and decodes messages with thrift's compact protocol.

The message tuples of ``core`` and ``runs/messages.py`` don't depend on thrift. Its C
extension reads and writes them itself, by specifications that are built at import from
the IDL's structs and the tuples' annotations. So a field that the IDL lacks is an error
at import instead of being dropped silently, and no second object is made for each
message.

The extension is required: the pure Python implementation is too slow.
"""

import types
import typing
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta, timezone
from enum import Enum
from operator import attrgetter
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success
from thrift.protocol import fastbinary
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException, TType
from thrift.transport.TTransport import TMemoryBuffer

from gypsumspoke.core.messages import Message
from gypsumspoke.runs import messages
from gypsumspoke.wire.generated import ttypes
from gypsumspoke.wire.hello import Hello

WireMessage = Message | messages.RunMessage | Hello

_EPOCH = datetime(1970, 1, 1, tzinfo=timezone.utc)
_MICROSECOND = timedelta(microseconds=1)
_RESERVED_WORDS = {"service": "service_name"}

# The type of a struct field, and the end of a struct, in the compact protocol.
_STRUCT_FIELD = 0x0C
_STOP = b"\x00"
# A larger number of a union's member follows the byte with its type.
_MAX_SHORT_NUMBER = 15

_Convert = Callable[[Any], Any]


class _Spec(NamedTuple):
    """How the extension reads and writes one type of tuple.

    Attributes:
      target: see ``_target``.
      fields: for each field its number, type, name, type arguments and default.
      to_wire: converts a tuple for the encoder; None if it needs no conversion.
      from_wire: makes the tuple from an instance of ``target``.
    """

    target: type
    fields: tuple
    to_wire: _Convert | None
    from_wire: _Convert

    @property
    def arguments(self) -> list:
        """The specification as the extension expects it."""
        return [self.target, self.fields]


# ---------------------------------------------------------------------------
# Values


def _time_to_wire(time: datetime) -> int:
    return (time - _EPOCH) // _MICROSECOND


def _time_from_wire(micros: int) -> datetime:
    return _EPOCH + timedelta(microseconds=micros)


def _duration_to_wire(duration: timedelta) -> int:
    return duration // _MICROSECOND


def _duration_from_wire(micros: int) -> timedelta:
    return timedelta(microseconds=micros)


def _enum_value(member: Enum) -> str:
    return member.value


def _writer(annotation: Any) -> _Convert | None:
    """Return what converts values of an annotation for the encoder, if needed."""
    if annotation is datetime:
        return _time_to_wire
    if annotation is timedelta:
        return _duration_to_wire
    if _is_list(annotation):
        write = _writer(_item_of(annotation))
        return None if write is None else lambda items: [write(item) for item in items]
    if issubclass(annotation, Enum):
        return _enum_value
    return _spec(annotation).to_wire if _is_struct(annotation) else None


def _reader(annotation: Any) -> _Convert | None:
    """Return what converts decoded values of an annotation, if needed."""
    if annotation is datetime:
        return _time_from_wire
    if annotation is timedelta:
        return _duration_from_wire
    if _is_list(annotation):
        read = _reader(_item_of(annotation))
        return None if read is None else lambda items: tuple(map(read, items))
    if issubclass(annotation, Enum):
        # An unknown value raises a ValueError.
        return annotation
    return _spec(annotation).from_wire if _is_struct(annotation) else None


def _is_list(annotation: Any) -> bool:
    return typing.get_origin(annotation) is tuple


def _item_of(annotation: Any) -> Any:
    return typing.get_args(annotation)[0]


def _is_struct(annotation: Any) -> bool:
    return issubclass(annotation, tuple)


def _is_optional(annotation: Any) -> bool:
    return typing.get_origin(annotation) in (types.UnionType, typing.Union)


def _present_type(annotation: Any) -> Any:
    """Return the type of a field that is present."""
    if not _is_optional(annotation):
        return annotation
    kinds = typing.get_args(annotation)
    return next(kind for kind in kinds if kind is not types.NoneType)


# ---------------------------------------------------------------------------
# Tuples

_SPECS: dict[type, _Spec] = {}


def _spec(kind: type) -> _Spec:
    """Return the specification of a NamedTuple, cached after the first call.

    Raises:
      TypeError: the fields of the IDL's struct differ in name or order.
    """
    if kind not in _SPECS:
        _SPECS[kind] = _make_spec(kind)
    return _SPECS[kind]


def _make_spec(kind: type) -> _Spec:
    hints = typing.get_type_hints(kind)
    entries = getattr(ttypes, kind.__name__).thrift_spec
    names = [entry[2] for entry in entries if entry]
    if names != [_RESERVED_WORDS.get(name, name) for name in kind._fields]:
        raise TypeError(f"the IDL's {kind.__name__} has fields {names}")
    present = {name: _present_type(hints[name]) for name in kind._fields}
    unnamed = iter(kind._fields)
    fields = tuple(
        entry and _field_spec(entry, name := next(unnamed), present[name])
        for entry in entries
    )
    writers = [_writer(annotation) for annotation in present.values()]
    readers = [_reader(annotation) for annotation in present.values()]
    return _Spec(
        _target(kind, hints),
        fields,
        _tuple_writer(kind, writers) if any(writers) else None,
        _tuple_reader(kind, readers),
    )


def _field_spec(entry: tuple, name: str, annotation: Any) -> tuple:
    number, wire_type, _, arguments, _ = entry
    return (number, wire_type, name, _arguments(wire_type, arguments, annotation), None)


def _arguments(wire_type: int, arguments: Any, annotation: Any) -> Any:
    """Return the type arguments of a field, with tuples in place of the structs."""
    if wire_type == TType.STRUCT:
        return _spec(annotation).arguments
    if wire_type == TType.LIST:
        item_type, item_arguments, _ = arguments
        item = _arguments(item_type, item_arguments, _item_of(annotation))
        is_tuple = True
        return (item_type, item, is_tuple)
    return arguments


def _target(kind: type, hints: dict[str, Any]) -> type:
    """Return the class whose instances receive the decoded fields of a tuple.

    A field that is absent has its default. One without a default must be present, but
    one with a default may be absent, as in messages of processes of an earlier version.
    """
    optional = {name: None for name in kind._fields if _is_optional(hints[name])}
    return type(kind.__name__, (), {**optional, **kind._field_defaults})


def _tuple_reader(kind: type, readers: list[_Convert | None]) -> _Convert:
    """Return what makes a tuple from decoded fields; raises if one is missing."""
    get = _attributes_getter(kind._fields)
    converted = [
        (index, read) for index, read in enumerate(readers) if read is not None
    ]

    def from_wire(target: Any) -> Any:
        values = list(get(target))
        for index, read in converted:
            if values[index] is not None:
                values[index] = read(values[index])
        return kind._make(values)

    return from_wire


def _attributes_getter(names: tuple[str, ...]) -> Callable[[Any], Iterable[Any]]:
    """Return what reads these attributes of an object."""
    if len(names) > 1:
        return attrgetter(*names)
    return lambda target: [getattr(target, name) for name in names]


def _tuple_writer(kind: type, writers: list[_Convert | None]) -> _Convert:
    def to_wire(value: Any) -> Any:
        return kind._make(
            [
                item if write is None or item is None else write(item)
                for write, item in zip(writers, value)
            ]
        )

    return to_wire


# ---------------------------------------------------------------------------
# Messages


class _Kind(NamedTuple):
    """One member of the IDL's message union.

    Attributes:
      prefix: its header in an encoded union.
      arguments, to_wire, from_wire: as in _Spec.
    """

    prefix: bytes
    arguments: list
    to_wire: _Convert | None
    from_wire: _Convert


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
            spec = _spec(kind)
            kinds[kind] = _Kind(
                _prefix(entry[0]), spec.arguments, spec.to_wire, spec.from_wire
            )
    if wanted:
        raise TypeError(f"the IDL's union lacks {sorted(wanted)}")
    return kinds


def _prefix(number: int) -> bytes:
    """Return the header of a union's member: its number and that it is a struct."""
    if number <= _MAX_SHORT_NUMBER:
        return bytes([number << 4 | _STRUCT_FIELD])
    return bytes([_STRUCT_FIELD, number << 1])


_KINDS = _kinds()
_BY_PREFIX = {kind.prefix: kind for kind in _KINDS.values()}
_SHORT_PREFIX_BYTES, _LONG_PREFIX_BYTES = 1, 2
# Reads one message at a time.
_PROTOCOL = TCompactProtocolAccelerated(TMemoryBuffer(b""), fallback=False)


def encode(message: WireMessage) -> bytes:
    """Return the bytes of a message.

    Args:
      message: any message of ``core/messages.py`` or ``runs/messages.py``, or a Hello.

    Returns:
      The payload of one frame, without its length.

    Raises:
      KeyError: the type is not a message.
    """
    prefix, arguments, to_wire, _ = _KINDS[type(message)]
    fields = message if to_wire is None else to_wire(message)
    return prefix + fastbinary.encode_compact(fields, arguments) + _STOP


def decode(payload: bytes) -> Result[WireMessage, str]:
    """Decode the payload of a frame.

    Args:
      payload: content of one frame.

    Returns:
      The message, or why the payload is invalid. Never raises, for any input.
    """
    is_long = payload[:_SHORT_PREFIX_BYTES] == bytes([_STRUCT_FIELD])
    start = _LONG_PREFIX_BYTES if is_long else _SHORT_PREFIX_BYTES
    kind = _BY_PREFIX.get(payload[:start])
    if kind is None:
        return Failure("invalid message: no known message in the frame")
    source = TMemoryBuffer(payload, start)
    _PROTOCOL.trans = source
    # Without these limits a corrupt length would make the decoder allocate gigabytes.
    # No string or list can have more bytes or items than the payload.
    _PROTOCOL.string_length_limit = len(payload)
    _PROTOCOL.container_length_limit = len(payload)
    try:
        target = fastbinary.decode_compact(None, _PROTOCOL, kind.arguments)
        message = kind.from_wire(target)
    except (EOFError, TException, OverflowError, ValueError, TypeError) as error:
        return Failure(f"truncated or malformed message: {error!r}")
    except AttributeError as error:
        return Failure(f"invalid message: a field is absent: {error}")
    if payload[source.cstringio_buf.tell() :] != _STOP:
        return Failure("invalid message: more than one message in a frame")
    return Success(message)
