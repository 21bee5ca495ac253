"""A large deployment in virtual time, and the messages that it costs."""

from collections import Counter
from datetime import timedelta

from gypsumspoke.core.effects import Send
from gypsumspoke.runs.directory import CloseConnection
from gypsumspoke.runs.messages import RunEnded
from gypsumspoke.runs.values import EndReason, JobEnd
from tests.runs.world import TASK_TIME, World, job, ms

# Tasks that fit on one worker at a time.
SLOTS_PER_WORKER = 2
CHECK_INTERVAL = ms(50)


class Fleet(World):
    """A world whose guarantees are checked at intervals, as there are many workers."""

    def __init__(self, entries: int, sidecars: int, seed: int = 0) -> None:
        self._checked_at: timedelta | None = None
        super().__init__(entries=entries, sidecars=sidecars, seed=seed)
        self.entry_hosts = [f"entry{number}" for number in range(entries)]
        self.sidecar_hosts = [f"side{number}" for number in range(sidecars)]
        self.requests = 0

    def _check(self) -> None:
        if self._checked_at is None or self.now - self._checked_at >= CHECK_INTERVAL:
            self._checked_at = self.now
            super()._check()

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
            self.submit(host, request, job(f"j{self.requests}", count=2))
            requests.append(request)
        return requests

    def completed_share(self, requests: list[str]) -> float:
        """Return the share of requests that were answered with a completed job."""
        ends = [self.end_of(request) for request in requests]
        return ends.count(JobEnd.COMPLETED) / len(ends)

    # Connections and messages

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
