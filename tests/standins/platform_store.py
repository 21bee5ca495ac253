"""An in-process stand-in for the platform's store, with switchable faults.

Implements the part of the store's HTTP interface that the product uses.
"""

import base64
import json
import time
from urllib.parse import parse_qs

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from tests.standins.server import Unanswered


class PlatformStore:
    """Serves rows by table and key; feeds contain only rows with an empty ``part``.

    Attributes:
      rows: version and value by table and key; rows in a part of its own are under
        "TABLE/PART".
      status: HTTP status returned for every request; None serves requests normally.
      silent: requests wait for their answer until this is False again.
      lose_answers: number of further writes that take effect without an answer.
      calls: method and path of each request received.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.version = 0
        self.oldest = 0
        self.status: int | None = None
        self.silent = False
        self.lose_answers = 0
        self.calls: list[tuple[str, str]] = []
        self._changed = Event()
        self._server = WSGIServer((host, 0), self._answer, log=None, error_log=None)

    def __enter__(self) -> "PlatformStore":
        self._server.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._server.stop(timeout=0)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the server."""
        return self._server.address

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row without checks; None removes it."""
        self.version += 1
        encoded = base64.b64encode(value).decode() if value is not None else None
        self.rows[table, key] = (self.version, encoded)
        self._changed.set()
        self._changed = Event()

    def put_json(self, table: str, key: str, value: dict) -> None:
        """Write a row whose value is JSON."""
        self.put(table, key, json.dumps(value).encode())

    def value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None if there is no such row."""
        _, encoded = self.rows.get((table, key), (0, None))
        return base64.b64decode(encoded) if encoded is not None else None

    def forget_history(self) -> None:
        """Drop the change history: a feed from an older version is answered 410."""
        self.oldest = self.version + 1
        self.version += 1
        self._changed.set()
        self._changed = Event()

    def _answer(self, environ, start_response):
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        self.calls.append((method, path))
        while self.silent:
            gevent.sleep(0.02)
        if self.status is not None:
            return _respond(start_response, self.status, {})
        query = {
            name: values[0]
            for name, values in parse_qs(environ.get("QUERY_STRING", "")).items()
        }
        body = environ["wsgi.input"].read()
        handler = {
            ("GET", "/v1/rows-get"): lambda: self._get(query),
            ("GET", "/v1/rows-feed"): lambda: self._feed(query),
            ("POST", "/v1/rows-tx"): lambda: self._transact(json.loads(body)),
        }.get((method, path))
        if handler is None:
            return _respond(start_response, 404, {})
        status, fields = handler()
        fields = {**fields, "ver": self.version, "now_ms": int(time.monotonic() * 1e3)}
        return _respond(start_response, status, fields)

    def _get(self, query):
        found = [
            _row(table, key, version, value)
            for (table, key), (version, value) in sorted(self.rows.items())
            if table == _place(query)
            and value is not None
            and key >= query.get("from", "")
        ]
        return 200, {"rows": found[:500], "more_pages": len(found) > 500}

    def _feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            changed = sorted(
                (version, table, key, value)
                for (table, key), (version, value) in self.rows.items()
                if table == query["table"] and version > after
            )
            remaining = end - time.monotonic()
            if changed or remaining <= 0:
                rows = [_row(table, key, ver, val) for ver, table, key, val in changed]
                return 200, {"rows": rows}
            self._changed.wait(remaining)

    def _transact(self, body):
        for check in body["expected_revision"]:
            version, value = self.rows.get((_place(check), check["key"]), (0, None))
            if check["ver"] != (version if value is not None else 0):
                return 412, {"rows": []}
        for put in body["puts"]:
            self.put(_place(put), put["key"], base64.b64decode(put["value"]))
        for removed in body["remove"]:
            self.put(_place(removed), removed["key"], None)
        if self.lose_answers:
            self.lose_answers -= 1
            raise Unanswered
        return 200, {}


def _place(fields):
    """Return the first part of the key in ``rows``."""
    return "/".join(filter(None, (fields["table"], fields.get("part"))))


def _row(place, key, version, value):
    table, _, part = place.partition("/")
    row = {"table": table, "part": part, "key": key, "ver": version}
    if value is None:
        return {**row, "removed": True}
    return {**row, "value": value}


def _respond(start_response, status, fields):
    payload = json.dumps(fields).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(payload))),
    ]
    start_response(f"{status} Answer", headers)
    return [payload]
