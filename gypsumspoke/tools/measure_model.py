"""The placement policy with modelled executors in virtual time.

For fast rounds of policy experiments: the real placement and fair queue of each home,
driven by a heap of events; executors are slots and a queue, the network a fixed
delay, the ledger left out. Its figures compare settings. They are not those of the
system; ``measure load`` runs the processes.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta, timezone
from typing import NamedTuple

from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.fair_queue import discard, new_fair_queue, pop, push
from gypsumspoke.core.placement import (
    DEFAULT_STRATEGY,
    STRATEGIES,
    Strategy,
    choose_executor,
    expected_run,
    expected_wait,
    new_placement,
    record_outcome,
    record_placement,
    set_members,
    set_policy,
    update_load,
)
from gypsumspoke.core.policy import DEFAULT_POLICY
from gypsumspoke.core.values import Load, Member, Outcome, Role
from gypsumspoke.tools.measure_report import Tally
from gypsumspoke.tools.measure_workload import (
    FAILS_AFTER,
    PlannedJob,
    PlannedTask,
    Worker,
    Workload,
)

SERVICE = "estimate"
START = datetime(2026, 1, 1, tzinfo=timezone.utc)
_DELAY = 0.0005
_HEARTBEAT = 1.0
_TICK = 0.1
_RUN_SMOOTHING = 0.1
_DRAIN = 20.0


class ModelSettings(NamedTuple):
    """What one run of the model tries; see docs/EXPERIMENTS.md.

    Attributes:
      strategy: how homes place.
      message_weight: as in the manifest.
      longest_first: whether a job's tasks go in falling declared time.
      fair: whether teams share by weighted fair queueing, else first come.
      admission: whether a job that can't meet its deadline is refused at once.
      executor_queue: most tasks that wait at an executor.
      retry_budget: placements beyond the first, as a share of first placements.
      task_attempts: most placements of one task.
    """

    strategy: Strategy = STRATEGIES[DEFAULT_STRATEGY]
    message_weight: float = 0.0
    longest_first: bool = False
    fair: bool = True
    admission: bool = True
    executor_queue: int = 8
    retry_budget: float = 1.0
    task_attempts: int = 4


class _Job:
    def __init__(self, plan: PlannedJob) -> None:
        self.plan = plan
        self.left = len(plan.tasks)
        self.over = False


class _Placed:
    """One task of a job and where it was tried."""

    def __init__(self, job: _Job, task: PlannedTask) -> None:
        self.job = job
        self.task = task
        self.tried: tuple[str, ...] = ()


class _Executor:
    """Slots and a queue; runs tasks for their time on this worker."""

    def __init__(self, model: "Model", worker: Worker) -> None:
        self._model = model
        self._worker = worker
        self._running = 0
        self._waiting: deque = deque()
        self._mean: float | None = None

    @property
    def load(self) -> Load:
        mean = None if self._mean is None else timedelta(seconds=self._mean)
        return Load(self._running, len(self._waiting), self._worker.slots, mean)

    def receive(self, home: "_Home", placed: _Placed) -> None:
        if self._running < self._worker.slots:
            self._start(home, placed)
        elif len(self._waiting) < self._model.settings.executor_queue:
            self._waiting.append((home, placed))
        else:
            reason = RetryReason.EXECUTOR_QUEUE_FULL.value
            self._answer(home, placed, Outcome.NOT_RUN, reason, None)

    def cancel(self, placed: _Placed) -> None:
        for home, other in self._waiting:
            if other is placed:
                self._waiting.remove((home, other))
                reason = RetryReason.TASK_CANCELLED.value
                self._answer(home, placed, Outcome.NOT_RUN, reason, None)
                return

    def _start(self, home: "_Home", placed: _Placed) -> None:
        self._running += 1
        fails = self._worker.fails
        run = FAILS_AFTER if fails else placed.task.run * self._worker.factor
        self._model.after(run, lambda: self._end(home, placed, run))

    def _end(self, home: "_Home", placed: _Placed, run: float) -> None:
        self._running -= 1
        outcome = Outcome.FAILED if self._worker.fails else Outcome.DONE
        if outcome is Outcome.DONE:
            mean = run if self._mean is None else self._mean
            self._mean = mean + _RUN_SMOOTHING * (run - mean)
        if self._waiting:
            self._start(*self._waiting.popleft())
        self._answer(home, placed, outcome, "", run)

    def _answer(self, home, placed, outcome, reason, run) -> None:
        name = self._worker.name
        load = self.load
        self._model.send(lambda: home.outcome(name, placed, outcome, reason, load, run))


class _Home:
    """A home's queue and placement, without ledger and epochs."""

    def __init__(self, model: "Model", worker: str, number: int) -> None:
        self._model = model
        self.placement = new_placement(number, model.settings.strategy)
        policy = DEFAULT_POLICY._replace(
            message_weight=model.settings.message_weight, placement=""
        )
        set_policy(self.placement, policy)
        names = frozenset(model.executors)
        set_members(self.placement, model.members, names, worker)
        self._queue = new_fair_queue()
        self._again: deque[_Placed] = deque()
        self._firsts = 0
        self._retries = 0

    def submit(self, job: _Job) -> None:
        settings = self._model.settings
        wait = expected_wait(
            self.placement, SERVICE, len(self._queue) + len(job.plan.tasks)
        )
        if settings.admission and self._model.time + wait.total_seconds() > (
            job.plan.deadline
        ):
            self._model.finish(job, "deadline_unreachable")
            return
        tasks = list(job.plan.tasks)
        if settings.longest_first:
            tasks.sort(key=lambda task: -task.declared)
        cost = expected_run(self.placement, SERVICE).total_seconds()
        team = job.plan.team if settings.fair else ""
        for task in tasks:
            push(self._queue, team, 1.0, cost, _Placed(job, task))
        self.pump()

    def pump(self) -> None:
        while self._again or len(self._queue):
            placed = self._again[0] if self._again else None
            if placed is None:
                # A task that no executor is free for goes back to the front.
                placed = pop(self._queue)
                self._again.append(placed)
            if not placed.job.over and not self._place(placed):
                return
            self._again.popleft()

    def _place(self, placed: _Placed) -> bool:
        tried = frozenset(placed.tried)
        chosen = choose_executor(self.placement, SERVICE, tried, self._model.now)
        if chosen is None:
            return False
        record_placement(self.placement, chosen, self._model.now)
        self._firsts += not placed.tried
        placed.tried += (chosen,)
        executor = self._model.executors[chosen]
        self._model.send(lambda: executor.receive(self, placed))
        return True

    def outcome(self, name, placed, outcome, reason, load, run) -> None:
        run_time = None if run is None else timedelta(seconds=run)
        now = self._model.now
        record_outcome(self.placement, name, outcome, reason, load, run_time, now)
        job = placed.job
        if outcome is Outcome.NOT_RUN:
            self._model.tally.waste(reason, 2)
            if not job.over:
                self._retry(placed)
        elif job.over:
            self._model.tally.waste("job_over", 2)
        elif outcome is Outcome.FAILED:
            self.end(job, "task_failed")
        else:
            job.left -= 1
            if not job.left:
                self._model.finish(job, None)
        self.pump()

    def _retry(self, placed: _Placed) -> None:
        settings = self._model.settings
        self._retries += 1
        too_many = len(placed.tried) >= settings.task_attempts
        if too_many or self._retries > 10 + settings.retry_budget * self._firsts:
            self.end(placed.job, "retries_exhausted")
        else:
            self._again.append(placed)

    def end(self, job: _Job, reason: str) -> None:
        """Answer the job and take back what still waits."""
        if job.over:
            return
        self._model.finish(job, reason)
        discard(self._queue, lambda placed: placed.job is job)
        for executor in self._model.executors.values():
            for home, placed in list(executor._waiting):
                if placed.job is job:
                    self._model.tally.waste("cancel", 1)
                    self._model.send(lambda one=placed, at=executor: at.cancel(one))


