"""Mutation tests: with a safeguard disabled, the scenario that needs it must fail."""

from datetime import timedelta

import pytest

from gypsumspoke.core.effects import Count
from gypsumspoke.core.events import Received
from gypsumspoke.runs import (
    assignment,
    budget,
    caller_timeouts,
    coordinator_cancellations,
    supervisor_commands,
    supervisor_incarnation,
    supervisor_lease,
    supervisor_placement,
    supervisor_queue,
    supervisor_renewals,
)
from gypsumspoke.runs.budget import DEFAULT_BUDGET
from gypsumspoke.runs.messages import PlaceRun
from gypsumspoke.runs.queued_tasks import QueuedTasks
from gypsumspoke.runs.values import EndReason, JobEnd, RunId, TaskId
from gypsumspoke.runs.worker_heartbeats import WorkerHeartbeats
from tests.runs import (
    test_caller_timeouts,
    test_cancellations,
    test_faults,
    test_incarnations,
    test_job_lifecycle,
    test_lost_stops,
    test_orphans,
    test_overload,
    test_reports,
)
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import TASK_ROOM, TASK_TIME, World, job, ms

LONG = timedelta(seconds=60)

lost_stops_test = (
    test_lost_stops.test_lost_stops_of_a_lost_entry_leave_no_run_beside_the_next
)
overtaking_request_test = (
    test_cancellations.test_a_repeated_request_that_overtakes_the_cancel_ends_with_it
)
other_worker_test = (
    test_incarnations.test_a_worker_with_another_id_is_used_after_a_clock_step
)


def delayed_placement() -> World:
    """Return a world in which a placement arrives while its task runs elsewhere.

    A partition delays it until the entry has placed the task on the second worker.
    """
    world = settled()
    test_faults.long_tasks(world)
    world.cut_off("entry0", "side0")
    world.submit("entry0", "r1", job("j1", count=3), ms(9000))
    world.run(ms(2000))
    world.cut.clear()
    world.run(ms(500))
    return world


def test_a_delayed_placement_does_not_start_beside_the_new_run():
    assert not delayed_placement().violations


STALE_PLACEMENT_SAFEGUARDS = [
    (budget.Budget, "max_placement_age", LONG),
    (budget.Budget, "allowed_lease", lambda self, silence: self.lease),
    (supervisor_lease, "_lease_ends_within_budget", lambda state, heard: True),
]


@pytest.mark.parametrize(
    "kept", range(3), ids=[name for _, name, _ in STALE_PLACEMENT_SAFEGUARDS]
)
def test_each_of_three_safeguards_suffices_against_a_stale_placement(monkeypatch, kept):
    for number, safeguard in enumerate(STALE_PLACEMENT_SAFEGUARDS):
        if number != kept:
            monkeypatch.setattr(*safeguard)
    assert not delayed_placement().violations


def test_a_placement_older_than_its_bound_is_refused():
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    fresh = DEFAULT_BUDGET.max_placement_age
    for age, refused in ((fresh - ms(1), False), (fresh + ms(1), True)):
        run = RunId(TaskId(f"j{age}", 0, 0), 1)
        place = PlaceRun(ms(400), run, TASK_ROOM, 1, TASK_TIME, ms(9000), "x")
        effects = sidecar.handle(ms(400) + age, Received("entry-1", place))
        assert (Count(EndReason.ORDER_STALE) in effects) is refused


def assert_no_violations(world: World) -> None:
    assert not world.violations


