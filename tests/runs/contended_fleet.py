"""Jobs of three priorities on full workers, with one entry slower than the others.

Run by hand, it prints late jobs by entry and by priority: first seed, last seed, then
optionally the load and which delay the slow entry has.
"""

import sys
from collections import Counter
from datetime import datetime, timedelta
from functools import partial
from random import Random
from typing import Any, NamedTuple

from gypsumspoke.core.effects import Send
from gypsumspoke.runs.coordinator_state import JobArrived, time_allowed
from gypsumspoke.runs.messages import RunEnded
from gypsumspoke.runs.values import EndReason, Job, JobEnd, Step, TaskId
from tests.runs.fleet import ROOM, SLOTS_PER_WORKER, Fleet
from tests.runs.world import ROUTE, Process, ms

# By priority: tasks per job, estimate, and the share of the load.
KINDS = ((8, ms(120), 0.21), (2, ms(400), 0.51), (4, ms(1800), 0.28))
WORKER_PACES = (0.85, 1.0, 1.15)
MIN_TIME_OVER_ESTIMATE, MAX_TIME_OVER_ESTIMATE = 0.7, 1.3
SLOW_ENTRY = "entry0"
EVENT_COST, SLOW_EVENT_COST = ms(0.1), ms(0.42)
SLOW_LINK_DELAY = ms(6)
WARM_UP, MEASURED, DRAINED = ms(1500), ms(3000), ms(6000)


class Delay:
    """What is slow at the slow entry: its processor or its messages."""

    PROCESSOR = "processor"
    LINK = "link"
    NONE = "none"


class Figures(NamedTuple):
    """What a replay shows.

    Attributes:
      jobs: number of jobs by entry and priority.
      late: those that were answered late or not at all, in the same way.
      completed: completed runs.
      refused: runs sent back for want of room.
      messages: messages between entries and sidecars.
    """

    jobs: Counter[tuple[str, int]]
    late: Counter[tuple[str, int]]
    completed: int
    refused: int
    messages: int


class ContendedFleet(Fleet):
    """A fleet of entries of unequal speed that submit jobs of all priorities.

    Jobs and run times depend on the seed alone, so that two versions of the code get
    the same ones.
    """

    def __init__(self, entries: int, sidecars: int, seed: int, delay: str) -> None:
        self.delay = delay
        self.seed = seed
        self.load_random = Random(seed)
        self.submitted: dict[str, tuple[str, int, datetime]] = {}
        self.measured_from = 0
        self.measured_log: list[Any] = []
        super().__init__(entries, sidecars, seed)
        for host in self.entry_hosts:
            is_slow = host == SLOW_ENTRY and delay == Delay.PROCESSOR
            cost = SLOW_EVENT_COST if is_slow else EVENT_COST
            self.costs[host] = partial(_cost, cost)

    def start_worker(self, host: str) -> None:
        """Start a worker whose tasks take their estimate, more or less."""
        self.pace.setdefault(host, WORKER_PACES[len(self.pace) % len(WORKER_PACES)])
        super().start_worker(host)
        pace = self.pace[host]
        self.workers[host].run_time = lambda task: self._run_time(task) * pace

    def _run_time(self, task: TaskId) -> timedelta:
        _, estimate, _ = KINDS[int(task.job[1])]
        task_random = Random(f"{self.seed} {task}")
        return estimate * task_random.uniform(
            MIN_TIME_OVER_ESTIMATE, MAX_TIME_OVER_ESTIMATE
        )

    def _perform(self, process: Process, effect: Any) -> None:
        if isinstance(effect, Send) and self.delay == Delay.LINK:
            hosts = (process.host, effect.to.rpartition("-")[0])
            if SLOW_ENTRY in hosts:
                perform = super()._perform
                self.at(SLOW_LINK_DELAY, lambda: perform(process, effect))
                return
        super()._perform(process, effect)

    def submit_mixed(self, duration: timedelta, load: float) -> None:
        """Submit jobs of all priorities at random entries for a time."""
        slots = SLOTS_PER_WORKER * len(self.sidecar_hosts)
        rates = [
            share * load * slots / (count * estimate.total_seconds())
            for count, estimate, share in KINDS
        ]
        end = self.now + duration
        while self.now < end:
            self.run(timedelta(seconds=self.load_random.expovariate(sum(rates))))
            (priority,) = self.load_random.choices(range(len(KINDS)), rates)
            self._submit_one(self.load_random.choice(self.entry_hosts), priority)

    def _submit_one(self, host: str, priority: int) -> None:
        count, estimate, _ = KINDS[priority]
        self.requests += 1
        job = Job(f"p{priority}-{self.requests}", "x", (Step(count, ROOM, estimate),))
        route = ROUTE._replace(priority=priority)
        limit = self.now + time_allowed(job, route)
        self.submitted[job.id] = (host, priority, limit)
        event = JobArrived(job.id, job, route, self.now + ms(9000))
        self.post(self.processes[host], event)

    def figures(self) -> Figures:
        """Return the figures of the measured jobs and of the messages meanwhile."""
        jobs: Counter[tuple[str, int]] = Counter()
        late: Counter[tuple[str, int]] = Counter()
        for request, (host, priority, limit) in self._measured_jobs():
            jobs[host, priority] += 1
            is_completed = self.end_of(request) is JobEnd.COMPLETED
            if not is_completed or self.answered_at[request] > limit:
                late[host, priority] += 1
        sent = [
            effect.message
            for _, _, effect in self.measured_log
            if isinstance(effect, Send)
        ]
        reasons = Counter(
            message.reason for message in sent if isinstance(message, RunEnded)
        )
        return Figures(
            jobs,
            late,
            reasons[EndReason.COMPLETED],
            reasons[EndReason.ROOM_TAKEN],
            len(sent),
        )

    def _measured_jobs(self) -> list[tuple[str, tuple[str, int, datetime]]]:
        return list(self.submitted.items())[self.measured_from :]

    def repeated_starts(self) -> list[Any]:
        """Return the runs that workers started more than once."""
        starts = Counter(run for worker in self.all_workers for run in worker.starts)
        return [run for run, count in starts.items() if count > 1]


