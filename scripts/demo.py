"""Submits a job, resubmits it through another entry, and shows one start per task.

Starts a table, three upstreams, two entries and three sidecars as separate processes
on loopback, and ends each of them by its process id. Ends with status 0 only when both
answers are the same and every task started exactly once.
"""

import json
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import gevent
from returns.result import Success

from gypsumspoke.core.clock import SystemClock
from gypsumspoke.tools.caller_client import new_key, submit
from gypsumspoke.tools.http_client import Address, Reply, Request, exchange
from gypsumspoke.tools.operator_client import apply_manifest
from tests.standins.processes import Process, Processes, StandIn

HOST = "127.0.0.1"
ENTRIES = 2
SIDECARS = 3
TASKS = 6
BOUND_SECONDS = 60
MANIFEST = Path(__file__).parents[1] / "examples" / "manifest.json"


class Running(NamedTuple):
    """A started role and where it listens."""

    name: str
    process: Process
    ports: dict[str, int]

    @property
    def admin(self) -> Address:
        """Administration port."""
        return Address(HOST, self.ports["admin_port"])

    @property
    def http(self) -> Address:
        """Callers' port; entries only."""
        return Address(HOST, self.ports["http_port"])


def main() -> int:
    """Run the demonstration and return the exit status."""
    with tempfile.TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        table = processes.start_table()
        upstreams = [processes.start_upstream() for _ in range(SIDECARS)]
        entries, sidecars = start_roles(processes, table, upstreams)
        with gevent.Timeout(BOUND_SECONDS):
            apply(entries[0])
            for running in entries + sidecars:
                wait_until_ready(running)
            good = show_job(entries, upstreams)
        # The last sidecar would wait for another one to take its records.
        stop(entries + sidecars[:-1])
    return 0 if good else 1


def start_roles(
    processes: Processes, table: StandIn, upstreams: list[StandIn]
) -> tuple[list[Running], list[Running]]:
    """Start all entries and one sidecar beside each upstream."""
    entries = [
        start(processes, table, f"entry-{number}", {"role": "entry", "http_port": 0})
        for number in range(1, ENTRIES + 1)
    ]
    sidecars = []
    for number, upstream in enumerate(upstreams, 1):
        own = {
            "role": "sidecar",
            "service": "estimate",
            "slots": 8,
            "upstream_host": HOST,
            "upstream_port": upstream.port,
        }
        sidecars.append(start(processes, table, f"worker-{number}", own))
    return entries, sidecars


def start(
    processes: Processes, table: StandIn, name: str, own: dict[str, object]
) -> Running:
    """Start one role."""
    settings = {
        "worker": name,
        "host": HOST,
        "peer_port": 0,
        "admin_port": 0,
        "failure_domain": "domain-1",
        "rack": f"rack-of-{name}",
        "region": "region-1",
        "table_host": HOST,
        "table_port": table.port,
        "partition_count": 16,
        **own,
    }
    process = processes.start_role(settings["role"], settings)
    line = process.wait_for_line("listening")
    ports = line.get("details", line)
    print(f"started  {name} as process {process.pid}")
    return Running(name, process, ports)


def apply(entry: Running) -> None:
    """Put the example manifest in force; the entry may not be registered yet."""
    while True:
        applied = apply_manifest(entry.admin, MANIFEST.read_text(), "demo")
        if isinstance(applied, Success):
            print(f"applied  {MANIFEST.name} as version {applied.unwrap()}")
            return
        gevent.sleep(0.1)


def wait_until_ready(running: Running) -> None:
    """Wait until a process says that it takes new work."""
    while True:
        reply = exchange(running.admin, Request("GET", "/readyz"))
        if isinstance(reply, Success) and reply.unwrap().status == 200:
            return
        gevent.sleep(0.1)


def show_job(entries: list[Running], upstreams: list[StandIn]) -> bool:
    """Submit and resubmit one job; return whether all is as promised."""
    key = new_key(SystemClock())
    tasks = [
        {"body": {"sleep_seconds": 0.1, "echo": number}} for number in range(TASKS)
    ]
    job = {"team": "tax", "service": "estimate", "deadline_seconds": 30, "tasks": tasks}
    print(f"job      {key} of {TASKS} tasks")
    answers = [submit_through(entry, json.dumps(job), key) for entry in entries]
    same = len({answer.body for answer in answers}) == 1
    starts = count_starts(upstreams, key)
    print(f"answers  {'the same' if same else 'different'} through all entries")
    for task in range(TASKS):
        print(f"task {task}   starts: {starts[str(task)]}")
    once = all(starts[str(task)] == 1 for task in range(TASKS))
    return same and once and answers[0].status == 200


def submit_through(entry: Running, job: str, key: str) -> Reply:
    """Submit until the answer is final; refusals are printed and retried."""
    while True:
        reply = submit(entry.http, job, key).unwrap()
        print(f"{entry.name}  HTTP {reply.status}: {reply.body.decode()}")
        if reply.status != 503:
            return reply
        gevent.sleep(float(reply.headers.get("retry-after", "1")))


def count_starts(upstreams: list[StandIn], key: str) -> Counter[str]:
    """Return how often each task of the job started, over all upstreams."""
    return Counter(
        seen["task"]
        for upstream in upstreams
        for seen in upstream.get("/starts")["starts"]
        if seen["key"] == key
    )


def stop(running: list[Running]) -> None:
    """Stop all roles gracefully and show their exit status."""
    for role in running:
        print(f"stopped  {role.name} with status {role.process.terminate()}")


if __name__ == "__main__":
    sys.exit(main())
