"""The measuring command's workload."""

import pytest

from gypsumspoke.tools.measure_workload import (
    MOST_TASKS,
    PlannedTask,
    Shape,
    Worker,
    generate,
    ideal_time,
)


def test_the_same_seed_gives_the_same_jobs():
    assert generate(Shape(0.7, 10.0), 1) == generate(Shape(0.7, 10.0), 1)
    assert generate(Shape(0.7, 10.0), 1) != generate(Shape(0.7, 10.0), 2)


def test_offered_load_is_near_what_was_asked():
    workload = generate(Shape(0.7, 600.0), 1)
    counts = [len(job.tasks) for job in workload.jobs]
    assert sum(counts) / 600 / workload.capacity == pytest.approx(0.7, rel=0.1)
    assert min(counts) >= 1 and max(counts) <= MOST_TASKS


def test_the_loud_team_offers_ten_times_its_quota():
    workload = generate(Shape(0.7, 600.0, loud=True), 1)
    loud = sum(len(job.tasks) for job in workload.jobs if job.team == "team-0")
    assert loud / 600 / workload.quotas["team-0"] == pytest.approx(10, rel=0.1)


def test_ideal_time_puts_the_longest_task_on_the_fastest_slot():
    workers = (Worker("fast", 0.5, 1, False), Worker("slow", 2.0, 1, False))
    tasks = (PlannedTask(0.1, 0.1), PlannedTask(1.0, 1.0))
    assert ideal_time(tasks, workers) == pytest.approx(0.5)
