"""A worker of the platform, one process for each life of it.

    python3 worker.py OPTIONS    (a JSON object; see ``Options``)

On SIGTERM it drains: it says so in its heartbeats, serves on for ``DRAIN_SECONDS`` from
the acknowledgement, then deregisters and ends.

A task takes the time and the processors that its ``spec`` names, a JSON object with
``ms`` and ``cpu``. The worker doesn't guard its capacity. It appends a JSON line to its
record for each start, stop and end.
"""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.http import Answer, Request, call, start_server  # noqa: E402
from standins.wire import NAMES  # noqa: E402

MAX_LEASE_MS = 1000
STOP_MS = 30
DRAIN_SECONDS = 5.0
ACK_TIMEOUT_SECONDS = 1.0
_STEP_SECONDS = 0.002


class Options(NamedTuple):
    """Command line of a worker.

    Attributes:
      id: the worker's id.
      host, port: where it takes calls.
      control: HOST:PORT that it sends its heartbeats to.
      heartbeat_ms: interval of the heartbeats.
      first_heartbeat_ms: time from the start to the first of them.
      service, zone, cpu, labels: as in its heartbeats.
      record: file of the record.
    """

    id: str
    host: str
    port: int
    control: str
    heartbeat_ms: int
    first_heartbeat_ms: int
    service: str
    zone: str
    cpu: int
    labels: list[str]
    record: str


class Run:
    """A run at work, or being stopped."""

    def __init__(self, task: str, number: int, spec: dict, began: float) -> None:
        self.task = task
        self.number = number
        self.spec = spec
        self.began = began
        self.stopped_at: float | None = None

    def percent(self, clock: float) -> int:
        """Return the progress."""
        return min(99, int((clock - self.began) / self.spec["ms"] * 100))


