"""Runs on workers that leave are withdrawn, and their tasks placed again."""

from datetime import timedelta

import pytest

from gypsumspoke.core.effects import Count, Log, Send
from gypsumspoke.core.events import Received
from gypsumspoke.runs.leaving_workers import Outlook, decide, leaves_sooner
from gypsumspoke.runs.messages import WithdrawRun, WorkerReport
from gypsumspoke.runs.values import JobEnd, LeavingRun, TaskId, WorkerReady
from gypsumspoke.runs.worker_commands import HeartbeatArrived, StopCommand
from tests.runs.leaving_replay import play
from tests.runs.test_job_lifecycle import settled
from tests.runs.world import CAPACITY, SERVICE, START, TASK_TIME, Delivery, job, ms

# Longer than a worker that leaves in 500 ms has left.
LONG = ms(1500)
NOTICE = ms(500)
RUN_EXPIRY = ms(1160)
# Before the lease would end that an unanswered stop holds back.
EARLY = ms(400)
REPORT_INTERVAL = ms(160)


def report(stamp, leaves_in):
    """Return a report with this time left."""
    return WorkerReport(
        stamp=stamp,
        worker="w-1",
        service=SERVICE,
        labels=(),
        takes_work=False,
        clean=True,
        capacity=CAPACITY,
        free=CAPACITY,
        pace=1.0,
        failing=False,
        taken=0,
        leaves_in=leaves_in,
    )


def outlook(ends=1500, worker_ends=500, elsewhere=1000, was_withdrawn=False):
    """Return an outlook with these times in milliseconds."""
    return Outlook(
        ends_at=START + ms(ends),
        worker_ends_at=START + ms(worker_ends),
        loss_seen_at=START + ms(worker_ends) + RUN_EXPIRY,
        elsewhere_ends_at=None if elsewhere is None else START + ms(elsewhere),
        was_withdrawn=was_withdrawn,
    )


def world_with_long_run(count=1, **more):
    """Return a world in which side0 runs the tasks of a long job, and side1 is idle."""
    world = settled(entries=1, **more)
    for worker in world.workers.values():
        worker.run_time = lambda task: LONG
    world.drained_at["side1"] = world.now
    world.send_heartbeat("side1", WorkerReady.DRAINING)
    world.run(ms(10))
    world.submit("entry0", "r1", job("j1", count, LONG), ms(9000))
    world.run(ms(50))
    assert len(world.workers["side0"].running) == count
    del world.drained_at["side1"]
    world.send_heartbeat("side1")
    world.run(ms(10))
    return world


def end_early(world, count=None):
    """Let some or all of the runs on side0 be shorter than estimated."""
    running = world.workers["side0"].running
    for each in list(running.values())[:count]:
        running[each.run] = each._replace(run_time=EARLY)


def withdrawn(world):
    """Return the withdrawals that entries have sent."""
    return [
        effect.message.run
        for _, _, effect in world.log
        if isinstance(effect, Send) and isinstance(effect.message, WithdrawRun)
    ]


def counted(world, decision):
    return sum(
        effect.amount
        for _, _, effect in world.log
        if isinstance(effect, Count) and effect.what is decision
    )


# Decisions


@pytest.mark.parametrize(
    "previous, current, sooner",
    [
        (None, (0, None), False),
        (None, (0, 2000), True),
        ((0, None), (100, 2000), True),
        ((0, 2000), (100, 1900), False),
        ((0, 2000), (100, 1950), False),
        ((0, 2000), (100, 1899), True),
        ((0, 2000), (100, None), False),
        ((0, 50), (100, 0), False),
    ],
)
def test_runs_are_checked_when_a_worker_leaves_or_leaves_sooner(
    previous, current, sooner
):
    """Regular reports that only count down must not cost a check of all runs."""

    def made(times):
        stamp, left = times
        return report(ms(stamp), None if left is None else ms(left))

    earlier = None if previous is None else made(previous)
    assert leaves_sooner(made(current), earlier) is sooner


@pytest.mark.parametrize(
    "given, decision",
    [
        (outlook(), LeavingRun.WITHDRAWN),
        (outlook(ends=500), LeavingRun.ENDS_IN_TIME),
        (outlook(ends=501), LeavingRun.WITHDRAWN),
        (outlook(was_withdrawn=True), LeavingRun.MOVED_BEFORE),
        (outlook(ends=400, was_withdrawn=True), LeavingRun.ENDS_IN_TIME),
        (outlook(elsewhere=None), LeavingRun.NOT_SOONER),
        (outlook(elsewhere=1659), LeavingRun.WITHDRAWN),
        (outlook(elsewhere=1660), LeavingRun.NOT_SOONER),
    ],
)
def test_what_becomes_of_a_run(given, decision):
    assert decide(given) is decision


# Withdrawal and the second run


def test_a_run_that_would_be_lost_is_placed_again_at_once():
    """Without the withdrawal the loss is detected 1.16 s after the worker has gone."""
    world = world_with_long_run()
    noticed = world.now
    world.announce_leave("side0", NOTICE)
    world.run(ms(100))
    assert len(withdrawn(world)) == 1
    assert [run.number for run in world.workers["side1"].starts] == [2]
    world.run(LONG)
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert world.answered_at["r1"] - noticed < LONG + ms(100)
    assert not world.violations


