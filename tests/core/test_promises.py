"""Stateful tests of the system's guarantees against a reference model.

The model is one process with one dictionary and no faults: it starts each task of a key
once and answers from the dictionary. The system may refuse, fail or answer "unknown",
but never contradict the model. Each history ends without faults, and a new job must
then be served.

A long run with fresh seeds: ``HYPOTHESIS_PROFILE=search pytest
tests/core/test_promises.py``.
"""

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from gypsumspoke.core import membership
from gypsumspoke.core.errors import Work
from gypsumspoke.core.messages import JobAnswer
from gypsumspoke.core.values import Outcome
from tests.core.system import System

WORKERS = 4
PARTITIONS = 2
TASKS = 3
INDEXES = st.integers(min_value=0, max_value=1_000_000)
HALF_SKEW = 0.45


class ReferenceModel:
    """One process, one dictionary, no faults."""

    def __init__(self):
        self._answers = {}

    def submit(self, submission):
        if submission.key not in self._answers:
            self._answers[submission.key] = tuple(
                b"ok:" + task.body for task in submission.tasks
            )
        return self._answers[submission.key]


class Histories(RuleBasedStateMachine):
    """Submissions, deliveries and faults in any order."""

    @initialize(seed=INDEXES, offsets=st.lists(st.floats(-1, 1), min_size=WORKERS))
    def start(self, seed, offsets):
        self.system = System(WORKERS, PARTITIONS, seed, slots=1)
        for node, offset in zip(self.system.nodes.values(), offsets):
            node.offset = timedelta(seconds=offset * HALF_SKEW)
        self.system.run(3)
        self.system.hold_upstreams = True
        self.model = ReferenceModel()
        self.submissions = []
        self.versions = {}

    # -- callers

    def _copy(self, submission, index, anywhere):
        names = sorted(self.system.nodes)
        to = names[index % len(names)] if anywhere else None
        self.system.submit(submission, to=to)

    @rule(index=INDEXES, early=st.floats(-1, 1), anywhere=st.booleans())
    def submit(self, index, early, anywhere):
        birth = self.system.now + timedelta(seconds=early * HALF_SKEW)
        name = f"k{len(self.submissions)}"
        submission = self.system.submission(
            name, tasks=TASKS, birth=birth, body=name.encode()
        )
        self.submissions.append(submission)
        self._copy(submission, index, anywhere)

    @precondition(lambda self: self.submissions)
    @rule(index=INDEXES, which=INDEXES, anywhere=st.booleans())
    def resubmit(self, index, which, anywhere):
        submission = self.submissions[which % len(self.submissions)]
        self._copy(submission, index, anywhere)

    @precondition(lambda self: self.submissions)
    @rule(index=INDEXES, which=INDEXES, anywhere=st.booleans())
    def resubmit_with_the_next_attempt(self, index, which, anywhere):
        submission = self.submissions[which % len(self.submissions)]
        numbers = [
            answer.next_attempt
            for answer in self.system.answers(submission.key)
            if answer.next_attempt is not None
        ]
        if numbers:
            higher = submission._replace(
                attempt=max(numbers),
                deadline=self.system.now + timedelta(seconds=20),
            )
            self._copy(higher, index, anywhere)

    @precondition(lambda self: self.submissions)
    @rule(which=INDEXES)
    def cancel(self, which):
        key = self.submissions[which % len(self.submissions)].key
        if self.system.owner(key) is not None:
            self.system.cancel(key)

    # -- messages and time

    @precondition(lambda self: self.system.in_transit)
    @rule(place=INDEXES)
    def deliver(self, place):
        self.system.deliver(place % len(self.system.in_transit))

    @precondition(lambda self: self.system.in_transit)
    @rule()
    def deliver_all(self):
        self.system.deliver_all()

    @precondition(lambda self: self.system.in_transit)
    @rule(place=INDEXES)
    def repeat(self, place):
        flight = self.system.in_transit[place % len(self.system.in_transit)]
        if not isinstance(flight.message, JobAnswer):
            self.system.in_transit.append(flight)

    @precondition(lambda self: self.system.links)
    @rule(place=INDEXES)
    def lose_connection(self, place):
        links = sorted(self.system.links, key=sorted)
        self.system.drop_connection(links[place % len(links)])

    @rule(ticks=st.integers(1, 30), delivers=st.booleans())
    def pass_time(self, ticks, delivers):
        for _ in range(ticks):
            self.system.tick()
            if delivers:
                self.system.deliver_all()

    @rule(
        index=INDEXES,
        outcome=st.sampled_from(
            [Outcome.DONE, Outcome.DONE, Outcome.DONE, *list(Outcome)]
        ),
    )
    def finish_a_task(self, index, outcome):
        running = [
            (name, attempt)
            for name, node in sorted(self.system.nodes.items())
            if node.alive and not node.paused
            for attempt in node.running
        ]
        if running:
            self.system.finish_one(*running[index % len(running)], outcome)

    @rule()
    def finish_all_tasks(self):
        self.system.finish_upstreams()

    # -- combinations that follow faults

    @rule(count=st.integers(2, 4))
    def submit_some(self, count):
        for _ in range(count):
            self.submit(index=0, early=0.0, anywhere=False)
        self.system.deliver_all()

    @precondition(lambda self: self.submissions)
    @rule()
    def resubmit_all(self):
        for submission in self.submissions:
            self.system.submit(submission)
        self.system.deliver_all()

    @precondition(lambda self: self.submissions)
    @rule(which=INDEXES, how=st.sampled_from(["pause", "kill", "drain"]))
    def change_the_owner(self, which, how):
        """Stop the home of a key and let the next one take over."""
        key = self.submissions[which % len(self.submissions)].key
        owner = self.system.owner(key)
        if owner is not None:
            getattr(self.system, how)(owner)
            self.pass_time(ticks=25, delivers=True)

    @precondition(lambda self: self.submissions)
    @rule(which=INDEXES, index=INDEXES)
    def replace_the_holder(self, which, index):
        """Kill and replace a worker that started a task of a key."""
        key = self.submissions[which % len(self.submissions)].key
        workers = sorted(
            {start.worker for start in self.system.started if start.key == key}
        )
        if workers:
            worker = workers[index % len(workers)]
            self.system.kill(self.system.current(worker))
            self.system.join(worker)
            self.pass_time(ticks=15, delivers=True)

    @rule(forgets=st.booleans())
    def wake_all(self, forgets):
        for name, node in sorted(self.system.nodes.items()):
            if node.paused:
                if forgets:
                    node.backlog.clear()
                self.system.resume(name)

    # -- faults

    def _pick(self, index, wanted):
        names = [
            name
            for name, node in sorted(self.system.nodes.items())
            if node.alive and wanted(node)
        ]
        return names[index % len(names)] if names else None

    @rule(index=INDEXES, of_owner=st.booleans())
    def kill(self, index, of_owner):
        name = self._pick(index, lambda node: True)
        if of_owner and self.submissions:
            key = self.submissions[index % len(self.submissions)].key
            name = self.system.owner(key)
        if name is not None:
            self.system.kill(name)

    @rule(index=INDEXES)
    def replace(self, index):
        dead = [
            worker
            for worker in sorted(self.system.incarnations)
            if not self.system.nodes[self.system.current(worker)].alive
        ]
        if dead:
            self.system.join(dead[index % len(dead)])

    @rule(index=INDEXES)
    def replace_a_paused_one(self, index):
        """Start a replacement for a paused worker, as the platform does."""
        workers = [
            worker
            for worker in sorted(self.system.incarnations)
            if self.system.nodes[self.system.current(worker)].paused
        ]
        if workers:
            self.system.join(workers[index % len(workers)])

    @rule(index=INDEXES)
    def pause(self, index):
        name = self._pick(index, lambda node: not node.paused)
        if name is not None:
            self.system.pause(name)

    @rule(index=INDEXES, forgets=st.booleans())
    def wake(self, index, forgets):
        name = self._pick(index, lambda node: node.paused)
        if name is not None:
            if forgets:
                self.system.nodes[name].backlog.clear()
            self.system.resume(name)

    @rule(index=INDEXES)
    def drain(self, index):
        name = self._pick(index, lambda node: not node.paused)
        if name is not None:
            self.system.drain(name)

    @rule(one=INDEXES, other=INDEXES)
    def cut(self, one, other):
        names = sorted(self.system.nodes)
        first, second = names[one % len(names)], names[other % len(names)]
        if first != second:
            self.system.cut(first, second)

    @rule()
    def heal(self):
        self.system.restore_links()

    @rule(is_down=st.booleans(), lost=st.integers(0, 2))
    def change_the_table(self, is_down, lost):
        self.system.table.is_down = is_down
        self.system.table.answers_to_lose = lost

    # -- invariants

    @invariant()
    def no_task_starts_twice(self):
        for submission in getattr(self, "submissions", ()):
            for task, count in self.system.starts(submission.key).items():
                assert count == 1, f"{submission.key} task {task}: {count} starts"

    @invariant()
    def what_was_not_run_never_ran(self):
        for delivered in getattr(self, "system", System(workers=0)).delivered:
            if delivered.answer.work is not Work.NOT_RUN or delivered.attempt < 0:
                continue
            for start in self.system.started:
                if start.key == delivered.key:
                    assert start.submission_attempt > delivered.attempt, delivered

    @invariant()
    def each_answer_is_whole_and_its_own(self):
        expected = {
            submission.key: self.model.submit(submission)
            for submission in getattr(self, "submissions", ())
        }
        for delivered in getattr(self, "system", System(workers=0)).delivered:
            if delivered.answer.kind is None:
                assert delivered.answer.results == expected[delivered.key]
            else:
                assert delivered.answer.results == ()

    @invariant()
    def no_configuration_reverts(self):
        for name, node in getattr(self, "system", System(workers=0)).nodes.items():
            version = membership.manifest_version(node.state.membership)
            assert version >= self.versions.get(name, 0)
            self.versions[name] = version

    def _nodes(self):
        return list(self.system.nodes.values())

    def _replace_all(self):
        for worker in list(self.system.incarnations):
            if not self.system.nodes[self.system.current(worker)].alive:
                self.system.join(worker)

    def teardown(self):
        """After the faults a new job is served, and no old task starts twice."""
        if not hasattr(self, "submissions"):
            return
        system = self.system
        system.restore_links()
        system.table.is_down = False
        for name, node in list(system.nodes.items()):
            if node.paused:
                system.resume(name)
        system.hold_upstreams = False
        system.run(8)
        self._replace_all()
        while any(node.alive and node.state.is_draining for node in self._nodes()):
            system.run(1)
        self._replace_all()
        system.run(12)
        for submission in self.submissions:
            system.submit(submission)
        system.run(5)
        fresh = system.submission("fresh", tasks=TASKS, body=b"fresh")
        self.submissions.append(fresh)
        system.submit(fresh)
        system.run(25)
        self.no_task_starts_twice()
        self.what_was_not_run_never_ran()
        self.each_answer_is_whole_and_its_own()
        answers = system.answers(fresh.key)
        assert answers and answers[-1].kind is None, answers


TestHistories = Histories.TestCase
