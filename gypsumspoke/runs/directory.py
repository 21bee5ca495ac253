"""Discovery of entries: the known addresses, and those that a process connects to.

An entry writes its address into the store. A process that can't reach the store finds
the entries by the addresses in its settings and by those that its peers send.

Which addresses a process connects to is chosen by a function: ``neighbours`` for an
entry, ``entry_group.py`` for a sidecar.
"""

from collections.abc import Callable, Mapping
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import NamedTuple

from gypsumspoke.core.effects import Effect

# Addresses are never removed; the bound limits memory and the size of messages.
# Dialling one that is gone for good costs a few packets a second.
MAX_ADDRESSES = 4096
_MAX_PORT = 65535

Select = Callable[[tuple[str, ...]], tuple[str, ...]]


class EntriesRead(NamedTuple):
    """Event: the entries were read from the store.

    Attributes:
      addresses: the addresses of all entries, as HOST:PORT.
      domains: their failure domains by address, as far as they are known.
    """

    addresses: tuple[str, ...]
    domains: Mapping[str, str] = MappingProxyType({})


class SettingsRead(NamedTuple):
    """Event: the settings were read again, with these addresses of entries."""

    known_entries: tuple[str, ...]


class DialEntries(NamedTuple):
    """Effect: keep connections to exactly these addresses."""

    addresses: tuple[str, ...]


class CloseConnection(NamedTuple):
    """Effect: close the connections to a peer that isn't needed any more."""

    incarnation: str


class ReplaceConnection(NamedTuple):
    """Effect: connect to a peer anew beside the present connection.

    The new connection replaces it as soon as the peer answers there.
    """

    incarnation: str


class Directory:
    """The known addresses of entries.

    Args:
      own: this process's own address; empty for a sidecar.
      configured: addresses in the settings, which may be stale.
      select: chooses the addresses to connect to from the known ones; by default all.
    """

    def __init__(
        self, own: str, configured: tuple[str, ...], select: Select | None = None
    ) -> None:
        self._own = own
        self._configured = _valid(configured)
        self._stored: tuple[str, ...] = ()
        self._from_peers: dict[str, None] = {}
        self._select = select or (lambda known: known)
        self._known = self._merge()
        self._dialled = self.to_dial

    @property
    def own(self) -> str:
        """This process's own address; empty for a sidecar."""
        return self._own

    @property
    def known(self) -> tuple[str, ...]:
        """All known addresses, this process's own one included."""
        return self._known

    def _merge(self) -> tuple[str, ...]:
        own = (self._own,) if self._own else ()
        peers = tuple(self._from_peers)
        merged = dict.fromkeys((*own, *self._stored, *peers, *self._configured))
        return tuple(merged)[:MAX_ADDRESSES]

    @property
    def to_dial(self) -> tuple[str, ...]:
        """Addresses that this process connects to.

        Of two entries the one with the lower address dials, so that each pair has one
        connection. A sidecar has no address and dials all that are selected.
        """
        selected = self._select(self._known)
        return tuple(address for address in selected if address > self._own)

    def update_from_store(self, addresses: tuple[str, ...]) -> list[Effect]:
        """Replace the addresses read from the store."""
        self._stored = _valid(addresses)
        return self._refresh_known()

    def update_from_settings(self, addresses: tuple[str, ...]) -> list[Effect]:
        """Replace the addresses read from the settings."""
        self._configured = _valid(addresses)
        return self._refresh_known()

    def update_from_peer(self, addresses: tuple[str, ...]) -> list[Effect]:
        """Add the addresses that a peer sent."""
        for address in _valid(addresses):
            if len(self._from_peers) < MAX_ADDRESSES:
                self._from_peers[address] = None
        return self._refresh_known()

    def _refresh_known(self) -> list[Effect]:
        previous = self._known
        self._known = self._merge()
        return self.refresh() if self._known != previous else []

    def refresh(self) -> list[Effect]:
        """Select the addresses to connect to anew; return the effect of a change."""
        to_dial = self.to_dial
        if to_dial == self._dialled:
            return []
        self._dialled = to_dial
        return [DialEntries(to_dial)]


def neighbours(own: str, known: tuple[str, ...]) -> tuple[str, ...]:
    """Return the entries that an entry connects to, to exchange configurations.

    The entries form a ring by address; each connects to those at distances of powers of
    two in both directions. So an entry has connections in proportion to the logarithm
    of their number, and a configuration passes through few of them on its way.

    Args:
      own: the entry's own address.
      known: the addresses of all known entries.
    """
    ring = sorted({own, *known})
    position = ring.index(own)
    found: set[str] = set()
    distance = 1
    while distance < len(ring):
        found.add(ring[(position + distance) % len(ring)])
        found.add(ring[(position - distance) % len(ring)])
        distance *= 2
    found.discard(own)
    return tuple(address for address in known if address in found)


def _valid(addresses: tuple[str, ...]) -> tuple[str, ...]:
    """Return the well-formed addresses; others could not be dialled."""
    return tuple(address for address in addresses if _is_valid(address))


def _is_valid(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 0 < int(port) <= _MAX_PORT
