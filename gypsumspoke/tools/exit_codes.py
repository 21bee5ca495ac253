"""Exit codes of the command line, for build pipelines to branch on."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What became of a command.

    ``REFUSED``: the system answered with a refusal. ``BAD_INPUT``: settings, manifest,
    job or arguments are wrong; nothing was sent. ``CONFLICT``: another change came
    first. ``UNKNOWN``: no answer came, and the change may or may not have taken
    effect. ``UNREACHABLE``: no connection, so nothing was sent.
    """

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
