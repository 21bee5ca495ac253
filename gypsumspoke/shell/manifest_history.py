"""The last accepted changes of the manifest, kept in a row beside it.

The history tells whose change is in force after the answer to a write was lost, and
whether a pipeline that repeats a step has been served already.
"""

import hashlib
import json
from typing import NamedTuple

from gypsumspoke.core.values import Row

HISTORY_KEY = "changes/manifest"
HISTORY_LENGTH = 50


class Change(NamedTuple):
    """One accepted change of the manifest, as kept in the history row.

    Attributes:
      change_id: the operator's identity of the change.
      version: version it got; 0 for the newest, whose version is its row's.
      accepted: when, by the clock of the entry that wrote it.
      digest: hash of the manifest's text; tells a change id used twice.
    """

    change_id: str
    version: int
    accepted: str
    digest: str


class StoredManifest(NamedTuple):
    """The manifest and its history as they stand in the table."""

    version: int
    text: str
    history_version: int
    changes: tuple[Change, ...]

    def change(self, change_id: str) -> Change | None:
        """Return the accepted change with this id, or None if it is not known."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None


def digest_of(text: str) -> str:
    """Return the hash of a manifest's text."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def history_value(changes: tuple[Change, ...]) -> str:
    """Return the value of the history row, the newest change first."""
    return json.dumps([change._asdict() for change in changes])


def history_of(row: Row) -> tuple[Change, ...]:
    """Return the kept changes, the newest first, each with its version."""
    changes = [Change(**fields) for fields in json.loads(row.value or "[]")]
    if changes:
        changes[0] = changes[0]._replace(version=row.version)
    return tuple(changes)
