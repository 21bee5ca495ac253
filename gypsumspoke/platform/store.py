"""Client of the platform's store: reads tables, follows their changes, writes rows.

A write without an answer may have been applied. Rows are written by one process only,
so writes are repeated until the store confirms them.
"""

import base64
import json
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple
from urllib.parse import urlencode

import gevent
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from gypsumspoke.runs.settings import Address
from gypsumspoke.shell.keep_alive import KeepAliveClient, Request, success

_JSON = {"Content-Type": "application/json"}
_CONNECT_TIMEOUT = timedelta(milliseconds=500)
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Many times what an answer usually takes, since the store may be slow.
CALL_TIMEOUT = timedelta(milliseconds=800)
# Bounds the number of calls during an outage: calls are priced and rate-limited.
RETRY_DELAY = timedelta(milliseconds=400)

_log = logging.getLogger(__name__)


class StoredRow(NamedTuple):
    """A row of a table; ``value`` is None if the row was removed."""

    key: str
    value: bytes | None


class Table(NamedTuple):
    """The rows of a table.

    Attributes:
      rows: all values by key.
      revision: the store's revision as of which these are the rows.
      changed: keys of the rows written or removed since the previous state that the
        same watch got; None if that is unknown.
    """

    rows: dict[str, bytes]
    revision: int
    changed: frozenset[str] | None = None


class Watch(NamedTuple):
    """A table to follow for changes.

    Attributes:
      table: name of the table.
      wait: long-poll time: how long the store holds a call open for a change. A silent
        connection is noticed only after it, so it also bounds how late a change is
        seen.
      on_rows: called with the whole table after each change; must not block.
      pause: time between a change and the next call, to bound the number of calls.
    """

    table: str
    wait: timedelta
    on_rows: Callable[[Table], None]
    pause: timedelta = timedelta()


