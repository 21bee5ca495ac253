"""Weighted fair queueing between teams."""

from collections import Counter

from hypothesis import given, strategies as st

from gypsumspoke.core.fair_queue import (
    discard,
    new_fair_queue,
    peek,
    pop,
    push,
    requeue,
)

COST = 0.2


def filled(teams):
    queue = new_fair_queue()
    for team, weight, count in teams:
        for number in range(count):
            push(queue, team, weight, COST, (team, number))
    return queue


def test_a_team_with_ten_times_the_load_gets_no_more_than_its_share():
    queue = filled([("loud", 1.0, 100), ("quiet", 1.0, 10)])
    first = [pop(queue)[0] for _ in range(20)]
    assert Counter(first) == {"loud": 10, "quiet": 10}


def test_shares_follow_weights():
    queue = filled([("a", 3.0, 100), ("b", 1.0, 100)])
    first = Counter(pop(queue)[0] for _ in range(40))
    assert first["a"] == 30


def test_a_team_that_was_idle_gets_no_credit():
    queue = filled([("busy", 1.0, 50)])
    for _ in range(20):
        pop(queue)
    push(queue, "late", 1.0, COST, ("late", 0))
    push(queue, "late", 1.0, COST, ("late", 1))
    assert [pop(queue)[0] for _ in range(4)].count("late") == 2
    assert pop(queue)[0] == "busy"


def test_discard_returns_what_it_removed_and_keeps_the_rest_in_order():
    queue = filled([("a", 1.0, 3), ("b", 1.0, 3)])
    assert discard(queue, lambda item: item[0] == "a") == [("a", n) for n in range(3)]
    assert peek(queue) == ("b", 0)
    assert [pop(queue) for _ in range(4)] == [("b", 0), ("b", 1), ("b", 2), None]


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.05, 5)), max_size=60))
def test_each_item_is_popped_once_in_the_order_of_its_team(pushes):
    queue = new_fair_queue()
    for number, (team, cost) in enumerate(pushes):
        push(queue, team, 1.0, cost, (team, number))
    popped = [pop(queue) for _ in range(len(queue))]
    assert len(queue) == 0
    for team in "abc":
        mine = [number for name, number in popped if name == team]
        assert mine == [n for n, (name, _) in enumerate(pushes) if name == team]


def test_a_requeued_item_is_next_and_is_not_charged_again():
    queue = filled([("a", 1.0, 3), ("b", 1.0, 3)])
    refused = pop(queue)
    requeue(queue, refused[0], refused)
    assert pop(queue) == refused
    rest = [pop(queue) for _ in range(5)]
    assert Counter(team for team, _ in rest) == {"a": 2, "b": 3}
    assert rest[0][0] == "b"
