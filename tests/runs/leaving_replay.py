"""A fleet from which workers are taken away after a notice, in virtual time.

``python -m tests.runs.leaving_replay 1 4`` plays seeds 1 to 3 with and without the time
left in the notices, and prints the shares of jobs that are in time. A third argument
replaces the notice of 2,000 ms.
"""

import sys
from collections import Counter
from datetime import timedelta
from functools import partial
from random import Random
from typing import NamedTuple

from gypsumspoke.core.effects import Count
from gypsumspoke.runs.coordinator_state import time_allowed
from gypsumspoke.runs.values import Job, JobEnd, LeavingRun, Step, TaskId, WorkerReady
from tests.runs.fleet import ROOM, SLOTS_PER_WORKER, Fleet
from tests.runs.world import ROUTE, ms

NOTICE = ms(2000)
# Time from the loss of a worker until the next one is in its place.
AWAY = ms(2000)
WAVE_INTERVAL = ms(5000)
LEAVING_SHARE = 0.2
LOAD = 0.6
# Short and long jobs take half of the load each.
SHORT_TASKS, SHORT = 2, ms(200)
LONG_TASKS, LONG = 4, (ms(1500), ms(1800))
ESTIMATE_ERROR = 0.4
# A job that takes so many times what it is allowed has no value.
PATIENCE = 3


class Outcome(NamedTuple):
    """Result of a replay.

    Attributes:
      jobs, in_time: number of jobs, and of those that were completed in time, by kind.
      decisions: decisions on runs of leaving workers.
      starts: number of started runs.
      violations: broken guarantees.
    """

    jobs: Counter[str]
    in_time: Counter[str]
    decisions: Counter[str]
    starts: int
    violations: list[str]

    def share(self, kind: str) -> float:
        """Return the share of the jobs of a kind that were in time."""
        return self.in_time[kind] / self.jobs[kind]


class LeavingFleet(Fleet):
    """A fleet in which a fifth of the workers leaves every 5 s and comes back.

    Args:
      entries, sidecars, seed: as for ``Fleet``.
      is_stated: whether notices state the time left.
      notice: time from a notice until the worker is gone.
    """

    def __init__(
        self,
        entries: int,
        sidecars: int,
        seed: int,
        is_stated: bool = True,
        notice: timedelta = NOTICE,
    ) -> None:
        self.notice = notice
        self.seed = seed
        self.is_stated = is_stated
        self.estimates: dict[str, timedelta] = {}
        self.jobs_sent: dict[str, Job] = {}
        self.load = Random(seed)
        self.choice_of_leaving = Random(seed)
        super().__init__(entries, sidecars, seed)

    def start_worker(self, host: str) -> None:
        """Start a worker whose run times differ from the estimates."""
        super().start_worker(host)
        self.workers[host].run_time = partial(self._run_time, self.pace[host])

    def _run_time(self, pace: float, task: TaskId) -> timedelta:
        # The same in both variants, whenever and wherever the task runs.
        error = Random(f"{self.seed} {task}").uniform(-1, 1) * ESTIMATE_ERROR
        return self.estimates[task.job] * pace * (1 + error)

    def leave(self) -> None:
        """Let a fifth of the workers announce that they leave."""
        count = round(len(self.sidecar_hosts) * LEAVING_SHARE)
        for host in self.choice_of_leaving.sample(self.sidecar_hosts, count):
            if self.is_stated:
                self.announce_leave(host, self.notice)
            else:
                self.drained_at[host] = self.now
                self.send_heartbeat(host, WorkerReady.DRAINING)
            self.at(self.notice, partial(self._take_away, host))
        self.at(WAVE_INTERVAL, self.leave)

    def _take_away(self, host: str) -> None:
        self.power_off(host)
        self.crash_worker(host)
        self.at(AWAY, partial(self._come_back, host))

    def _come_back(self, host: str) -> None:
        self.start_sidecar(host)
        self.return_worker(host)

    def submit_mix(self, duration: timedelta) -> None:
        """Submit short and long jobs at random entries for a time."""
        work = LOAD * SLOTS_PER_WORKER * len(self.sidecar_hosts) / 2
        mean = (LONG[0] + LONG[1]) / 2
        long_rate = work / (LONG_TASKS * mean.total_seconds())
        short_rate = work / (SHORT_TASKS * SHORT.total_seconds())
        end = self.now + duration
        while self.now < end:
            rate = long_rate + short_rate
            self.run(timedelta(seconds=self.load.expovariate(rate)))
            self._submit("long" if self.load.random() < long_rate / rate else "short")

    def _submit(self, kind: str) -> None:
        number = len(self.jobs_sent)
        request, job_id = f"{kind}-{number}", f"{kind}-job-{number}"
        estimate, count = SHORT, SHORT_TASKS
        if kind == "long":
            low, high = LONG
            estimate = low + (high - low) * self.load.random()
            count = LONG_TASKS
        self.estimates[job_id] = estimate
        sent = Job(job_id, "spec", (Step(count, ROOM, estimate),))
        self.jobs_sent[request] = sent
        self.sent_at[request] = self.now
        within = time_allowed(sent, ROUTE) * PATIENCE
        self.submit(self.load.choice(self.entry_hosts), request, sent, within)


def play(
    seed: int,
    is_stated: bool,
    entries: int = 4,
    sidecars: int = 40,
    duration: timedelta = ms(16_000),
    notice: timedelta = NOTICE,
) -> Outcome:
    """Play one replay."""
    fleet = LeavingFleet(entries, sidecars, seed, is_stated, notice)
    fleet.run(ms(3000))
    fleet.at(ms(2000), fleet.leave)
    fleet.submit_mix(duration)
    fleet.run(ms(9000))
    jobs: Counter[str] = Counter()
    in_time: Counter[str] = Counter()
    for request, sent in fleet.jobs_sent.items():
        kind = request.partition("-")[0]
        jobs[kind] += 1
        if fleet.end_of(request) is JobEnd.COMPLETED:
            took = fleet.answered_at[request] - fleet.sent_at[request]
            in_time[kind] += took <= time_allowed(sent, ROUTE)
    decisions: Counter[str] = Counter()
    for _, _, effect in fleet.log:
        if isinstance(effect, Count) and isinstance(effect.what, LeavingRun):
            decisions[effect.what.value] += effect.amount
    starts = sum(len(worker.starts) for worker in fleet.all_workers)
    return Outcome(jobs, in_time, decisions, starts, fleet.violations)


def main() -> None:
    """Play the seeds from the first up to the second argument."""
    notice = ms(int(sys.argv[3])) if sys.argv[3:] else NOTICE
    for seed in range(int(sys.argv[1]), int(sys.argv[2])):
        for is_stated in (False, True):
            outcome = play(seed, is_stated, notice=notice)
            shares = " ".join(
                f"{kind} {outcome.in_time[kind]}/{outcome.jobs[kind]}"
                f" {outcome.share(kind):.4f}"
                for kind in ("long", "short")
            )
            print(
                f"seed {seed} {'with' if is_stated else 'without'}: {shares}"
                f" starts {outcome.starts} {dict(outcome.decisions)}"
                f" violations {len(outcome.violations)}",
                flush=True,
            )


if __name__ == "__main__":
    main()
