"""All sidecars are stopped and replaced in turn, with jobs under way."""

import random

import pytest

from gypsumspoke.core.effects import Send
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.messages import Fence, Remember, StartTask, TaskOutcome
from gypsumspoke.core.record_replication import replicate_records
from gypsumspoke.core.values import Outcome
from tests.core.system import settled_system

WORKERS = 4
# Answers after which an entry asks again.
ASK_AGAIN = (
    ErrorKind.NOT_OWNER,
    ErrorKind.TAKEOVER_IN_PROGRESS,
    ErrorKind.JOB_RUNNING,
)
# A sidecar left that had started nothing of a partition, and no other one spoke for it;
# the next home answered "unknown" for tasks that only waited.
FAILED_ONCE = (60, 75, 94, 193, 206, 223, 233, 274, 1009)
# Steps of a tenth of a second for which a pair stalls; the chance is for each message.
LONGEST_STALL = 8
STALL_CHANCE = 0.08
DELIVERIES = 400
# A sidecar that left told its records to others that had been fenced already.
STALLS_THAT_FAILED_ONCE = (5, 31, 60, 113, 132, 150, 165)
# A start, or the outcome of one, was lost with a sidecar that left.
LOST_WITH_A_LEAVER = (
    *(18, 23, 37, 75, 92, 121, 122),
    *(133, 145, 164, 174, 187, 192, 193),
)


def _pair(flight) -> tuple[str, str]:
    return flight.sender, flight.to


class RollingRestart:
    """One restart; messages between two processes stay in order, all else is drawn."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.system = settled_system(workers=WORKERS)
        self.submissions = {}
        self.seen = 0
        self.bad = []

    def play(self) -> list:
        """Return the answers that are neither complete nor asked for again."""
        self._steps(10)
        for number in range(WORKERS):
            self._stop(self.system.current(f"w{number}"))
            self._steps(self.random.randrange(6))
            self.system.join(f"w{number}")
            self._steps(self.random.choice((2, 5, 10, 30)))
        self._steps(40)
        self.system.run(5)
        self._take_answers()
        return self.bad

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
        self._take_answers()

    def _deliver_some(self) -> None:
        for _ in range(self.random.randrange(30)):
            if self.system.in_transit:
                self._deliver_first(_pair(self.random.choice(self.system.in_transit)))

    def _deliver_first(self, pair: tuple[str, str]) -> None:
        flights = enumerate(self.system.in_transit)
        self.system.deliver(next(n for n, flight in flights if _pair(flight) == pair))

    def _take_answers(self) -> None:
        told = self.system.delivered[self.seen :]
        self.seen = len(self.system.delivered)
        for each in told:
            if each.answer.kind in ASK_AGAIN:
                self.system.submit(self.submissions[each.key])
            elif each.answer.kind is not None:
                self.bad.append((each.key, each.answer.kind))


class StallingRestart(RollingRestart):
    """A restart in which what one process sends to another may stall for a while."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.steps = 0
        self.stalled_until = {}

    def _deliver_some(self) -> None:
        self.steps += 1
        for _ in range(DELIVERIES):
            moving = [
                pair
                for pair in map(_pair, self.system.in_transit)
                if self.stalled_until.get(pair, 0) <= self.steps
            ]
            if not moving:
                return
            pair = self.random.choice(moving)
            if self.random.random() < STALL_CHANCE:
                stall = self.random.randint(1, LONGEST_STALL)
                self.stalled_until[pair] = self.steps + stall
            else:
                self._deliver_first(pair)


@pytest.mark.parametrize("seed", [*FAILED_ONCE, *range(1000, 1009)])
def test_a_rolling_restart_costs_no_caller_its_answer(seed):
    """Each sidecar is stopped gracefully and replaced while jobs come. A job may move
    with its partition several times; in the end it is complete. No process was lost, so
    there is nothing that could not be known.
    """
    assert RollingRestart(seed).play() == []


@pytest.mark.parametrize("seed", [*STALLS_THAT_FAILED_ONCE, *LOST_WITH_A_LEAVER])
def test_a_rolling_restart_with_stalls_costs_no_caller_its_answer(seed):
    """The same while some processes hear late from others; nothing starts twice."""
    restart = StallingRestart(seed)
    assert restart.play() == []
    starts = [restart.system.starts(key) for key in restart.submissions]
    assert {count for tally in starts for count in tally.values()} == {1}


def _pass_all_but(system, is_held) -> None:
    """Let a tenth of a second pass; messages that are held stay on their way."""
    system.tick()
    while True:
        places = (
            place
            for place, flight in enumerate(system.in_transit)
            if not is_held(flight)
        )
        first = next(places, None)
        if first is None:
            return
        system.deliver(first)


