"""Rolling restarts: all sidecars are stopped and replaced in turn under load."""

import random

import pytest

from gypsumspoke.core.effects import Send
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.messages import Fence, Remember, StartTask, TaskOutcome
from gypsumspoke.core.record_replication import replicate_records
from gypsumspoke.core.values import Outcome
from tests.core.system import settled_system

WORKERS = 4
# Answers after which an entry resubmits.
RETRYABLE = (
    ErrorKind.NOT_OWNER,
    ErrorKind.TAKEOVER_IN_PROGRESS,
    ErrorKind.JOB_RUNNING,
)
# Regressions: a sidecar left without records of a partition and was not covered there.
REGRESSION_SEEDS = (60, 75, 94, 193, 206, 223, 233, 274, 1009)
# Stalls last up to MAX_STALL_STEPS ticks; the probability applies to each message.
MAX_STALL_STEPS = 8
STALL_PROBABILITY = 0.08
MAX_DELIVERIES = 400
# Regressions: a leaving sidecar replicated its records to already fenced executors.
STALL_REGRESSION_SEEDS = (5, 31, 60, 113, 132, 150, 165)
# Regressions: a start or its outcome was lost with a leaving sidecar.
LOST_MESSAGE_SEEDS = (
    *(18, 23, 37, 75, 92, 121, 122),
    *(133, 145, 164, 174, 187, 192, 193),
)


def _link(flight) -> tuple[str, str]:
    return flight.sender, flight.to


class RollingRestart:
    """One restart; messages are ordered per link, everything else is random."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.system = settled_system(workers=WORKERS)
        self.submissions = {}
        self.seen = 0
        self.failures = []

    def run(self) -> list:
        """Return the answers that are neither complete nor retryable."""
        self._steps(10)
        for number in range(WORKERS):
            self._stop(self.system.current(f"w{number}"))
            self._steps(self.random.randrange(6))
            self.system.join(f"w{number}")
            self._steps(self.random.choice((2, 5, 10, 30)))
        self._steps(40)
        self.system.run(5)
        self._handle_answers()
        return self.failures

    def _stop(self, incarnation: str) -> None:
        self.system.drain(incarnation)
        for _ in range(600):
            self._step()
            if not self.system.nodes[incarnation].alive:
                return
        raise AssertionError(f"{incarnation} did not stop")

    def _steps(self, count: int) -> None:
        for _ in range(count):
            self._step()

    def _step(self) -> None:
        self.system.tick()
        self._deliver_some()
        if self.random.random() < 0.6:
            self.system.finish_upstreams()
        if self.random.random() < 0.5:
            name = f"k{len(self.submissions)}"
            submission = self.system.submission(name, tasks=self.random.randint(1, 3))
            self.submissions[submission.key] = submission
            self.system.submit(submission)
        self._handle_answers()

    def _deliver_some(self) -> None:
        for _ in range(self.random.randrange(30)):
            if self.system.in_transit:
                self._deliver_first(_link(self.random.choice(self.system.in_transit)))

    def _deliver_first(self, link: tuple[str, str]) -> None:
        flights = enumerate(self.system.in_transit)
        self.system.deliver(next(n for n, flight in flights if _link(flight) == link))

    def _handle_answers(self) -> None:
        answers = self.system.delivered[self.seen :]
        self.seen = len(self.system.delivered)
        for each in answers:
            if each.answer.kind in RETRYABLE:
                self.system.submit(self.submissions[each.key])
            elif each.answer.kind is not None:
                self.failures.append((each.key, each.answer.kind))


class StallingRestart(RollingRestart):
    """A restart in which the messages of a link may stall for several ticks."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.steps = 0
        self.stalled_until = {}

    def _deliver_some(self) -> None:
        self.steps += 1
        for _ in range(MAX_DELIVERIES):
            moving = [
                link
                for link in map(_link, self.system.in_transit)
                if self.stalled_until.get(link, 0) <= self.steps
            ]
            if not moving:
                return
            link = self.random.choice(moving)
            if self.random.random() < STALL_PROBABILITY:
                stall = self.random.randint(1, MAX_STALL_STEPS)
                self.stalled_until[link] = self.steps + stall
            else:
                self._deliver_first(link)


@pytest.mark.parametrize("seed", [*REGRESSION_SEEDS, *range(1000, 1009)])
def test_a_rolling_restart_loses_no_answer(seed):
    """Graceful restarts lose no process, so every job must complete."""
    assert RollingRestart(seed).run() == []


@pytest.mark.parametrize("seed", [*STALL_REGRESSION_SEEDS, *LOST_MESSAGE_SEEDS])
def test_a_rolling_restart_with_stalls_loses_no_answer(seed):
    """The same with delayed messages; also, no task starts twice."""
    restart = StallingRestart(seed)
    assert restart.run() == []
    starts = [restart.system.starts(key) for key in restart.submissions]
    assert {count for tally in starts for count in tally.values()} == {1}


def _tick_withholding(system, is_withheld) -> None:
    """Advance by one tick and deliver all messages except withheld ones."""
    system.tick()
    while True:
        places = (
            place
            for place, flight in enumerate(system.in_transit)
            if not is_withheld(flight)
        )
        first = next(places, None)
        if first is None:
            return
        system.deliver(first)