class Model:
    """One run in virtual time; see ``run_model``."""

    def __init__(self, workload: Workload, settings: ModelSettings, seed: int) -> None:
        self.settings = settings
        self.time = 0.0
        self.tally = Tally()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._source = random.Random(seed)
        self._workload = workload
        self.members = [_member(worker) for worker in workload.workers]
        self.executors = {w.name: _Executor(self, w) for w in workload.workers}
        self._homes = [
            _Home(self, worker.name, number)
            for number, worker in enumerate(workload.workers)
        ]

    @property
    def now(self) -> datetime:
        return START + timedelta(seconds=self.time)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do ``action`` that many seconds later."""
        self._count += 1
        heapq.heappush(self._events, (self.time + seconds, self._count, action))

    def send(self, action: Callable[[], None]) -> None:
        """Count a message and let it arrive."""
        self.tally.messages += 1
        self.after(_DELAY, action)

    def finish(self, job: _Job, reason: str | None) -> None:
        """Count a job's answer."""
        job.over = True
        self.tally.messages += 1
        plan = job.plan
        if reason is None:
            response = self.time - plan.arrival
            in_length = self.time <= self._workload.length
            self.tally.in_length += len(plan.tasks) * in_length
            self.tally.complete(plan.team, len(plan.tasks), response, plan.ideal)
        else:
            self.tally.refuse(reason)

    def run(self) -> Tally:
        """Run all jobs, and what they left, to the end."""
        for plan in self._workload.jobs:
            self._submit(plan)
        end = self._workload.length + _DRAIN
        for step in range(int(end / _HEARTBEAT)):
            self.after(step * _HEARTBEAT, self._heartbeats)
        for step in range(int(end / _TICK)):
            self.after(step * _TICK, self._ticks)
        while self._events and self.time < end:
            self.time, _, action = heapq.heappop(self._events)
            action()
        self.tally.seconds = self._workload.length
        return self.tally

    def _submit(self, plan: PlannedJob) -> None:
        job = _Job(plan)
        home = self._source.choice(self._homes)
        self.tally.offer(plan.team, len(plan.tasks))
        self.after(plan.arrival, lambda: self.send(lambda: home.submit(job)))
        self.after(plan.deadline, lambda: home.end(job, "deadline_exceeded"))
        if plan.cancelled is not None:
            self.after(plan.cancelled, lambda: home.end(job, "cancelled"))

    def _heartbeats(self) -> None:
        for home in self._homes:
            for name, executor in self.executors.items():
                update_load(home.placement, name, executor.load, self.now)

    def _ticks(self) -> None:
        for home in self._homes:
            home.pump()


def run_model(workload: Workload, settings: ModelSettings, seed: int) -> Tally:
    """Run a workload through the policy and return the counts.

    Args:
      workload: jobs and workers.
      settings: what to try.
      seed: which home a job belongs to.
    """
    return Model(workload, settings, seed).run()


def _member(worker: Worker) -> Member:
    return Member(
        incarnation=worker.name,
        worker=worker.name,
        role=Role.SIDECAR,
        host="127.0.0.1",
        port=1,
        failure_domain="",
        rack="",
        service=SERVICE,
        slots=worker.slots,
        registered=START,
        ended=None,
        admin_port=1,
    )