def test_what_a_leaving_sidecar_told_after_the_others_were_fenced_is_asked_for():
    """The job of a home that leaves is answered "unknown" if nobody speaks for it.

    The others acknowledge the next home's fence before the leaving one tells them its
    records, and it ends before the fence reaches it.
    """
    system = settled_system(workers=WORKERS)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=12)
    leaver = system.owner(submission.key)
    system.submit(submission)
    system.run(0.2)
    assert 0 < len(system.started) < 12

    def is_fence(flight):
        return flight.to == leaver and isinstance(flight.message, Fence)

    def is_told(flight):
        return flight.sender == leaver and isinstance(flight.message, Remember)

    system.drain(leaver)
    while system.owner(submission.key) == leaver:
        _pass_all_but(system, lambda flight: is_fence(flight) or is_told(flight))
    while system.nodes[leaver].alive:
        _pass_all_but(system, is_fence)
    system.submit(submission)
    system.join(leaver.partition(".")[0])
    system.run(0.5)
    system.hold_upstreams = False
    system.run(2)
    answer = system.answers(submission.key)[-1]
    while answer.kind in ASK_AGAIN:
        system.submit(submission)
        system.run(2)
        answer = system.answers(submission.key)[-1]
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def _replace(system, incarnation, is_held) -> None:
    """Let a sidecar leave and join again; what is held reaches it too late."""
    system.drain(incarnation)
    while system.nodes[incarnation].alive:
        _pass_all_but(system, is_held)
        system.finish_upstreams()
    system.join(incarnation.partition(".")[0])
    system.run(2)


def _other_than(system, home) -> str:
    return next(name for name in sorted(system.nodes) if name != home)


def test_a_task_that_a_leaving_sidecar_refused_is_not_told_on_as_started():
    """The task waits at its home; told on, it was refused elsewhere as started.

    Its job was answered "unknown" though the task had run nowhere.
    """
    system = settled_system(workers=WORKERS)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=12)
    home = system.owner(submission.key)
    leaver = _other_than(system, home)
    system.submit(submission)
    _pass_all_but(system, lambda flight: isinstance(flight.message, StartTask))
    system.drain(leaver)
    while system.nodes[leaver].alive:
        _pass_all_but(system, lambda flight: False)
    assert leaver.partition(".")[0] not in {one.worker for one in system.started}
    system.join(leaver.partition(".")[0])
    system.run(1)
    system.hold_upstreams = False
    system.run(2)
    (answer,) = system.answers(submission.key)
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_start_that_reaches_a_sidecar_after_it_has_left_is_tried_elsewhere():
    """The home can't know whether it was taken, and answered "unknown".

    The executor that left has told another one all its records; there is none of it.
    """
    system = settled_system(workers=WORKERS)
    submission = system.submission("k", tasks=12)
    home = system.owner(submission.key)
    leaver = _other_than(system, home)
    system.submit(submission)

    def is_start(flight):
        return flight.to == leaver and isinstance(flight.message, StartTask)

    _pass_all_but(system, is_start)
    assert any(map(is_start, system.in_transit))
    _replace(system, leaver, is_start)
    (answer,) = system.answers(submission.key)
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_start_older_than_what_executors_remember_is_not_tried_elsewhere():
    """No record is no proof for a job whose records may have been dropped."""
    system = settled_system(workers=WORKERS)
    submission = system.submission("k", tasks=6)
    leaver = _other_than(system, system.owner(submission.key))
    system.submit(submission)

    def is_start(flight):
        return flight.to == leaver and isinstance(flight.message, StartTask)

    _pass_all_but(system, is_start)
    for node in system.nodes.values():
        node.state.executor.records.raise_forgotten_before(system.now)
    _replace(system, leaver, is_start)
    (answer,) = system.answers(submission.key)
    assert (answer.kind, answer.work) == (ErrorKind.WORKER_LOST, Work.UNKNOWN)


def test_an_outcome_that_is_lost_with_a_sidecar_that_leaves_is_found_elsewhere():
    """The task ran, but the job was answered "unknown" and its result was lost.

    The executor that left has told another one the result.
    """
    system = settled_system(workers=WORKERS)
    submission = system.submission("k", tasks=12)
    home = system.owner(submission.key)
    leaver = _other_than(system, home)
    system.submit(submission)
    system.is_lost = lambda message: (
        isinstance(message, TaskOutcome)
        and message.outcome is Outcome.DONE
        and message.attempt in lost
    )
    system.deliver_all()
    lost = set(system.nodes[leaver].running)
    assert lost
    _replace(system, leaver, lambda flight: False)
    (answer,) = system.answers(submission.key)
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_job_is_resumed_with_what_a_sidecar_told_that_has_left_since():
    """A copy comes to the next home when the executor of a running task is gone.

    The task ended after the fence and its outcome went to the former home.
    """
    system = settled_system(workers=WORKERS)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=12)
    home = system.owner(submission.key)
    system.submit(submission)
    system.run(0.2)
    system.drain(home)
    while system.nodes[home].alive:
        _pass_all_but(system, lambda flight: False)
    system.run(2)
    leaver = next(name for name, node in system.nodes.items() if node.running)
    assert system.nodes[leaver].alive and leaver != system.owner(submission.key)
    system.hold_upstreams = False
    _replace(system, leaver, lambda flight: False)
    system.submit(submission)
    system.run(2)
    answer = system.answers(submission.key)[-1]
    assert (answer.kind, answer.work) == (None, Work.RAN)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_sidecar_that_leaves_tells_of_partitions_where_it_started_nothing():
    system = settled_system(workers=WORKERS)
    state = system.nodes[system.current("w1")].state.executor
    assert state.records.partitions() == []
    state.leaving = True
    told = {
        effect.message.partition
        for effect in replicate_records(state, system.now)
        if isinstance(effect, Send) and isinstance(effect.message, Remember)
    }
    assert told == set(range(system.partitions))
