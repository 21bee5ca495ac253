"""How a sidecar finds the runs that a decision asks for."""

from gypsumspoke.core.events import Received
from gypsumspoke.runs.local_runs import LocalRuns
from gypsumspoke.runs.messages import PlaceRun
from gypsumspoke.runs.supervisor_state import LocalRun, Phase
from gypsumspoke.runs.values import NO_ROOM, Room, RunId, TaskId
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.world import START, ms

SMALL = Room(1, 1, 0)
ENTRY, OTHER_ENTRY = "entry-1", "entry-2"


def local_run(job, number=1, entry=ENTRY):
    run = RunId(TaskId(job, 0, 0), number)
    return LocalRun(run, entry, SMALL, 1, ms(100), "", START, number, START)


def local_runs(*found):
    runs = LocalRuns()
    for each in found:
        runs.add(each)
    return runs


def test_a_run_waits_until_it_is_started():
    first, second = local_run("a"), local_run("b")
    runs = local_runs(first, second)
    assert list(runs.waiting) == [first, second]
    assert runs.waiting_room == Room(2, 2, 0)
    runs.record_start(first)
    assert list(runs.waiting) == [second]
    assert runs.waiting_room == SMALL
    runs.remove(second)
    assert runs.waiting_room == NO_ROOM
    assert list(runs.values()) == [first]


def test_runs_are_found_by_their_task():
    first, other, second = local_run("a"), local_run("b"), local_run("a", number=2)
    runs = local_runs(first, other, second)
    assert runs.of_task(first.run.task) == [first, second]
    runs.remove(first)
    assert runs.of_task(first.run.task) == [second]
    runs.remove(second)
    assert runs.of_task(first.run.task) == []
    assert len(runs) == 1


def test_each_coordinator_and_each_stop_has_a_run_at_work():
    """A lease that overlooks a coordinator that is silent outlives its runs."""
    found = [local_run(name) for name in "abc"] + [local_run("d", entry=OTHER_ENTRY)]
    runs = local_runs(*found)
    assert not list(runs.at_work())
    for each in found:
        runs.record_start(each)
    assert {each.coordinator for each in runs.at_work()} == {ENTRY, OTHER_ENTRY}
    runs.record_stop(found[0])
    runs.record_stop(found[1])
    assert found[0] in runs.at_work() and found[1] in runs.at_work()
    for each in found:
        runs.remove(each)
    assert not list(runs.at_work()) and not runs


def test_the_work_of_a_placement_does_not_grow_with_the_runs(monkeypatch):
    """A sidecar with hundreds of small runs fell behind and refused placements as
    stale.
    """
    looks = []

    def read(local):
        looks.append(local)
        return local.__dict__["phase"]

    def write(local, value):
        local.__dict__["phase"] = value

    sidecar = LoneSidecar()
    sidecar.handle_list(ms(10))

    def place(number, at):
        run = RunId(TaskId(f"j{number}", 0, 0), 1)
        message = PlaceRun(at, run, SMALL, 1, ms(1000), ms(2000), "", ms(2000))
        sidecar.handle(at, Received(ENTRY, message))

    for number in range(400):
        place(number, ms(20))
    phases = {local.phase for local in sidecar.state.runs.values()}
    assert phases == {Phase.STARTING}
    monkeypatch.setattr(LocalRun, "phase", property(read, write), raising=False)
    for number in range(400, 420):
        place(number, ms(21))
    assert len(looks) < 20 * 40
