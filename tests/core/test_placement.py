"""Choice of executors by reported load and outcomes."""

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
NO_EXCLUSIONS = frozenset()


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
    chosen = choose_executor(state, SERVICE, NO_EXCLUSIONS, now)
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
def test_only_reachable_workers_of_the_service_other_than_the_own_are_chosen(name):
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


def test_tasks_wait_at_the_home_once_all_executors_are_full():
    state = placement(3)
    chosen = Counter(place(state) for _ in range(100))
    assert set(chosen) == {"w1-1", "w2-1", None}
    assert chosen["w1-1"] == chosen["w2-1"] == SLOTS
    finish(state, "w1-1")
    assert place(state) == "w1-1"


def test_a_higher_message_weight_queues_fewer_tasks_at_an_executor():
    strategy = STRATEGIES["expected_wait"]._replace(queue_share=0.5)
    eager = placement(2, strategy)
    assert Counter(place(eager) for _ in range(100))["w1-1"] == SLOTS * 3 // 2
    state = placement(2, strategy)
    policy = DEFAULT_POLICY._replace(message_weight=1.0, placement="")
    set_policy(state, policy)
    assert Counter(place(state) for _ in range(100))["w1-1"] == SLOTS


def test_the_faster_worker_is_preferred_while_it_has_free_slots():
    state = placement(3)
    update_load(state, "w1-1", load(mean=0.8), NOW)
    update_load(state, "w2-1", load(mean=0.2), NOW)
    chosen = [place(state) for _ in range(SLOTS)]
    assert set(chosen) == {"w2-1"}


def test_a_slow_worker_gets_nothing_while_a_better_one_is_about_to_be_free():
    """A slow worker is free because it is avoided; its tasks would delay whole jobs."""
    state = placement(4)
    for worker, mean in (("w1-1", 0.2), ("w2-1", 0.2), ("w3-1", 2.0)):
        update_load(state, worker, load(mean=mean), NOW)
    chosen = Counter(place(state) for _ in range(100))
    assert chosen["w3-1"] == 0
    record_outcome(state, "w1-1", Outcome.DONE, "", load(mean=0.2), None, NOW)
    assert place(state) == "w1-1"


def test_a_slow_worker_is_used_when_it_is_the_only_one():
    state = placement(2)
    update_load(state, "w1-1", load(mean=30.0), NOW)
    assert place(state) == "w1-1"


def test_tasks_of_other_homes_count_as_load():
    state = placement(3)
    update_load(state, "w1-1", load(running=SLOTS, queued=SLOTS, mean=0.2), NOW)
    update_load(state, "w2-1", load(mean=0.2), NOW)
    assert place(state) == "w2-1"


def test_one_task_may_go_to_an_executor_filled_by_other_homes():
    state = placement(2)
    update_load(state, "w1-1", load(running=SLOTS, queued=SLOTS), NOW)
    assert place(state) == "w1-1"
    assert place(state) is None


def test_an_executor_without_slots_gets_nothing():
    state = placement(2)
    update_load(state, "w1-1", load(slots=0), NOW)
    assert place(state) is None


def test_a_worker_that_hangs_is_no_longer_preferred():
    """A hung worker reports no run times, so its mean alone would stay good."""
    state = placement(3)
    for worker in ("w1-1", "w2-1"):
        record_placement(state, worker, NOW)
        finish(state, worker)
        record_placement(state, worker, NOW)
    later = NOW + timedelta(seconds=5)
    finish(state, "w2-1", now=later)
    assert [place(state, later) for _ in range(4)] == ["w2-1"] * 4


def test_a_worker_that_fails_everything_fast_is_ejected():
    """By run time or tasks in flight it would look best and attract all tasks."""
    state = placement(5)
    fail_until_ejected(state, "w1-1")
    assert ejected_executors(state) == {"w1-1"}
    assert "w1-1" not in {place(state) for _ in range(100)}


def test_when_all_fail_nobody_is_ejected():
    """Bad jobs fail on every worker; ejecting workers would only reduce capacity."""
    state = placement(5)
    for _ in range(10):
        for worker in ("w1-1", "w2-1", "w3-1", "w4-1"):
            record_placement(state, worker, NOW)
            finish(state, worker, Outcome.FAILED, 0.001)
    assert len(ejected_executors(state)) <= 1


def test_an_ejected_worker_gets_rarer_probes_until_it_is_reinstated():
    state = placement(5)
    fail_until_ejected(state, "w1-1")
    pauses = []
    last = now = NOW
    while len(pauses) < 4:
        now += timedelta(milliseconds=100)
        if choose_executor(state, SERVICE, NO_EXCLUSIONS, now) == "w1-1":
            record_placement(state, "w1-1", now)
            finish(state, "w1-1", Outcome.FAILED, 0.001, now)
            pauses.append(now - last)
            last = now
    assert all(later > sooner for sooner, later in zip(pauses, pauses[1:]))
    while ejected_executors(state):
        now += timedelta(milliseconds=100)
        if choose_executor(state, SERVICE, NO_EXCLUSIONS, now) == "w1-1":
            record_placement(state, "w1-1", now)
            finish(state, "w1-1", now=now)
    assert now - last < timedelta(minutes=2)


def test_round_robin_takes_turns():
    state = placement(4, STRATEGIES["round_robin"])
    chosen = [place(state) for _ in range(6)]
    assert chosen[:3] == chosen[3:]
    assert len(set(chosen)) == 3


def test_the_expected_wait_follows_the_rate_at_which_slots_become_free():
    state = placement(3)
    record_placement(state, "w1-1", NOW)
    for worker in ("w1-1", "w2-1"):
        update_load(state, worker, load(running=1, mean=0.4), NOW)
    # All slots of w1 serve this home; at w2 it is expected to get half of them.
    rate = SLOTS / 0.4 + SLOTS / 0.4 / 2
    assert expected_wait(state, SERVICE, 40) == timedelta(seconds=40 / rate)


def test_slow_runs_of_the_past_do_not_keep_an_idle_home_from_accepting():
    """Otherwise the home would refuse every job and never observe faster runs."""
    state = placement(3)
    record_placement(state, "w1-1", NOW)
    finish(state, "w1-1", seconds=60.0)
    update_load(state, "w2-1", load(mean=60.0), NOW)
    assert expected_wait(state, SERVICE, 130) == timedelta(0)
    assert expected_run(state, SERVICE) < timedelta(seconds=1)
    record_placement(state, "w1-1", NOW)
    assert expected_run(state, SERVICE) > timedelta(seconds=10)
