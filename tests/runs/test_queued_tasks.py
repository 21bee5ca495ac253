"""What the queue of one job says about its tasks."""

from gypsumspoke.runs.coordinator_state import TaskProgress
from gypsumspoke.runs.queued_tasks import QueuedTasks
from gypsumspoke.runs.values import Job, Room, TaskId
from tests.runs.world import job, ms


def queue_of(*counts):
    """Return a queue of tasks of a small and a large step, in that order."""
    (step,) = job("j").steps
    small = step._replace(room=Room(100, 50, 0), estimate=ms(10))
    large = step._replace(room=Room(2000, 10, 1), estimate=ms(500))
    queued = QueuedTasks(Job("j", "", (small, large)))
    for number, count in enumerate(counts):
        for index in range(count):
            queued.append(TaskProgress(TaskId("j", number, index)))
    return queued


def test_it_sums_up_all_steps():
    queued = queue_of(3, 2)
    assert len(queued) == 5
    assert queued.work == 3 * 100 * 0.01 + 2 * 2000 * 0.5
    assert queued.least_room == Room(100, 10, 0)
    assert queued.longest_estimate == ms(500)
    assert len(queued.steps) == 2


def test_it_follows_each_change():
    """A job whose long tasks are placed must not count them as work that waits."""
    queued = queue_of(3, 2)
    assert queued.longest_estimate == ms(500)
    queued.remove(list(queued)[3:])
    assert queued.work == 3 * 100 * 0.01
    assert queued.least_room == Room(100, 50, 0)
    assert queued.longest_estimate == ms(10)
    assert len(queued.steps) == 1
    queued.append(TaskProgress(TaskId("j", 1, 0)))
    assert queued.longest_estimate == ms(500)


def test_it_keeps_the_order():
    queued = queue_of(4)
    first, second, *others = queued
    queued.remove([second])
    queued.append(second)
    assert list(queued) == [first, *others, second]
