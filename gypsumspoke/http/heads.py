"""Parses the head of an HTTP/1.x request: the request line and the header fields."""

import re
from typing import NamedTuple
from urllib.parse import unquote

from returns.result import Failure, Result, Success

# Fields that decide how a request is read.
FRAMING_FIELDS = frozenset(
    ("connection", "content-length", "expect", "transfer-encoding")
)
_REPEATABLE = frozenset(("connection", "transfer-encoding", "prefer"))

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_LENGTH = re.compile(r"[0-9]+")
# No body is that long; larger numbers are cut to it.
_MAX_LENGTH = 10**15
_ABSOLUTE = re.compile(r"https?://[^/?#]*", re.IGNORECASE)


class RequestHead(NamedTuple):
    """The head of a request.

    Attributes:
      method: as sent.
      path, query: the target, still percent-encoded.
      version: "HTTP/1.0" or "HTTP/1.1".
      fields: values by name in lower case, only of the names that were asked for.
      content_length: size of the body; None if none is declared or it is chunked.
      is_chunked: whether the body comes in chunks.
      keeps_alive: whether the client lets the connection open for another request.
    """

    method: str
    path: str
    query: str
    version: str
    fields: dict[str, str]
    content_length: int | None
    is_chunked: bool
    keeps_alive: bool

    @property
    def decoded_path(self) -> str:
        """The path without percent-encoding, as applications get it."""
        return unquote(self.path, "latin-1")

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for an interim response before the body."""
        return self.fields.get("expect", "").lower() == "100-continue"


def parse_head(head: bytes, kept: frozenset[str]) -> Result[RequestHead, str]:
    """Parse a head.

    Args:
      head: request line and header lines, without the empty line after them.
      kept: names of the fields to return, in lower case.

    Returns:
      The head, or why it is malformed.
    """
    lines = head.decode("latin-1").split("\n")
    words = lines[0].rstrip("\r").split(" ")
    if len(words) != 3 or not _TOKEN.fullmatch(words[0]):
        return Failure("malformed request line")
    method, target, version = words
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        return Failure("unknown version of HTTP")
    target = _ABSOLUTE.sub("", target, 1) or "/"
    if target[0] not in "/?" and target != "*":
        return Failure("malformed target")
    fields = _parse_fields(lines, kept | FRAMING_FIELDS)
    if isinstance(fields, str):
        return Failure(fields)
    framing = _parse_framing(fields)
    if isinstance(framing, str):
        return Failure(framing)
    path, _, query = target.partition("?")
    connection = fields.get("connection", "").lower()
    keeps_alive = (
        "close" not in connection
        if version == "HTTP/1.1"
        else "keep-alive" in connection
    )
    return Success(
        RequestHead(method, path, query, version, fields, *framing, keeps_alive)
    )


def _parse_fields(lines: list[str], kept: frozenset[str]) -> dict[str, str] | str:
    """Return the fields to keep, or why a line is malformed."""
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not _TOKEN.fullmatch(name):
            return "malformed header line"
        name = name.lower()
        if name not in kept:
            continue
        value = value.strip(" \t\r")
        if "\r" in value or "\0" in value:
            return "malformed header line"
        if name not in fields:
            fields[name] = value
        elif name in _REPEATABLE:
            fields[name] += f", {value}"
        elif fields[name] != value:
            return f"{name} is given twice"
    return fields


def _parse_framing(fields: dict[str, str]) -> tuple[int | None, bool] | str:
    """Return the declared length and whether the body is chunked, or an error."""
    coding = fields.get("transfer-encoding")
    length = fields.get("content-length")
    if coding is not None:
        if coding.lower() != "chunked":
            return "unknown transfer coding"
        # Two declared lengths would let a proxy in front see other requests than this
        # process does.
        return (None, True) if length is None else "two lengths are declared"
    if length is None:
        return None, False
    if not _LENGTH.fullmatch(length):
        return "malformed content-length"
    return int(length) if len(length) < 16 else _MAX_LENGTH, False
