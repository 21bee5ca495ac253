"""Encodes members and partitions as rows of the platform's table.

Each row is a JSON object in text form. Each incarnation and each partition has a row
of its own, so a compare-and-set conflicts only with changes to the same one.
"""

import json
from datetime import datetime

from gypsumspoke.core.values import Member, PartitionRow, Role, Row

MEMBERS_PREFIX = "members/"
PARTITIONS_PREFIX = "partitions/"
MANIFEST_KEY = "manifest"


def member_key(incarnation: str) -> str:
    """Return the key of a member's row."""
    return MEMBERS_PREFIX + incarnation


def member_value(member: Member) -> str:
    """Return the text of a member's row."""
    fields = member._asdict()
    fields["role"] = member.role.value
    fields["registered"] = member.registered.isoformat()
    fields["ended"] = member.ended.isoformat() if member.ended else None
    return json.dumps(fields, sort_keys=True)


def member_from_row(row: Row) -> Member:
    """Return the member that a row describes.

    Raises:
      ValueError: the text is not a member's row.
    """
    try:
        fields = json.loads(row.value or "")
        fields["role"] = Role(fields["role"])
        fields["registered"] = datetime.fromisoformat(fields["registered"])
        ended = fields["ended"]
        fields["ended"] = datetime.fromisoformat(ended) if ended else None
        return Member(**fields)
    except (KeyError, TypeError) as error:
        raise ValueError(f"row {row.key} is not a member: {error}") from error


def partition_key(partition: int) -> str:
    """Return the key of a partition's row, zero-padded so that keys sort by number."""
    return f"{PARTITIONS_PREFIX}{partition:05d}"


def partition_value(owner: str, epoch: int, since: datetime) -> str:
    """Return the text of a partition's row."""
    fields = {"owner": owner, "epoch": epoch, "since": since.isoformat()}
    return json.dumps(fields, sort_keys=True)


def partition_from_row(row: Row) -> PartitionRow:
    """Return the partition that a row describes.

    Raises:
      ValueError: the text is not a partition's row.
    """
    try:
        fields = json.loads(row.value or "")
        number = int(row.key.removeprefix(PARTITIONS_PREFIX))
        since = datetime.fromisoformat(fields["since"])
        return PartitionRow(
            number, fields["owner"], fields["epoch"], since, row.version
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"row {row.key} is not a partition: {error}") from error
