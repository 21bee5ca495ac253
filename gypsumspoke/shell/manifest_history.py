"""The last accepted changes of the manifest, stored in a row of their own.

After a lost answer to a write, the history shows whether the change took effect. It
also makes repeating a change idempotent.
"""

import hashlib
import json
from typing import NamedTuple

from gypsumspoke.core.values import Row

HISTORY_KEY = "changes/manifest"
MAX_HISTORY_LENGTH = 50


class Change(NamedTuple):
    """One accepted change of the manifest, as stored in the history row.

    Attributes:
      change_id: id of the change, chosen by the operator.
      version: version of the manifest after the change; stored as 0 for the newest
        change, which has the version of the history row.
      accepted: ISO 8601 time at the entry that wrote it.
      digest: hash of the manifest's text; detects a change id used twice.
    """

    change_id: str
    version: int
    accepted: str
    digest: str


class StoredManifest(NamedTuple):
    """The manifest and its history as stored in the table."""

    version: int
    text: str
    history_version: int
    changes: tuple[Change, ...]

    def change(self, change_id: str) -> Change | None:
        """Return the accepted change with this id, or None if it is unknown."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None


def digest_of(text: str) -> str:
    """Return the hash of a manifest's text."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def history_value(changes: tuple[Change, ...]) -> str:
    """Return the value of the history row for changes sorted newest first."""
    return json.dumps([change._asdict() for change in changes])


def history_of(row: Row) -> tuple[Change, ...]:
    """Return the stored changes with their versions, newest first."""
    changes = [Change(**fields) for fields in json.loads(row.value or "[]")]
    if changes:
        changes[0] = changes[0]._replace(version=row.version)
    return tuple(changes)
