"""Cuts lists of records into parts that each fit one frame.

A message over the frame bound of ``wire`` is never sent, so a part that grew past it
would keep a takeover or a leaving process waiting for good.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

MAX_CHUNK_RECORDS = 500
MAX_CHUNK_BYTES = 1_000_000

_Record = TypeVar("_Record")


def split_into_chunks(
    records: Iterable[_Record], bytes_of: Callable[[_Record], int]
) -> list[tuple[_Record, ...]]:
    """Return the records in order, in parts bounded in number and in bytes.

    Args:
      records: what is to be sent.
      bytes_of: bytes of a record that are not bounded by a small constant.

    Returns:
      Parts of at most ``CHUNK_RECORDS``. One is over ``CHUNK_BYTES`` only when its
      single record is. No part when there is no record.
    """
    parts: list[tuple[_Record, ...]] = []
    part: list[_Record] = []
    total = 0
    for record in records:
        size = bytes_of(record)
        is_full = len(part) == MAX_CHUNK_RECORDS or total + size > MAX_CHUNK_BYTES
        if part and is_full:
            parts.append(tuple(part))
            part, total = [], 0
        part.append(record)
        total += size
    if part:
        parts.append(tuple(part))
    return parts
