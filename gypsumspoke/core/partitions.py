"""Assignment of keys to partitions and of partitions to preferred homes.

Both are hashes that every process computes alike, so they need no coordination.
Preferred homes are chosen by rendezvous hashing (Thaler and Ravishankar, 1998) over
worker names: when a worker leaves, only its partitions move, and they return when it
comes back under the same name.
"""

import hashlib
from collections.abc import Iterable

from gypsumspoke.core.values import JobKey, Member

_HASH_BYTES = 8


def _hash(*parts: str) -> int:
    """Return a 64-bit hash; a length prefix separates the parts."""
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return int.from_bytes(digest.digest(), "big")


def partition_of(key: JobKey, partition_count: int) -> int:
    """Return the partition of a submission.

    Args:
      key: key of the submission.
      partition_count: number of partitions, the same in every process.

    Returns:
      A number from 0 to ``partition_count`` - 1.
    """
    return _hash(key.team, key.key) % partition_count


def preferred_owner(partition: int, members: Iterable[Member]) -> Member | None:
    """Return the member that should own a partition.

    Args:
      partition: number of the partition.
      members: candidates.

    Returns:
      The candidate with the highest hash, or None without candidates.
    """
    return max(
        members,
        key=lambda member: (_hash(str(partition), member.worker), member.incarnation),
        default=None,
    )
