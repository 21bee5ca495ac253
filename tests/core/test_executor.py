"""Tests of the executor: announcements of its upstream."""

from datetime import datetime, timedelta, timezone

from gypsumspoke.core import executor, executor_state
from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import Send, StartUpstream
from gypsumspoke.core.events import (
    PartitionsChanged,
    Received,
    UpstreamAnnounced,
    UpstreamAnswered,
)
from gypsumspoke.core.messages import CloseJob, StartTask, TaskOutcome
from gypsumspoke.core.values import AttemptId, JobKey, Outcome

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
HOME = "home-1"
SERVICE = "estimate"
LEAVES = UpstreamAnnounced(SERVICE, 1, leaving=True)


def new_executor(slots=1):
    state = executor.new_executor("worker-1.a", SERVICE, slots)
    executor.reduce(state, PartitionsChanged(()), NOW)
    return state


def start(name):
    deadline = NOW + timedelta(seconds=5)
    attempt = AttemptId(JobKey("team", name), 0, 1, 1)
    return StartTask(attempt, 3, 0, NOW, b"", 1, SERVICE, deadline, False, b"1")


def receive(state, message):
    return executor.reduce(state, Received(HOME, message), NOW)


def started(effects):
    return [
        effect.attempt.key.key
        for effect in effects
        if isinstance(effect, StartUpstream)
    ]


def outcomes(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, TaskOutcome)
    ]


def test_a_leaving_upstream_finishes_running_tasks_and_gets_no_new_ones():
    """A queued task must be refused as not run, so that it runs elsewhere."""
    state = new_executor()
    assert started(receive(state, start("runs"))) == ["runs"]
    receive(state, start("waits"))
    (not_run,) = outcomes(executor.reduce(state, LEAVES, NOW))
    assert not_run.attempt.key.key == "waits"
    assert not_run.outcome is Outcome.NOT_RUN
    assert not_run.load.slots == 0
    (refused,) = outcomes(receive(state, start("later")))
    assert refused.reason == RetryReason.EXECUTOR_LEAVING.value
    ended = UpstreamAnswered(start("runs").attempt, Outcome.DONE, b"2", "")
    effects = executor.reduce(state, ended, NOW)
    assert [outcome.result for outcome in outcomes(effects)] == [b"2"]
    assert not started(effects)


def test_a_refused_attempt_never_starts_after_the_upstream_returns():
    state = new_executor()
    receive(state, start("runs"))
    receive(state, start("waits"))
    executor.reduce(state, LEAVES, NOW)
    executor.reduce(state, LEAVES._replace(slots=4, leaving=False), NOW)
    (refused,) = outcomes(receive(state, start("waits")))
    assert refused.reason == RetryReason.REFUSED_FOR_GOOD.value
    assert started(receive(state, start("new"))) == ["new"]


def test_more_slots_start_queued_tasks():
    state = new_executor()
    receive(state, start("runs"))
    receive(state, start("waits"))
    announced = UpstreamAnnounced(SERVICE, 2, leaving=False)
    assert started(executor.reduce(state, announced, NOW)) == ["waits"]
    assert executor_state.load(state).slots == 2


def test_records_are_kept_while_the_upstream_leaves():
    state = new_executor()
    executor.reduce(state, LEAVES, NOW)
    assert len(receive(state, CloseJob(3, 1, 7, ()))) == 1
