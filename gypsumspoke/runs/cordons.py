"""Failure domains that operators have cordoned: their workers take no new runs.

Runs that are at work there go on. The set of cordoned domains is known as of a revision
of the store, which rises with each change there. A set replaces another one only with a
higher revision, so that an old copy, of a slow read or of another process, can't undo
the lifting of a cordon.

Entries read the set from the store and hand it on to all peers; a sidecar applies it to
its own failure domain. So a run doesn't start in a cordoned domain even if the entry
that placed it can't reach the store.
"""

from typing import NamedTuple


class Cordons(NamedTuple):
    """The cordoned failure domains as of a revision of the store.

    Attributes:
      revision: 0 before the first read.
      since: revision from which on the set is known not to have changed.
      domains: names of the failure domains, sorted.
    """

    revision: int = 0
    since: int = 0
    domains: tuple[str, ...] = ()


NO_CORDONS = Cordons()


class CordonsRead(NamedTuple):
    """Event: the cordons were read from the store.

    Attributes:
      revision, domains: as in Cordons.
      is_unchanged: whether no cordon was made or lifted since the previous read.
    """

    revision: int
    domains: tuple[str, ...]
    is_unchanged: bool


def may_have_changed(known: Cordons, newer: Cordons) -> bool:
    """Return whether the set may have changed after ``known``.

    It may be the same again: then it had changed in between, and others may have a copy
    from that time.
    """
    return newer.domains != known.domains or newer.since > known.revision
