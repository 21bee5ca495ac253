"""Homes and executors together: normal operation and edge cases."""

from datetime import timedelta

from gypsumspoke.core.counters import Counter
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.values import Outcome
from tests.core.system import settled_system


def test_every_partition_gets_an_owner():
    system = settled_system(workers=3, partitions=8)
    assert len(system.table.read("partitions/")) == 8


def test_a_job_is_answered_with_all_results_in_order():
    system = settled_system()
    submission = system.submission("k", tasks=5)
    system.submit(submission)
    system.run(1)
    (answer,) = system.answers(submission.key)
    assert answer.kind is None
    assert answer.results == (b"ok:x0", b"ok:x1", b"ok:x2", b"ok:x3", b"ok:x4")
    assert set(system.starts(submission.key).values()) == {1}


def test_a_home_places_nothing_on_its_own_worker():
    system = settled_system()
    for number in range(20):
        system.submit(system.submission(f"k{number}"))
    system.run(2)
    assert len(system.started) == 40
    for start in system.started:
        assert not system.owner(start.key).startswith(start.worker + ".")


def test_resubmissions_attach_to_the_running_job_or_get_its_answer():
    system = settled_system()
    system.hold_upstreams = True
    submission = system.submission("k")
    system.submit(submission)
    system.submit(submission)
    system.run(0.5)
    system.hold_upstreams = False
    system.run(0.5)
    system.submit(submission)
    system.run(0.5)
    answers = system.answers(submission.key)
    assert len(answers) == 3
    assert len(set(answers)) == 1
    assert set(system.starts(submission.key).values()) == {1}
    assert system.counts[Counter.ATTACHED_TO_RUNNING] == 1
    assert system.counts[Counter.ANSWERED_FROM_KEPT] == 1


def test_a_used_key_with_another_body_is_refused():
    system = settled_system()
    system.submit(system.submission("k"))
    system.run(1)
    other = system.submission("k", body=b"y")
    system.submit(other)
    system.run(1)
    assert system.answers(other.key)[-1].kind is ErrorKind.KEY_REUSED


def test_a_failed_task_fails_the_whole_job():
    system = settled_system()
    system.hold_upstreams = True
    submission = system.submission("k", tasks=1)
    system.submit(submission)
    system.run(0.5)
    system.finish_upstreams(Outcome.FAILED)
    system.run(0.5)
    (answer,) = system.answers(submission.key)
    assert answer.kind is ErrorKind.TASK_FAILED
    assert answer.work is Work.RAN
    assert answer.results == ()


def test_a_key_older_than_the_retention_never_starts():
    system = settled_system()
    old = system.submission("k", birth=system.now - timedelta(hours=1))
    system.submit(old)
    system.run(1)
    assert system.answers(old.key)[0].kind is ErrorKind.KEY_EXPIRED
    assert not system.started


def test_a_job_cancelled_before_its_start_runs_with_a_higher_attempt():
    system = settled_system()
    system.hold_upstreams = True
    for number in range(10):
        system.submit(system.submission(f"fill{number}", tasks=2))
    last = system.submission("k", tasks=1)
    system.submit(last)
    system.run(0.3)
    system.cancel(last.key)
    system.run(1)
    answer = system.answers(last.key)[0]
    assert answer.kind is ErrorKind.CANCELLED
    assert answer.work is Work.NOT_RUN
    assert not system.starts(last.key)
    system.hold_upstreams = False
    system.submit(last)
    system.submit(last._replace(attempt=answer.next_attempt))
    system.run(3)
    assert set(system.starts(last.key).values()) == {1}
    kinds = [answer.kind for answer in system.answers(last.key)]
    assert kinds[-1] is None
    assert ErrorKind.ALREADY_REFUSED in kinds


def test_a_home_that_lost_a_partition_stops_tracking_its_attempts():
    """Attempts of a lost partition must not occupy executors' slots for ever.

    Their outcomes are sent to the next home.
    """
    system = settled_system(workers=4, partitions=1)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=4)
    system.submit(submission)
    system.run(0.5)
    former = system.owner(submission.key)
    system.pause(former)
    system.run(3)
    system.resume(former)
    system.run(1)
    in_flight = system.nodes[former].state.home.in_flight
    assert not any(in_flight.values())


def test_slow_tasks_do_not_make_a_home_refuse_all_jobs_for_ever():
    """Run times observed while the upstreams hung must not refuse every later job."""
    system = settled_system(partitions=1)
    system.hold_upstreams = True
    system.submit(system.submission("slow", tasks=4))
    system.run(15)
    system.hold_upstreams = False
    system.run(1)
    hasty = system.submission("k")
    hasty = hasty._replace(deadline=system.now + timedelta(seconds=5))
    system.submit(hasty)
    system.run(2)
    assert system.answers(hasty.key)[0].kind is None


def test_a_caller_that_does_not_wait_gets_one_answer():
    """It gets JOB_RUNNING at once, and the kept answer when it resubmits."""
    system = settled_system()
    submission = system.submission("k")
    system.submit(submission, wait=False)
    system.run(1)
    assert [a.kind for a in system.answers(submission.key)] == [ErrorKind.JOB_RUNNING]
    system.submit(submission)
    system.run(0.5)
    assert system.answers(submission.key)[-1].kind is None
