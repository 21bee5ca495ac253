"""``python -m gypsumspoke.platform entry|sidecar`` starts a role on the platform.

Starts the same roles as ``gypsumspoke platform``, but without importing the command
line library and with the ports opened first: after a loss of all processes every
caller waits until the roles are loaded. Nothing that is loaded becomes garbage, so the
collector is off until then.
"""

import gc
import json
import os
import sys

from gypsumspoke.http.limits import client_limits
from gypsumspoke.platform.limits import process_limits
from gypsumspoke.shell.early_listeners import Address, EarlyListeners

_USAGE_ERROR = 2
_PATH_VARIABLE = "GYPSUMSPOKE_SETTINGS"


def main(arguments: list[str]) -> None:
    """Start the named role, or end the process with a usage error."""
    if arguments not in (["entry"], ["sidecar"]):
        sys.stderr.write("usage: python -m gypsumspoke.platform entry|sidecar\n")
        sys.exit(_USAGE_ERROR)
    listeners = _listen()
    gc.disable()
    from gypsumspoke.platform import roles

    run = {"entry": roles.run_entry, "sidecar": roles.run_sidecar}
    run[arguments[0]](listeners)


def _listen() -> EarlyListeners:
    """Listen on all addresses; on none if the settings can't be read.

    The settings are read again and validated once the libraries are loaded; errors are
    reported then.
    """
    try:
        with open(os.environ[_PATH_VARIABLE], encoding="utf-8") as file:
            settings = json.load(file)
        listen = settings["listen"]
        addresses = [_address(text) for text in listen.values() if text]
        # Peers exchange large messages.
        is_entry = "front" in settings["serves"]
        peers = _address(listen["control"]) if is_entry else None
        buffers = client_limits(process_limits(settings)).buffers
        return EarlyListeners(
            addresses, {each: buffers for each in addresses if each != peers}
        )
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return EarlyListeners()


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    main(sys.argv[1:])
