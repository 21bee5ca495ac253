"""The platform's metadata store: the calls that the system makes of it."""

import asyncio
import base64
import json
import time
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from standins.http import Answer, Request, start_server
from standins.wire import NAMES


class Row(NamedTuple):
    """A row; ``value`` is None once it was removed."""

    version: int
    value: str | None


class Store:
    """Rows by table, part and key, each with the version of its transaction."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._version = 0
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        await start_server(self._answer, host, port)

    def put_json(self, table: str, key: str, value: object) -> None:
        """Write a row whose value is JSON, as the operator does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([((table, "", key), text)])

    def has_value(self, value: str) -> bool:
        """Return whether a row has this value."""
        text = base64.b64encode(value.encode()).decode()
        return any(row.value == text for row in self._rows.values())

    def _apply(self, changes: list[tuple[tuple[str, str, str], str | None]]) -> None:
        self._version += 1
        for place, value in changes:
            self._rows[place] = Row(self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Request) -> Answer:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == NAMES["rows_get"]:
            return self._get(query)
        if url.path == NAMES["rows_feed"]:
            return await self._feed(query)
        if url.path == NAMES["rows_tx"]:
            return self._transact(json.loads(request.body))
        return Answer(404, {})

    def _success(self, **fields: object) -> Answer:
        now = int(time.monotonic() * 1000)
        return Answer(200, {**fields, "ver": self._version, "now_ms": now})

    def _get(self, query: dict[str, str]) -> Answer:
        place = (query["table"], query.get("part", ""))
        rows = [
            _encode(key, row)
            for key, row in sorted(self._rows.items())
            if key[:2] == place
            and row.value is not None
            and key[2] >= query.get("from", "")
        ]
        return self._success(rows=rows, more_pages=False)

    async def _feed(self, query: dict[str, str]) -> Answer:
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = sorted(
                (row.version, key)
                for key, row in self._rows.items()
                if key[0] == table and row.version > after
            )
            left = end - time.monotonic()
            if changed or left <= 0:
                rows = [_encode(key, self._rows[key]) for _, key in changed]
                return self._success(rows=rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body: dict) -> Answer:
        for expected in body.get(NAMES["expected"], []):
            row = self._rows.get(_place(expected), Row(0, None))
            if expected["ver"] != (0 if row.value is None else row.version):
                return Answer(412, {"rows": [], "ver": self._version})
        changes = [(_place(put), put["value"]) for put in body.get("puts", [])]
        changes += [(_place(gone), None) for gone in body.get("remove", [])]
        self._apply(changes)
        return self._success()


def _place(fields: dict) -> tuple[str, str, str]:
    return fields["table"], fields.get("part", ""), fields["key"]


def _encode(place: tuple[str, str, str], row: Row) -> dict:
    table, part, key = place
    fields = {"table": table, "part": part, "key": key, "ver": row.version}
    if row.value is None:
        return {**fields, "removed": True}
    return {**fields, "value": row.value}
