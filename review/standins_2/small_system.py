"""A small deployment: the project's programs beside stand-ins of the platform.

The store, the workers and the callers are stand-ins that follow the users' pages. They
share one event loop; the programs are processes of their own. Everything that is sent,
answered and run goes into a record, from which each case judges a rule.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
# The platform's names for calls and fields.
NAMES = json.loads(Path(__file__).with_name("wire.json").read_text())
HOST = "pots.example"
PREFIX = "/checks/"
SERVICE = "estimate"
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "recovery_s": 12,
    "max_hold_ms": 1000,
    "stop_ms": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote_slowdown": 1.5,
    "resend_ms": 1300,
}
HEARTBEAT_MS = 1500
START_TIMEOUT = 30.0
MAX_SECONDS = 100.0

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines with the time since the start, in a file and in memory."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, what: str, **fields: Any) -> float:
        """Write a line and return its time."""
        now = self.now()
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now:8.3f} {what} {details}\n")
        self._file.flush()
        return now


class HttpServer:
    """Serves JSON over HTTP/1.1 with persistent connections."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict]:
        """Return the status and the fields of an answer."""
        raise NotImplementedError

    async def _serve(self, reader, writer) -> None:
        if self._server is None:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or writer not in self._writers:
                    return
                line, headers, body = request
                method, path, _ = line.split(" ", 2)
                status, fields = await self.answer(method, path, headers, body)
                payload = json.dumps(fields).encode()
                head = (
                    f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n"
                )
                writer.write(head.encode() + payload)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled only when the case ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_message(reader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    fields: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 10.0,
) -> tuple[int, Any] | None:
    """Send one request; return status and fields, or None without an answer."""
    body = json.dumps(fields).encode() if fields is not None else b""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(request_bytes(method, path, body, headers or {}))
                answer = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    if answer is None:
        return None
    return int(answer[0].split(" ")[1]), json.loads(answer[2] or b"null")


def request_bytes(
    method: str, path: str, body: bytes, headers: dict[str, str]
) -> bytes:
    """Return an encoded request."""
    given = {"Host": HOST, "Content-Type": "application/json", **headers}
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in given.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store(HttpServer):
    """The platform's store, as far as the programs use it."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address)
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[int, str | None]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, part: str, key: str, value: str | None) -> None:
        """Write a row whose value is base64; None removes it."""
        self.version += 1
        self.rows[table, part, key] = (self.version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    def put_json(self, table: str, key: str, value: Any) -> None:
        """Write a row without a part whose value is JSON."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.put(table, "", key, text)

    async def answer(self, method, path, headers, body):
        path, _, query = path.partition("?")
        given = {name: values[0] for name, values in parse_qs(query).items()}
        if path == NAMES["rows_get"]:
            status, fields = self._get(given)
        elif path == NAMES["rows_feed"]:
            status, fields = await self._feed(given)
        elif path == NAMES["rows_tx"]:
            status, fields = self._transact(json.loads(body))
        else:
            return 404, {}
        now_ms = int(time.monotonic() * 1000)
        return status, {**fields, "ver": self.version, "now_ms": now_ms}

    def _get(self, given):
        place = given["table"], given.get("part", "")
        found = [
            _row(name, version, value)
            for name, (version, value) in sorted(self.rows.items())
            if name[:2] == place
            and value is not None
            and name[2] >= given.get("from", "")
        ]
        return 200, {"rows": found, "more_pages": False}

    async def _feed(self, given):
        end = time.monotonic() + int(given.get("wait_ms", "0")) / 1000
        while True:
            changed = sorted(
                (version, name, value)
                for name, (version, value) in self.rows.items()
                if name[0] == given["table"] and version > int(given["after"])
            )
            left = end - time.monotonic()
            if changed or left <= 0:
                rows = [_row(name, version, value) for version, name, value in changed]
                return 200, {"rows": rows}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, fields):
        for each in fields[NAMES["expected"]]:
            name = each["table"], each.get("part", ""), each["key"]
            version, value = self.rows.get(name, (0, None))
            if each["ver"] != (version if value is not None else 0):
                return 412, {"rows": []}
        for put in fields["puts"]:
            self.put(put["table"], put.get("part", ""), put["key"], put["value"])
        return 200, {}


def _row(name, version, value):
    row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
    return {**row, "removed": True} if value is None else {**row, "value": value}


class Run:
    """One run at a worker."""

    def __init__(self, task: str, number: int, began: float, ends: float) -> None:
        self.task = task
        self.number = number
        self.began = began
        self.ends = ends