class Worker:
    """One life of a worker; clocks are milliseconds since its start."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._started = time.monotonic()
        self._born = int(time.time() * 1000)
        self._runs: dict[tuple[str, int], Run] = {}
        self._ended: list[list] = []
        self._ends = 0
        self._highest: dict[str, int] = {}
        self._lease_end = 0.0
        self._token = 0
        self._sequence = 0
        self._state = "ready"
        self._wakes_heartbeat = asyncio.Event()
        self._record = open(options.record, "a", encoding="utf-8", buffering=1)

    async def serve(self) -> None:
        """Listen, send heartbeats and end runs, for good."""
        await start_server(self._answer, self._options.host, self._options.port)
        self._write("worker started", born=self._born, cpu=self._options.cpu)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, self._drain)
        heartbeats = asyncio.create_task(self._send_heartbeats())
        while not heartbeats.done():
            self._advance()
            await asyncio.sleep(_STEP_SECONDS)
        await heartbeats

    def _drain(self) -> None:
        self._state = "draining"
        self._wakes_heartbeat.set()

    def _clock(self) -> float:
        return (time.monotonic() - self._started) * 1000

    def _write(self, event: str, **fields: object) -> None:
        line = {"at": time.monotonic(), "worker": self._options.id, "event": event}
        self._record.write(json.dumps({**line, **fields}) + "\n")

    # Runs

    def _advance(self) -> None:
        clock = self._clock()
        for run in list(self._runs.values()):
            if run.stopped_at is not None:
                if clock >= run.stopped_at + STOP_MS:
                    self._end(run, "stopped")
            elif run.began + run.spec["ms"] <= min(clock, self._lease_end):
                self._end(run, "done")
            elif clock > self._lease_end:
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task, run.number]
        self._ends += 1
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._ended.append([self._ends, run.task, run.number, how, ""])
        self._write("ended", task=run.task, run=run.number, how=how)

    def _extend(self, deadline: float) -> None:
        longest = self._clock() + MAX_LEASE_MS
        self._lease_end = max(self._lease_end, min(deadline, longest))

    # Calls

    async def _answer(self, request: Request) -> Answer:
        expected = request.headers.get("gypsumspoke-expect-instance")
        if expected not in (None, self._options.id):
            return self._reply(421)
        body = json.loads(request.body)
        self._advance()
        if body.get("fencing_token", 0) < self._token:
            return self._reply(409, reason="fence")
        self._token = body.get("fencing_token", 0)
        if request.path == NAMES["hold"]:
            return await self._hold(body)
        if request.path == NAMES["run_start"]:
            return self._start(body)
        if request.path == NAMES["run_stop"]:
            return self._stop(body)
        return self._reply(404)

    def _reply(self, status: int, **fields: object) -> Answer:
        return Answer(status, {"clock_ms": int(self._clock()), **fields})

    async def _hold(self, body: dict) -> Answer:
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        seen = body["last_seen"]
        self._ended = [end for end in self._ended if end[0] > seen]
        until = self._clock() + min(body.get("wait_ms", 0), 2000)
        while self._clock() < until and not any(e[0] > seen for e in self._ended):
            await asyncio.sleep(_STEP_SECONDS)
        self._advance()
        clock = self._clock()
        running = [
            [run.task, run.number, "", run.percent(clock), run.spec["cpu"]]
            for run in self._runs.values()
            if run.stopped_at is None
        ]
        ended = [end for end in self._ended if end[0] > seen][:500]
        return self._reply(200, born=self._born, running=running, ended=ended)

    def _start(self, body: dict) -> Answer:
        task, number = body["task"], body["run"]
        if (task, number) in self._runs:
            return self._reply(200)
        if body["deadline_ms"] <= self._clock():
            return self._reply(409, reason="late")
        self._extend(body["deadline_ms"])
        if number <= self._highest.get(task, 0):
            return self._reply(409, reason="old")
        spec = json.loads(body["spec"])
        used = sum(run.spec["cpu"] for run in self._runs.values())
        self._runs[task, number] = Run(task, number, spec, self._clock())
        self._write(
            "started",
            task=task,
            run=number,
            cpu=spec["cpu"],
            label=spec.get("label", ""),
            used=used + spec["cpu"],
            capacity=self._options.cpu,
            labels=self._options.labels,
            born=self._born,
        )
        return self._reply(200)

    def _stop(self, body: dict) -> Answer:
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get((task, number))
        if run is not None and run.stopped_at is None:
            run.stopped_at = self._clock()
            self._write("stopping", task=task, run=number)
        return self._reply(200)

    # Heartbeats

    async def _send_heartbeats(self) -> None:
        """Send heartbeats until a drain is over."""
        interval = self._options.heartbeat_ms / 1000
        await asyncio.sleep(self._options.first_heartbeat_ms / 1000)
        ends_at = None
        while ends_at is None or time.monotonic() < ends_at:
            sent = time.monotonic()
            self._wakes_heartbeat.clear()
            is_acknowledged = await self._send_heartbeat(ends_at)
            if self._state == "draining" and is_acknowledged and ends_at is None:
                ends_at = time.monotonic() + DRAIN_SECONDS
            left = max(sent + interval - time.monotonic(), 0)
            try:
                await asyncio.wait_for(self._wakes_heartbeat.wait(), left)
            except asyncio.TimeoutError:
                pass
        await self._call_control("DELETE", None)
        self._write("left")

    async def _send_heartbeat(self, ends_at: float | None) -> bool:
        self._sequence += 1
        state = self._state
        fields = self._heartbeat()
        if state == "draining":
            left = DRAIN_SECONDS if ends_at is None else ends_at - time.monotonic()
            fields["remaining_ms"] = max(int(left * 1000), 0)
        answer = await self._call_control("PUT", fields)
        status = answer.status if answer else None
        self._write(
            "heartbeat", state=state, born=self._born, seq=fields["seq"], status=status
        )
        return status is not None and 200 <= status < 300

    async def _call_control(self, method: str, value: dict | None) -> Answer | None:
        host, port = self._options.control.split(":")
        path = f"/v1/instances/{self._options.id}"
        address = (host, int(port))
        return await call(address, method, path, value, timeout=ACK_TIMEOUT_SECONDS)

    def _heartbeat(self) -> dict:
        options = self._options
        return {
            "service": options.service,
            "address": f"{options.host}:{options.port}",
            "zone": options.zone,
            "version": "v1",
            "slots": 8,
            "state": self._state,
            NAMES["cold"]: 0,
            "capacity": {"cpu": options.cpu, "mem_mb": 131072, "gpu": 0},
            "labels": options.labels,
            "clock_ms": int(self._clock()),
            "born": self._born,
            "seq": self._sequence,
        }


if __name__ == "__main__":
    asyncio.run(Worker(Options(**json.loads(sys.argv[1]))).serve())
