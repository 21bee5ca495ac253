"""A large deployment in virtual time, and the messages that it costs."""

from collections import Counter
from datetime import datetime, timedelta
from random import Random

from gypsumspoke.core.effects import Send
from gypsumspoke.runs.directory import CloseConnection
from gypsumspoke.runs.messages import RunEnded
from gypsumspoke.runs.values import EndReason, Job, JobEnd, Room, Step
from tests.runs.world import CAPACITY, TASK_TIME, World, ms

# Tasks that fit on one worker at a time.
SLOTS_PER_WORKER = 6
ROOM = Room(CAPACITY.cpu // SLOTS_PER_WORKER, 64, 0)
MIN_TASK_TIME, MAX_TASK_TIME = ms(120), ms(280)
PACES = (0.6, 1.0, 1.6)
CHECK_INTERVAL = ms(50)


def small_job(job_id: str, count: int) -> Job:
    """Return a job whose tasks leave room for others on a worker."""
    return Job(job_id, "spec", (Step(count, ROOM, TASK_TIME),))


class Fleet(World):
    """A world whose guarantees are checked at intervals, as there are many workers."""

    def __init__(self, entries: int, sidecars: int, seed: int = 0, **more) -> None:
        self._checked_at: timedelta | None = None
        self.sent_at: dict[str, datetime] = {}
        self.task_times = Random(seed)
        super().__init__(entries, sidecars, seed, **more)
        self.entry_hosts = [f"entry{number}" for number in range(entries)]
        self.sidecar_hosts = [f"side{number}" for number in range(sidecars)]
        self.requests = 0

    def _check(self) -> None:
        if self._checked_at is None or self.now - self._checked_at >= CHECK_INTERVAL:
            self._checked_at = self.now
            super()._check()

    def start_worker(self, host: str) -> None:
        """Start a worker whose tasks take unequal times."""
        self.pace.setdefault(host, PACES[len(self.pace) % len(PACES)])
        super().start_worker(host)
        self.workers[host].rooms = lambda task: ROOM
        pace = self.pace[host]
        self.workers[host].run_time = lambda task: self._task_time() * pace

    def _task_time(self) -> timedelta:
        share = self.task_times.random()
        return MIN_TASK_TIME + (MAX_TASK_TIME - MIN_TASK_TIME) * share

    # Load

    def submit_for(
        self, duration: timedelta, load: float, hosts: list[str] | None = None
    ) -> list[str]:
        """Submit jobs of two tasks for a time, at random entries.

        Args:
          duration: how long.
          load: share of the room of all workers that the jobs take.
          hosts: the entries; by default all.

        Returns:
          The requests.
        """
        hosts = hosts or self.entry_hosts
        slots = SLOTS_PER_WORKER * len(self.sidecar_hosts)
        interval = TASK_TIME * 2 / (slots * load)
        end = self.now + duration
        requests = []
        while self.now < end:
            self.run(interval * self.random.expovariate(1.0))
            self.requests += 1
            request = f"r{self.requests}"
            host = self.random.choice(hosts)
            self.submit(host, request, small_job(f"j{self.requests}", 2))
            self.sent_at[request] = self.now
            requests.append(request)
        return requests

    def completed_share(self, requests: list[str]) -> float:
        """Return the share of requests that were answered with a completed job."""
        ends = [self.end_of(request) for request in requests]
        return ends.count(JobEnd.COMPLETED) / len(ends)

    def job_times(self, requests: list[str]) -> list[timedelta]:
        """Return the times within which jobs were answered, in ascending order."""
        return sorted(
            self.answered_at[request] - self.sent_at[request] for request in requests
        )

    # Connections and messages

    @property
    def connected(self) -> set[frozenset[str]]:
        """The pairs of connected processes."""
        return self._connected

    def sidecars_of(self, entry: str) -> int:
        """Return the number of sidecars that are connected to an entry."""
        name = self.processes[entry].name
        return sum(name in pair for pair in self._connected)

    def received_per_second(self, duration: timedelta) -> dict[str, float]:
        """Run for a time; return the messages that each instance gets a second."""
        self.log.clear()
        self.run(duration)
        counts = Counter(
            effect.to.rpartition("-")[0]
            for _, _, effect in self.log
            if isinstance(effect, Send)
        )
        seconds = duration.total_seconds()
        return {host: counts[host] / seconds for host in self.processes}

    def refused_per_completed(self) -> float:
        """Return the runs refused for want of room per completed run, in the log."""
        reasons = Counter(
            effect.message.reason
            for _, _, effect in self.log
            if isinstance(effect, Send) and isinstance(effect.message, RunEnded)
        )
        return reasons[EndReason.ROOM_TAKEN] / max(reasons[EndReason.COMPLETED], 1)

    def closed_connections(self) -> int:
        """Return how many connections sidecars have closed, in the log."""
        return sum(isinstance(effect, CloseConnection) for _, _, effect in self.log)
