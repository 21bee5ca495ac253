"""The world in which reducers are timed."""

import pytest

from gypsumspoke.tools.measure_reducers import (
    change_slopes,
    idle_slopes,
    served_world,
    task_slopes,
)

WORKERS = 3
PARTITIONS = 4


def test_every_submitted_job_is_answered_whole():
    world = served_world(WORKERS, PARTITIONS)
    world.run(3.0, jobs_per_second=10, tasks=4)
    world.run(3.0)
    assert world.answers == 30
    assert world.cost("UpstreamAnswered").count == 120


def test_a_task_costs_two_messages_beside_those_of_its_job():
    slopes = task_slopes(WORKERS, PARTITIONS, 130)
    assert slopes["messages_per_task"] == pytest.approx(2, abs=0.1)


def test_idle_processes_write_nothing():
    assert idle_slopes(WORKERS, PARTITIONS)["table_writes_per_second"] == 0


def test_a_join_is_written_and_a_manifest_change_is_only_read():
    costs = change_slopes(WORKERS, PARTITIONS)
    assert costs["member_change"]["table_writes"] > 0
    assert costs["manifest_change"]["table_writes"] == 0