class Store:
    """Client of the store.

    Args:
      address: address of the store.
      watches: tables to follow.
    """

    def __init__(self, address: Address, watches: tuple[Watch, ...]) -> None:
        self._client = KeepAliveClient(address, _CONNECT_TIMEOUT, _MAX_ANSWER_BYTES)
        self._watches = watches
        self._greenlets: list[gevent.Greenlet] = []
        self._unwritten: dict[tuple[str, str, str], bytes] = {}
        self._is_reachable = True

    def start(self) -> None:
        """Start following the watched tables."""
        self._greenlets += [gevent.spawn(self._follow, each) for each in self._watches]

    def close(self) -> None:
        """Stop all calls and close the connections."""
        gevent.killall(self._greenlets)
        self._client.close()

    def put(
        self,
        table: str,
        key: str,
        value: bytes,
        part: str = "",
        on_stored: Callable[[], None] | None = None,
    ) -> None:
        """Write a row in the background, repeated until the store confirms it.

        Only for rows that no other process writes, since a repeated write could
        overwrite a newer value.

        Args:
          table, key, value: the row.
          part: the part of the table that it belongs to.
          on_stored: called once the store has confirmed the row; must not block. Only
            for rows that are written once.
        """
        row = (table, part, key)
        is_being_written = row in self._unwritten
        self._unwritten[row] = value
        if not is_being_written:
            self._spawn(self._put, *row, on_stored)

    def remove(self, table: str, keys: tuple[str, ...]) -> None:
        """Try once to remove rows, in the background.

        Args:
          table, keys: the rows; at most a hundred.
        """
        self._spawn(self._remove, table, keys)

    def _spawn(self, call: Callable[..., None], *arguments: Any) -> None:
        self._greenlets = [each for each in self._greenlets if not each.dead]
        self._greenlets.append(gevent.spawn(call, *arguments))

    def read_once(
        self, table: str, on_rows: Callable[[Table], None], part: str = ""
    ) -> None:
        """Read a part of a table once in the background, repeated until it is answered.

        Args:
          table: name of the table.
          on_rows: called once with all rows of the part; must not block.
          part: which part.
        """
        self._greenlets.append(gevent.spawn(self._read_once, table, part, on_rows))

    def _read_once(
        self, table: str, part: str, on_rows: Callable[[Table], None]
    ) -> None:
        read = self._read_table(table, part)
        while not is_successful(read):
            gevent.sleep(RETRY_DELAY.total_seconds())
            read = self._read_table(table, part)
        on_rows(read.unwrap())

    def _put(
        self,
        table: str,
        part: str,
        key: str,
        on_stored: Callable[[], None] | None,
    ) -> None:
        """Write the latest value of a row, again if it changes during the write."""
        row = (table, part, key)
        while row in self._unwritten:
            value = self._unwritten[row]
            if not is_successful(self._write(*row, value)):
                gevent.sleep(RETRY_DELAY.total_seconds())
            elif self._unwritten[row] is value:
                del self._unwritten[row]
        if on_stored is not None:
            on_stored()

    def _remove(self, table: str, keys: tuple[str, ...]) -> None:
        rows = [{"table": table, "part": "", "key": key} for key in keys]
        removed = self._transact([], rows)
        if not is_successful(removed):
            details = {"table": table, "reason": removed.failure()}
            _log.warning({"message": "rows not removed", "details": details})

    def _write(
        self, table: str, part: str, key: str, value: bytes
    ) -> Result[dict, str]:
        row = {
            "table": table,
            "part": part,
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        return self._transact([row], [])

    def _transact(
        self, puts: list[dict[str, str]], removed: list[dict[str, str]]
    ) -> Result[dict, str]:
        body = {"expected_revision": [], "puts": puts, "remove": removed}
        request = Request("POST", "/v1/rows-tx", _JSON, json.dumps(body).encode())
        return self._call(request, CALL_TIMEOUT)

    def _follow(self, watch: Watch) -> None:
        while True:
            try:
                self._follow_until_lost(watch)
            except Exception:
                # An unexpected answer must not end the watch for good.
                _log.exception({"message": "watch failed", "table": watch.table})
            gevent.sleep(RETRY_DELAY.total_seconds())

    def _follow_until_lost(self, watch: Watch) -> None:
        """Read the whole table, then apply its changes until a call fails."""
        read = self._read_table(watch.table)
        if not is_successful(read):
            return
        table = read.unwrap()
        watch.on_rows(table)
        rows, revision = table.rows, table.revision
        while True:
            changed = self._read_changes(watch, revision)
            if not is_successful(changed):
                return
            changes, revision = changed.unwrap()
            if not changes:
                continue
            for row in changes:
                if row.value is None:
                    rows.pop(row.key, None)
                else:
                    rows[row.key] = row.value
            keys = frozenset(row.key for row in changes)
            watch.on_rows(Table(rows, revision, keys))
            gevent.sleep(watch.pause.total_seconds())

    def _read_table(self, table: str, part: str = "") -> Result[Table, str]:
        """Return all rows of one part of a table.

        Its revision is that of the first page, so that the feed from there includes any
        change made between two pages.
        """
        rows: dict[str, bytes] = {}
        revision = None
        query = {"table": table, "part": part}
        while True:
            request = Request("GET", "/v1/rows-get?" + urlencode(query), {})
            answer = self._call(request, CALL_TIMEOUT)
            if not is_successful(answer):
                return answer
            fields = answer.unwrap()
            page = _rows(fields)
            rows.update({row.key: row.value for row in page})
            revision = fields["ver"] if revision is None else revision
            if not fields["more_pages"]:
                return Success(Table(rows, revision))
            # The range includes its start, so continue at the next possible key.
            query["from"] = fields["rows"][-1]["key"] + "\x00"

    def _read_changes(
        self, watch: Watch, revision: int
    ) -> Result[tuple[list[StoredRow], int], str]:
        query = {
            "table": watch.table,
            "after": revision,
            "wait_ms": watch.wait // timedelta(milliseconds=1),
        }
        request = Request("GET", "/v1/rows-feed?" + urlencode(query), {})
        answer = self._call(request, watch.wait + CALL_TIMEOUT)
        if not is_successful(answer):
            return answer
        fields = answer.unwrap()
        return Success((_rows(fields), fields["ver"]))

    def _call(self, request: Request, timeout: timedelta) -> Result[dict, str]:
        """Send a request and return the fields of the answer."""
        answer = success(self._client.send(request, timeout)).bind(_fields)
        self._update_reachability(request, answer)
        return answer

    def _update_reachability(self, request: Request, answer: Result[Any, str]) -> None:
        """Record whether the store answers, and log each change once."""
        is_reachable = is_successful(answer)
        if is_reachable is self._is_reachable:
            return
        self._is_reachable = is_reachable
        if is_reachable:
            _log.info({"message": "store reached again"})
            return
        details = {"call": request.path, "reason": answer.failure()}
        _log.warning({"message": "store lost", "details": details})


def _fields(body: bytes) -> Result[dict, str]:
    try:
        fields = json.loads(body)
    except ValueError:
        return Failure("the answer is not JSON")
    return (
        Success(fields)
        if isinstance(fields, dict)
        else Failure("the answer is not a JSON object")
    )


def _rows(fields: dict[str, Any]) -> list[StoredRow]:
    """Decode the rows, skipping those without a key."""
    rows = []
    for each in fields["rows"]:
        try:
            rows.append(_row(each))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            _log.error(
                {"message": "unreadable row", "details": {"reason": repr(error)}}
            )
    return rows


def _row(fields: dict[str, Any]) -> StoredRow:
    key = fields["key"]
    if not isinstance(key, str):
        raise TypeError(f"the key {key!r} is not a text")
    if fields.get("removed"):
        return StoredRow(key, None)
    try:
        return StoredRow(key, base64.b64decode(fields["value"], validate=True))
    except (KeyError, TypeError, ValueError) as error:
        # The row exists all the same, which alone says something for some keys.
        details = {"key": key, "reason": repr(error)}
        _log.error({"message": "unreadable value", "details": details})
        return StoredRow(key, b"")