def _cost(cost: timedelta, event: Any) -> timedelta:
    return cost


def replay(
    seed: int, load: float, delay: str, entries: int = 4, sidecars: int = 12
) -> ContendedFleet:
    """Return a fleet after some seconds of load, with the log of the measured part."""
    fleet = ContendedFleet(entries, sidecars, seed, delay)
    fleet.run(ms(2500))
    fleet.submit_mixed(WARM_UP, load)
    fleet.log.clear()
    fleet.measured_from = len(fleet.submitted)
    fleet.submit_mixed(MEASURED, load)
    fleet.measured_log = list(fleet.log)
    fleet.run(DRAINED)
    return fleet


def main() -> None:
    """Print the figures of each load and kind of delay, summed over the seeds."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    loads = [float(sys.argv[3])] if sys.argv[3:] else [0.6, 0.85, 0.95]
    delays = sys.argv[4:] or [Delay.PROCESSOR, Delay.LINK]
    for delay in delays:
        for load in loads:
            _print_sum(range(first, last), load, delay)


def _print_sum(seeds: range, load: float, delay: str) -> None:
    jobs: Counter[tuple[str, int]] = Counter()
    late: Counter[tuple[str, int]] = Counter()
    completed = refused = messages = faults = 0
    for seed in seeds:
        fleet = replay(seed, load, delay)
        figures = fleet.figures()
        jobs += figures.jobs
        late += figures.late
        completed += figures.completed
        refused += figures.refused
        messages += figures.messages
        faults += len(fleet.violations) + len(fleet.repeated_starts())
    print(f"{delay}, load {load}: {sum(late.values())} late of {sum(jobs.values())}")
    for host in sorted({host for host, _ in jobs}):
        shares = [f"{late[host, p]}/{jobs[host, p]}" for p in range(len(KINDS))]
        print(f"  {host}: late by priority {', '.join(shares)}")
    print(
        f"  per completed run: {refused / completed:.3f} sent back,"
        f" {messages / completed:.2f} messages; {completed} runs, {faults} faults",
        flush=True,
    )


if __name__ == "__main__":
    main()
