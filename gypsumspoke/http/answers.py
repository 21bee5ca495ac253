"""HTTP answers as values, and helpers shared by the HTTP interfaces."""

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
    """A complete HTTP answer.

    Attributes:
      status: status code.
      body: body, JSON text by default.
      headers: headers besides Content-Type and Content-Length.
      content_type: media type of the body.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE


class BodyTooLarge(Exception):
    """A request body exceeds its maximum size."""


def respond(answer: HttpAnswer, start: StartResponse) -> Iterable[bytes]:
    """Return an answer through WSGI."""
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


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Read a request body of at most ``max_bytes`` bytes.

    A declared length is checked before reading; otherwise at most ``max_bytes`` + 1
    bytes are read, so an oversized body never occupies memory.

    Raises:
      BodyTooLarge: the body exceeds ``max_bytes``.
      OSError: the body ended early.
    """
    declared = environ.get("CONTENT_LENGTH")
    if declared and int(declared) > max_bytes:
        raise BodyTooLarge
    body = environ["wsgi.input"].read(max_bytes + 1)
    if len(body) > max_bytes:
        raise BodyTooLarge
    return body


def retry_headers(retry_after: timedelta | None) -> tuple[tuple[str, str], ...]:
    """Return the Retry-After header, or none without a delay."""
    if retry_after is None:
        return ()
    # The header has whole seconds; rounding down would make callers retry too early.
    seconds = math.ceil(retry_after.total_seconds())
    return (("Retry-After", str(seconds)),)
