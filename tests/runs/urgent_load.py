"""A fleet whose routes differ in priority, and what the callers of each kind get.

``python -m tests.runs.urgent_load LOAD [SEED ...]`` prints the share of jobs in time by
kind, the long jobs' share of the room in use, and the messages per second.
"""

import sys
from collections import Counter
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.effects import Send
from gypsumspoke.runs.coordinator_state import (
    ConfigurationChanged,
    JobArrived,
    time_allowed,
)
from gypsumspoke.runs.messages import PlaceRun, ReportAck, WorkerReport
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.values import (
    Configuration,
    Job,
    JobEnd,
    Registration,
    Room,
    Route,
    Step,
    TaskId,
    WorkerReady,
)
from gypsumspoke.runs.worker_commands import HeartbeatArrived
from tests.runs.fleet import Fleet
from tests.runs.world import LIMITS, ROUTE, SERVICE, Process, ms

WORKER = Room(32000, 64000, 0)
TASK_ROOM = Room(2400, 64, 0)
SLOTS = WORKER.cpu // TASK_ROOM.cpu
# Estimates are off by up to the first share; tasks of one job differ by the second.
ESTIMATE_ERROR, UNEVENNESS = 0.4, 0.15
CALLER_TIMEOUT = ms(4000)
SAMPLE_INTERVAL = ms(20)


class Kind(NamedTuple):
    """A kind of job: its route, its tasks, their time, and its share of the jobs."""

    route: Route
    width: int
    task_time: timedelta
    share: float


def _route(name: str, priority: int) -> Route:
    return ROUTE._replace(name=name, path_prefix=f"/{name}/", priority=priority)


# The kinds and rates of the first customer in docs/HARD-LOAD.md.
WIDE = Kind(_route("wide", 0), 8, ms(120), 103)
SMALL = Kind(_route("small", 1), 2, ms(400), 300)
LONG = Kind(_route("long", 2), 4, ms(1800), 18.7)
KINDS = (WIDE, SMALL, LONG)
TABLE = RoutingTable(Configuration(2, tuple(kind.route for kind in KINDS), LIMITS))


class Sent(NamedTuple):
    """A job that was sent: its kind, when, and the time allowed for it."""

    kind: Kind
    at: datetime
    allowed: timedelta


class UrgentFleet(Fleet):
    """A fleet that serves routes of three priorities."""

    def __init__(self, entries: int, sidecars: int, seed: int = 0, **more) -> None:
        self.sent: dict[str, Sent] = {}
        self.times: dict[TaskId, timedelta] = {}
        self.kinds: dict[str, Kind] = {}
        self.in_use: Counter[str] = Counter()
        super().__init__(entries, sidecars, seed, **more)

    def start_entry(self, host: str) -> Process:
        """Start an entry whose configuration has all routes."""
        process = super().start_entry(host)
        self.post(process, ConfigurationChanged(TABLE, ""))
        return process

    def start_worker(self, host: str) -> None:
        """Start a worker whose tasks take the times that were drawn for them."""
        super().start_worker(host)
        worker, pace = self.workers[host], self.pace[host]
        worker.capacity = WORKER
        worker.rooms = lambda task: TASK_ROOM
        worker.run_time = lambda task: self.times[task] * pace

    def send_heartbeat(self, host: str, state: WorkerReady = WorkerReady.READY) -> None:
        """Send a heartbeat that states the larger worker's room."""
        registration = Registration(
            id=f"w-{host}",
            incarnation=self.worker_incarnations[host],
            sequence=next(self._sequence),
            service=SERVICE,
            state=state,
            capacity=WORKER,
            labels=("a", "r1"),
            clock=self.worker_clock(host),
        )
        self.post(self.processes[host], HeartbeatArrived(registration))

    @property
    def task_rate(self) -> float:
        """Seconds of estimated task time that all workers do in a second."""
        return sum(SLOTS / self.pace[host] for host in self.sidecar_hosts)

    def submit_kinds(
        self,
        duration: timedelta,
        load: float,
        kinds: Iterable[Kind] = KINDS,
        hosts: list[str] | None = None,
    ) -> list[str]:
        """Submit jobs of some kinds at random entries for a time.

        Args:
          duration: how long.
          load: share of the room of all workers that the jobs take.
          kinds: kinds of jobs, by their shares.
          hosts: the entries; by default all.

        Returns:
          The requests.
        """
        return self.submit_streams(duration, [(load, tuple(kinds), hosts)])

    def submit_streams(
        self,
        duration: timedelta,
        streams: list[tuple[float, tuple[Kind, ...], list[str] | None]],
    ) -> list[str]:
        """Submit several such streams of jobs side by side."""
        end = self.now + duration
        requests: list[str] = []
        for load, kinds, hosts in streams:
            weights = [kind.share for kind in kinds]
            work = sum(
                kind.share * kind.width * kind.task_time.total_seconds()
                for kind in kinds
            )
            rate = load * self.task_rate * sum(weights) / work
            at = self.random.expovariate(rate)
            while at < duration.total_seconds():
                kind = self.random.choices(kinds, weights)[0]
                host = self.random.choice(hosts or self.entry_hosts)
                self.at(
                    timedelta(seconds=at),
                    lambda kind=kind, host=host: requests.append(
                        self.submit_kind(kind, host)
                    ),
                )
                at += self.random.expovariate(rate)
        while self.now < end:
            self.run(SAMPLE_INTERVAL)
            self._sample_use()
        return requests

    def submit_kind(self, kind: Kind, host: str) -> str:
        """Submit one job, whose estimate is inaccurate."""
        self.requests += 1
        request, job_id = f"r{self.requests}", f"j{self.requests}"
        draw = self.task_times
        for index in range(kind.width):
            spread = 1 + UNEVENNESS * (2 * draw.random() - 1)
            self.times[TaskId(job_id, 0, index)] = kind.task_time * spread
        estimate = kind.task_time * (1 + ESTIMATE_ERROR * (2 * draw.random() - 1))
        job = Job(job_id, "spec", (Step(kind.width, TASK_ROOM, estimate),))
        exact = job._replace(steps=(job.steps[0]._replace(estimate=kind.task_time),))
        self.kinds[job_id] = kind
        self.sent[request] = Sent(kind, self.now, time_allowed(exact, kind.route))
        event = JobArrived(request, job, kind.route, self.now + CALLER_TIMEOUT)
        self.post(self.processes[host], event)
        return request

    def _sample_use(self) -> None:
        for worker in self.workers.values():
            for run in worker.running:
                self.in_use[self.kinds[run.task.job].route.name] += 1

    # What came of it

    def in_time_share(self, requests: Iterable[str], kind: Kind) -> float:
        """Return the share of a kind's jobs that were completed in time."""
        of_kind = [request for request in requests if self.sent[request].kind is kind]
        in_time = sum(
            self.end_of(request) is JobEnd.COMPLETED
            and self.answered_at[request] - self.sent[request].at
            <= self.sent[request].allowed
            for request in of_kind
        )
        return in_time / max(len(of_kind), 1)

    def mean_time(self, requests: Iterable[str], kind: Kind) -> timedelta:
        """Return the mean time to the answer of a kind's completed jobs."""
        times = [
            self.answered_at[request] - self.sent[request].at
            for request in requests
            if self.sent[request].kind is kind
            and self.end_of(request) is JobEnd.COMPLETED
        ]
        return sum(times, timedelta()) / max(len(times), 1)

    def count_messages(self, kind: type | None = None) -> int:
        """Return the messages in the log, of one type or all."""
        return sum(
            isinstance(effect, Send) and isinstance(effect.message, kind or object)
            for _, _, effect in self.log
        )


