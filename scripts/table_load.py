"""Counts the reads and writes that a small system costs the platform's table.

Starts what the demonstration starts, watches the table's own counts for a bounded time
while nothing happens, and then for as long after each change. What an hour costs is
extrapolated from that time, and what a change costs is what exceeds the idle share. The
table is a stand-in, so the counts hold and times do not.
"""

import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import click
import gevent
from demo import (
    BOUND_SECONDS,
    MANIFEST,
    Running,
    apply,
    start,
    start_roles,
    wait_until_ready,
)

from gypsumspoke.parser.documents import read_document
from gypsumspoke.tools.operator_client import apply_manifest
from tests.standins.processes import Processes, StandIn

SIDECARS = 3
SECONDS_PER_HOUR = 3600
# Under this name it is preferred by some of the demonstration's partitions.
EXTRA = "worker-4"


class Counts(NamedTuple):
    """Requests to the table."""

    reads: int
    writes: int


@click.command()
@click.option("--seconds", type=click.FloatRange(1, 600), default=20.0)
def main(seconds: float) -> None:
    """Print one JSON line for the idle system and for each kind of change."""
    with tempfile.TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        table = processes.start_table()
        upstreams = [processes.start_upstream() for _ in range(SIDECARS + 1)]
        entries, sidecars = start_roles(processes, table, upstreams[:SIDECARS])
        with gevent.Timeout(BOUND_SECONDS):
            apply(entries[0])
            for running in entries + sidecars:
                wait_until_ready(running)
        # The partitions spread over the sidecars before the count begins.
        gevent.sleep(seconds)
        idle = watch(table, seconds, lambda: None)
        show_idle(idle, seconds)
        extra: list[Running] = []

        def join() -> None:
            extra.append(start_extra(processes, table, upstreams[-1]))

        changes = {
            "manifest change": lambda: change_manifest(entries[0]),
            "sidecar joins": join,
            "sidecar leaves gracefully": lambda: extra[-1].process.terminate(),
            "sidecar joins again": join,
            "sidecar is killed": lambda: extra[-1].process.kill(),
            "its replacement joins": join,
        }
        for name, change in changes.items():
            show_change(name, watch(table, seconds, change), idle)


def start_extra(processes: Processes, table: StandIn, upstream: StandIn) -> Running:
    """Start one more sidecar, or the replacement of the one before."""
    own = {
        "role": "sidecar",
        "service": "estimate",
        "slots": 8,
        "upstream_host": "127.0.0.1",
        "upstream_port": upstream.port,
    }
    return start(processes, table, EXTRA, own)


def change_manifest(entry: Running) -> None:
    """Apply a manifest that differs from the one in force."""
    document = read_document(MANIFEST.read_text()).unwrap()
    document["policy"] = {**document.get("policy", {}), "task_attempts": 5}
    apply_manifest(entry.admin, json.dumps(document)).unwrap()


def watch(table: StandIn, seconds: float, change: Callable[[], object]) -> Counts:
    """Return the table's requests from a change until so many seconds after it."""
    before = Counts(**table.get("/counts"))
    change()
    gevent.sleep(seconds)
    after = Counts(**table.get("/counts"))
    return Counts(after.reads - before.reads, after.writes - before.writes)


def show_idle(counts: Counts, seconds: float) -> None:
    """Print what the idle system cost, and what an hour would."""
    per_hour = SECONDS_PER_HOUR / seconds
    report = {
        "idle_seconds": seconds,
        **counts._asdict(),
        "reads_per_hour_extrapolated": round(counts.reads * per_hour),
        "writes_per_hour_extrapolated": round(counts.writes * per_hour),
    }
    print(json.dumps(report))


def show_change(name: str, counts: Counts, idle: Counts) -> None:
    """Print what a change cost beyond the idle share of the same time."""
    report = {
        "change": name,
        "reads": counts.reads - idle.reads,
        "writes": counts.writes - idle.writes,
    }
    print(json.dumps(report))


if __name__ == "__main__":
    main()
