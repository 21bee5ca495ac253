"""Operators' requests to the administration port of an entry.

Applying a manifest is the delicate one. The pipeline may race another operator, and an
answer may be lost after the write took effect. Each apply therefore names the version
it replaces and a change id of its own, and the entry keeps the ids of accepted changes:
sent again, the same change gets the version it got before and is not written twice.
"""

import json
import uuid
from typing import NamedTuple
from urllib.parse import quote

from returns.result import Failure, Result, Success

from gypsumspoke.tools.exit_codes import ExitCode
from gypsumspoke.tools.http_client import Address, NoReply, Reply, Request, exchange

MANIFEST_PATH = "/v1/manifest"
MANIFEST_STATUS_PATH = "/v1/manifest/status"
STATUS_PATH = "/v1/status"
WORKERS_PATH = "/v1/workers/"
CHANGE_ID_HEADER = "Gypsumspoke-Change-Id"
VERSION_ABSENT = 0

APPLY_TRIES = 5

_CONFLICTS = (409, 412)
_NOT_FOUND = 404
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class CommandError(NamedTuple):
    """Why a command did not do what was asked.

    Attributes:
      code: exit code of the command.
      reason: one sentence, or several lines, for a person.
    """

    code: ExitCode
    reason: str


class CurrentManifest(NamedTuple):
    """The manifest in force at the entry asked.

    Attributes:
      version: 0 when there is none.
      text: its text; empty when there is none.
      change_id: of the change that brought it.
    """

    version: int
    text: str
    change_id: str


def show_manifest(admin: Address) -> Result[CurrentManifest, CommandError]:
    """Read the manifest from the platform's table by way of an entry."""
    return _ask(admin, Request("GET", MANIFEST_PATH)).bind(_current_manifest)


def apply_manifest(
    admin: Address, text: str, change_id: str | None = None
) -> Result[int, CommandError]:
    """Put a manifest in force in place of the current one.

    Args:
      admin: administration port of an entry.
      text: a manifest that has been checked.
      change_id: identity of this change; a new one if None. A pipeline that
        repeats a step passes the same one.

    Returns:
      The version that the manifest got, or why it is not in force or may not be.
    """
    change_id = change_id or str(uuid.uuid4())
    return show_manifest(admin).bind(
        lambda current: _put_manifest(admin, text, current.version, change_id)
    )


def _put_manifest(
    admin: Address, text: str, base: int, change_id: str
) -> Result[int, CommandError]:
    headers = {
        "If-Match": f'"{base}"',
        "Content-Type": "application/json",
        CHANGE_ID_HEADER: change_id,
    }
    request = Request("PUT", MANIFEST_PATH, headers, text.encode())
    for _ in range(APPLY_TRIES):
        reply = exchange(admin, request)
        lost = _lost_reason(reply)
        if lost is None:
            return _applied(reply.unwrap(), base)
    reason = (
        f"no answer after {APPLY_TRIES} tries ({lost}); the manifest may or may not be "
        f"in force: run the command again with --change-id {change_id}"
    )
    return Failure(CommandError(ExitCode.UNKNOWN, reason))


def _lost_reason(reply: Result[Reply, NoReply]) -> str | None:
    """Return why the end of a write is not known, or None when it is."""
    if isinstance(reply, Failure):
        return reply.failure().reason
    if reply.unwrap().status in (_UNAVAILABLE, _GATEWAY_TIMEOUT):
        return describe(reply.unwrap())
    return None


def _applied(reply: Reply, base: int) -> Result[int, CommandError]:
    if reply.status not in _CONFLICTS:
        return _accepted(reply).bind(_version)
    reason = (
        f"conflict while replacing version {base}; this manifest is not in force. Look "
        f"at the current version and decide again.\n{describe(reply)}"
    )
    return Failure(CommandError(ExitCode.CONFLICT, reason))


def _version(reply: Reply) -> Result[int, CommandError]:
    try:
        return Success(int(json.loads(reply.body)["version"]))
    except (ValueError, KeyError, TypeError) as error:
        reason = f"the entry's answer is not understood: {error!r}"
        return Failure(CommandError(ExitCode.UNKNOWN, reason))


def _current_manifest(reply: Reply) -> Result[CurrentManifest, CommandError]:
    if reply.status == _NOT_FOUND:
        return Success(CurrentManifest(VERSION_ABSENT, "", ""))
    return _accepted(reply).bind(_read_manifest)


def _read_manifest(reply: Reply) -> Result[CurrentManifest, CommandError]:
    try:
        version = int(reply.headers.get("etag", "").strip('"'))
    except ValueError:
        reason = "the entry's answer names no version"
        return Failure(CommandError(ExitCode.UNKNOWN, reason))
    change_id = reply.headers.get(CHANGE_ID_HEADER.lower(), "")
    return Success(CurrentManifest(version, reply.body.decode(), change_id))


def manifest_status(admin: Address) -> Result[str, CommandError]:
    """Return the manifest version in force at every process, as JSON text."""
    return _ask_text(admin, Request("GET", MANIFEST_STATUS_PATH))


def status(admin: Address) -> Result[str, CommandError]:
    """Return the members and partitions that an entry knows, as JSON text."""
    return _ask_text(admin, Request("GET", STATUS_PATH))


def drain(admin: Address, worker: str) -> Result[str, CommandError]:
    """Have a worker's process finish what it runs, take nothing new and exit."""
    return _ask_text(admin, Request("POST", _worker_path(worker, "drain")))


def gone(admin: Address, worker: str, incarnation: str) -> Result[str, CommandError]:
    """State that a process has ended for good, with its memory.

    The system then stops waiting for its records. The statement must be true: see
    docs/OPERATIONS.md.

    Args:
      admin: administration port of an entry.
      worker: name of the worker.
      incarnation: which of its processes, so that a restarted one is not meant.
    """
    fields = {"incarnation": incarnation, "confirm_ended_for_good": True}
    headers = {"Content-Type": "application/json"}
    body = json.dumps(fields).encode()
    request = Request("POST", _worker_path(worker, "gone"), headers, body)
    return _ask_text(admin, request)


def _worker_path(worker: str, action: str) -> str:
    return f"{WORKERS_PATH}{quote(worker, safe='')}/{action}"


def _ask_text(admin: Address, request: Request) -> Result[str, CommandError]:
    reply = _ask(admin, request).bind(_accepted)
    return reply.map(lambda reply: reply.body.decode(errors="replace"))


def _ask(admin: Address, request: Request) -> Result[Reply, CommandError]:
    return exchange(admin, request).alt(no_reply_error)


def no_reply_error(lost: NoReply) -> CommandError:
    """Return the error of a request that got no answer."""
    if lost.sent:
        reason = f"no answer came: {lost.reason}"
        return CommandError(ExitCode.UNKNOWN, reason)
    return CommandError(ExitCode.UNREACHABLE, f"can't connect: {lost.reason}")


def _accepted(reply: Reply) -> Result[Reply, CommandError]:
    if 200 <= reply.status < 300:
        return Success(reply)
    return Failure(CommandError(ExitCode.REFUSED, describe(reply)))


def describe(reply: Reply) -> str:
    """Return what an answer says, for a person."""
    text = reply.body.decode(errors="replace").strip()
    after = reply.headers.get("retry-after")
    hint = f" (come back after {after} s)" if after else ""
    return f"HTTP {reply.status}{hint}: {text}"
