"""A caller's requests to an entry: submit a job, ask for its answer, cancel it."""

import secrets
import uuid
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from gypsumspoke.core.clock import Clock
from gypsumspoke.parser.documents import DocumentError, to_strict_json
from gypsumspoke.tools.exit_codes import ExitCode
from gypsumspoke.tools.http_client import Address, Reply, Request, exchange
from gypsumspoke.tools.operator_client import CommandError, no_reply_error

JOBS_PATH = "/v1/jobs"
DEFAULT_WAIT_SECONDS = 120.0

_TIME_SHIFT = 80
_VERSION_MASK = 0xF << 76
_VERSION_7 = 7 << 76
_VARIANT_MASK = 0b11 << 62
_VARIANT_RFC = 0b10 << 62


def submit(
    entry: Address,
    text: str,
    key: str | None = None,
    wait: float = DEFAULT_WAIT_SECONDS,
) -> Result[Reply, CommandError]:
    """Submit a job and wait for its answer.

    Args:
      entry: HTTP address of an entry.
      text: the job as docs/API.md describes it, in JSON with comments.
      key: idempotency key in place of the one in ``text``; a UUIDv7 carries the birth.
      wait: bound on the wait for the answer, in seconds.

    Returns:
      The entry's answer, a refusal included, or why there is none.
    """
    body = to_strict_json(text).bind(lambda plain: _with_key(plain, key))
    if isinstance(body, Failure):
        return Failure(CommandError(ExitCode.BAD_INPUT, str(body.failure())))
    headers = {"Content-Type": "application/json"}
    request = Request("POST", JOBS_PATH, headers, body.unwrap())
    return exchange(entry, request, wait).alt(no_reply_error)


def _with_key(text: str, key: str | None) -> Result[bytes, DocumentError]:
    """Return the body with this key, and everything else byte for byte as it was."""
    if key is None:
        return Success(text.encode())
    try:
        fields = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
    except msgspec.DecodeError as error:
        return Failure(DocumentError("", str(error)))
    fields["key"] = msgspec.Raw(msgspec.json.encode(key))
    return Success(msgspec.json.encode(fields))


def new_key(clock: Clock) -> str:
    """Return a new idempotency key: a UUIDv7 (RFC 9562), which carries its birth."""
    milliseconds = int(clock.now().timestamp() * 1000)
    number = milliseconds << _TIME_SHIFT | secrets.randbits(_TIME_SHIFT)
    number = number & ~_VERSION_MASK | _VERSION_7
    number = number & ~_VARIANT_MASK | _VARIANT_RFC
    return str(uuid.UUID(int=number))


def query(entry: Address, team: str, key: str) -> Result[Reply, CommandError]:
    """Ask what became of a job."""
    request = Request("GET", job_path(team, key))
    return exchange(entry, request).alt(no_reply_error)


def cancel(entry: Address, team: str, key: str) -> Result[Reply, CommandError]:
    """Have nothing more of a job started."""
    request = Request("DELETE", job_path(team, key))
    return exchange(entry, request).alt(no_reply_error)


def job_path(team: str, key: str) -> str:
    """Return the path of one job; team and key are percent-encoded."""
    return f"{JOBS_PATH}/{quote(team, safe='')}/{quote(key, safe='')}"
