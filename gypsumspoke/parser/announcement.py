"""Parses the announcement in which an upstream registers with its sidecar."""

from typing import Annotated, NamedTuple, NotRequired, TypedDict

from msgspec import Meta
from returns.result import Failure, Result, Success

from gypsumspoke.parser.documents import (
    DocumentError,
    Fields,
    Name,
    check_fields,
    read_document,
)

MAX_SLOTS = 1024


class Announcement(NamedTuple):
    """A valid announcement.

    Attributes:
      service: name of the service that the upstream provides.
      slots: number of tasks that it runs at once.
      port: TCP port that it listens on; 0 for the port in the settings.
      leaving: the upstream accepts no new tasks.
    """

    service: str
    slots: int
    port: int
    leaving: bool


class _AnnouncementSchema(TypedDict):
    service: Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    port: NotRequired[Annotated[int, Meta(ge=1, le=65535)]]
    leaving: NotRequired[bool]


def parse_announcement(text: str) -> Result[Announcement, tuple[DocumentError, ...]]:
    """Parse and validate an announcement.

    Args:
      text: a JSON object.

    Returns:
      The announcement, or all errors.
    """
    return read_document(text).alt(lambda error: (error,)).bind(_validate)


def _validate(raw: object) -> Result[Announcement, tuple[DocumentError, ...]]:
    fields, errors = check_fields(_AnnouncementSchema, raw)
    if errors:
        return Failure(tuple(errors))
    return Success(_announcement(fields))


def _announcement(fields: Fields) -> Announcement:
    return Announcement(
        service=fields["service"],
        slots=fields["slots"],
        port=fields.get("port", 0),
        leaving=fields.get("leaving", False),
    )
