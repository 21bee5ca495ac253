"""Runs entries and sidecars as processes, with stand-ins for the store and workers."""

import json
import os
import random
from contextlib import ExitStack, closing
from pathlib import Path
from typing import Any

import gevent
from geventhttpclient import HTTPClient

from tests.standins.platform_store import PlatformStore
from tests.standins.platform_worker import PlatformWorker
from tests.standins.processes import Process, Processes
from tests.standins.relay import Relay

TIMEOUT_SECONDS = 20
# Outside the range that the kernel takes free ports from: the stand-ins listen on some
# of the same addresses, and clients connect from others.
CALLERS_PORT = 9461
READINESS_PORT = 9462
CONTROL_PORT = 9463
METRICS_PORT = 9464
# Memory and file descriptors of a process, as in the platform's settings.
ENTRY_LIMITS = {"memory_mb": 300, "max_fds": 4100}
SIDECAR_LIMITS = {"memory_mb": 168, "max_fds": 4096}
HOST = "pots.example"
PREFIX = "/checks/"


def configuration(version: int, *prefixes: str, **more: Any) -> dict:
    """Return a configuration in the platform's format."""
    routes = [
        {
            "name": f"route{number}",
            "host": HOST,
            "path_prefix": prefix,
            "type": "unsafe",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 1,
            "service": "estimate",
            "attempts": 3,
            "stretch": 1.6,
            **more,
        }
        for number, prefix in enumerate(prefixes or (PREFIX,))
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "estimate", "enforces_capacity": False}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def job_body(count: int = 2, **more: Any) -> dict:
    """Return the body of a best-effort job."""
    step = {"count": count, "cpu": 3000, "mem_mb": 64, "estimate_ms": 100}
    return {"spec": "x", "best_effort": True, "steps": [step], **more}