def test_the_task_waits_for_the_end_of_the_withdrawn_run():
    """Its stop is lost for a while; a second run would be one too many."""
    world = world_with_long_run()
    world.hosts_ignoring_stops.add("side0")
    world.announce_leave("side0", NOTICE)
    world.run(ms(300))
    assert withdrawn(world) and world.workers["side0"].running
    assert not world.workers["side1"].starts
    world.hosts_ignoring_stops.clear()
    world.run(ms(300))
    assert world.workers["side1"].running
    world.run(LONG)
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert not world.violations


def test_each_task_of_a_job_waits_for_its_own_withdrawn_run_only():
    """Only the first task's stop is lost. The second must not wait for it, nor the
    first one start beside its old run.
    """
    world = world_with_long_run(count=2)
    first = TaskId("j1", 0, 0)

    def lose_stop(host, command):
        is_lost = isinstance(command, StopCommand) and command.run.task == first
        return Delivery(None, None) if is_lost else None

    world.delivery = lose_stop
    world.announce_leave("side0", NOTICE)
    world.run(ms(200))
    assert [run.task.index for run in world.workers["side1"].running] == [1]
    world.delivery = lambda host, command: None
    world.run(LONG + ms(500))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert not world.violations


def test_a_withdrawn_run_that_completes_after_all_is_not_repeated():
    """It was far shorter than estimated, and its stop is lost."""
    world = world_with_long_run()
    end_early(world)
    world.hosts_ignoring_stops.add("side0")
    world.announce_leave("side0", NOTICE)
    world.run(EARLY + ms(50))
    assert len(withdrawn(world)) == 1
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 1
    assert not world.processes["entry0"].state.waiting
    world.run(ms(2000))
    assert len(world.starts_of("j1")) == 1


def test_of_several_withdrawn_runs_only_the_incomplete_ones_are_repeated():
    world = world_with_long_run(count=2)
    end_early(world, count=1)
    world.hosts_ignoring_stops.add("side0")
    world.announce_leave("side0", NOTICE)
    world.run(EARLY)
    world.hosts_ignoring_stops.clear()
    world.run(LONG + ms(300))
    assert len(withdrawn(world)) == 2
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 3
    assert not world.violations


def test_a_withdrawn_run_does_not_count_as_a_failed_attempt():
    world = world_with_long_run()
    world.announce_leave("side0", NOTICE)
    world.run(ms(200))
    ((task,),) = world.processes["entry0"].state.jobs["j1"].tasks
    assert (task.number, task.failures) == (2, 0)


def test_a_withdrawn_run_that_fails_of_itself_counts_as_one():
    """A task that fails each time would else get an attempt more than its route has."""
    world = world_with_long_run()
    world.fails = lambda run: run.number == 1
    end_early(world)
    world.hosts_ignoring_stops.add("side0")
    world.announce_leave("side0", NOTICE)
    world.run(EARLY + ms(50))
    ((task,),) = world.processes["entry0"].state.jobs["j1"].tasks
    assert (task.number, task.failures) == (2, 1)
    world.run(LONG)
    assert world.end_of("r1") is JobEnd.COMPLETED


def test_a_task_is_withdrawn_at_most_once():
    """Else a job could be moved from worker to worker and never end."""
    world = world_with_long_run(sidecars=3)
    world.announce_leave("side0", NOTICE)
    world.run(ms(100))
    (second,) = (host for host in world.workers if world.workers[host].running)
    assert second != "side0"
    world.announce_leave(second, NOTICE)
    world.run(ms(100))
    assert len(withdrawn(world)) == 1
    assert counted(world, LeavingRun.MOVED_BEFORE) == 1
    world.run(LONG)
    assert world.end_of("r1") is JobEnd.COMPLETED


def test_a_job_with_a_withdrawn_run_is_not_refused_as_not_run():
    """A caller may run such a job elsewhere at once, beside what has run here."""
    world = world_with_long_run()
    world.announce_leave("side0", NOTICE)
    world.run(ms(2))
    world.drained_at["side1"] = world.now
    world.send_heartbeat("side1", WorkerReady.DRAINING)
    world.run(ms(9100))
    assert len(world.starts_of("j1")) == 1
    assert world.end_of("r1") is JobEnd.GIVEN_UP


def test_a_withdrawal_that_is_lost_with_its_connection_is_sent_again():
    world = world_with_long_run()
    world.announce_leave("side0", ms(1000))
    world.run(ms(1))
    world.heal("entry0", "side0")
    world.run(ms(400))
    assert len(withdrawn(world)) >= 2
    assert world.workers["side1"].running
    world.run(LONG)
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert not world.violations


def test_a_worker_that_leaves_earlier_than_it_said_loses_its_runs():
    """They are placed again once their loss is detected, as without a notice."""
    world = world_with_long_run()
    world.announce_leave("side0", ms(3000))
    world.run(ms(100))
    assert not withdrawn(world)
    world.power_off("side0")
    world.crash_worker("side0")
    world.run(ms(4000))
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert not world.violations


