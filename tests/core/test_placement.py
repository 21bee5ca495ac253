"""Choice of executors by what a home learned."""

from collections import Counter
from datetime import datetime, timedelta, timezone

import pytest

from gypsumspoke.core.placement import (
    STRATEGIES,
    choose_executor,
    ejected_executors,
    expected_run,
    expected_wait,
    is_service_registered,
    new_placement,
    record_outcome,
    record_placement,
    set_members,
    set_policy,
    update_load,
)
from gypsumspoke.core.policy import DEFAULT_POLICY
from gypsumspoke.core.values import Load, Member, Outcome, Role

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
SERVICE = "estimate"
SLOTS = 8
NOBODY = frozenset()


def member(worker, **changes):
    plain = Member(
        incarnation=f"{worker}-1",
        worker=worker,
        role=Role.SIDECAR,
        host="127.0.0.1",
        port=1,
        failure_domain="a",
        rack="r",
        service=SERVICE,
        slots=SLOTS,
        registered=NOW,
        ended=None,
        admin_port=2,
    )
    return plain._replace(**changes)


def placement(count=5, strategy=None):
    state = new_placement(1, strategy)
    members = [member(f"w{number}") for number in range(count)]
    reachable = frozenset(one.incarnation for one in members)
    set_members(state, members, reachable, "w0")
    return state


def load(running=0, queued=0, slots=SLOTS, mean=None):
    return Load(running, queued, slots, timedelta(seconds=mean) if mean else None)


def place(state, now=NOW):
    chosen = choose_executor(state, SERVICE, NOBODY, now)
    if chosen is not None:
        record_placement(state, chosen, now)
    return chosen


def finish(state, incarnation, outcome=Outcome.DONE, seconds=0.2, now=NOW):
    run = timedelta(seconds=seconds)
    return record_outcome(state, incarnation, outcome, "", load(), run, now)


def fail_until_ejected(state, incarnation):
    for _ in range(10):
        record_placement(state, incarnation, NOW)
        if finish(state, incarnation, Outcome.FAILED, 0.001):
            return
    pytest.fail("never ejected")


@pytest.mark.parametrize("name", STRATEGIES)
def test_only_reachable_fitting_workers_other_than_the_own_are_chosen(name):
    state = new_placement(1, STRATEGIES[name])
    members = [
        member("own"),
        member("ended", ended=NOW),
        member("other", service="invoice"),
        member("entry", role=Role.ENTRY),
        member("silent"),
        member("good"),
    ]
    reachable = frozenset(one.incarnation for one in members) - {"silent-1"}
    set_members(state, members, reachable, "own")
    assert {place(state) for _ in range(5)} == {"good-1"}
    assert choose_executor(state, SERVICE, frozenset({"good-1"}), NOW) is None
    assert is_service_registered(state, SERVICE)
    assert not is_service_registered(state, "nothing")


def test_tasks_wait_at_the_home_once_executors_are_full_by_its_count():
    state = placement(3)
    chosen = Counter(place(state) for _ in range(100))
    assert set(chosen) == {"w1-1", "w2-1", None}
    assert chosen["w1-1"] == chosen["w2-1"] == SLOTS
    finish(state, "w1-1")
    assert place(state) == "w1-1"


def test_the_more_messages_weigh_the_fewer_tasks_wait_at_an_executor():
    strategy = STRATEGIES["expected_wait"]._replace(queue_share=0.5)
    eager = placement(2, strategy)
    assert Counter(place(eager) for _ in range(100))["w1-1"] == SLOTS * 3 // 2
    state = placement(2, strategy)
    policy = DEFAULT_POLICY._replace(message_weight=1.0, placement="")
    set_policy(state, policy)
    assert Counter(place(state) for _ in range(100))["w1-1"] == SLOTS


def test_the_faster_worker_is_preferred_until_its_queue_eats_the_gain():
    state = placement(3)
    update_load(state, "w1-1", load(mean=0.8), NOW)
    update_load(state, "w2-1", load(mean=0.2), NOW)
    chosen = [place(state) for _ in range(SLOTS)]
    assert set(chosen) == {"w2-1"}


def test_a_straggler_gets_nothing_while_a_better_worker_is_about_to_be_free():
    """One worker of three takes ten times as long; the other two are full.

    The straggler is always free, because it is avoided, so each burst would put some
    task there and its whole job would wait. The task stays at the home instead, and
    goes out as soon as one of the others answers.
    """
    state = placement(4)
    for worker, mean in (("w1-1", 0.2), ("w2-1", 0.2), ("w3-1", 2.0)):
        update_load(state, worker, load(mean=mean), NOW)
    chosen = Counter(place(state) for _ in range(100))
    assert chosen["w3-1"] == 0
    record_outcome(state, "w1-1", Outcome.DONE, "", load(mean=0.2), None, NOW)
    assert place(state) == "w1-1"