class Worker(HttpServer):
    """A worker that does not guard its capacity; its tasks only take time.

    Args:
      name: id.
      address: where its sidecar calls it.
      control: where it sends its heartbeats.
      record: receives what it is told and what it runs.
      duration: seconds that a task takes, by its name.
      cpu: capacity.
      kind: label.
    """

    def __init__(self, name, address, control, record, duration, cpu, kind) -> None:
        super().__init__(address)
        self.name = name
        self.control = control
        self.record = record
        self.duration = duration
        self.cpu = cpu
        self.kind = kind
        self.beating: asyncio.Task | None = None
        # Error of the machine's time of day, in seconds.
        self.time_error = 0.0
        self._life = 0
        self._reset()

    def _reset(self) -> None:
        self._life += 1
        self.born = int((time.time() + self.time_error) * 1000)
        self.state = "ready"
        self.sequence = 0
        self._zero = time.monotonic()
        self._token = 0
        self._lease_end = 0.0
        self._count = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.stopping: dict[tuple[str, int], float] = {}
        self._ended: list[list] = []
        self._highest: dict[str, int] = {}
        self.listed = False

    async def start(self) -> None:
        """Begin a life: listen, and send heartbeats, the first one at once."""
        self._reset()
        await self.open()
        self.record.write("worker-up", id=self.name, kind=self.kind, born=self.born)
        self.beating = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End this life; what runs ends with it. The next one begins anew."""
        self.close()
        if self.beating is not None:
            self.beating.cancel()
        for run in self.running.values():
            self._write_end(run, "crashed")
        self.running.clear()
        self.stopping.clear()
        self._life += 1
        self.record.write("worker-down", id=self.name)

    def drain(self) -> None:
        """Report from now on, and at once, that this worker drains."""
        self.state = "draining"
        self.beating.cancel()
        self.beating = asyncio.create_task(self._beat())

    async def leave(self) -> None:
        """Deregister and end."""
        path = f"/v1/instances/{self.name}"
        answer = await call(self.control, "DELETE", path, timeout=1.0)
        self.record.write("worker-left", id=self.name, answer=answer)
        self.crash()

    def heartbeat(self) -> dict:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": SERVICE,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            NAMES["cold"]: 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": [self.kind, "r1-1"],
            "clock_ms": self._clock(),
            "seq": self.sequence,
            "born": self.born,
        }

    async def send_heartbeat(self, fields: dict) -> None:
        """Send one heartbeat."""
        path = f"/v1/instances/{self.name}"
        details = {name: fields[name] for name in ("state", "born", "seq")}
        self.record.write("beat-sent", id=self.name, **details)
        answer = await call(self.control, "PUT", path, fields, timeout=1.0)
        status = answer[0] if answer else None
        self.record.write("beat-answered", id=self.name, status=status, **details)
        if status == 200 and fields["state"] == "draining":
            self.on_drain_acknowledged()

    async def _beat(self) -> None:
        while True:
            due = time.monotonic() + HEARTBEAT_MS / 1000
            await self.send_heartbeat(self.heartbeat())
            await asyncio.sleep(max(due - time.monotonic(), 0))

    def _clock(self) -> int:
        return int((time.monotonic() - self._zero) * 1000)

    async def answer(self, method, path, headers, body):
        expected = headers.get("gypsumspoke-expect-instance")
        if expected is not None and expected != self.name:
            return 421, {"clock_ms": self._clock()}
        fields = json.loads(body)
        self._advance()
        token = fields.get("fencing_token", 0)
        if token < self._token:
            return self._refuse("fence")
        self._token = token
        if path == NAMES["run_start"]:
            return self._start(fields)
        if path == NAMES["run_stop"]:
            return self._stop(fields)
        if path == "/v1/hold":
            return await self._hold(fields)
        return 404, {}

    def _refuse(self, reason):
        return 409, {"clock_ms": self._clock(), "reason": reason}

    def _extend(self, fields) -> None:
        if "deadline_ms" in fields:
            end = min(fields["deadline_ms"], self._clock() + BOUNDS["max_hold_ms"])
            self._lease_end = max(self._lease_end, end)

    def _start(self, fields):
        task, number = fields["task"], fields["run"]
        if (task, number) in self.running:
            return 200, {"clock_ms": self._clock()}
        if fields["deadline_ms"] <= self._clock():
            return self._refuse("late")
        self._extend(fields)
        if number <= self._highest.get(task, 0):
            return self._refuse("old")
        now = time.monotonic()
        run = Run(task, number, now, now + self.duration(task))
        self.running[task, number] = run
        self.record.write("run-began", worker=self.name, task=task, run=number)
        self.on_start(run, fields)
        return 200, {"clock_ms": self._clock()}

    def on_start(self, run: Run, fields: dict) -> None:
        """Judge a start; replaced by a case."""

    def on_drain_acknowledged(self) -> None:
        """Note that a draining heartbeat was answered; replaced by a case."""

    def on_end(self, run: Run, how: str) -> None:
        """Note an end; replaced by a case."""

    def _stop(self, fields):
        task, number = fields["task"], fields["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        if (task, number) in self.running and (task, number) not in self.stopping:
            self.stopping[task, number] = time.monotonic() + 0.02
        return 200, {"clock_ms": self._clock()}

    async def _hold(self, fields):
        self._extend(fields)
        seen = fields["last_seen"]
        self._ended = [row for row in self._ended if row[0] > seen]
        end = time.monotonic() + fields.get("wait_ms", 0) / 1000
        life = self._life
        while time.monotonic() < end and not self._ended:
            await asyncio.sleep(0.005)
            if life != self._life:
                raise ConnectionResetError
            self._advance()
        if not self.listed:
            self.listed = True
            self.record.write("first-list", worker=self.name, born=self.born)
        now = time.monotonic()
        running = [
            [run.task, run.number, "", _percent(run, now), 3000]
            for name, run in self.running.items()
            if name not in self.stopping
        ]
        return 200, {
            "clock_ms": self._clock(),
            "born": self.born,
            "running": running,
            "ended": self._ended[:500],
        }

    def _advance(self) -> None:
        now = time.monotonic()
        lapsed = self._clock() > self._lease_end
        for name, run in list(self.running.items()):
            if name in self.stopping:
                if now >= self.stopping[name]:
                    del self.stopping[name]
                    self._end(run, "stopped")
            elif now >= run.ends:
                self._end(run, "done")
            elif lapsed:
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task, run.number]
        self._count += 1
        known = self._highest.get(run.task, 0)
        self._highest[run.task] = max(known, run.number)
        self._ended.append([self._count, run.task, run.number, how, ""])
        self._write_end(run, how)

    def _write_end(self, run: Run, how: str) -> None:
        self.record.write(
            "run-ended", worker=self.name, task=run.task, run=run.number, how=how
        )
        self.on_end(run, how)

    async def keep_time(self) -> None:
        """End runs on time, whether or not the worker is called."""
        while True:
            self._advance()
            await asyncio.sleep(0.005)


def _percent(run: Run, now: float) -> int:
    return min(99, int((now - run.began) / (run.ends - run.began) * 100))


def configuration(version: int) -> dict:
    """Return a configuration with one queue."""
    route = {
        "name": "checks",
        "host": HOST,
        "path_prefix": PREFIX,
        "type": "unsafe",
        "timeout_ms": 1500,
        "target_latency_ms": 60,
        "priority": 1,
        "service": SERVICE,
        "attempts": 3,
        "stretch": 1.6,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": SERVICE, "enforces_capacity": False}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def step(count: int, estimate_ms: int, cpu: int = 3100, **more: Any) -> dict:
    """Return a step of a job."""
    fields = {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate_ms}
    return {**fields, **more}


def job_body(*steps: dict) -> dict:
    """Return the body of a best-effort job."""
    return {"spec": "x", "best_effort": True, "steps": list(steps)}


def new_job_id() -> str:
    """Return the id of a new job."""
    return f"{random.getrandbits(64):016x}"


class SmallSystem:
    """Entries and sidecars as processes, with stand-ins of all that they speak to.

    Args:
      folder: the folder of the case, where the record is written.
      entries, sidecars: numbers of machines.
      duration: seconds that a task takes, by its name.
      cpu: capacity of each worker.
    """

    def __init__(
        self, folder: Path, entries: int, sidecars: int, duration, cpu: int = 16000
    ) -> None:
        self.record = Record(folder / "record.txt")
        self._counts = entries, sidecars
        self._net = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        self._ports = dict(zip(("front", "ready", "control"), _free_ports(3)))
        self._children: dict[str, subprocess.Popen] = {}
        self._stack = ExitStack()
        self._tasks: list[asyncio.Task] = []
        store_port, worker_port = _free_ports(2)
        self.store = Store((f"{self._net}.1", store_port))
        self.workers = [
            Worker(
                f"i-{number}",
                (f"{self._net}.{60 + number}", worker_port),
                (self._side(number), self._ports["control"]),
                self.record,
                duration,
                cpu,
                "a",
            )
            for number in range(sidecars)
        ]

    def _side(self, number: int) -> str:
        return f"{self._net}.{20 + number}"

    def front(self, number: int) -> tuple[str, int]:
        """Return the address at which an entry serves clients."""
        return f"{self._net}.{10 + number}", self._ports["front"]

    async def __aenter__(self) -> "SmallSystem":
        temporary = tempfile.TemporaryDirectory()
        self._folder = Path(self._stack.enter_context(temporary))
        await self.store.open()
        self.store.put_json("op", "config", configuration(1))
        for number in range(self._counts[0]):
            self.start_program(f"front-{number}")
        for number, worker in enumerate(self.workers):
            self.start_program(f"side-{number}")
            await worker.start()
            self._tasks.append(asyncio.create_task(worker.keep_time()))
        return self

    async def __aexit__(self, *error: object) -> None:
        for child in self._children.values():
            if child.poll() is None:
                child.kill()
            child.wait()
        for task in self._tasks:
            task.cancel()
        for worker in self.workers:
            worker.close()
            if worker.beating is not None:
                worker.beating.cancel()
        self.store.close()
        self._stack.close()

    def start_program(self, node: str) -> None:
        """Start or restart a program as the deploy file does."""
        kind, _, number = node.partition("-")
        settings = self._settings(node, kind, int(number))
        path = self._folder / f"{node}.json"
        path.write_text(json.dumps(settings))
        role = "entry" if kind == "front" else "sidecar"
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            NAMES["settings"]: str(path),
        }
        log = self._stack.enter_context((self._folder / f"{node}.log").open("ab"))
        self._children[node] = subprocess.Popen(
            ["python3", "-S", "-m", "gypsumspoke.platform", role],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.write("program-started", node=node)

    def _settings(self, node: str, kind: str, number: int) -> dict:
        is_front = kind == "front"
        ip = self.front(number)[0] if is_front else self._side(number)
        names = ("front", "ready", "control") if is_front else ("control",)
        settings = {
            "node": node,
            "role": "entry" if is_front else "sidecar",
            "class": kind,
            "serves": ["front", "control"] if is_front else ["side"],
            "ip": ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {name: f"{ip}:{self._ports[name]}" for name in names},
            "port_range": [7720, 7735],
            "seeds": [f"{self.front(0)[0]}:{self._ports['control']}"],
            "bootstrap": True,
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "orders": "rpc",
            "platform": {
                "address": f"{self.store.address[0]}:{self.store.address[1]}",
                "form": "table",
            },
        }
        if not is_front:
            host, port = self.workers[number].address
            settings["app"] = f"{host}:{port}"
            settings["service"] = SERVICE
        return settings

    def signal(self, node: str, number: signal.Signals) -> None:
        """Send a signal to a program."""
        self.record.write("signal", node=node, signal=number.name)
        self._children[node].send_signal(number)

    def status(self, node: str) -> int | None:
        """Return the exit status of a program, None while it runs."""
        return self._children[node].poll()

    def log(self, node: str) -> str:
        """Return what a program has printed."""
        return (self._folder / f"{node}.log").read_text(errors="replace")

    async def is_ready(self, number: int) -> bool:
        """Return whether the platform would send clients to an entry."""
        address = self.front(number)[0], self._ports["ready"]
        answer = await call(address, "GET", "/v1/ready", timeout=1.0)
        return answer is not None and answer[0] == 200

    async def wait_until_ready(self, number: int) -> None:
        """Wait until an entry is ready."""
        while not await self.is_ready(number):
            await asyncio.sleep(0.1)

    async def submit(
        self, number: int, job_id: str, body: dict, deadline_ms: int
    ) -> tuple[int, Any] | None:
        """Submit a job through an entry, and leave at the deadline."""
        self.record.write("post-sent", entry=number, job=job_id)
        headers = {"Gypsumspoke-Deadline-Ms": str(deadline_ms)}
        path = PREFIX + job_id
        answer = await call(
            self.front(number), "POST", path, body, headers, deadline_ms / 1000
        )
        self.record.write("post-answered", entry=number, job=job_id, answer=answer)
        return answer

    async def wait_until_serving(self, estimate_ms: int) -> None:
        """Wait until each entry completes jobs.

        Args:
          estimate_ms: estimate of a task of these jobs.

        Raises:
          TimeoutError: it takes too long.
        """
        async with asyncio.timeout(START_TIMEOUT):
            for number in range(self._counts[0]):
                await self.wait_until_ready(number)
                while True:
                    body = job_body(step(1, estimate_ms))
                    answer = await self.submit(number, new_job_id(), body, 4000)
                    if answer is not None and answer[0] == 200:
                        break
                    await asyncio.sleep(0.2)
        self.record.write("serving")


def _free_ports(count: int) -> list[int]:
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]


async def _run(case) -> int:
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(case, MAX_SECONDS)


def main(case) -> None:
    """Run a case and exit with its result: 0 held, 1 broken, 2 could not run.

    Args:
      case: a coroutine function that takes whether the disruption is on and returns
        the result.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        result = asyncio.run(_run(case(with_trouble)))
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    print({HELD: "held", BROKEN: "broken"}.get(result, "could not run"))
    sys.exit(result)
