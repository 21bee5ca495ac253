"""The life cycle of a job through the reducers, with at most one fault."""

from gypsumspoke.runs.admission import WORKER_DISCOVERY_TIMEOUT
from gypsumspoke.runs.coordinator import is_ready
from gypsumspoke.runs.values import JobEnd, WorkerReady
from tests.runs.world import World, job, ms


def settled(**more) -> World:
    """Return a world that has run for two seconds."""
    world = World(**more)
    world.run(ms(2000))
    return world


def test_a_job_is_answered_when_its_last_task_is_done():
    world = settled()
    world.submit("entry0", "r1", job("j1", count=3))
    world.run(ms(150))
    assert world.end_of("r1") is None
    world.run(ms(150))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 3
    assert not world.violations


def test_more_tasks_than_room_are_run_one_after_another():
    world = settled(sidecars=1)
    world.submit("entry0", "r1", job("j1", count=7), ms(10000))
    world.run(ms(1500))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert not world.violations


def test_jobs_of_two_entries_share_a_worker_within_its_room():
    world = settled(sidecars=1)
    world.submit("entry0", "r1", job("j1", count=2), ms(10000))
    world.submit("entry1", "r2", job("j2", count=2), ms(10000))
    world.run(ms(1500))
    assert world.end_of("r1") is world.end_of("r2") is JobEnd.COMPLETED
    assert not world.violations


def test_a_later_step_begins_when_the_earlier_one_is_done():
    world = settled()
    first = job("j1", count=2)
    second = first.steps[0]._replace(count=1, after=(0,))
    world.submit("entry0", "r1", first._replace(steps=(first.steps[0], second)))
    world.run(ms(200))
    assert len(world.starts_of("j1")) == 2
    world.run(ms(400))
    assert world.end_of("r1") is JobEnd.COMPLETED


def test_a_failed_task_is_tried_on_another_worker():
    world = settled()
    world.fails = lambda run: run.number == 1
    world.submit("entry0", "r1", job("j1", count=1))
    world.run(ms(700))
    assert world.end_of("r1") is JobEnd.COMPLETED
    hosts = [host for host, worker in world.workers.items() if worker.starts]
    assert hosts == ["side0", "side1"]


def test_a_task_that_used_up_its_attempts_fails_the_job():
    world = settled()
    world.fails = lambda run: True
    world.submit("entry0", "r1", job("j1", count=1))
    world.run(ms(1500))
    assert world.end_of("r1") is JobEnd.FAILED
    assert len(world.starts_of("j1")) == 3


def test_a_resubmission_attaches_to_the_running_job():
    """Coordinated separately, a resubmission to the same entry would run each task
    twice at once.
    """
    world = settled()
    world.submit("entry0", "r1", job("j1"))
    world.run(ms(50))
    world.submit("entry0", "r2", job("j1"))
    world.run(ms(400))
    assert world.end_of("r1") is world.end_of("r2") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 2


def test_a_caller_that_leaves_ends_its_runs():
    world = settled()
    world.submit("entry0", "r1", job("j1"))
    world.run(ms(50))
    world.close_request("entry0", "r1")
    world.run(ms(20))
    assert not any(worker.running for worker in world.workers.values())


def test_a_job_that_is_resubmitted_at_once_waits_for_its_old_runs():
    """A run placed on another worker before the old one has stopped would run beside
    it.
    """
    world = settled()
    world.submit("entry0", "r1", job("j1", count=1))
    world.run(ms(50))
    world.close_request("entry0", "r1")
    world.submit("entry0", "r2", job("j1", count=1))
    world.run(ms(600))
    assert world.end_of("r2") is JobEnd.COMPLETED
    assert not world.violations


def test_a_draining_worker_gets_nothing_new_and_finishes_what_runs():
    world = settled()
    world.submit("entry0", "r1", job("j1", count=4))
    world.run(ms(50))
    world.drained_at["side0"] = world.now
    world.send_heartbeat("side0", WorkerReady.DRAINING)
    world.run(ms(10))
    before = list(world.workers["side0"].starts)
    world.submit("entry0", "r2", job("j2", count=1))
    world.run(ms(900))
    assert world.end_of("r1") is world.end_of("r2") is JobEnd.COMPLETED
    assert world.workers["side0"].starts == before


def test_a_job_that_can_not_end_in_time_is_refused_and_never_runs():
    world = settled()
    world.submit("entry0", "r1", job("j1", estimate=ms(5000)), within=ms(1000))
    world.run(ms(2000))
    assert world.end_of("r1") is JobEnd.NOT_RUN
    assert world.answers["r1"].retry_after is not None
    assert world.starts_of("j1") == []


def test_a_job_that_fits_no_worker_is_refused_at_once():
    world = settled()
    wide = job("j1")
    step = wide.steps[0]
    big = step._replace(room=step.room._replace(cpu=100_000))
    world.submit("entry0", "r1", wide._replace(steps=(big,)))
    assert world.end_of("r1") is JobEnd.NOT_RUN


def test_jobs_wait_for_workers_while_the_entry_is_new():
    """After a restart of all processes, callers may connect before the workers have
    registered; their jobs must not be refused.
    """
    world = World(sidecars=0)
    world.submit("entry0", "r1", job("j1"))
    world.run(ms(500))
    assert world.end_of("r1") is None
    world.start_worker("side0")
    world.start_sidecar("side0")
    world.run(ms(1000))
    assert world.end_of("r1") is JobEnd.COMPLETED


def test_a_job_without_workers_is_refused_at_once_after_the_discovery_timeout():
    world = World(sidecars=0)
    world.run(WORKER_DISCOVERY_TIMEOUT)
    world.submit("entry0", "r1", job("j1"))
    assert world.end_of("r1") is JobEnd.NOT_RUN


def test_an_entry_is_ready_when_it_knows_a_worker_or_has_waited_for_one():
    with_worker = settled()
    entry = with_worker.processes["entry0"]
    assert is_ready(entry.state, with_worker.now)
    without = World(sidecars=0)
    entry = without.processes["entry0"]
    assert not is_ready(entry.state, without.now)
    without.run(WORKER_DISCOVERY_TIMEOUT)
    assert is_ready(entry.state, without.now)
