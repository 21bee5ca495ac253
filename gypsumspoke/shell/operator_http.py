"""The operators' HTTP interface of an entry, on its administration port.

Operators may change the same row concurrently, and the table's answer to a write that
took effect may be lost. So every change is a compare-and-set. After a lost answer the
same transaction is sent again, which commits or conflicts with itself; then the row is
read back to find out whether the change took effect.
"""

import json
import logging
from collections.abc import Callable, Iterable
from typing import Any

from returns.pipeline import is_successful

from gypsumspoke.core import membership
from gypsumspoke.core.clock import Clock
from gypsumspoke.core.effects import Count
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.events import Received, WriteOutcome
from gypsumspoke.core.messages import ManifestUpdate
from gypsumspoke.core.refusals import refusal_answer
from gypsumspoke.core.rows import (
    MANIFEST_KEY,
    MEMBERS_PREFIX,
    member_from_row,
    member_value,
)
from gypsumspoke.core.values import Member, Row
from gypsumspoke.http.answers import (
    BodyTooLarge,
    Environ,
    HttpAnswer,
    StartResponse,
    json_answer,
    read_body,
    respond,
)
from gypsumspoke.parser.manifest import parse_manifest
from gypsumspoke.shell.job_answers import problem
from gypsumspoke.shell.manifest_history import (
    HISTORY_KEY,
    MAX_HISTORY_LENGTH,
    Change,
    StoredManifest,
    digest_of,
    history_of,
    history_value,
)
from gypsumspoke.shell.operator_table import OperatorTable

MANIFEST_PATH = "/v1/manifest"
MANIFEST_STATUS_PATH = "/v1/manifest/status"
STATUS_PATH = "/v1/status"
WORKERS_PATH = "/v1/workers/"
CHANGE_ID_HEADER = "Gypsumspoke-Change-Id"
MAX_BODY_BYTES = 512 * 1024
MAX_CHANGE_ID_LENGTH = 100
# Header fields that are looked at.
FIELDS = frozenset(("if-match", CHANGE_ID_HEADER.lower()))

_log = logging.getLogger(__name__)


class _Refused(Exception):
    """Aborts a request with the given answer; caught in this module."""

    def __init__(self, kind: ErrorKind, detail: str, **more: Any) -> None:
        super().__init__(detail)
        self.kind = kind
        self.answer = problem(refusal_answer(kind, detail), **more)