def test_a_straggler_is_used_when_it_is_all_there_is():
    state = placement(2)
    update_load(state, "w1-1", load(mean=30.0), NOW)
    assert place(state) == "w1-1"


def test_tasks_of_other_homes_count():
    state = placement(3)
    update_load(state, "w1-1", load(running=SLOTS, queued=SLOTS, mean=0.2), NOW)
    update_load(state, "w2-1", load(mean=0.2), NOW)
    assert place(state) == "w2-1"


def test_one_task_may_go_to_an_executor_that_others_fill():
    state = placement(2)
    update_load(state, "w1-1", load(running=SLOTS, queued=SLOTS), NOW)
    assert place(state) == "w1-1"
    assert place(state) is None


def test_a_leaving_executor_gets_nothing():
    state = placement(2)
    update_load(state, "w1-1", load(slots=0), NOW)
    assert place(state) is None


def test_a_worker_that_hangs_loses_its_looks():
    """One worker of two stops answering while the other works on.

    It sends no run times, so its mean stays as good as it was. The home counts the
    time since it last answered, and so prefers the one that works.
    """
    state = placement(3)
    for worker in ("w1-1", "w2-1"):
        record_placement(state, worker, NOW)
        finish(state, worker)
        record_placement(state, worker, NOW)
    later = NOW + timedelta(seconds=5)
    finish(state, "w2-1", now=later)
    assert [place(state, later) for _ in range(4)] == ["w2-1"] * 4


def test_a_worker_that_fails_everything_fast_is_ejected():
    """One worker fails each task within a millisecond; the others take their time.

    Counted by run time or by tasks in flight it would look best and draw ever more
    tasks. Failures leave its mean alone and take it out after a few.
    """
    state = placement(5)
    fail_until_ejected(state, "w1-1")
    assert ejected_executors(state) == {"w1-1"}
    assert "w1-1" not in {place(state) for _ in range(100)}


def test_when_all_fail_nobody_is_ejected():
    """Bad jobs fail everywhere; ejecting would only shrink what is left."""
    state = placement(5)
    for _ in range(10):
        for worker in ("w1-1", "w2-1", "w3-1", "w4-1"):
            record_placement(state, worker, NOW)
            finish(state, worker, Outcome.FAILED, 0.001)
    assert len(ejected_executors(state)) <= 1


def test_an_ejected_worker_gets_single_probes_ever_rarer_and_comes_back():
    state = placement(5)
    fail_until_ejected(state, "w1-1")
    pauses = []
    last = now = NOW
    while len(pauses) < 4:
        now += timedelta(milliseconds=100)
        if choose_executor(state, SERVICE, NOBODY, now) == "w1-1":
            record_placement(state, "w1-1", now)
            finish(state, "w1-1", Outcome.FAILED, 0.001, now)
            pauses.append(now - last)
            last = now
    assert all(later > sooner for sooner, later in zip(pauses, pauses[1:]))
    while ejected_executors(state):
        now += timedelta(milliseconds=100)
        if choose_executor(state, SERVICE, NOBODY, now) == "w1-1":
            record_placement(state, "w1-1", now)
            finish(state, "w1-1", now=now)
    assert now - last < timedelta(minutes=2)


def test_round_robin_takes_turns():
    state = placement(4, STRATEGIES["round_robin"])
    chosen = [place(state) for _ in range(6)]
    assert chosen[:3] == chosen[3:]
    assert len(set(chosen)) == 3


def test_waiting_time_follows_the_rate_at_which_slots_come_free():
    state = placement(3)
    record_placement(state, "w1-1", NOW)
    for worker in ("w1-1", "w2-1"):
        update_load(state, worker, load(running=1, mean=0.4), NOW)
    # w1 has this home's task alone; at w2 the home can hope for half of the slots.
    rate = SLOTS / 0.4 + SLOTS / 0.4 / 2
    assert expected_wait(state, SERVICE, 40) == timedelta(seconds=40 / rate)


def test_slow_runs_of_the_past_do_not_keep_an_idle_home_from_accepting():
    """All runs took a minute while the workers were paused; now they are fast again.

    A home refuses a job whose expected time passes its deadline. If it went by those
    runs it would refuse every job, run nothing and never learn better.
    """
    state = placement(3)
    record_placement(state, "w1-1", NOW)
    finish(state, "w1-1", seconds=60.0)
    update_load(state, "w2-1", load(mean=60.0), NOW)
    assert expected_wait(state, SERVICE, 130) == timedelta(0)
    assert expected_run(state, SERVICE) < timedelta(seconds=1)
    record_placement(state, "w1-1", NOW)
    assert expected_run(state, SERVICE) > timedelta(seconds=10)
