"""The first message on each connection, in both directions.

Both ends must use the same protocol version and the same partition count. Processes
with different partition counts would send a key to two homes, and its tasks could start
twice, so such a peer is refused before any other message is read.
"""

from typing import NamedTuple

from returns.result import Failure, Result, Success

PROTOCOL_VERSION = 2


class Hello(NamedTuple):
    """Identifies the sender on a connection.

    Attributes:
      protocol_version: version of the sender's message protocol.
      incarnation: the sender's incarnation.
      worker: name of the sender's worker.
      partition_count: number of partitions that the sender divides keys into.
    """

    protocol_version: int
    incarnation: str
    worker: str
    partition_count: int


def check_hello(own: Hello, other: Hello, expected: str | None) -> Result[Hello, str]:
    """Check whether a peer is compatible and the expected one.

    Args:
      own: this process's hello.
      other: the peer's hello.
      expected: incarnation that was dialled; None for an accepted connection.

    Returns:
      The peer's hello, or why it is refused.
    """
    if other.protocol_version != own.protocol_version:
        return Failure(
            f"protocol version {other.protocol_version}, not {own.protocol_version}"
        )
    if other.partition_count != own.partition_count:
        return Failure(
            f"partition count {other.partition_count}, not {own.partition_count}"
        )
    if not other.incarnation:
        return Failure("no incarnation")
    # A worker's next incarnation reuses its address. Without this check a message for
    # the previous incarnation would reach the new one, which has none of its records
    # and would answer "never seen".
    if expected is not None and other.incarnation != expected:
        return Failure(f"incarnation {other.incarnation}, not {expected}")
    return Success(other)
