"""An in-memory stand-in for the platform's transactional table service.

Versions come from one growing revision, also across deletes, so a version never repeats
for a key. Faults are set over HTTP. Run: python -m tests.standins.table --port 0
"""

import json
from typing import NamedTuple

import click
import gevent

from gypsumspoke.core.rows import MEMBERS_PREFIX
from tests.standins.server import Routes, Unanswered, serve


class Faults(NamedTuple):
    """Faults to inject.

    Attributes:
      down: requests have no effect and get no answer.
      delay_seconds: delay before each request takes effect.
      lose_answers: number of further transactions that take effect without an
        answer.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0


class Table:
    """Serves rows with versions, injects faults and counts reads and writes."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[int, str]] = {}
        self._revision = 0
        self._faults = Faults()
        self._counts = {"reads": 0, "writes": 0}
        self._advertised: dict[str, int] = {}

    @property
    def routes(self) -> Routes:
        """Handlers of the HTTP interface."""
        return {
            ("POST", "/v1/read"): self._read,
            ("POST", "/v1/transactions"): self._transact,
            ("POST", "/faults"): self._set_faults,
            ("POST", "/advertised"): self._set_advertised,
            ("GET", "/counts"): lambda body, environ: (200, self._counts),
        }

    def _set_faults(self, body, environ):
        self._faults = Faults(**body)
        return 200, self._faults._asdict()

    def _set_advertised(self, body, environ):
        """Replace the port in later registrations of a worker, by that of a relay."""
        self._advertised[body["worker"]] = body["port"]
        return 200, {}

    def _read(self, body, environ):
        self._counts["reads"] += 1
        self._inject_faults()
        rows = [
            {"key": key, "version": version, "value": value}
            for key, (version, value) in sorted(self._rows.items())
            if key.startswith(body["prefix"])
        ]
        return 200, {"rows": rows, "revision": self._revision}

    def _transact(self, body, environ):
        self._counts["writes"] += 1
        self._inject_faults()
        for check in body["checks"]:
            version, _ = self._rows.get(check["key"], (0, None))
            if version != check["version"]:
                return 409, {"committed": False}
        self._write(body["writes"])
        if self._faults.lose_answers:
            remaining = self._faults.lose_answers - 1
            self._faults = self._faults._replace(lose_answers=remaining)
            raise Unanswered
        return 200, {"committed": True, "revision": self._revision}

    def _write(self, writes):
        self._revision += 1
        for write in writes:
            if write["value"] is None:
                self._rows.pop(write["key"], None)
            else:
                value = self._replace_port(write["key"], write["value"])
                self._rows[write["key"]] = (self._revision, value)

    def _replace_port(self, key: str, value: str) -> str:
        if not self._advertised or not key.startswith(MEMBERS_PREFIX):
            return value
        member = json.loads(value)
        member["port"] = self._advertised.get(member["worker"], member["port"])
        return json.dumps(member)

    def _inject_faults(self):
        if self._faults.down:
            raise Unanswered
        if self._faults.delay_seconds:
            gevent.sleep(self._faults.delay_seconds)


@click.command()
@click.option("--port", default=0, help="TCP port on 127.0.0.1; 0 for any.")
def main(port: int) -> None:
    """Serve an empty table until SIGTERM."""
    serve(port, Table().routes)


if __name__ == "__main__":
    main()
