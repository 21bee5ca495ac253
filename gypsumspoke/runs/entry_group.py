"""The entries that a sidecar connects to.

A sidecar that reported to every entry would cost each entry messages in proportion to
the fleet. Instead each sidecar connects to a small group of entries, drawn by
rendezvous hashing: it ranks all known entries by a hash of its own name and theirs, and
takes the first ones. So the sidecars spread evenly over the entries without
coordination, and an entry that comes or goes changes few groups.

The load that this answers: hundreds of workers whose room changes all the time, and
entries of which many may be down at once.

* An entry in the group that can't be reached is replaced by the next in rank until it
  is back.
* A failure domain is lost with all its entries. The group takes entries of each domain
  in proportion, so that it loses as few as possible, and others have its workers in
  their groups in the same way.
* Entries state how many sidecars they have. If these are too few for an entry to find
  room, or more than it needs, the groups grow or shrink; in a small fleet they contain
  all entries.
"""

from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta
from hashlib import blake2b
from math import ceil

_SCORE_BYTES = 8

# Number of sidecars that an entry needs in order to find room on a loaded fleet.
SIDECARS_PER_ENTRY = 32
# Sizes of groups change only outside this range, since each change moves connections.
MIN_SIDECARS_PER_ENTRY = 24
MAX_SIDECARS_PER_ENTRY = 48

INITIAL_SIZE = 6
# Enough for the loss of some entries at once.
MIN_SIZE = 4
MAX_SIZE = 64
# The entries state their numbers of sidecars anew within this time after a change.
RESIZE_INTERVAL = timedelta(seconds=2)

# Replacing a connection, or restarting an entry, often takes less time.
SUBSTITUTE_DELAY = timedelta(milliseconds=600)
# Bounds the dials, in multiples of the group's size, while most entries are down.
MAX_DIALLED = 3
# A substitute is kept for so long after it is no longer needed, so that an entry that
# comes and goes doesn't move connections each time.
SURPLUS_DELAY = timedelta(seconds=1)


class EntryGroup:
    """The group of one sidecar.

    Args:
      seed: the sidecar's name, which draws the group; a restart keeps the group.
      now: the current time.
    """

    def __init__(self, seed: str, now: datetime) -> None:
        self._seed = seed
        self._now = now
        self._size = INITIAL_SIZE
        self._resized_at = now
        self._ranked_from: tuple[str, ...] = ()
        self._ranked: tuple[str, ...] = ()
        self._domains: dict[str, str] = {}
        self._connected: dict[str, str] = {}
        self._sidecars: dict[str, int] = {}
        self._tried_since: dict[str, datetime] = {}
        self._surplus_since: dict[str, datetime] = {}
        self._selected: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Number of entries that the sidecar wants to be connected to."""
        return self._size

    @property
    def sidecars_per_entry(self) -> float:
        """Mean number of sidecars that the connected entries have; 0 if unknown."""
        counts = self._sidecars.values()
        return sum(counts) / len(counts) if counts else 0.0

    @property
    def surplus(self) -> tuple[str, ...]:
        """Incarnations of connected entries that are not needed any more."""
        return tuple(
            incarnation
            for incarnation, since in self._surplus_since.items()
            if self._now - since >= SURPLUS_DELAY
        )

    def is_partial(self, known: tuple[str, ...]) -> bool:
        """Return whether the group leaves out known entries."""
        return len(known) > len(self._selected)

    def select(self, known: tuple[str, ...]) -> tuple[str, ...]:
        """Return the addresses to connect to.

        Args:
          known: the addresses of all known entries.
        """
        connected = set(self._connected.values())
        selected: list[str] = []
        available = 0
        for address in self._rank(known):
            if available >= self._size or len(selected) >= self._size * MAX_DIALLED:
                break
            selected.append(address)
            tried_since = self._tried_since.setdefault(address, self._now)
            is_waited_for = self._now - tried_since < SUBSTITUTE_DELAY
            available += address in connected or is_waited_for
        self._selected = tuple(selected)
        self._tried_since = {
            address: self._tried_since[address] for address in selected
        }
        self._update_surplus()
        # Surplus connections are kept until they are closed in agreement.
        kept = [address for address in connected if address not in selected]
        return (*selected, *sorted(kept))

    def record_domains(self, domains: Mapping[str, str]) -> None:
        """Record the failure domains of the entries, by address."""
        if domains != self._domains:
            self._domains = dict(domains)
            self._ranked_from = ()

    def _rank(self, known: tuple[str, ...]) -> tuple[str, ...]:
        if known != self._ranked_from:
            self._ranked_from = known
            self._ranked = self._draw(known)
        return self._ranked

    def _draw(self, known: tuple[str, ...]) -> tuple[str, ...]:
        """Rank the entries so that each failure domain is spread evenly over the ranks.

        Systematic sampling: the entries of a domain have equal distances, and a hash
        says where the first one is.
        """
        by_domain: dict[str, list[str]] = {}
        for address in sorted(known, key=self._score):
            domain = self._domains.get(address, "")
            by_domain.setdefault(domain, []).append(address)
        positions = {
            address: (number + self._offset(domain)) / len(addresses)
            for domain, addresses in by_domain.items()
            for number, address in enumerate(addresses)
        }
        return tuple(sorted(positions, key=positions.__getitem__))

    def _offset(self, domain: str) -> float:
        """Return a number from 0 to 1 that is drawn for a failure domain."""
        return int.from_bytes(self._score(domain), "big") / 2 ** (8 * _SCORE_BYTES)

    def _score(self, name: str) -> bytes:
        text = f"{self._seed}\n{name}".encode()
        return blake2b(text, digest_size=_SCORE_BYTES).digest()

    def _update_surplus(self) -> None:
        self._surplus_since = {
            incarnation: self._surplus_since.get(incarnation, self._now)
            for incarnation, address in self._connected.items()
            if address not in self._selected
        }

    def record_connected(self, incarnation: str, address: str) -> None:
        """Record which address a connected entry has."""
        self._connected[incarnation] = address

    def record_lost(self, incarnation: str, now: datetime) -> None:
        """Record that an entry is no longer connected."""
        self._now = now
        address = self._connected.pop(incarnation, None)
        self._sidecars.pop(incarnation, None)
        self._surplus_since.pop(incarnation, None)
        if address in self._tried_since:
            self._tried_since[address] = now

    def record_sidecars(self, incarnation: str, count: int) -> None:
        """Record how many sidecars an entry has; 0 if it doesn't know."""
        if count > 0:
            self._sidecars[incarnation] = count

    def advance(self, now: datetime) -> bool:
        """Advance the time and adapt the size to the entries' numbers of sidecars.

        Returns:
          Whether the size has changed.
        """
        self._now = now
        if now - self._resized_at < RESIZE_INTERVAL:
            return False
        self._resized_at = now
        previous = self._size
        self._size = adapted_size(previous, self._sidecars.values())
        return self._size != previous


def adapted_size(size: int, counts: Iterable[int]) -> int:
    """Return the size of a group at which entries have enough sidecars.

    Args:
      size: the current size.
      counts: for each connected entry, the number of its sidecars.
    """
    counts = tuple(counts)
    if not counts:
        return size
    mean = sum(counts) / len(counts)
    if MIN_SIDECARS_PER_ENTRY <= mean <= MAX_SIDECARS_PER_ENTRY:
        return size
    # Growth is bounded, since counts are incomplete while a fleet starts.
    wanted = min(ceil(size * SIDECARS_PER_ENTRY / mean), size * 2)
    return min(max(wanted, MIN_SIZE), MAX_SIZE)
