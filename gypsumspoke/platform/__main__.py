"""``python -m gypsumspoke.platform entry|sidecar`` starts a role on the platform.

The same roles as ``gypsumspoke platform``, without the command line's library: its
import takes a fifth of what a role needs before it listens, and after a loss of all
processes every caller waits for that.
"""

import sys

from gypsumspoke.platform.roles import run_entry, run_sidecar

_ROLES = {"entry": run_entry, "sidecar": run_sidecar}
_USAGE_ERROR = 2


def main(arguments: list[str]) -> None:
    """Start the named role, or end the process with a usage error."""
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        sys.stderr.write("usage: python -m gypsumspoke.platform entry|sidecar\n")
        sys.exit(_USAGE_ERROR)
    _ROLES[arguments[0]]()


if __name__ == "__main__":
    main(sys.argv[1:])