class Played(NamedTuple):
    """Figures of one play.

    Attributes:
      in_time: share of the jobs in time, by kind.
      completed: share of the jobs that were completed.
      long_use: mean share of the room of all workers that long jobs have.
      use: mean share of the room in use.
      messages: messages per second, by type.
      sent_back: runs refused for want of room per completed run.
    """

    in_time: dict[str, float]
    completed: float
    long_use: float
    use: float
    messages: dict[str, float]
    sent_back: float


def play(
    load: float, seed: int, entries: int = 6, sidecars: int = 16, seconds: float = 4
) -> Played:
    """Play a load on a fleet that has served it for a while."""
    fleet = UrgentFleet(entries, sidecars, seed)
    fleet.run(ms(3000))
    fleet.submit_kinds(ms(2500), load)
    fleet.log.clear()
    fleet.in_use.clear()
    requests = fleet.submit_kinds(timedelta(seconds=seconds), load)
    samples = timedelta(seconds=seconds) / SAMPLE_INTERVAL * SLOTS * sidecars
    uses = {kind: fleet.in_use[kind.route.name] / samples for kind in KINDS}
    messages = {
        name: fleet.count_messages(kind) / seconds
        for name, kind in (
            ("all", None),
            ("reports", WorkerReport),
            ("acks", ReportAck),
            ("placements", PlaceRun),
        )
    }
    sent_back = fleet.refused_per_completed()
    fleet.run(CALLER_TIMEOUT + ms(1000))
    assert not fleet.violations, fleet.violations[:1]
    in_time = {kind.route.name: fleet.in_time_share(requests, kind) for kind in KINDS}
    completed = fleet.completed_share(requests)
    return Played(
        in_time, completed, uses[LONG], sum(uses.values()), messages, sent_back
    )


def main(arguments: list[str]) -> None:
    """Play a load with each seed and print the figures."""
    load = float(arguments[0])
    for seed in [int(text) for text in arguments[1:]] or [1]:
        played = play(load, seed)
        in_time = " ".join(
            f"{name} {share:.3f}" for name, share in played.in_time.items()
        )
        messages = " ".join(
            f"{name} {rate:.0f}" for name, rate in played.messages.items()
        )
        print(
            f"load {load} seed {seed} in time: {in_time}; completed "
            f"{played.completed:.3f}; long jobs' room {played.long_use:.3f} of "
            f"{played.use:.3f} in use; per second: {messages}; sent back "
            f"{played.sent_back:.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1:])
