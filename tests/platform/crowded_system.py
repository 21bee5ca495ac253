"""A system of processes beside a crowd of clients that don't behave.

``python -m tests.platform.crowded_system KIND LISTENER [CONNECTIONS [SECONDS]]`` prints
what the processes hold and how ordinary callers fare.
"""

import json
import random
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import gevent
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError

from gypsumspoke.runs.settings import address_text
from gypsumspoke.runs.values import Room
from tests.platform.system import (
    ENTRY_LIMITS,
    HOST,
    PREFIX,
    SIDECAR_LIMITS,
    PlatformSystem,
    call,
    job_body,
)
from tests.standins.memory import MemoryWatch, Watched
from tests.standins.processes import Process, Processes

ENTRIES, SIDECARS = 2, 3
JOBS_PER_SECOND = 10
# How long an ordinary caller waits for its job, with its retries.
CALLER_SECONDS = 5.0
# The platform takes an entry out of rotation after two misses of a second each.
PROBE_SECONDS = 1.0
MAX_MISSES = 2
_MEGABYTE = 1_000_000
_BROKEN = (OSError, ValueError, HTTPConnectionClosed, HTTPParseError)
_JOB_PATH = PREFIX + "{id}"

PATHS = {
    "route": _JOB_PATH,
    "no-route": "/nothing/{id}",
    "readiness": "/v1/ready",
    "metrics": "/metrics",
    "registration": "/v1/instances/{id}",
    "peers": "/",
}


class Probe(NamedTuple):
    """Readiness probes of an entry: when one was sent, and whether it succeeded."""

    sent: float
    is_answered: bool


class Outcome(NamedTuple):
    """What came of a play.

    Attributes:
      watched: the processes, entries first.
      ended: numbers of the processes that had ended before the system was stopped.
      answers: how ordinary jobs ended, counted, by entry.
      slowest: longest time of an ordinary job in seconds, by entry.
      refusals: refusals that ordinary callers got before, by status.
      probes: the readiness probes of the entry that the crowd uses.
      crowd: what the crowd counted.
      violations: promises that the workers saw broken.
    """

    watched: list[Watched]
    ended: list[int]
    answers: list[Counter[str]]
    slowest: list[float]
    refusals: Counter[str]
    probes: list[Probe]
    crowd: dict
    violations: list[str]

    @property
    def missed_in_a_row(self) -> int:
        """The longest series of unanswered readiness probes."""
        longest = series = 0
        for probe in self.probes:
            series = 0 if probe.is_answered else series + 1
            longest = max(longest, series)
        return longest

    def summary(self) -> dict:
        """Return the outcome for printing."""
        return {
            "peak_mb": [round(each.peak_bytes / _MEGABYTE) for each in self.watched],
            "unread_mb": [
                round(each.peak_unread / _MEGABYTE, 1) for each in self.watched
            ],
            "unsent_mb": [
                round(each.peak_unsent / _MEGABYTE, 1) for each in self.watched
            ],
            "ended": self.ended,
            "answers": [dict(each) for each in self.answers],
            "slowest": [round(each, 2) for each in self.slowest],
            "refusals": dict(self.refusals),
            "probes": [probe.is_answered for probe in self.probes],
            "crowd": self.crowd,
        }


class _Callers:
    """Ordinary callers of one entry, which retry as they are told."""

    def __init__(self, system: PlatformSystem, number: int, refusals: Counter) -> None:
        self._system = system
        self._number = number
        self._random = random.Random(number)
        self._refusals = refusals
        self.answers: Counter[str] = Counter()
        self.slowest = 0.0

    def run(self, seconds: float) -> None:
        """Send jobs for a time, then wait for their ends."""
        calls = []
        for _ in range(round(seconds * JOBS_PER_SECOND)):
            calls.append(gevent.spawn(self._call))
            gevent.sleep(1 / JOBS_PER_SECOND)
        gevent.joinall(calls)

    def _call(self) -> None:
        started = time.monotonic()
        job_id = f"{self._random.getrandbits(64):016x}"
        end = "unanswered"
        with gevent.Timeout(CALLER_SECONDS, False):
            end = self._submit(job_id, started)
        self.answers[end] += 1
        self.slowest = max(self.slowest, time.monotonic() - started)

    def _submit(self, job_id: str, started: float) -> str:
        while True:
            left = started + CALLER_SECONDS - time.monotonic()
            headers = {"Gypsumspoke-Deadline-Ms": str(max(round(left * 1000), 1))}
            path = PREFIX + job_id
            try:
                status, body, fields = self._system.call(
                    self._number, "POST", path, job_body(), headers
                )
            except _BROKEN:
                self._refusals["broken"] += 1
                gevent.sleep(self._random.uniform(0.1, 0.3))
                continue
            if status not in (429, 503):
                return f"{status} {body.get('state') or body.get('reason')}"
            self._refusals[str(status)] += 1
            gevent.sleep(float(fields["retry-after"]))


