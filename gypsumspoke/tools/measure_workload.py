"""The workload of the measuring command: seeded jobs and uneven workers.

It has what users report: jobs of 1 to 130 tasks, task times of 50 ms to 1 s with a tail
of several seconds, declared times off by up to ten times either way, bursts, waves of
cancellations, workers that differ four times in speed, one straggler, one worker that
fails everything, and one team far over its quota. The same seed gives the same jobs,
so that two settings are compared on equal terms.
"""

import heapq
import math
import random
from collections.abc import Iterator
from typing import NamedTuple

WORKERS = 11
SLOTS = 8
MOST_TASKS = 130
DEADLINE = 15.0
FAILS_AFTER = 0.005
STRAGGLER_FACTOR = 10.0

_MEDIAN_RUN = 0.2
_RUN_SPREAD = 0.7
_LEAST_RUN = 0.05
_MOST_RUN = 1.0
_TAIL_SHARE = 0.01
_TAIL = (2.0, 6.0)
_DECLARED_FACTOR = 10.0
_BURST_EVERY = 10.0
_BURST_LENGTH = 1.0
_BURST_FACTOR = 4.0
_WAVE_EVERY = 15.0
_WAVE_LENGTH = 2.0
_WAVE_SHARE = 0.5
_WAVE_DELAY = 0.3
_LOUD_FACTOR = 10.0
_SAMPLE = 20_000


class Worker(NamedTuple):
    """A worker with its upstream.

    Attributes:
      name: its name.
      factor: how many times longer than stated a task takes there.
      slots: tasks it runs at once.
      fails: whether it fails every task at once.
    """

    name: str
    factor: float
    slots: int
    fails: bool


class PlannedTask(NamedTuple):
    """Seconds on a worker of factor 1, and seconds as declared."""

    run: float
    declared: float


class PlannedJob(NamedTuple):
    """One submission.

    Attributes:
      number: from 0, in order of arrival.
      arrival: seconds after the start.
      team: its team.
      tasks: its tasks.
      ideal: seconds on an idle system with perfect knowledge.
      deadline: seconds after the start.
      cancelled: seconds after the start, or None.
    """

    number: int
    arrival: float
    team: str
    tasks: tuple[PlannedTask, ...]
    ideal: float
    deadline: float
    cancelled: float | None


class Workload(NamedTuple):
    """All jobs of one run.

    Attributes:
      jobs: in order of arrival.
      workers: where they run.
      capacity: tasks per second that the sound workers carry.
      quotas: tasks per second of each team.
      length: seconds during which jobs arrive.
    """

    jobs: tuple[PlannedJob, ...]
    workers: tuple[Worker, ...]
    capacity: float
    quotas: dict[str, float]
    length: float


class Shape(NamedTuple):
    """What to generate.

    Attributes:
      load: offered tasks over capacity.
      length: seconds during which jobs arrive.
      teams: number of teams with equal quotas.
      loud: whether the first team offers ten times its quota on top.
      straggler: whether one worker takes ten times as long.
      failing: whether one worker fails everything at once.
      cancellations: whether there are waves of cancellations.
    """

    load: float
    length: float = 60.0
    teams: int = 6
    loud: bool = False
    straggler: bool = True
    failing: bool = False
    cancellations: bool = True


def uneven_workers(straggler: bool, failing: bool) -> tuple[Worker, ...]:
    """Return the workers: factors from 0.5 to 2; if asked, two of them faulty."""
    workers = []
    for number in range(WORKERS):
        factor = 0.5 * 4 ** (number / (WORKERS - 1))
        workers.append(Worker(f"worker-{number:02d}", factor, SLOTS, False))
    if failing:
        workers[2] = workers[2]._replace(fails=True)
    if straggler:
        workers[7] = workers[7]._replace(factor=STRAGGLER_FACTOR)
    return tuple(workers)