class PlatformSystem:
    """A stand-in store, stand-in workers, and real entry and sidecar processes.

    Args:
      folder: directory for settings and logs.
      entries, sidecars: number of processes.
      relayed: whether relays stand between entries, sidecars, workers and the store.
      domains: failure domains that the sidecars are in by turns.
      entry_limits: memory and descriptors of an entry.

    Attributes:
      relays: the relays, by the name of the server behind each.
    """

    def __init__(
        self,
        folder: Path,
        entries: int = 2,
        sidecars: int = 2,
        relayed: bool = False,
        domains: tuple[str, ...] = ("a",),
        entry_limits: dict = ENTRY_LIMITS,
    ) -> None:
        self._entry_limits = entry_limits
        self._folder = folder
        self._relayed = relayed
        self._domains = domains
        self.relays: dict[str, Relay] = {}
        self._stack = ExitStack()
        self._net = f"127.{random.SystemRandom().randrange(1, 255)}"
        self._net += f".{random.SystemRandom().randrange(1, 255)}"
        self._counts = (entries, sidecars)
        self._jobs = 0
        self.store = PlatformStore()
        self.workers: list[PlatformWorker] = []
        self.entries: list[Process] = []
        self.sidecars: list[Process] = []

    def __enter__(self) -> "PlatformSystem":
        self._stack.enter_context(self.store)
        self._processes = self._stack.enter_context(Processes(self._folder))
        self.store.put_json("op", "config", configuration(1))
        for number in range(self._counts[0]):
            self.entries.append(self.start_entry(number))
        for number in range(self._counts[1]):
            worker = PlatformWorker(f"w{number}", self._ip(20 + number))
            self.workers.append(self._stack.enter_context(worker))
            self.sidecars.append(self.start_sidecar(number))
            self._stack.callback(gevent.spawn(self._send_heartbeats, number).kill)
        return self

    def __exit__(self, *error: object) -> None:
        self._stack.close()

    def start_entry(self, number: int) -> Process:
        """Start or restart an entry."""
        ip = self._ip(10 + number)
        announced = (ip, CONTROL_PORT)
        listening = (self._ip(110 + number), CONTROL_PORT)
        if self._relayed:
            self._relay(f"front-{number}", listening, announced)
        settings = self._settings(f"front-{number}", ip, ["front", "control"])
        settings["listen"] = {
            "front": f"{ip}:{CALLERS_PORT}",
            "ready": f"{ip}:{READINESS_PORT}",
            "control": f"{ip}:{CONTROL_PORT}",
        }
        if not self._relayed:
            return self._start(settings, "gypsumspoke.platform", "entry")
        addresses = (f"{host}:{port}" for host, port in (announced, listening))
        return self._start(settings, "tests.standins.relayed_role", *addresses)

    def start_sidecar(self, number: int) -> Process:
        """Start or restart a sidecar."""
        ip = self._ip(20 + number)
        settings = self._settings(f"side-{number}", ip, ["side"])
        settings["listen"] = {"control": f"{ip}:{CONTROL_PORT}"}
        host, port = self._relay(f"w{number}", self.workers[number].address)
        settings["app"] = f"{host}:{port}"
        settings["service"] = "estimate"
        settings["zone"] = self._domains[number % len(self._domains)]
        return self._start(settings, "gypsumspoke.platform", "sidecar")

    def _relay(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> tuple[str, int]:
        """Return the address at which a server is reached."""
        if not self._relayed:
            return target
        if name not in self.relays:
            relay = self._stack.enter_context(closing(Relay(target, listen)))
            self.relays[name] = relay
        return self.relays[name].address

    def _start(self, settings: dict, *arguments: str) -> Process:
        path = self._folder / f"{settings['node']}.json"
        path.write_text(json.dumps(settings))
        os.environ["GYPSUMSPOKE_SETTINGS"] = str(path)
        try:
            return self._processes.start(*arguments)
        finally:
            del os.environ["GYPSUMSPOKE_SETTINGS"]

    def _settings(self, node: str, ip: str, serves: list[str]) -> dict:
        host, port = self._relay("store", self.store.address)
        seed = f"{self._ip(10)}:{CONTROL_PORT}"
        return {
            "node": node,
            "serves": serves,
            "ip": ip,
            "zone": "a",
            "seeds": [seed],
            "bounds": {"grace_s": 6},
            "limits": self._entry_limits if "front" in serves else SIDECAR_LIMITS,
            "platform": {"address": f"{host}:{port}"},
            "a_field_of_later": {"x": 1},
        }

    def _ip(self, number: int) -> str:
        return f"{self._net}.{number}"

    def _send_heartbeats(self, number: int) -> None:
        while True:
            self.send_heartbeat(number)
            gevent.sleep(0.3)

    def send_heartbeat(self, number: int) -> int | None:
        """Send a worker's heartbeat; return the status, or None without an answer."""
        worker = self.workers[number]
        address = self.registration_address(number)
        path = f"/v1/instances/{worker.id}"
        body = json.dumps(worker.heartbeat()).encode()
        try:
            return call(address, "PUT", path, body)[0]
        except OSError:
            return None

    def caller_address(self, number: int) -> tuple[str, int]:
        """Return the address on which an entry serves callers."""
        return self._ip(10 + number), CALLERS_PORT

    def readiness_address(self, number: int) -> tuple[str, int]:
        """Return the address on which an entry answers readiness probes."""
        return self._ip(10 + number), READINESS_PORT

    def peer_address(self, number: int) -> tuple[str, int]:
        """Return the address on which an entry takes connections of peers."""
        return self._ip(10 + number), CONTROL_PORT

    def metrics_address(self, number: int) -> tuple[str, int]:
        """Return the address on which an entry serves its metrics."""
        return self._ip(10 + number), METRICS_PORT

    def registration_address(self, number: int) -> tuple[str, int]:
        """Return the address on which a sidecar takes its worker's heartbeats."""
        return self._ip(20 + number), CONTROL_PORT

    def call(
        self,
        number: int,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any, dict]:
        """Send a caller's request to an entry; return status, JSON body and headers."""
        address = self.caller_address(number)
        if not isinstance(body, bytes):
            body = json.dumps(body).encode() if body is not None else b""
        given = {"Host": HOST, "Gypsumspoke-Deadline-Ms": "5000", **(headers or {})}
        return call(address, method, path, body, given)

    def submit(self, number: int, job_id: str, **more: Any) -> tuple[int, Any, dict]:
        """Submit a job to an entry."""
        return self.call(number, "POST", PREFIX + job_id, job_body(**more))

    def next_job(self) -> int:
        """Return a number for a job that none had before."""
        self._jobs += 1
        return self._jobs

    def is_ready(self, number: int) -> bool:
        """Return whether an entry's readiness probe succeeds."""
        address = self.readiness_address(number)
        try:
            return call(address, "GET", "/v1/ready", b"")[0] == 200
        except OSError:
            return False

    def metrics(self, ip_number: int) -> str:
        """Return the metrics of a process."""
        client = HTTPClient(self._ip(ip_number), METRICS_PORT)
        response = client.get("/metrics")
        text = bytes(response.read()).decode()
        client.close()
        return text

    def wait_until(self, condition, description: str) -> None:
        """Wait until a condition holds.

        Raises:
          AssertionError: it does not hold within the timeout; shows the end of the
            output of processes that have ended.
        """
        with gevent.Timeout(TIMEOUT_SECONDS, False):
            while not condition():
                gevent.sleep(0.02)
            return
        ended = [each for each in self.entries + self.sidecars if not each.alive]
        outputs = "".join(f"\nended: {each.output_end()}" for each in ended)
        raise AssertionError(f"timed out waiting for {description}{outputs}")

    def wait_until_serving(self) -> None:
        """Wait until every entry completes jobs."""
        for number in range(len(self.entries)):
            self.wait_until(lambda: self.is_ready(number), "readiness")
            self.wait_until(lambda: self._serves(number), "a complete job")

    def _serves(self, number: int) -> bool:
        job_id = f"{random.getrandbits(64):016x}"
        status, body, _ = self.submit(number, job_id)
        return status == 200 and body == {"state": "completed"}


def call(address, method, path, body, headers=None):
    """Send a request on a new connection; return status, JSON body and headers."""
    client = HTTPClient(
        *address, network_timeout=TIMEOUT_SECONDS, connection_timeout=TIMEOUT_SECONDS
    )
    try:
        response = client.request(method, path, body=body, headers=headers or {})
        raw = bytes(response.read())
        fields = dict((name.lower(), value) for name, value in response.items())
        return response.status_code, json.loads(raw or b"null"), fields
    finally:
        client.close()