SAFEGUARDS = [
    pytest.param(
        [
            (budget.Budget, "entry_silence", LONG),
        ],
        lambda: test_faults.test_an_entry_is_lost_and_its_job_comes_through_another(
            "power_off"
        ),
        id="runs of silent entries are stopped",
    ),
    pytest.param(
        [
            (budget.Budget, "lease", timedelta(seconds=5)),
        ],
        test_faults.test_an_entry_and_a_sidecar_are_lost_together,
        id="leases are short",
    ),
    pytest.param(
        STALE_PLACEMENT_SAFEGUARDS,
        lambda: assert_no_violations(delayed_placement()),
        id="stale placements are refused, and no run outlives its entry for too long",
    ),
    pytest.param(
        [
            (budget.Budget, "allowed_lease", lambda self, silence: self.lease),
        ],
        lambda: lost_stops_test(DEFAULT_BUDGET),
        id="leases end in time for an entry whose runs are not stopped",
    ),
    pytest.param(
        [
            (supervisor_queue, "lease_allows_run", lambda state, run, now: True),
        ],
        test_lost_stops.test_a_sidecar_that_wakes_starts_no_run_of_a_lost_entry,
        id="nothing starts for an entry that was not heard recently",
    ),
    pytest.param(
        [
            (budget.Budget, "run_expiry", timedelta()),
        ],
        test_faults.test_a_cut_moves_the_task_after_the_budget,
        id="tasks of a silent sidecar wait for the budget",
    ),
    pytest.param(
        [
            (supervisor_commands, "reserve_room", lambda state, run: None),
        ],
        test_job_lifecycle.test_jobs_of_two_entries_share_a_worker_within_its_room,
        id="starts reserve room",
    ),
    pytest.param(
        [
            (
                supervisor_incarnation,
                "handle_new_incarnation",
                lambda state, number, now: None,
            ),
        ],
        test_faults.test_a_restarted_worker_takes_work_again,
        id="a new incarnation numbers its ends anew",
    ),
    pytest.param(
        [
            (supervisor_renewals, "stop_orphans", lambda state, event, is_first: []),
        ],
        test_faults.test_a_killed_sidecar_is_replaced_and_its_tasks_run_again_soon,
        id="orphans are stopped",
    ),
    pytest.param(
        [
            (budget.Budget, "stop_settle_time", timedelta()),
        ],
        test_orphans.test_a_run_that_is_being_stopped_for_a_new_sidecar_is_at_work,
        id="an orphan counts until its stop has taken effect",
    ),
    pytest.param(
        [
            (
                caller_timeouts.CallerTimeouts,
                "waited_elsewhere",
                lambda self, route, left, now: ms(0),
            ),
        ],
        test_caller_timeouts.test_a_new_job_is_placed_before_resubmitted_jobs,
        id="resubmissions are distinguished from new jobs",
    ),
    pytest.param(
        [
            (QueuedTasks, "longest_estimate", property(lambda queued: ms(0))),
        ],
        test_overload.test_a_job_that_can_not_be_in_time_any_more_lets_others_go_before,
        id="jobs that can't meet their target latency yield to others",
    ),
    pytest.param(
        [
            (supervisor_placement, "_refuse_without_room", lambda state, run, now: []),
        ],
        test_reports.test_a_run_that_finds_no_room_goes_where_there_is_some,
        id="runs without room are refused",
    ),
    pytest.param(
        [(coordinator_cancellations, "refuse_cancelled", lambda state, event: None)],
        test_cancellations.test_a_cancelled_job_is_not_run_again_at_any_entry,
        id="a request for a cancelled job is refused",
    ),
    pytest.param(
        [(coordinator_cancellations, "_end_cancelled", lambda state, job, now: [])],
        overtaking_request_test,
        id="a cancel that is read ends the job",
    ),
    pytest.param(
        [(WorkerHeartbeats, "hold", lambda self, registration, arrived: False)],
        test_incarnations.test_a_heartbeat_before_the_first_list_is_used_with_that_list,
        id="a heartbeat with an earlier start time is held",
    ),
    pytest.param(
        [(WorkerHeartbeats, "has_ended", lambda self, incarnation: False)],
        test_incarnations.test_a_late_heartbeat_of_an_ended_incarnation_is_not_used,
        id="a heartbeat of an ended incarnation is not used",
    ),
    pytest.param(
        [(supervisor_renewals, "follow_other_worker", lambda state, now: [])],
        other_worker_test,
        id="a worker with another id is followed",
    ),
]


@pytest.mark.parametrize("disabled, scenario", SAFEGUARDS)
def test_its_scenario_fails_without_it(monkeypatch, disabled, scenario):
    for safeguard in disabled:
        monkeypatch.setattr(*safeguard)
    with pytest.raises((AssertionError, KeyError)):
        scenario()


@pytest.mark.parametrize("disabled, scenario", SAFEGUARDS)
def test_its_scenario_passes_with_it(disabled, scenario):
    scenario()


def test_a_resubmission_does_not_start_before_the_old_run_has_ended(monkeypatch):
    """Without the wait for a withdrawn run, the resubmission runs beside it."""

    def scenario() -> World:
        world = settled()
        test_faults.long_tasks(world)
        world.submit("entry0", "r1", job("j1", count=1))
        world.run(ms(50))
        world.silent_workers.add("side0")
        world.close_request("entry0", "r1")
        world.submit("entry0", "r2", job("j1", count=1), ms(9000))
        world.run(ms(5000))
        assert world.end_of("r2") is JobEnd.COMPLETED
        return world

    assert not scenario().violations
    choose = assignment._choose

    def careless(state, progress, task, search):
        state.withdrawn.pop(task.id, None)
        return choose(state, progress, task, search)

    monkeypatch.setattr(assignment, "_choose", careless)
    assert scenario().violations
