"""Parses the JSON body of a job request into a submission.

Every field is validated separately, so that an error has the exact path. Unknown fields
are errors, since a misspelt ``not_repeatable`` must not be ignored. Task bodies are
passed on byte for byte, so that their numbers keep their digits.
"""

import hashlib
import uuid
from datetime import datetime, timedelta, timezone
from decimal import Decimal
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta, Raw
from returns.result import Failure, Result, Success

from gypsumspoke.core.values import MAX_TASKS, JobKey, Submission, Task

MAX_BODY_BYTES = 1024 * 1024
MAX_KEY_LENGTH = 200
MAX_NAME_LENGTH = 100
MAX_ATTEMPT = 2**53
MAX_DEADLINE_SECONDS = 600
MAX_DECLARED_SECONDS = 86_400
DIGEST_BYTES = 16

_UUID_VERSION_WITH_TIME = 7
_UUID_TIME_SHIFT = 80
_NO_CONTROL_CHARACTERS = r"^[^\x00-\x1f\x7f]+$"
_NO_SLASH = r"^[^\x00-\x1f\x7f/]+$"

_Name = Annotated[
    str, Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=_NO_SLASH)
]
_JOB_FIELDS: dict[str, Any] = {
    "key": Annotated[
        str,
        Meta(min_length=1, max_length=MAX_KEY_LENGTH, pattern=_NO_CONTROL_CHARACTERS),
    ],
    "birth": Annotated[datetime, Meta(tz=True)],
    "attempt": Annotated[int, Meta(ge=0, le=MAX_ATTEMPT)],
    "team": _Name,
    "service": _Name,
    "deadline_seconds": Annotated[
        float, Meta(ge=-MAX_DEADLINE_SECONDS, le=MAX_DEADLINE_SECONDS)
    ],
    "not_repeatable": bool,
    "tasks": Annotated[list[Raw], Meta(min_length=1, max_length=MAX_TASKS)],
}
_JOB_REQUIRED = ("key", "team", "service", "deadline_seconds", "tasks")
_TASK_FIELDS: dict[str, Any] = {
    "body": Raw,
    "declared_seconds": Annotated[float, Meta(gt=0, le=MAX_DECLARED_SECONDS)],
}
_TASK_REQUIRED = ("body",)

# Numbers are compared as written: 1.10 and 1.1 differ, and so do two numbers with the
# same value as a float.
_exact_decoder = msgspec.json.Decoder(float_hook=Decimal)
_canonical_encoder = msgspec.json.Encoder(order="sorted", decimal_format="number")


class RequestError(NamedTuple):
    """An error in a request.

    Attributes:
      path: path of the value, such as ``$.tasks[3].body``.
      reason: what is wrong.
    """

    path: str
    reason: str


class _InvalidFields(ValueError):
    """Carries errors to ``parse_job_request``, which returns them."""

    def __init__(self, *errors: RequestError) -> None:
        super().__init__(errors)
        self.errors = errors


def parse_job_request(
    body: bytes, now: datetime
) -> Result[Submission, tuple[RequestError, ...]]:
    """Parse and validate the body of a job request.

    Args:
      body: JSON text, at most ``MAX_BODY_BYTES`` bytes.
      now: time of arrival, to which the deadline is relative.

    Returns:
      The submission, or the errors.
    """
    try:
        return Success(_submission(body, now))
    except _InvalidFields as error:
        return Failure(error.errors)


def _submission(body: bytes, now: datetime) -> Submission:
    fields = _fields(body, "$", _JOB_FIELDS, _JOB_REQUIRED)
    tasks = tuple(
        _task(raw, f"$.tasks[{index}]") for index, raw in enumerate(fields["tasks"])
    )
    service = fields["service"]
    not_repeatable = fields.get("not_repeatable", False)
    return Submission(
        key=JobKey(fields["team"], fields["key"]),
        birth=_birth(fields),
        attempt=fields.get("attempt", 0),
        service=service,
        deadline=now + timedelta(seconds=fields["deadline_seconds"]),
        not_repeatable=not_repeatable,
        tasks=tuple(task for task, _ in tasks),
        digest=_digest(service, not_repeatable, [canonical for _, canonical in tasks]),
    )


def _task(raw: Raw, path: str) -> tuple[Task, bytes]:
    """Return the task and the canonical form of its body."""
    fields = _fields(bytes(raw), path, _TASK_FIELDS, _TASK_REQUIRED)
    body = bytes(fields["body"])
    declared = fields.get("declared_seconds")
    return (
        Task(body, None if declared is None else timedelta(seconds=declared)),
        _canonical(body, f"{path}.body"),
    )


def _fields(
    text: bytes, path: str, types: dict[str, Any], required: tuple[str, ...]
) -> dict[str, Any]:
    """Decode an object and validate its fields."""
    raw_fields = _decode(text, dict[str, Raw], path)
    errors = [
        RequestError(f"{path}.{name}", "unknown field")
        for name in raw_fields
        if name not in types
    ]
    errors += [
        RequestError(f"{path}.{name}", "missing")
        for name in required
        if name not in raw_fields
    ]
    fields = {}
    for name, field_type in types.items():
        if name not in raw_fields:
            continue
        try:
            value = bytes(raw_fields[name])
            fields[name] = _decode(value, field_type, f"{path}.{name}")
        except _InvalidFields as error:
            errors += error.errors
    if errors:
        raise _InvalidFields(*errors)
    return fields


def _decode(text: bytes, field_type: Any, path: str) -> Any:
    try:
        return msgspec.json.decode(text, type=field_type)
    except msgspec.ValidationError as error:
        raise _InvalidFields(RequestError(path, str(error))) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        reason = f"malformed JSON: {error}"
        raise _InvalidFields(RequestError(path, reason)) from error
    except RecursionError as error:
        raise _InvalidFields(RequestError(path, "nested too deeply")) from error


def _canonical(body: bytes, path: str) -> bytes:
    """Return the body with sorted keys and without whitespace."""
    try:
        return _canonical_encoder.encode(_exact_decoder.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError, ArithmeticError) as error:
        reason = f"malformed JSON: {error}"
        raise _InvalidFields(RequestError(path, reason)) from error
    except RecursionError as error:
        raise _InvalidFields(RequestError(path, "nested too deeply")) from error


def _birth(fields: dict[str, Any]) -> datetime:
    """Return the given birth, or else the timestamp of a UUIDv7 key (RFC 9562)."""
    birth = fields.get("birth")
    if birth is not None:
        return _as_utc(birth)
    try:
        identifier = uuid.UUID(fields["key"])
    except ValueError:
        identifier = None
    if identifier is None or identifier.version != _UUID_VERSION_WITH_TIME:
        raise _InvalidFields(
            RequestError("$.birth", "missing, and the key is no UUIDv7")
        )
    milliseconds = identifier.int >> _UUID_TIME_SHIFT
    epoch = datetime(1970, 1, 1, tzinfo=timezone.utc)
    try:
        return epoch + timedelta(milliseconds=milliseconds)
    except OverflowError as error:
        raise _InvalidFields(RequestError("$.key", "time out of range")) from error


def _as_utc(birth: datetime) -> datetime:
    try:
        return birth.astimezone(timezone.utc)
    except OverflowError as error:
        raise _InvalidFields(RequestError("$.birth", "out of range")) from error


def _digest(service: str, not_repeatable: bool, bodies: list[bytes]) -> bytes:
    """Return the hash that tells a resubmission from another job with the same key."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (service.encode(), b"1" if not_repeatable else b"0", *bodies):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
