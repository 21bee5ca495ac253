"""Starts a small deployment: the project's programs, and stand-ins around them."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from standins.http import Answer, call, send_until_reset
from standins.store import Store
from standins.wire import NAMES

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "pot-calc"
HOST = "pots.example"
PREFIX = "/pots/"
HEARTBEAT_MS = 1500
READY_SECONDS = 20.0
MAX_CASE_SECONDS = 115.0
_CANNOT_RUN_STATUS = 2

# The bounds of the site saqtau-spoke.
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "max_hold_ms": 1000,
    "stop_ms": 50,
    "cancel_ms": 3000,
    "remote_slowdown": 1.5,
    "resend_ms": 1300,
}
ZONES = ("almaty-a", "almaty-b", "almaty-c", "almaty-d")


class Kind(NamedTuple):
    """A kind of worker: its label and its processors in thousandths of a core."""

    label: str
    cpu: int


KIND_A = Kind("a", 32000)
KIND_B = Kind("b", 48000)


class CannotRun(Exception):
    """The case can't be run here."""


class Relay:
    """Passes connections on to a target; while cut, it swallows all bytes."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self.is_cut = False

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        await asyncio.start_server(self._connected, host, port)

    async def _connected(self, reader, writer) -> None:
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _relay(self, reader, writer) -> None:
        if self.is_cut:
            # A silent cut: the connection hangs until the other side gives up.
            await reader.read()
            writer.close()
            return
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        await asyncio.gather(
            self._pass_on(reader, far_writer), self._pass_on(far_reader, writer)
        )

    async def _pass_on(self, reader, writer) -> None:
        try:
            while chunk := await reader.read(65536):
                if not self.is_cut:
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Deployment:
    """Entries, and sidecars with their workers, on addresses of their own.

    Args:
      folder: the case's folder, which receives ``record.txt``.
      entries: number of entries.
      kinds: the kinds of the workers at first.

    Attributes:
      entries: the numbers of the present entries, one for each place.
      store: the store.
      relays: the relays between the workers and their sidecars' control addresses.
    """

    def __init__(self, folder: Path, entries: int, kinds: tuple[Kind, ...]) -> None:
        self._folder = folder
        self.entries = list(range(entries))
        self._entries = entries
        self._kinds = kinds
        self._scratch = Path(tempfile.mkdtemp(prefix="gypsumspoke-review-"))
        self._net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self._front, self._ready, self._control, self._app, self._store = _free_ports()
        self._started = time.monotonic()
        self._lines: list[dict] = []
        self._children: dict[str, subprocess.Popen] = {}
        self._count = 0
        self._commands: dict[str, tuple[list[str], dict]] = {}
        self.store = Store()
        self.relays: list[Relay] = []

    async def __aenter__(self) -> "Deployment":
        self.store.put_json("op", "config", _configuration())
        await self.store.start(self._ip(1), self._store)
        for number in range(self._entries):
            self._start_entry(number)
        for number, kind in enumerate(self._kinds):
            relay = Relay((self._side_ip(number), self._control))
            await relay.start(self._ip(100 + number), self._control)
            self.relays.append(relay)
            self._start_sidecar(number)
            self.start_worker(number, kind)
        return self

    async def __aexit__(self, *error: object) -> None:
        for child in self._children.values():
            if child.poll() is None:
                child.kill()
            child.wait()
        self._write_record()
        shutil.rmtree(self._scratch, ignore_errors=True)

    def _ip(self, number: int) -> str:
        return f"{self._net}.{number}"

    def _front_ip(self, number: int) -> str:
        """Return the address of an entry; each has one of its own."""
        net, _, third = self._net.rpartition(".")
        each = 200
        return f"{net}.{(int(third) + 1 + number // each) % 256}.{10 + number % each}"

    def _side_ip(self, number: int) -> str:
        return self._ip(50 + number)

    # Processes

    def _start_entry(self, number: int) -> None:
        ip = self._front_ip(number)
        node = f"front-{number}"
        zone = ZONES[number % self._entries % len(ZONES)]
        settings = self._settings(node, "entry", ip, zone)
        settings["serves"] = ["front", "control"]
        settings["listen"] = {
            "front": f"{ip}:{self._front}",
            "ready": f"{ip}:{self._ready}",
            "control": f"{ip}:{self._control}",
        }
        self._start_role(node, "entry", settings)

    def _start_sidecar(self, number: int) -> None:
        ip = self._side_ip(number)
        node = f"side-{number}"
        settings = self._settings(node, "sidecar", ip, ZONES[number % len(ZONES)])
        settings["serves"] = ["side"]
        settings["listen"] = {"control": f"{ip}:{self._control}"}
        settings["app"] = f"{ip}:{self._app}"
        settings["service"] = SERVICE
        self._start_role(node, "sidecar", settings)

    def _settings(self, node: str, role: str, ip: str, zone: str) -> dict:
        return {
            "node": node,
            "role": role,
            "class": "front" if role == "entry" else "side",
            "ip": ip,
            "zone": zone,
            "region": "almaty",
            "zones": dict.fromkeys(ZONES, "almaty"),
            "seeds": [f"{self._front_ip(0)}:{self._control}"],
            "bootstrap": True,
            "limits": {"cores": 2, "memory_mb": 300, "max_fds": 4100},
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "orders": "rpc",
            "platform": {"address": f"{self._ip(1)}:{self._store}", "form": "table"},
        }

    def _start_role(self, node: str, role: str, settings: dict) -> None:
        path = self._scratch / f"{node}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment[NAMES["settings"]] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self._spawn(node, deploy["roles"][role]["run"].split(" "), environment)

    async def replace_entry(self, place: int) -> None:
        """Start an entry at a new address; once it is known, end the present one."""
        old = self.entries[place]
        self._count += 1
        # The number keeps the zone of the place.
        number = self._count * self._entries + place
        self._start_entry(number)
        while not self.store.has_value(f"{self._front_ip(number)}:{self._control}"):
            await asyncio.sleep(0.01)
        self.entries[place] = number
        self.send_signal(f"front-{old}", signal.SIGTERM)

    async def kill_and_restart_all(
        self, down_seconds: float, has_fresh_seeds: bool
    ) -> None:
        """Kill all processes of the system; start the present ones again.

        Args:
          down_seconds: time between the two.
          has_fresh_seeds: whether the settings name the present entries by then.
        """
        present = [f"front-{number}" for number in self.entries]
        present += [f"side-{number}" for number in range(len(self._kinds))]
        for name, child in self._children.items():
            if name.startswith(("front-", "side-")) and child.poll() is None:
                self.kill(name)
        await asyncio.sleep(down_seconds)
        for name in present:
            if has_fresh_seeds:
                self._refresh_seeds(name)
            self.restart(name)

    def _refresh_seeds(self, node: str) -> None:
        path = self._scratch / f"{node}.json"
        settings = json.loads(path.read_text())
        settings["seeds"] = [
            f"{self._front_ip(number)}:{self._control}" for number in self.entries
        ]
        path.write_text(json.dumps(settings))

    def start_worker(
        self, number: int, kind: Kind, first_heartbeat_ms: int = 0
    ) -> None:
        """Start a life of a worker, under the same id and address each time."""
        name = self.worker_id(number)
        options = {
            "id": name,
            "host": self._side_ip(number),
            "port": self._app,
            "control": f"{self._ip(100 + number)}:{self._control}",
            "heartbeat_ms": HEARTBEAT_MS,
            "first_heartbeat_ms": first_heartbeat_ms,
            "service": SERVICE,
            "zone": ZONES[number % len(ZONES)],
            "cpu": kind.cpu,
            "labels": [kind.label, f"r{number // 3}"],
            "record": str(self._scratch / "workers.jsonl"),
        }
        program = str(Path(__file__).with_name("worker.py"))
        command = [sys.executable, "-B", program, json.dumps(options)]
        self._spawn(name, command, dict(os.environ))

    def _spawn(self, name: str, command: list[str], environment: dict) -> None:
        self._commands[name] = (command, environment)
        with (self._scratch / f"{name}.log").open("ab") as log:
            self._children[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def worker_id(self, number: int) -> str:
        """Return the id of a worker."""
        return f"i-{number:08x}"

    def kill(self, name: str) -> None:
        """Kill a process that this object has started, and reap it."""
        self._children[name].send_signal(signal.SIGKILL)
        self._children[name].wait()
        self.note("killed", process=name)

    def restart(self, name: str) -> None:
        """Start a killed process again, as it was started before."""
        self._spawn(name, *self._commands[name])
        self.note("started again", process=name)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this object has started."""
        self._children[name].send_signal(number)
        self.note("signal", process=name, signal=number.name)

    # Callers

    async def wait_until_serving(self) -> None:
        """Wait until each entry is ready and each worker has started a task.

        Raises:
          CannotRun: it takes too long.
        """
        end = time.monotonic() + READY_SECONDS
        for number in range(self._entries):
            address = (self._front_ip(number), self._ready)
            while True:
                answer = await call(address, "GET", "/v1/ready", timeout=1.0)
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"front-{number} isn't ready: {self._tail(number)}")
                await asyncio.sleep(0.1)
        # One more heartbeat of each worker.
        await asyncio.sleep(HEARTBEAT_MS / 1000)

    def _tail(self, number: int) -> str:
        return (self._scratch / f"front-{number}.log").read_text()[-2000:]

    async def call(
        self,
        entry: int,
        method: str,
        job: str,
        value: object = None,
        deadline_ms: int = 6000,
    ) -> Answer | None:
        """Send a client's request to an entry, and note it and its answer."""
        self.note("sent", entry=entry, method=method, job=job, body=value)
        answer = await call(
            (self._front_ip(entry), self._front),
            method,
            PREFIX + job,
            value,
            _client_headers(deadline_ms),
            deadline_ms / 1000,
        )
        status = answer.status if answer else None
        shown = answer.value if answer else None
        self.note("answered", method=method, job=job, status=status, body=shown)
        return answer

    async def submit_until_reset(
        self, entry: int, job: str, value: object, deadline_ms: int, seconds: float
    ) -> None:
        """Hand a job in, and reset the connection before the answer."""
        self.note("sent", entry=entry, method="POST", job=job, body=value)
        address = (self._front_ip(entry), self._front)
        headers = _client_headers(deadline_ms)
        path = PREFIX + job
        await send_until_reset(address, "POST", path, value, headers, seconds)
        self.note("connection reset", entry=entry, job=job)

    # The record

    def note(self, event: str, **fields: object) -> None:
        """Add a line to the record."""
        self._lines.append({"at": time.monotonic(), "event": event, **fields})

    def worker_lines(self) -> list[dict]:
        """Return what the workers have noted, in order of time."""
        path = self._scratch / "workers.jsonl"
        if not path.exists():
            return []
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(lines, key=lambda line: line["at"])

    def seconds(self, at: float) -> float:
        """Return a time as seconds since the start of the deployment."""
        return round(at - self._started, 4)

    def _write_record(self) -> None:
        lines = sorted(
            [*self._lines, *self.worker_lines()], key=lambda line: line["at"]
        )
        with (self._folder / "record.txt").open("w", encoding="utf-8") as record:
            for line in lines:
                at = f"{self.seconds(line.pop('at')):9.4f}"
                event = line.pop("event")
                fields = " ".join(f"{k}={json.dumps(v)}" for k, v in line.items())
                record.write(f"{at} {event} {fields}\n")


def _client_headers(deadline_ms: int) -> dict[str, str]:
    return {"Host": HOST, "Gypsumspoke-Deadline-Ms": str(deadline_ms)}


def job_id() -> str:
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def run_case(case: Callable[[], Awaitable[int]]) -> int:
    """Run a case within its time; return the exit status of its script."""

    async def run() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(MAX_CASE_SECONDS):
            return await case()

    try:
        return asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        print(f"the case can't run: {error!r}", file=sys.stderr)
        return _CANNOT_RUN_STATUS


def is_disrupted() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def _configuration() -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": "pot-balance-check",
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
        ],
        "services": [{"name": SERVICE, "enforces_capacity": False}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def _free_ports() -> list[int]:
    probes = [socket.socket() for _ in range(5)]
    try:
        for probe in probes:
            probe.bind(("0.0.0.0", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()
