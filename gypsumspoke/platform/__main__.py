"""``python -m gypsumspoke.platform entry|sidecar`` starts a role on the platform.

The same roles as ``gypsumspoke platform``, without the command line's library: after a
loss of all processes every caller waits until the roles are loaded. The ports are
opened before anything else is, for the same reason.
"""

import json
import os
import sys

from gypsumspoke.shell.early_listeners import Address, EarlyListeners

_USAGE_ERROR = 2
_PATH_VARIABLE = "GYPSUMSPOKE_SETTINGS"


def main(arguments: list[str]) -> None:
    """Start the named role, or end the process with a usage error."""
    if arguments not in (["entry"], ["sidecar"]):
        sys.stderr.write("usage: python -m gypsumspoke.platform entry|sidecar\n")
        sys.exit(_USAGE_ERROR)
    listeners = EarlyListeners(_addresses())
    from gypsumspoke.platform import roles

    run = {"entry": roles.run_entry, "sidecar": roles.run_sidecar}
    run[arguments[0]](listeners)


def _addresses() -> list[Address]:
    """Return the addresses to listen on; none where the settings can't be read.

    They are read again with all checks once the libraries are loaded, and what is
    wrong with them is reported then.
    """
    try:
        with open(os.environ[_PATH_VARIABLE], encoding="utf-8") as file:
            listen = json.load(file)["listen"]
        return [_address(text) for text in listen.values() if text]
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return []


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    main(sys.argv[1:])
