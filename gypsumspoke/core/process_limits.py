"""What a process may use of its machine."""

from typing import NamedTuple


class ProcessLimits(NamedTuple):
    """What a process may use.

    Attributes:
      memory_bytes: maximum memory, including bytes that it has received and not read.
      descriptors: maximum number of open file descriptors.
    """

    memory_bytes: int
    descriptors: int


# Used where the settings name none.
DEFAULT_PROCESS_LIMITS = ProcessLimits(160_000_000, 3072)
