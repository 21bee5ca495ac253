"""Whom this process connects to: the entries, from all that tells of them.

Sidecars connect to every entry, and entries to each other. An entry writes its address
into the store; a process that the store turns away still finds the others by the
addresses in its settings, and by what the first peer tells.
"""

from typing import NamedTuple

from gypsumspoke.core.effects import Effect

# An address is never forgotten while the process lives, but only so many are kept:
# dialling one that is gone for good costs a few packets a second.
MAX_ADDRESSES = 64


class EntriesRead(NamedTuple):
    """Event: the addresses of all entries in the store, as HOST:PORT."""

    addresses: tuple[str, ...]


class SettingsRead(NamedTuple):
    """Event: the settings were read again; these are the addresses that they name."""

    known_entries: tuple[str, ...]


class DialEntries(NamedTuple):
    """Effect: keep a connection to each of these, and to no other."""

    addresses: tuple[str, ...]


class Directory:
    """The addresses known.

    Args:
      own: this process's own address; empty for one that nobody connects to.
      given: addresses in the settings, which may be stale.
    """

    def __init__(self, own: str, given: tuple[str, ...]) -> None:
        self._own = own
        self._configured = given
        self._stored: tuple[str, ...] = ()
        self._from_peers: dict[str, None] = {}

    @property
    def known(self) -> tuple[str, ...]:
        """All addresses that peers should know, the own one included."""
        own = (self._own,) if self._own else ()
        told = tuple(self._from_peers)
        merged = dict.fromkeys((*own, *self._stored, *told, *self._configured))
        return tuple(merged)[:MAX_ADDRESSES]

    @property
    def to_dial(self) -> tuple[str, ...]:
        """Addresses that this process connects to.

        Of two entries the one with the lower address dials, so that there is one
        connection for each pair. A sidecar, which has no address, dials all.
        """
        return tuple(address for address in self.known if address > self._own)

    def update_from_store(self, addresses: tuple[str, ...]) -> list[Effect]:
        """Take the addresses in the store."""
        before = self.to_dial
        self._stored = addresses
        return self._changed(before)

    def update_from_settings(self, addresses: tuple[str, ...]) -> list[Effect]:
        """Take the addresses of changed settings in place of the former ones."""
        before = self.to_dial
        self._configured = addresses
        return self._changed(before)

    def update_from_peer(self, addresses: tuple[str, ...]) -> list[Effect]:
        """Take the addresses that a peer knows."""
        before = self.to_dial
        for address in addresses:
            if len(self._from_peers) < MAX_ADDRESSES:
                self._from_peers[address] = None
        return self._changed(before)

    def _changed(self, before: tuple[str, ...]) -> list[Effect]:
        return [DialEntries(self.to_dial)] if self.to_dial != before else []
