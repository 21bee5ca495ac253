"""A stand-in upstream that sleeps for a task's time and echoes its body.

It records all starts with the headers that identify the task. Faults are set over HTTP.
Run: python -m tests.standins.upstream --port 0
"""

from typing import NamedTuple

import click
import gevent
from gevent.event import Event

from tests.standins.server import Routes, Unanswered, serve

HEADERS = ("TEAM", "KEY", "TASK", "NOT_REPEATABLE")


class Faults(NamedTuple):
    """Faults to inject.

    Attributes:
      hang: tasks start and are not answered until this is False again.
      fail: tasks are answered 500 at once.
      drop: tasks start and the connection closes without an answer.
      slow_factor: multiplier of each task's time.
    """

    hang: bool = False
    fail: bool = False
    drop: bool = False
    slow_factor: float = 1.0


class Upstream:
    """Runs tasks, records their starts and injects faults."""

    def __init__(self) -> None:
        self._starts: list[dict[str, str]] = []
        self._faults = Faults()
        self._released = Event()
        self._running = 0

    @property
    def routes(self) -> Routes:
        """Handlers of the HTTP interface."""
        return {
            ("POST", "/run"): self._run,
            ("POST", "/faults"): self._set_faults,
            ("GET", "/starts"): lambda body, environ: (200, {"starts": self._starts}),
            ("GET", "/running"): lambda body, environ: (
                200,
                {"running": self._running},
            ),
        }

    def _set_faults(self, body, environ):
        self._faults = Faults(**body)
        if not self._faults.hang:
            self._released.set()
            self._released = Event()
        return 200, self._faults._asdict()

    def _run(self, body, environ):
        start = {
            name.lower(): environ.get("HTTP_GYPSUMSPOKE_" + name, "")
            for name in HEADERS
        }
        self._starts.append(start)
        self._running += 1
        try:
            return self._answer(body)
        finally:
            self._running -= 1

    def _answer(self, body):
        if self._faults.drop:
            raise Unanswered
        if self._faults.hang:
            self._released.wait()
        if self._faults.fail or body.get("fail"):
            return 500, {"error": "failed as asked"}
        gevent.sleep(body.get("sleep_seconds", 0) * self._faults.slow_factor)
        return 200, {"echo": body.get("echo")}


@click.command()
@click.option("--port", default=0, help="TCP port on 127.0.0.1; 0 for any.")
def main(port: int) -> None:
    """Run tasks until SIGTERM."""
    serve(port, Upstream().routes)


if __name__ == "__main__":
    main()