def test_records_replicated_after_the_others_were_fenced_are_requested_again():
    """A leaving sidecar replicates its records after the others were fenced.

    It ends before its own fence arrives; without a second fence its jobs would be
    answered "unknown".
    """
    system = settled_system(workers=WORKERS)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=12)
    leaving = system.owner(submission.key)
    system.submit(submission)
    system.run(0.2)
    assert 0 < len(system.started) < 12

    def is_fence(flight):
        return flight.to == leaving and isinstance(flight.message, Fence)

    def is_remember(flight):
        return flight.sender == leaving and isinstance(flight.message, Remember)

    system.drain(leaving)
    while system.owner(submission.key) == leaving:
        _tick_withholding(
            system, lambda flight: is_fence(flight) or is_remember(flight)
        )
    while system.nodes[leaving].alive:
        _tick_withholding(system, is_fence)
    system.submit(submission)
    system.join(leaving.partition(".")[0])
    system.run(0.5)
    system.hold_upstreams = False
    system.run(2)
    answer = system.answers(submission.key)[-1]
    while answer.kind in RETRYABLE:
        system.submit(submission)
        system.run(2)
        answer = system.answers(submission.key)[-1]
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def _replace(system, incarnation, is_withheld) -> None:
    """Let a sidecar leave and join again; withheld messages reach it too late."""
    system.drain(incarnation)
    while system.nodes[incarnation].alive:
        _tick_withholding(system, is_withheld)
        system.finish_upstreams()
    system.join(incarnation.partition(".")[0])
    system.run(2)


def _other_than(system, home) -> str:
    return next(name for name in sorted(system.nodes) if name != home)


def test_a_task_that_a_leaving_sidecar_refused_is_not_recorded_as_started():
    """Guards against "unknown" for a task that ran nowhere.

    The refused task waits at its home and must start elsewhere.
    """
    system = settled_system(workers=WORKERS)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=12)
    home = system.owner(submission.key)
    leaving = _other_than(system, home)
    system.submit(submission)
    _tick_withholding(system, lambda flight: isinstance(flight.message, StartTask))
    system.drain(leaving)
    while system.nodes[leaving].alive:
        _tick_withholding(system, lambda flight: False)
    assert leaving.partition(".")[0] not in {one.worker for one in system.started}
    system.join(leaving.partition(".")[0])
    system.run(1)
    system.hold_upstreams = False
    system.run(2)
    (answer,) = system.answers(submission.key)
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_start_that_reaches_a_sidecar_after_it_has_left_is_tried_elsewhere():
    """Guards against "unknown" for a start that never arrived.

    The executor that left replicated its records, and the start is not among them.
    """
    system = settled_system(workers=WORKERS)
    submission = system.submission("k", tasks=12)
    home = system.owner(submission.key)
    leaving = _other_than(system, home)
    system.submit(submission)

    def is_start(flight):
        return flight.to == leaving and isinstance(flight.message, StartTask)

    _tick_withholding(system, is_start)
    assert any(map(is_start, system.in_transit))
    _replace(system, leaving, is_start)
    (answer,) = system.answers(submission.key)
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_start_older_than_the_executors_records_is_not_tried_elsewhere():
    """A missing record proves nothing once records of that age may be dropped."""
    system = settled_system(workers=WORKERS)
    submission = system.submission("k", tasks=6)
    leaving = _other_than(system, system.owner(submission.key))
    system.submit(submission)

    def is_start(flight):
        return flight.to == leaving and isinstance(flight.message, StartTask)

    _tick_withholding(system, is_start)
    for node in system.nodes.values():
        node.state.executor.records.raise_forgotten_before(system.now)
    _replace(system, leaving, is_start)
    (answer,) = system.answers(submission.key)
    assert (answer.kind, answer.work) == (ErrorKind.WORKER_LOST, Work.UNKNOWN)


def test_an_outcome_that_is_lost_with_a_sidecar_that_leaves_is_found_elsewhere():
    """Guards against "unknown" for a task that ran and whose outcome was lost.

    The executor that left replicated the result to another one.
    """
    system = settled_system(workers=WORKERS)
    submission = system.submission("k", tasks=12)
    home = system.owner(submission.key)
    leaving = _other_than(system, home)
    system.submit(submission)
    system.is_lost = lambda message: (
        isinstance(message, TaskOutcome)
        and message.outcome is Outcome.DONE
        and message.attempt in lost
    )
    system.deliver_all()
    lost = set(system.nodes[leaving].running)
    assert lost
    _replace(system, leaving, lambda flight: False)
    (answer,) = system.answers(submission.key)
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_job_is_resumed_with_the_records_of_a_sidecar_that_left():
    """A resubmission arrives after the executor of a running task has left.

    The task ended after the fence, so its outcome was sent to the former home.
    """
    system = settled_system(workers=WORKERS)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=12)
    home = system.owner(submission.key)
    system.submit(submission)
    system.run(0.2)
    system.drain(home)
    while system.nodes[home].alive:
        _tick_withholding(system, lambda flight: False)
    system.run(2)
    leaving = next(name for name, node in system.nodes.items() if node.running)
    assert system.nodes[leaving].alive and leaving != system.owner(submission.key)
    system.hold_upstreams = False
    _replace(system, leaving, lambda flight: False)
    system.submit(submission)
    system.run(2)
    answer = system.answers(submission.key)[-1]
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_leaving_sidecar_replicates_partitions_without_starts():
    system = settled_system(workers=WORKERS)
    state = system.nodes[system.current("w1")].state.executor
    assert state.records.partitions() == []
    state.leaving = True
    replicated = {
        effect.message.partition
        for effect in replicate_records(state, system.now)
        if isinstance(effect, Send) and isinstance(effect.message, Remember)
    }
    assert replicated == set(range(system.partitions))
