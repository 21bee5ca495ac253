"""Team quotas over several entries, in virtual time."""

import random
from datetime import datetime, timedelta, timezone

import pytest

from gypsumspoke.core import quota
from gypsumspoke.core.policy import TeamPolicy
from gypsumspoke.core.values import MAX_TASKS

START = datetime(2026, 1, 1, tzinfo=timezone.utc)
STEP = timedelta(milliseconds=20)
DELAY = timedelta(milliseconds=20)
TEAM = TeamPolicy("pots", tasks_per_second=1000, burst=200, weight=1)
NAMES = ("e1", "e2", "e3")


class Entries:
    """Entries that exchange reports over links with a fixed delay."""

    def __init__(self, names=NAMES):
        self.now = START
        self.states = {name: quota.new_quota(name) for name in names}
        self.links = []
        self.cut = False
        self.admitted = []
        for state in self.states.values():
            quota.set_teams(state, (TEAM,), START)
            quota.set_entries(state, names, START)

    def step(self):
        self.now += STEP
        arrived = [link for link in self.links if link[0] <= self.now]
        self.links = [link for link in self.links if link[0] > self.now]
        for _, target, report in arrived:
            quota.handle_report(self.states[target], report, self.now)
        for name, state in self.states.items():
            report = quota.due_report(state, self.now)
            if report is None or self.cut:
                continue
            for other in self.states:
                if other != name:
                    self.links.append((self.now + DELAY, other, report))

    def offer(self, name, tasks):
        wait = quota.admit(self.states[name], "pots", tasks, self.now)
        if wait is None:
            self.admitted.append((self.now, tasks))
        return wait

    def run(self, seconds, rates, job=1):
        """Offer ``rates[name]`` tasks per second; return (offered, admitted)."""
        owed = dict.fromkeys(rates, 0.0)
        offered = admitted = 0
        for _ in range(round(seconds / STEP.total_seconds())):
            self.step()
            for name, rate in rates.items():
                owed[name] += rate * STEP.total_seconds()
                while owed[name] >= job:
                    owed[name] -= job
                    offered += job
                    admitted += job if self.offer(name, job) is None else 0
        return offered, admitted

    def excess(self):
        """Return the maximum of tasks admitted above the quota in any window."""
        worst = level = 0.0
        last = START
        for at, tasks in self.admitted:
            passed = (at - last).total_seconds()
            level = max(level - passed * TEAM.tasks_per_second, 0.0) + tasks
            last = at
            worst = max(worst, level)
        return worst


BOUND = TEAM.burst + len(NAMES) * MAX_TASKS


def test_below_the_quota_nothing_is_refused_for_any_distribution_of_load():
    entries = Entries()
    entries.run(3, {"e1": 800, "e2": 20, "e3": 20})
    offered, admitted = entries.run(20, {"e1": 800, "e2": 20, "e3": 20})
    assert admitted == offered


@pytest.mark.parametrize(
    "rates",
    [
        {"e1": 2000, "e2": 2000, "e3": 2000},
        {"e1": 3000, "e2": 0, "e3": 0},
        {"e1": 3000, "e2": 300, "e3": 10},
    ],
)
def test_above_the_quota_the_entries_together_admit_the_quota(rates):
    entries = Entries()
    entries.run(3, rates)
    _, admitted = entries.run(20, rates)
    assert 0.93 * 20_000 <= admitted <= 20_000 + BOUND
    assert entries.excess() <= BOUND


def test_the_bound_holds_while_load_moves_between_entries():
    entries = Entries()
    choice = random.Random(5)
    for _ in range(30):
        rates = {name: choice.choice([0, 50, 900, 2000]) for name in NAMES}
        entries.run(choice.uniform(0.1, 3), rates)
    assert entries.excess() <= BOUND


def test_a_job_counts_with_all_its_tasks():
    entries = Entries()
    _, admitted = entries.run(20, dict.fromkeys(NAMES, 10_000), job=MAX_TASKS)
    assert 0.93 * 20_000 <= admitted <= 20_000 + BOUND
    assert entries.excess() <= BOUND


def test_entries_that_lose_one_another_fall_back_to_equal_parts():
    """Entries cut off from one another together admit no more than the quota."""
    entries = Entries()
    entries.run(5, {"e1": 2000, "e2": 0, "e3": 0})
    entries.cut = True
    entries.run(4, dict.fromkeys(NAMES, 2000))
    entries.admitted.clear()
    _, admitted = entries.run(10, dict.fromkeys(NAMES, 2000))
    assert admitted <= 10_000 + BOUND
    limit = TEAM.tasks_per_second * quota.REPORT_TIMEOUT.total_seconds()
    assert entries.excess() <= BOUND + limit


def test_a_refusal_tells_when_to_retry():
    entries = Entries(("e1",))
    assert entries.offer("e1", 130) is None
    assert entries.offer("e1", 130) == timedelta(milliseconds=100)
    for _ in range(6):
        entries.step()
    assert entries.offer("e1", 130) is None


def test_a_lowered_quota_applies_at_once():
    entries = Entries(("e1",))
    entries.run(3, {"e1": 2000})
    lower = TEAM._replace(tasks_per_second=100, burst=10)
    quota.set_teams(entries.states["e1"], (lower,), entries.now)
    _, admitted = entries.run(10, {"e1": 2000})
    assert admitted <= 1000 + 10 + MAX_TASKS


def test_an_outdated_report_does_not_replace_a_newer_one():
    entries = Entries(("e1", "e2"))
    state = entries.states["e1"]
    entries.offer("e1", 1)
    newer = quota.TeamUsage("e2", 2, (("pots", 900.0, 900.0),))
    older = quota.TeamUsage("e2", 1, (("pots", 0.0, 0.0),))
    quota.handle_report(state, newer, entries.now)
    before = quota.rate_of(state, "pots")
    quota.handle_report(state, older, entries.now)
    assert quota.rate_of(state, "pots") == before