def _probe(system: PlatformSystem, number: int, probes: list[Probe]) -> None:
    while True:
        sent = time.monotonic()
        status = None
        with gevent.Timeout(PROBE_SECONDS, False):
            try:
                address = system.readiness_address(number)
                status = call(address, "GET", "/v1/ready", b"", {"Host": HOST})[0]
            except _BROKEN:
                pass
        probes.append(Probe(sent, status == 200))
        gevent.sleep(max(0, sent + PROBE_SECONDS - time.monotonic()))


def _target(system: PlatformSystem, listener: str) -> tuple[str, int]:
    addresses = {
        "readiness": system.readiness_address,
        "metrics": system.metrics_address,
        "registration": system.registration_address,
        "peers": system.peer_address,
    }
    return addresses.get(listener, system.caller_address)(0)


def _watch(system: PlatformSystem, entry_limits: dict) -> list[Watched]:
    def watched(process: Process, host: str, limits: dict) -> Watched:
        return Watched(process, host, limits["memory_mb"] * _MEGABYTE)

    entries = [
        watched(process, system.caller_address(number)[0], entry_limits)
        for number, process in enumerate(system.entries)
    ]
    sidecars = [
        watched(process, system.registration_address(number)[0], SIDECAR_LIMITS)
        for number, process in enumerate(system.sidecars)
    ]
    return entries + sidecars


def play(
    kind: str,
    listener: str,
    connections: int,
    seconds: float,
    folder: Path,
    entry_limits: dict = ENTRY_LIMITS,
    task_duration: timedelta | None = None,
) -> Outcome:
    """Serve ordinary callers beside a crowd, and for a while after it.

    Args:
      kind: a kind of ``tests.standins.crowd``.
      listener: a name of ``PATHS``; the crowd uses the first entry or sidecar.
      connections: connections of the crowd at a time.
      seconds: how long it goes on.
      folder: directory for settings and logs.
      entry_limits: memory and descriptors of an entry.
      task_duration: how long each task runs; None for the worker's default.
    """
    with ExitStack() as stack:
        system = stack.enter_context(
            PlatformSystem(folder, ENTRIES, SIDECARS, entry_limits=entry_limits)
        )
        (folder / "crowd").mkdir()
        others = stack.enter_context(Processes(folder / "crowd"))
        # The jobs of a crowd ask for little room; the worker takes them at their word.
        for worker in system.workers:
            worker.task_room = Room(1, 1, 0)
        system.wait_until_serving()
        if task_duration is not None:
            for worker in system.workers:
                worker.task_duration = task_duration
        watched = _watch(system, entry_limits)
        stack.enter_context(MemoryWatch(watched))
        probes: list[Probe] = []
        stack.callback(gevent.spawn(_probe, system, 0, probes).kill)
        refusals: Counter[str] = Counter()
        callers = [_Callers(system, number, refusals) for number in range(ENTRIES)]
        crowd = others.start(
            "tests.standins.crowd",
            kind,
            address_text(_target(system, listener)),
            PATHS[listener],
            str(connections),
            str(seconds),
        )
        running = [gevent.spawn(each.run, seconds + 3) for each in callers]
        gevent.joinall(running)
        ended = crowd.wait_for_line("crowd ended")
        return Outcome(
            watched,
            [n for n, each in enumerate(watched) if not each.process.alive],
            [each.answers for each in callers],
            [each.slowest for each in callers],
            refusals,
            probes,
            ended,
            [each for w in system.workers for each in w.worker.violations],
        )


def main(arguments: list[str]) -> None:
    """Print the outcome of a play."""
    kind, listener = arguments[:2]
    connections, seconds = [*arguments[2:], *("400", "15")[len(arguments) - 2 :]]
    with tempfile.TemporaryDirectory() as folder:
        outcome = play(kind, listener, int(connections), float(seconds), Path(folder))
    print(json.dumps({"kind": kind, "at": listener, **outcome.summary()}))


if __name__ == "__main__":
    main(sys.argv[1:])
