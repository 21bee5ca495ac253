"""Decodes the operators' requests to empty failure domains, rows in the store.

Each such row is a cordon: its key names the failure domain, which is cordoned for as
long as the row exists. The value says nothing more.
"""

from gypsumspoke.platform.store import Table
from gypsumspoke.runs.cordons import CordonsRead

_KEY_PREFIX = "evacuate/"


def parse_cordons(table: Table) -> CordonsRead:
    """Return the cordons among the operators' rows."""
    domains = sorted(
        key.removeprefix(_KEY_PREFIX) for key in table.rows if _is_cordon(key)
    )
    is_unchanged = table.changed is not None and not any(map(_is_cordon, table.changed))
    return CordonsRead(table.revision, tuple(domains), is_unchanged)


def _is_cordon(key: str) -> bool:
    return key.startswith(_KEY_PREFIX) and key != _KEY_PREFIX
