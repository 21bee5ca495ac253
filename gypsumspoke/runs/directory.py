"""Discovery of entries: the addresses that a process connects to.

Sidecars connect to every entry, and entries to each other. An entry writes its address
into the store. A process that can't reach the store finds the entries by the addresses
in its settings and by those that its peers send.
"""

from typing import NamedTuple

from gypsumspoke.core.effects import Effect

# Addresses are never removed; the bound limits the cost of dialling stale ones.
MAX_ADDRESSES = 64


class EntriesRead(NamedTuple):
    """Event: the addresses of all entries were read from the store, as HOST:PORT."""

    addresses: tuple[str, ...]


class SettingsRead(NamedTuple):
    """Event: the settings were read again, with these addresses of entries."""

    known_entries: tuple[str, ...]


class DialEntries(NamedTuple):
    """Effect: keep connections to exactly these addresses."""

    addresses: tuple[str, ...]


class Directory:
    """The known addresses of entries.

    Args:
      own: this process's own address; empty for a sidecar.
      configured: addresses in the settings, which may be stale.
    """

    def __init__(self, own: str, configured: tuple[str, ...]) -> None:
        self._own = own
        self._configured = configured
        self._stored: tuple[str, ...] = ()
        self._from_peers: dict[str, None] = {}

    @property
    def known(self) -> tuple[str, ...]:
        """All known addresses, this process's own one included."""
        own = (self._own,) if self._own else ()
        peers = tuple(self._from_peers)
        merged = dict.fromkeys((*own, *self._stored, *peers, *self._configured))
        return tuple(merged)[:MAX_ADDRESSES]

    @property
    def to_dial(self) -> tuple[str, ...]:
        """Addresses that this process connects to.

        Of two entries the one with the lower address dials, so that each pair has one
        connection. A sidecar has no address and dials all entries.
        """
        return tuple(address for address in self.known if address > self._own)

    def update_from_store(self, addresses: tuple[str, ...]) -> list[Effect]:
        """Replace the addresses read from the store."""
        previous = self.to_dial
        self._stored = addresses
        return self._dial_if_changed(previous)

    def update_from_settings(self, addresses: tuple[str, ...]) -> list[Effect]:
        """Replace the addresses read from the settings."""
        previous = self.to_dial
        self._configured = addresses
        return self._dial_if_changed(previous)

    def update_from_peer(self, addresses: tuple[str, ...]) -> list[Effect]:
        """Add the addresses that a peer sent."""
        previous = self.to_dial
        for address in addresses:
            if len(self._from_peers) < MAX_ADDRESSES:
                self._from_peers[address] = None
        return self._dial_if_changed(previous)

    def _dial_if_changed(self, previous: tuple[str, ...]) -> list[Effect]:
        return [DialEntries(self.to_dial)] if self.to_dial != previous else []
