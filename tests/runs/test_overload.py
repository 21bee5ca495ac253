"""Overload of the workers: queueing, refusal and placement of jobs."""

from gypsumspoke.core.effects import Send
from gypsumspoke.runs.admission import expected_wait
from gypsumspoke.runs.messages import PlaceRun
from gypsumspoke.runs.sidecar_views import SidecarView
from gypsumspoke.runs.values import JobEnd
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import ROUTE, SERVICE, World, job, ms


def placements(world: World) -> int:
    """Return the number of runs that the entries have placed."""
    return sum(
        isinstance(effect, Send) and isinstance(effect.message, PlaceRun)
        for _, _, effect in world.log
    )


def test_a_worker_that_fails_all_gets_a_task_now_and_then():
    """With one worker failing all runs and the other full, refused tasks went back to
    the failing worker at once and endlessly, and nothing else was placed.
    """
    world = settled()
    broken = world.workers["side0"]
    broken.fails = lambda run: True
    for number in range(12):
        world.submit("entry0", f"r{number}", job(f"j{number}", count=2), ms(9000))
    world.run(ms(4000))
    ends = [world.end_of(f"r{number}") for number in range(12)]
    assert ends.count(JobEnd.COMPLETED) >= 10
    assert placements(world) < 60
    assert not world.violations


def test_jobs_in_time_go_before_jobs_that_are_late_already():
    """In order of arrival, every job after a burst would be as late as the burst."""
    world = settled(sidecars=1)
    for number in range(12):
        world.submit("entry0", f"a{number}", job(f"a{number}", count=2), ms(9000))
    world.run(ms(700))
    world.submit("entry0", "r1", job("j1", count=2), ms(9000))
    world.run(ms(420))
    assert world.end_of("r1") is JobEnd.COMPLETED
    world.run(ms(4000))
    ends = {world.end_of(f"a{number}") for number in range(12)}
    assert ends == {JobEnd.COMPLETED}


def test_jobs_that_can_not_be_in_time_are_refused_before_they_run():
    """Of many more jobs than the worker completes within their deadline, the excess
    is refused and has not run.
    """
    world = settled(sidecars=1)
    for number in range(60):
        world.submit("entry0", f"r{number}", job(f"j{number}", count=2), ms(1000))
    world.run(ms(3000))
    ends = [world.end_of(f"r{number}") for number in range(60)]
    assert ends.count(JobEnd.COMPLETED) >= 4
    refused = [number for number in range(60) if ends[number] is JobEnd.NOT_RUN]
    assert len(refused) >= 45
    assert all(world.starts_of(f"j{number}") == [] for number in refused)
    assert all(world.answers[f"r{number}"].retry_after for number in refused)


def test_long_tasks_are_not_starved_on_the_fast_worker():
    """Short tasks, which would all end soonest on the fast worker, leave it to long
    tasks, which are in time only there.
    """
    world = World(sidecars=0)
    for host, pace in (("side0", 0.6), ("side1", 1.0), ("side2", 1.0)):
        world.pace[host] = pace
        world.start_worker(host)
        world.start_sidecar(host)
    world.run(ms(2000))
    for number in range(30):
        short = job(f"s{number}", count=1)
        world.submit("entry0", f"s{number}", short, ms(9000))
        world.run(ms(60))
    late = sum(
        (effect.fields[-2] == ("late", True))
        for _, _, effect in world.log
        if getattr(effect, "event", "") == "job answered"
    )
    assert late == 0


def test_workers_of_another_service_do_not_shorten_the_wait():
    """Idle workers of another service made the estimated wait too short, so that a job
    was accepted and refused only after its caller had waited.
    """
    world = settled(sidecars=1)
    state = world.processes["entry0"].state
    (own,) = state.views.values()
    for number in range(9):
        other = SidecarView(f"other{number}-1", f"other{number}", world.now)
        other.report = own.report._replace(service="another", worker=f"w{number}")
        state.views[other.incarnation] = other
    for number in range(12):
        world.submit("entry0", f"a{number}", job(f"a{number}", count=2), ms(9000))
    seen = expected_wait(state, SERVICE, ROUTE.priority)
    state.views = {own.incarnation: own}
    assert seen == expected_wait(state, SERVICE, ROUTE.priority) > ms(500)


def test_a_job_that_can_not_be_in_time_any_more_lets_others_go_before():
    """A new job behind queued jobs that can't be in time any more would be late too."""
    world = settled(sidecars=1)
    for number in range(6):
        world.submit("entry0", f"a{number}", job(f"a{number}", count=2), ms(9000))
    world.run(ms(190))
    world.submit("entry0", "r1", job("j1", count=2), ms(9000))
    world.run(ms(240))
    assert world.end_of("r1") is JobEnd.COMPLETED
    world.run(ms(4000))
    ends = {world.end_of(f"a{number}") for number in range(6)}
    assert ends == {JobEnd.COMPLETED}
