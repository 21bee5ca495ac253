"""Decodes large heartbeats: only the fields that are used, whatever else there is."""

import json
from typing import Any

import msgspec


class _Fields(msgspec.Struct):
    """The fields of a heartbeat that are used; their types are checked later."""

    service: msgspec.Raw = msgspec.Raw()
    state: msgspec.Raw = msgspec.Raw()
    seq: msgspec.Raw = msgspec.Raw()
    born: msgspec.Raw = msgspec.Raw()
    capacity: msgspec.Raw = msgspec.Raw()
    labels: msgspec.Raw = msgspec.Raw()
    clock_ms: msgspec.Raw = msgspec.Raw()
    cold_remaining_ms: msgspec.Raw = msgspec.Raw()
    remaining_ms: msgspec.Raw = msgspec.Raw()


_decoder = msgspec.json.Decoder(_Fields)


def decode_used_fields(body: bytes) -> dict[str, Any]:
    """Decode the fields of a heartbeat that are used.

    Raises:
      ValueError: the body is no JSON object, or a field is malformed.
    """
    try:
        values = msgspec.structs.asdict(_decoder.decode(body))
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    return {name: json.loads(bytes(raw)) for name, raw in values.items() if bytes(raw)}