def generate(shape: Shape, seed: int) -> Workload:
    """Return the workload of a seed.

    Args:
      shape: what to generate.
      seed: the same seed and shape give the same jobs.

    Returns:
      Jobs whose offered tasks per second are ``shape.load`` of the capacity on
      average; the loud team comes on top.
    """
    source = random.Random(seed)
    workers = uneven_workers(shape.straggler, shape.failing)
    capacity = _capacity(workers)
    teams = [f"team-{number}" for number in range(shape.teams)]
    quota = capacity / shape.teams
    jobs = []
    for arrival, team in _arrivals(source, shape, teams, capacity):
        tasks = tuple(_task(source) for _ in range(_task_count(source)))
        jobs.append(
            PlannedJob(
                number=len(jobs),
                arrival=arrival,
                team=team,
                tasks=tasks,
                ideal=ideal_time(tasks, workers),
                deadline=arrival + DEADLINE,
                cancelled=_cancelled(source, shape, arrival),
            )
        )
    quotas = dict.fromkeys(teams, quota)
    return Workload(tuple(jobs), workers, capacity, quotas, shape.length)


def ideal_time(tasks: tuple[PlannedTask, ...], workers: tuple[Worker, ...]) -> float:
    """Return a job's time on the idle sound workers, all run times known.

    Longest task first, each where it ends first: the usual list schedule, within a
    few percent of the best one for these sizes.
    """
    free = {
        worker.name: [0.0] * worker.slots
        for worker in workers
        if not worker.fails and worker.factor < STRAGGLER_FACTOR
    }
    factors = {worker.name: worker.factor for worker in workers}
    end = 0.0
    for task in sorted(tasks, key=lambda task: -task.run):
        name = min(free, key=lambda one: free[one][0] + task.run * factors[one])
        finished = free[name][0] + task.run * factors[name]
        heapq.heapreplace(free[name], finished)
        end = max(end, finished)
    return end


def _capacity(workers: tuple[Worker, ...]) -> float:
    """Return tasks per second of the sound workers."""
    mean = _mean_run()
    return sum(
        worker.slots / (mean * worker.factor)
        for worker in workers
        if not worker.fails and worker.factor < STRAGGLER_FACTOR
    )


def _mean_run() -> float:
    source = random.Random(0)
    return sum(_run(source) for _ in range(_SAMPLE)) / _SAMPLE


def _mean_task_count() -> float:
    source = random.Random(0)
    return sum(_task_count(source) for _ in range(_SAMPLE)) / _SAMPLE


def _arrivals(
    source: random.Random, shape: Shape, teams: list[str], capacity: float
) -> Iterator[tuple[float, str]]:
    """Yield (time, team): Poisson arrivals, several times denser in bursts."""
    mean_rate = shape.load * capacity / _mean_task_count()
    burst_share = _BURST_LENGTH / _BURST_EVERY
    calm = mean_rate / (1 - burst_share + burst_share * _BURST_FACTOR)
    weights = [1.0] * len(teams)
    if shape.loud:
        weights[0] = _LOUD_FACTOR / shape.load
        calm *= sum(weights) / len(weights)
    time = 0.0
    while True:
        in_burst = time % _BURST_EVERY < _BURST_LENGTH
        time += source.expovariate(calm * (_BURST_FACTOR if in_burst else 1.0))
        if time >= shape.length:
            return
        yield time, source.choices(teams, weights)[0]


def _task_count(source: random.Random) -> int:
    """Return 1 to ``MOST_TASKS``, each order of magnitude equally likely."""
    return round(math.exp(source.uniform(0.0, math.log(MOST_TASKS))))


def _run(source: random.Random) -> float:
    if source.random() < _TAIL_SHARE:
        return source.uniform(*_TAIL)
    run = source.lognormvariate(math.log(_MEDIAN_RUN), _RUN_SPREAD)
    return min(_MOST_RUN, max(_LEAST_RUN, run))


def _task(source: random.Random) -> PlannedTask:
    run = _run(source)
    off = _DECLARED_FACTOR ** source.uniform(-1.0, 1.0)
    return PlannedTask(run, run * off)


def _cancelled(source: random.Random, shape: Shape, arrival: float) -> float | None:
    """Return when the job is cancelled, for a share of those in a wave."""
    in_wave = arrival % _WAVE_EVERY >= _WAVE_EVERY - _WAVE_LENGTH
    if not (shape.cancellations and in_wave):
        return None
    return arrival + _WAVE_DELAY if source.random() < _WAVE_SHARE else None