def test_a_notice_without_a_time_withdraws_nothing():
    """A worker of an earlier platform lets its runs end."""
    world = world_with_long_run()
    world.drained_at["side0"] = world.now
    world.send_heartbeat("side0", WorkerReady.DRAINING)
    world.run(LONG + ms(100))
    assert not withdrawn(world)
    assert world.end_of("r1") is JobEnd.COMPLETED


def test_a_shorter_time_left_is_checked_again():
    world = world_with_long_run()
    world.announce_leave("side0", ms(3000))
    world.run(ms(300))
    assert not withdrawn(world)
    world.announce_leave("side0", NOTICE)
    world.run(REPORT_INTERVAL)
    assert len(withdrawn(world)) == 1


def test_a_run_stays_where_no_other_worker_is_open():
    world = world_with_long_run(sidecars=2)
    world.drained_at["side1"] = world.now
    world.send_heartbeat("side1", WorkerReady.DRAINING)
    world.run(ms(10))
    world.announce_leave("side0", NOTICE)
    world.run(ms(100))
    assert not withdrawn(world)
    assert counted(world, LeavingRun.NOT_SOONER) == 1


def test_a_task_that_waits_for_a_withdrawn_run_holds_up_no_other_work():
    """More jobs than a placing round may miss wait for withdrawn runs here."""
    world = settled(entries=1)
    world.workers["side0"].run_time = lambda task: LONG
    world.workers["side0"].rooms = lambda task: CAPACITY._replace(cpu=800)
    world.workers["side1"].rooms = lambda task: CAPACITY._replace(cpu=800)
    world.drained_at["side1"] = world.now
    world.send_heartbeat("side1", WorkerReady.DRAINING)
    world.run(ms(10))
    small = CAPACITY._replace(cpu=800, memory=64)
    for number in range(8):
        sent = job(f"j{number}", 1, LONG)
        steps = tuple(step._replace(room=small) for step in sent.steps)
        world.submit("entry0", f"r{number}", sent._replace(steps=steps), ms(9000))
    world.run(ms(50))
    del world.drained_at["side1"]
    world.send_heartbeat("side1")
    world.hosts_ignoring_stops.add("side0")
    world.announce_leave("side0", NOTICE)
    world.run(ms(20))
    assert len(withdrawn(world)) == 8
    world.submit("entry0", "last", job("last", 1))
    world.run(TASK_TIME + ms(50))
    assert world.end_of("last") is JobEnd.COMPLETED


def test_no_task_runs_twice_at_once_while_workers_of_a_fleet_leave():
    """With a notice of 1 s some long runs are expected to end after their worker."""
    outcome = play(2, True, sidecars=10, duration=ms(12_000), notice=ms(1000))
    assert outcome.decisions["withdrawn"] > 0
    assert not outcome.violations


def test_each_decision_is_counted_and_logged():
    world = world_with_long_run(count=2)
    world.submit("entry0", "r2", job("j2", 1))
    world.announce_leave("side0", NOTICE)
    world.run(ms(100))
    assert counted(world, LeavingRun.WITHDRAWN) == 2
    lines = [effect for _, _, effect in world.log if isinstance(effect, Log)]
    (leaving,) = (line for line in lines if line.event == "worker leaving")
    fields = dict(leaving.fields)
    assert (fields["withdrawn"], fields["ends_in_time"]) == (2, 0)
    assert timedelta() < ms(fields["leaves_in_ms"]) <= NOTICE
    each = [line for line in lines if line.event == "run withdrawn"]
    assert sorted(line.task for line in each) == [0, 1]
    assert dict(each[0].fields)["host"] == "side0"


@pytest.mark.parametrize("left", [timedelta(days=4_000_000), ms(-1)])
def test_an_absurd_time_left_is_ignored(left):
    """The sum of a time and such a duration ended the entry's process."""
    assert not leaves_sooner(report(ms(0), left), None)
    world = world_with_long_run()
    entry = world.processes["entry0"]
    view = next(v for v in entry.state.views.values() if v.host == "side0")
    spoiled = view.report._replace(leaves_in=left)
    world.post(entry, Received(view.incarnation, spoiled))
    assert not withdrawn(world)


def test_a_run_is_not_withdrawn_while_all_other_workers_are_full():
    """Its task would wait for room longer than the run may take: a worker often stays
    longer than it has to.
    """
    world = world_with_long_run()
    world.submit("entry0", "r2", job("j2", 3, LONG), ms(9000))
    world.run(ms(50))
    full = next(
        view
        for view in world.processes["entry0"].state.views.values()
        if view.host == "side1"
    )
    assert len(full.open_runs) == 2
    world.drained_at["side0"] = world.now
    state = WorkerReady.DRAINING
    leaving = world.processes["side0"].state.worker._replace(
        state=state, remaining=NOTICE, sequence=10_000
    )
    world.post(world.processes["side0"], HeartbeatArrived(leaving))
    world.run(REPORT_INTERVAL + ms(10))
    assert not withdrawn(world)
    assert counted(world, LeavingRun.NOT_SOONER) == 2
