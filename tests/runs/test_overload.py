"""Load at its worst: how work waits, is refused and placed."""

from gypsumspoke.core.effects import Send
from gypsumspoke.runs.admission import expected_wait
from gypsumspoke.runs.messages import PlaceRun
from gypsumspoke.runs.sidecar_views import SidecarView
from gypsumspoke.runs.values import JobEnd
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import ROUTE, SERVICE, World, job, ms


def placements(world: World) -> int:
    """Return how many runs the entries have placed."""
    return sum(
        isinstance(effect, Send) and isinstance(effect.message, PlaceRun)
        for _, _, effect in world.log
    )


def test_a_worker_that_fails_all_gets_a_task_now_and_then():
    """One worker fails all that it starts and the other is full. Tasks that the first
    one refuses must wait for the other; sent back to the first at once, they went to
    and fro a thousand times a second and nothing else was placed.
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
    """A burst fills the queue until its jobs are late. A job that comes then is still
    in time if it goes first, and the late ones lose little; in order of arrival every
    job after the burst would be late too, by as much.
    """
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


def test_what_can_not_be_done_in_time_is_refused_before_it_runs():
    """Ten times as many jobs come as the worker can do within their deadline. Those
    beyond it are refused at once, or as soon as it shows, and none of them has run.
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
    """Short tasks keep coming, and would all be soonest on the fast worker. Long tasks
    are in time only there; the short ones leave it to them.
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
    """Work for one service waits in front of a new job, and its only worker is full.
    Nine workers of another service stand idle. Counted in, they made the wait seem a
    tenth as long, so the job was taken, waited, and was refused when it was too late
    for its caller to go elsewhere.
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
    """A burst fills the queue. Its last jobs can't end in time any more, though their
    time is not over. A job that comes then still can; behind them it would be late too.
    """
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
