"""Splits lists of records into chunks that each fit one frame.

A message over the maximum frame size of ``wire`` is never sent, so an oversized chunk
would block a takeover or a graceful stop.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

MAX_CHUNK_RECORDS = 500
MAX_CHUNK_BYTES = 1_000_000

_Record = TypeVar("_Record")


def split_into_chunks(
    records: Iterable[_Record], bytes_of: Callable[[_Record], int]
) -> list[tuple[_Record, ...]]:
    """Return the records in order, in chunks bounded in number and in bytes.

    Args:
      records: the records.
      bytes_of: returns the size of the variable part of a record.

    Returns:
      Chunks of at most ``MAX_CHUNK_RECORDS`` records and ``MAX_CHUNK_BYTES`` bytes,
      except that a larger record forms a chunk of its own. Empty without records.
    """
    chunks: list[tuple[_Record, ...]] = []
    chunk: list[_Record] = []
    total = 0
    for record in records:
        size = bytes_of(record)
        is_full = len(chunk) == MAX_CHUNK_RECORDS or total + size > MAX_CHUNK_BYTES
        if chunk and is_full:
            chunks.append(tuple(chunk))
            chunk, total = [], 0
        chunk.append(record)
        total += size
    if chunk:
        chunks.append(tuple(chunk))
    return chunks
