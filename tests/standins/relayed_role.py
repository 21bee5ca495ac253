"""Starts an entry whose peers reach it through a relay.

The entry listens for peers on another address than the one in its settings, which it
announces and on which the relay listens.

``python -m tests.standins.relayed_role ANNOUNCED LISTENING``, both as HOST:PORT.
"""

import sys

from gypsumspoke.platform import roles
from gypsumspoke.runs.settings import Address, parse_address
from gypsumspoke.shell.early_listeners import EarlyListeners


class RelayedListeners(EarlyListeners):
    """Hands the socket of one address over as that of another.

    Args:
      announced: the address that the role asks for.
      listening: the address of the socket that it gets.
    """

    def __init__(self, announced: Address, listening: Address) -> None:
        super().__init__([listening])
        self._announced = announced
        self._listening = listening

    def take(self, address: Address):
        """Remove and return the socket of an address, or None."""
        is_relayed = address == self._announced
        return super().take(self._listening if is_relayed else address)


if __name__ == "__main__":
    roles.run_entry(RelayedListeners(*map(parse_address, sys.argv[1:])))
