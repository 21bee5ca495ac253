"""All sidecars are stopped and replaced in turn, with jobs under way."""

import random

import pytest

from gypsumspoke.core.effects import Send
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.messages import Remember
from gypsumspoke.core.told_records import tell_records
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
        for _ in range(self.random.randrange(30)):
            self._deliver_one()
        if self.random.random() < 0.6:
            self.system.finish_upstreams()
        if self.random.random() < 0.5:
            name = f"k{len(self.submissions)}"
            submission = self.system.submission(name, tasks=self.random.randint(1, 3))
            self.submissions[submission.key] = submission
            self.system.submit(submission)
        self._take_answers()

    def _deliver_one(self) -> None:
        flights = self.system.flights
        if not flights:
            return
        drawn = self.random.choice(flights)
        first = next(
            place
            for place, flight in enumerate(flights)
            if (flight.sender, flight.to) == (drawn.sender, drawn.to)
        )
        self.system.deliver(first)

    def _take_answers(self) -> None:
        told = self.system.told[self.seen :]
        self.seen = len(self.system.told)
        for each in told:
            if each.answer.kind in ASK_AGAIN:
                self.system.submit(self.submissions[each.key])
            elif each.answer.kind is not None:
                self.bad.append((each.key, each.answer.kind))


@pytest.mark.parametrize("seed", [*FAILED_ONCE, *range(1000, 1009)])
def test_a_rolling_restart_costs_no_caller_its_answer(seed):
    """Each sidecar is stopped gracefully and replaced while jobs come. A job may move
    with its partition several times; in the end it is complete. No process was lost, so
    there is nothing that could not be known.
    """
    assert RollingRestart(seed).play() == []


def test_a_sidecar_that_leaves_tells_of_partitions_where_it_started_nothing():
    system = settled_system(workers=WORKERS)
    state = system.nodes[system.current("w1")].state.executor
    assert state.records.partitions() == []
    state.leaving = True
    told = {
        effect.message.partition
        for effect in tell_records(state, system.now)
        if isinstance(effect, Send) and isinstance(effect.message, Remember)
    }
    assert told == set(range(system.partitions))