class OperatorHttp:
    """The WSGI application towards operators.

    Args:
      table: the platform's table.
      view: returns the membership view of this process, which must not be modified.
      post: queues an event for the reducer.
      count: counts a refusal.
      clock: source of time.
    """

    def __init__(
        self,
        table: OperatorTable,
        view: Callable[[], membership.MembershipState],
        post: Callable[[Any], None],
        count: Callable[[Count], None],
        clock: Clock,
    ) -> None:
        self._table = table
        self._view = view
        self._post = post
        self._count = count
        self._clock = clock

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request (WSGI)."""
        try:
            answer = self._answer(environ)
        except _Refused as refused:
            self._count(Count(refused.kind))
            answer = refused.answer
        return respond(answer, start)

    def _answer(self, environ: Environ) -> HttpAnswer:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        routes = {
            ("GET", MANIFEST_PATH): self._show_manifest,
            ("PUT", MANIFEST_PATH): self._apply_manifest,
            ("GET", MANIFEST_STATUS_PATH): self._show_manifest_status,
            ("GET", STATUS_PATH): self._show_status,
        }
        if (method, path) in routes:
            return routes[method, path](environ)
        worker, _, action = path.removeprefix(WORKERS_PATH).rpartition("/")
        if method == "POST" and path.startswith(WORKERS_PATH) and worker:
            if action == "drain":
                return self._drain(worker)
            if action == "gone":
                return self._declare_ended(worker, environ)
        raise _Refused(ErrorKind.INVALID_REQUEST, f"no such request: {method} {path}")

    # -----------------------------------------------------------------------
    # Manifest

    def _show_manifest(self, environ: Environ) -> HttpAnswer:
        stored = self._stored_manifest()
        if stored.version == 0:
            raise _Refused(ErrorKind.NO_MANIFEST, "")
        headers = [("ETag", f'"{stored.version}"')]
        for change in stored.changes:
            if change.version == stored.version:
                headers.append((CHANGE_ID_HEADER, change.change_id))
        return HttpAnswer(200, stored.text.encode(), tuple(headers))

    def _apply_manifest(self, environ: Environ) -> HttpAnswer:
        text = self._body(environ)
        base = _base_version(environ)
        change_id = _change_id(environ)
        parsed = parse_manifest(text)
        if not is_successful(parsed):
            errors = list(parsed.failure())
            raise _Refused(ErrorKind.INVALID_MANIFEST, "; ".join(errors), errors=errors)
        stored = self._stored_manifest()
        known = stored.change(change_id)
        if known is None:
            version = self._replace_manifest(stored, text, base, change_id)
        elif known.digest == digest_of(text):
            version = known.version
        else:
            detail = "the change id was used with another manifest"
            raise _Refused(ErrorKind.CONFLICT, detail)
        _log_event(
            logging.INFO, "manifest accepted", version=version, change_id=change_id
        )
        self._post(Received("", ManifestUpdate(version, text)))
        return json_answer({"version": version, "change_id": change_id})

    def _replace_manifest(
        self, stored: StoredManifest, text: str, base: int, change_id: str
    ) -> int:
        """Replace manifest version ``base`` and return the new version."""
        if stored.version != base:
            raise _conflict(base, stored.version)
        accepted = self._clock.now().isoformat()
        change = Change(change_id, 0, accepted, digest_of(text))
        checks = (
            (MANIFEST_KEY, stored.version),
            (HISTORY_KEY, stored.history_version),
        )
        changes = (change, *stored.changes)[:MAX_HISTORY_LENGTH]
        writes = ((MANIFEST_KEY, text), (HISTORY_KEY, history_value(changes)))
        written = self._table.write(checks, writes)
        if written.outcome is WriteOutcome.COMMITTED:
            return written.revision
        # The history shows whether this change or another one took effect.
        read_back = self._stored_manifest()
        found = read_back.change(change_id)
        if found is not None:
            return found.version
        if written.outcome is WriteOutcome.LOST:
            raise _Refused(
                ErrorKind.STORE_UNAVAILABLE,
                "the change may still take effect; ask again with the same change id",
            )
        raise _conflict(base, read_back.version)

    def _stored_manifest(self) -> StoredManifest:
        # The history is read first: a history newer than the text would attribute the
        # old text to the new change.
        history = self._read(HISTORY_KEY).get(HISTORY_KEY, Row(HISTORY_KEY, 0, None))
        row = self._read(MANIFEST_KEY).get(MANIFEST_KEY, Row(MANIFEST_KEY, 0, None))
        changes = history_of(history)
        return StoredManifest(row.version, row.value or "", history.version, changes)

    def _show_manifest_status(self, environ: Environ) -> HttpAnswer:
        view = self._view()
        own = membership.manifest_version(view)
        processes = []
        for member in self._live_members():
            version = own if membership.is_self(view, member.incarnation) else None
            heard = membership.last_heartbeats(view).get(member.incarnation)
            if heard is not None:
                version = heard.heartbeat.manifest_version
            processes.append(
                {
                    "worker": member.worker,
                    "incarnation": member.incarnation,
                    "role": member.role.value,
                    "manifest_version": version,
                }
            )
        versions = {process["manifest_version"] for process in processes}
        newest = max((version for version in versions if version), default=0)
        return json_answer(
            {
                "newest_version": newest,
                "in_force_everywhere": versions == {newest},
                "processes": processes,
            }
        )

    # -----------------------------------------------------------------------
    # Members

    def _show_status(self, environ: Environ) -> HttpAnswer:
        view = self._view()
        rows = sorted(membership.partition_rows(view).values())
        partitions = [
            {"partition": row.partition, "owner": row.owner, "epoch": row.epoch}
            for row in rows
        ]
        members = [self._member_status(member) for member in membership.members(view)]
        return json_answer(
            {
                "manifest_version": membership.manifest_version(view),
                "members": members,
                "partitions": partitions,
            }
        )

    def _member_status(self, member: Member) -> dict[str, Any]:
        view = self._view()
        status = {
            "worker": member.worker,
            "incarnation": member.incarnation,
            "role": member.role.value,
            "address": f"{member.host}:{member.port}",
            "admin_port": member.admin_port,
            "failure_domain": member.failure_domain,
            "rack": member.rack,
            "service": member.service,
            "slots": member.slots,
            "registered": member.registered.isoformat(),
            "ended": member.ended.isoformat() if member.ended else None,
            "draining": member.draining,
            "reachable": self._is_reachable(member),
        }
        heard = membership.last_heartbeats(view).get(member.incarnation)
        if heard is not None:
            status["leaving"] = heard.heartbeat.leaving
            status["clock_ahead_seconds"] = (
                heard.heartbeat.clock - heard.at
            ).total_seconds()
            if heard.heartbeat.load is not None:
                load = heard.heartbeat.load
                status["running"] = load.running
                status["queued"] = load.queued
        return status

    def _drain(self, worker: str) -> HttpAnswer:
        """Mark the worker's row as draining.

        Heartbeats carry row versions, so the process reads the mark even if it has no
        connection to this entry.
        """
        row, member = self._live_row(worker)
        if not member.draining:
            member = self._change_member(row, member._replace(draining=True))
        return json_answer(
            {"worker": worker, "incarnation": member.incarnation, "draining": True}
        )

    def _declare_ended(self, worker: str, environ: Environ) -> HttpAnswer:
        """Record an incarnation as ended, as confirmed by the operator.

        Homes stop waiting for it, and would not know what it starts if it still ran.
        So the request must name the incarnation, which changes with a restart, and is
        refused for a process that is reachable from this entry.
        """
        row, member = self._live_row(worker)
        self._check_confirmation(environ, member)
        if self._is_reachable(member):
            raise _Refused(
                ErrorKind.CONFLICT, "the process still answers; drain it instead"
            )
        ended = member._replace(ended=self._clock.now())
        self._change_member(row, ended)
        _log_event(
            logging.WARNING,
            "worker declared gone by an operator",
            of_worker=worker,
            incarnation=member.incarnation,
        )
        return json_answer(
            {"worker": worker, "incarnation": member.incarnation, "ended": True}
        )

    def _check_confirmation(self, environ: Environ, member: Member) -> None:
        try:
            fields = json.loads(self._body(environ) or "{}")
        except ValueError:
            fields = None
        if not isinstance(fields, dict):
            raise _Refused(ErrorKind.INVALID_REQUEST, "the body is no JSON object")
        confirmed = fields.get("confirm_ended_for_good") is True
        if not confirmed or fields.get("incarnation") != member.incarnation:
            raise _Refused(
                ErrorKind.INVALID_REQUEST,
                'the body must be {"incarnation": the one that ended, '
                '"confirm_ended_for_good": true}',
                incarnation=member.incarnation,
            )

    def _live_row(self, worker: str) -> tuple[Row, Member]:
        """Read and return the row of the worker's live incarnation."""
        live = []
        for row in self._read(MEMBERS_PREFIX).values():
            try:
                member = member_from_row(row)
            except ValueError:
                continue
            if member.worker == worker and member.ended is None:
                live.append((member.registered, member.incarnation, row, member))
        if not live:
            raise _Refused(ErrorKind.INVALID_REQUEST, f"no live worker {worker!r}")
        _, _, row, member = max(live)
        return row, member

    def _change_member(self, row: Row, changed: Member) -> Member:
        value = member_value(changed)
        written = self._table.write(((row.key, row.version),), ((row.key, value),))
        if written.outcome is not WriteOutcome.COMMITTED:
            now = self._read(row.key).get(row.key)
            if now is None or now.value != value:
                lost = written.outcome is WriteOutcome.LOST
                kind = ErrorKind.STORE_UNAVAILABLE if lost else ErrorKind.CONFLICT
                raise _Refused(kind, "the member's row changed meanwhile")
        self._post(membership.ViewOutdated())
        return changed

    def _live_members(self) -> list[Member]:
        found = membership.members(self._view())
        return [member for member in found if member.ended is None]

    def _is_reachable(self, member: Member) -> bool:
        view = self._view()
        is_self = membership.is_self(view, member.incarnation)
        return is_self or member.incarnation in membership.reachable(view)

    # -----------------------------------------------------------------------
    # Table and body

    def _read(self, prefix: str) -> dict[str, Row]:
        rows = self._table.read(prefix)
        if rows is None:
            raise _Refused(ErrorKind.STORE_UNAVAILABLE, "the table does not answer")
        return rows

    def _body(self, environ: Environ) -> str:
        try:
            return read_body(environ, MAX_BODY_BYTES).decode()
        except BodyTooLarge:
            raise _Refused(
                ErrorKind.BODY_TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes are taken"
            ) from None
        except (OSError, UnicodeDecodeError) as error:
            raise _Refused(ErrorKind.INVALID_REQUEST, f"bad body: {error}") from error


def _log_event(level: int, event: str, **details: str | int) -> None:
    """Write one log line in the format of ``shell/logs.py``."""
    _log.log(level, {"message": event, "details": details})


def _conflict(base: int, current: int) -> _Refused:
    detail = f"version {base} is not in force, but {current}"
    return _Refused(ErrorKind.CONFLICT, detail, current_version=current)


def _base_version(environ: Environ) -> int:
    """Return the version that the operator read, from If-Match; 0 means none."""
    text = environ.get("HTTP_IF_MATCH", "").strip().strip('"')
    if not text.isdecimal() or len(text) > 18:
        raise _Refused(
            ErrorKind.INVALID_REQUEST, 'If-Match must be the version read, as "7"'
        )
    return int(text)


def _change_id(environ: Environ) -> str:
    variable = "HTTP_" + CHANGE_ID_HEADER.upper().replace("-", "_")
    change_id = environ.get(variable, "")
    if not 0 < len(change_id) <= MAX_CHANGE_ID_LENGTH:
        raise _Refused(
            ErrorKind.INVALID_REQUEST,
            f"{CHANGE_ID_HEADER} must name this change",
        )
    return change_id
