"""HTTP answers as values, and what every HTTP interface reads and sends alike."""

import json
import math
from collections.abc import Callable, Iterable
from datetime import timedelta
from http import HTTPStatus
from typing import Any, NamedTuple

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]

JSON_TYPE = "application/json"


class HttpAnswer(NamedTuple):
    """A whole HTTP answer.

    Attributes:
      status: status code.
      headers: beyond Content-Type and Content-Length.
      body: JSON text.
      content_type: type of the body.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE


class TooLarge(Exception):
    """A request body exceeds its bound."""


def respond(answer: HttpAnswer, start: StartResponse) -> Iterable[bytes]:
    """Send an answer by WSGI."""
    phrase = HTTPStatus(answer.status).phrase
    headers = [
        ("Content-Type", answer.content_type),
        ("Content-Length", str(len(answer.body))),
        *answer.headers,
    ]
    start(f"{answer.status} {phrase}", headers)
    return [answer.body]


def json_answer(value: Any, status: int = HTTPStatus.OK, headers=()) -> HttpAnswer:
    """Return a value as a JSON answer."""
    return HttpAnswer(status, json.dumps(value).encode(), tuple(headers))


def read_body(environ: Environ, limit: int) -> bytes:
    """Read a request body of at most ``limit`` bytes.

    The bound is checked before anything is read if the length is declared, and after
    ``limit`` + 1 bytes if it is not, so an oversized body never takes memory.

    Raises:
      TooLarge: the body is longer.
      OSError: the body ended early.
    """
    declared = environ.get("CONTENT_LENGTH")
    if declared and int(declared) > limit:
        raise TooLarge
    body = environ["wsgi.input"].read(limit + 1)
    if len(body) > limit:
        raise TooLarge
    return body


def retry_headers(retry_after: timedelta | None) -> tuple[tuple[str, str], ...]:
    """Return the Retry-After header, if there is anything to say."""
    if retry_after is None:
        return ()
    # The header knows whole seconds only; rounding down would bring callers too early.
    seconds = math.ceil(retry_after.total_seconds())
    return (("Retry-After", str(seconds)),)
