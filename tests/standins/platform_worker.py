"""A stand-in platform worker behind its HTTP interface, run by the real clock.

``tests/runs/worker.py`` executes the commands; this adds HTTP and heartbeats.
"""

import json
import time
from datetime import timedelta

import gevent
from gevent.pywsgi import WSGIServer

from gypsumspoke.platform.names import parse_run_id, task_name
from gypsumspoke.runs.values import Room, RunEnd
from gypsumspoke.runs.worker_commands import (
    CommandResult,
    RenewCommand,
    StartCommand,
    StopCommand,
)
from tests.runs.worker import FakeWorker
from tests.standins.server import Unanswered

_REASONS = {
    CommandResult.FENCED: "fence",
    CommandResult.NUMBER_TOO_LOW: "old",
    CommandResult.LATE: "late",
    CommandResult.NO_ROOM: "room",
}
_ENDS = {
    RunEnd.DONE: "done",
    RunEnd.FAILED: "failed",
    RunEnd.STOPPED: "stopped",
    RunEnd.LOST: "lapsed",
}
_MILLISECOND = timedelta(milliseconds=1)


class PlatformWorker:
    """Serves the worker's HTTP interface; its tasks only take time.

    Args:
      worker_id: id of the worker.
      host: IP address to listen on.
      task_duration: how long each task runs.

    Attributes:
      worker: executes the commands.
      task_duration: how long each task runs; may be changed between tasks.
      task_room: room that each task takes; may be changed between tasks.
      status: HTTP status returned for every command; None executes commands.
      lose_answers: number of further starts that take effect without an answer.
      silent: commands wait until this is False again.
    """

    def __init__(
        self,
        worker_id: str,
        host: str = "127.0.0.1",
        task_duration: timedelta = timedelta(milliseconds=100),
    ) -> None:
        self.id = worker_id
        self.incarnation = int(time.time() * 1000)
        self.status: int | None = None
        self.lose_answers = 0
        self.silent = False
        self.state = "ready"
        self.sequence = 0
        self.task_duration = task_duration
        self.task_room = Room(3000, 64, 0)
        self._started_at = time.monotonic()
        self._server = WSGIServer((host, 0), self._answer, log=None, error_log=None)
        self.worker = self._new_worker()

    def _new_worker(self) -> FakeWorker:
        return FakeWorker(
            Room(8000, 64000, 0),
            lambda task: self.task_room,
            lambda t: self.task_duration,
        )

    def __enter__(self) -> "PlatformWorker":
        self._server.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._server.stop(timeout=0)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the server."""
        return self._server.address

    def crash(self) -> None:
        """Lose all runs and start a new incarnation under the same id."""
        self.incarnation += 1
        self.sequence = 0
        self._started_at = time.monotonic()
        self.worker = self._new_worker()

    def heartbeat(self) -> dict:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": "estimate",
            "address": "127.0.0.1:1",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 8000, "mem_mb": 64000, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": self._clock() // _MILLISECOND,
            "seq": self.sequence,
            "born": self.incarnation,
        }

    def _clock(self) -> timedelta:
        return timedelta(seconds=time.monotonic() - self._started_at)

    def _answer(self, environ, start_response):
        while self.silent:
            gevent.sleep(0.02)
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        status, fields = self._handle_command(environ["PATH_INFO"], body)
        payload = json.dumps(fields).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(payload))),
        ]
        start_response(f"{status} Answer", headers)
        return [payload]

    def _handle_command(self, path: str, body: dict):
        if self.status is not None:
            return self.status, {}
        if path == "/v1/hold":
            return self._renew_lease(body)
        run = parse_run_id(body["task"], body["run"])
        token = body.get("fencing_token", 0)
        if path == "/v1/run-start":
            lease_end = body["deadline_ms"] * _MILLISECOND
            command = StartCommand(run, body["spec"], self.id, lease_end, token)
            result = self.worker.start(command, self._clock())
            if self.lose_answers:
                self.lose_answers -= 1
                raise Unanswered
            return self._command_response(result)
        result = self.worker.stop(StopCommand(run, self.id, token), self._clock())
        return self._command_response(result)

    def _command_response(self, result: CommandResult):
        clock = {"clock_ms": self._clock() // _MILLISECOND}
        if result is CommandResult.ACCEPTED:
            return 200, clock
        return 409, {**clock, "reason": _REASONS[result]}

    def _renew_lease(self, body: dict):
        seen = body["last_seen"]
        lease_end = body.get("deadline_ms")
        command = RenewCommand(
            self.id,
            lease_end * _MILLISECOND if lease_end is not None else None,
            seen,
            body.get("wait_ms", 0) * _MILLISECOND,
            body.get("fencing_token", 0),
        )
        result = self.worker.renew(command, self._clock())
        if result is not CommandResult.ACCEPTED:
            return self._command_response(result)
        end = time.monotonic() + command.wait.total_seconds()
        while time.monotonic() < end:
            self.worker.advance(self._clock())
            if any(ended.number > seen for ended in self.worker.ended):
                break
            gevent.sleep(0.005)
        clock = self._clock()
        return 200, {
            "clock_ms": clock // _MILLISECOND,
            "born": self.incarnation,
            "running": [
                [task_name(status.run.task), status.run.number, "", status.percent, 0]
                for status in self.worker.listed(clock)
            ],
            "ended": [
                [e.number, task_name(e.run.task), e.run.number, _ENDS[e.end], ""]
                for e in self.worker.ended
                if e.number > seen
            ],
        }
