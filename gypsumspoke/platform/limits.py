"""Decodes what the platform lets a process use; imports only the standard library."""

from typing import Any

from gypsumspoke.core.process_limits import DEFAULT_PROCESS_LIMITS, ProcessLimits

_MEGABYTE = 1_000_000


def process_limits(settings: dict[str, Any]) -> ProcessLimits:
    """Decode the limits in the settings of a process.

    Args:
      settings: the settings; a limit that is missing has its default.

    Raises:
      ValueError: a limit is not a positive number.
      TypeError, AttributeError: a limit has another type.
    """
    fields = settings.get("limits") or {}
    memory = fields.get("memory_mb")
    limits = ProcessLimits(
        (
            DEFAULT_PROCESS_LIMITS.memory_bytes
            if memory is None
            else int(memory * _MEGABYTE)
        ),
        int(fields.get("max_fds", DEFAULT_PROCESS_LIMITS.descriptors)),
    )
    if min(limits) <= 0:
        raise ValueError("limits: not a positive number")
    return limits
