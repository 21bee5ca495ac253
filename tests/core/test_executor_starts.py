"""Tests of the executor: starts, refusals and records."""

from datetime import datetime, timedelta, timezone

from gypsumspoke.core import executor, executor_state
from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import Send, StartUpstream
from gypsumspoke.core.events import PartitionsChanged, Received, UpstreamAnswered
from gypsumspoke.core.messages import (
    AskAttempt,
    CloseJob,
    Fence,
    FenceAck,
    FenceRefused,
    StartTask,
    TaskOutcome,
)
from gypsumspoke.core.values import AttemptId, JobKey, Outcome

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
PARTITION = 3
HOME = "home"


def new_executor(slots=1):
    state = executor.new_executor("self", "estimate", slots)
    executor.reduce(state, PartitionsChanged(()), NOW)
    return state


def start_of(task, epoch=1, number=1, key="k"):
    return StartTask(
        AttemptId(JobKey("team", key), task, number, epoch),
        PARTITION,
        0,
        NOW,
        b"digest",
        5,
        "estimate",
        NOW + timedelta(seconds=10),
        False,
        b"body",
    )


def receive(state, message, sender=HOME, now=NOW):
    return executor.reduce(state, Received(sender, message), now)


def starts(effects):
    return [effect for effect in effects if isinstance(effect, StartUpstream)]


def sent(effects, kind):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, kind)
    ]


def test_a_task_starts_once_although_its_message_comes_twice():
    state = new_executor(slots=2)
    assert len(starts(receive(state, start_of(0)))) == 1
    assert not starts(receive(state, start_of(0)))
    assert not starts(receive(state, start_of(0, number=2)))


def test_nothing_starts_before_the_map_was_read():
    """A joining executor can't distinguish a replaced home from a current one yet."""
    state = executor.new_executor("self", "estimate", 1)
    effects = receive(state, start_of(0))
    assert not starts(effects)
    (outcome,) = sent(effects, TaskOutcome)
    assert outcome.reason == RetryReason.EXECUTOR_JOINING.value


def test_a_fence_drops_the_former_homes_waiting_tasks():
    """A queued task is not acknowledged as started, so the next home may start it."""
    state = new_executor()
    receive(state, start_of(0))
    receive(state, start_of(1, number=2))
    effects = receive(state, Fence(PARTITION, 2), sender="next")
    (ack,) = sent(effects, FenceAck)
    assert [record.attempt.task for record in ack.started] == [0]
    done = UpstreamAnswered(start_of(0).attempt, Outcome.DONE, b"", "")
    assert not starts(executor.reduce(state, done, NOW))


def test_an_attempt_answered_never_seen_does_not_start_later():
    """After "not run" the home places the task elsewhere, so it would start twice."""
    state = new_executor()
    start = start_of(0)
    (outcome,) = sent(receive(state, AskAttempt(start.attempt, PARTITION)), TaskOutcome)
    assert outcome.outcome is Outcome.NOT_RUN
    assert not starts(receive(state, start))


def test_a_lower_epoch_is_refused_with_the_highest_epoch():
    state = new_executor()
    receive(state, Fence(PARTITION, 5), sender="next")
    (outcome,) = sent(receive(state, start_of(0, epoch=4)), TaskOutcome)
    assert outcome.reason == RetryReason.STALE_EPOCH.value
    (refused,) = sent(receive(state, Fence(PARTITION, 4)), FenceRefused)
    assert refused.highest == 5
    assert sent(receive(state, CloseJob(PARTITION, 4, 1, ())), FenceRefused)


def test_an_attempt_of_which_no_byte_was_sent_may_start_elsewhere_but_not_here():
    state = new_executor()
    start = start_of(0)
    receive(state, start)
    not_run = UpstreamAnswered(
        start.attempt,
        Outcome.NOT_RUN,
        b"",
        RetryReason.UPSTREAM_REFUSED_CONNECTION.value,
    )
    (outcome,) = sent(executor.reduce(state, not_run, NOW), TaskOutcome)
    assert outcome.outcome is Outcome.NOT_RUN
    (ack,) = sent(receive(state, Fence(PARTITION, 1)), FenceAck)
    assert not ack.started
    assert not starts(receive(state, start))


def test_a_full_queue_answers_at_once():
    state = new_executor()
    receive(state, start_of(0))
    for task in range(1, 1 + executor_state.DEFAULT_QUEUE_LIMIT):
        assert not sent(receive(state, start_of(task)), TaskOutcome)
    (outcome,) = sent(receive(state, start_of(9)), TaskOutcome)
    assert outcome.reason == RetryReason.EXECUTOR_QUEUE_FULL.value


def test_failed_tasks_do_not_make_a_worker_look_fast():
    state = new_executor()
    receive(state, start_of(0))
    failed = UpstreamAnswered(start_of(0).attempt, Outcome.FAILED, b"", "")
    executor.reduce(state, failed, NOW + timedelta(milliseconds=1))
    assert executor_state.load(state).mean_run is None
