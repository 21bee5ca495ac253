"""Homes that die, pause, leave and take over.

Each test tells one history. The system of reducers is driven in virtual time; who gets
which message when is the test's choice.
"""

from datetime import timedelta

from gypsumspoke.core.counters import Counter
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.events import ManifestChanged, Received
from gypsumspoke.core.messages import Handoff, Remember, StartTask
from gypsumspoke.core.values import AttemptId
from tests.core.system import MANIFEST, POLICY, System, settled_system

TAKEN_OVER = 3.0


def test_a_job_is_resumed_by_the_next_home_without_a_second_start():
    """The caller sees one complete answer, a few seconds later than usual.

    Its home is killed while some tasks run and others wait. The next home fences the
    executors, learns of the starts, and on the resubmission starts only the rest.
    """
    system = settled_system(workers=4)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=12)
    system.submit(submission)
    system.run(0.5)
    started_before = len(system.started)
    assert 0 < started_before < 12
    system.kill(system.owner(submission.key))
    system.hold_upstreams = False
    system.run(TAKEN_OVER)
    system.submit(submission)
    system.run(2)
    (answer,) = system.answers(submission.key)
    assert answer.kind is None
    assert len(answer.results) == 12
    assert set(system.starts(submission.key).values()) == {1}
    assert system.counts[Counter.JOB_RESUMED] == 1


def test_a_task_whose_executor_died_is_not_tried_elsewhere():
    """The caller is told "unknown": the task may have run.

    The executor was killed and replaced; no other one speaks for it.
    """
    system = settled_system(workers=4)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=6)
    system.submit(submission)
    system.run(0.5)
    lost = next(name for name, node in system.nodes.items() if node.running)
    system.kill(lost)
    system.join(lost.partition(".")[0])
    system.hold_upstreams = False
    system.run(5)
    (answer,) = system.answers(submission.key)
    assert (answer.kind, answer.work) == (ErrorKind.WORKER_LOST, Work.UNKNOWN)
    assert set(system.starts(submission.key).values()) == {1}
    home = system.nodes[system.owner(submission.key)].state.home
    assert not home.in_flight and not home.inquiries


def test_tries_of_an_ended_job_at_an_executor_that_died_are_forgotten():
    """A home that keeps them grows with each executor that ends."""
    system = settled_system(workers=4)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=6)
    system.submit(submission)
    system.run(0.5)
    lost = next(name for name, node in system.nodes.items() if node.running)
    system.pause(lost)
    system.cancel(submission.key)
    system.run(1)
    assert system.answers(submission.key)
    system.kill(lost)
    system.join(lost.partition(".")[0])
    system.hold_upstreams = False
    system.run(2)
    home = system.nodes[system.owner(submission.key)].state.home
    assert not home.in_flight and not home.inquiries


def test_a_finished_job_is_answered_by_the_next_home_from_executors_records():
    """The caller resubmits a job that it got no answer for, and gets the answer.

    All tasks ran, then the home died with its ledger. The executors kept the results.
    """
    system = settled_system(workers=4)
    submission = system.submission("k", tasks=3)
    system.submit(submission)
    system.run(1)
    system.kill(system.owner(submission.key))
    system.run(TAKEN_OVER)
    system.submit(submission)
    system.run(1)
    first, second = system.answers(submission.key)
    assert first == second
    assert set(system.starts(submission.key).values()) == {1}


def test_a_paused_home_that_wakes_starts_nothing():
    """The caller resubmits through another entry while its home is paused.

    The home pauses with tasks waiting. The next home runs the job. The first one wakes
    and tries to place the rest: each executor refuses its epoch.
    """
    system = settled_system(workers=4)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=12)
    system.submit(submission)
    system.run(0.5)
    former = system.owner(submission.key)
    system.pause(former)
    system.hold_upstreams = False
    system.run(TAKEN_OVER)
    system.submit(submission)
    system.run(1)
    system.resume(former)
    system.submit(submission, to=former)
    system.run(2)
    assert set(system.starts(submission.key).values()) == {1}
    complete = [a for a in system.answers(submission.key) if a.kind is None]
    assert len(complete) == 1


def test_a_paused_home_that_wakes_does_not_say_not_run():
    """A copy that reaches the former home must not be told "not run" wrongly.

    The home pauses, the next one takes over and runs a key born later. The first home
    wakes, doesn't know of its replacement, and has no worker for the copy's service.
    Its refusal needs an executor's confirmation, which none gives.
    """
    system = settled_system(workers=4)
    former = system.owner(system.submission("k").key)
    system.pause(former)
    system.run(TAKEN_OVER + 3)
    submission = system.submission("k")
    system.submit(submission)
    system.run(1)
    assert set(system.starts(submission.key).values()) == {1}
    # It wakes before any news of the takeover.
    node = system.nodes[former]
    node.backlog.clear()
    node.paused = False
    system.submit(submission._replace(service="other"), to=former)
    system.deliver_all()
    system.run(2)
    for answer in system.answers(submission.key):
        assert answer.work is not Work.NOT_RUN


def test_a_key_refused_before_a_takeover_stays_refused_after_it():
    """A copy delayed on the way comes to the next home after "not run" was said.

    The first home refused the key and died with that knowledge. The next one can't
    know, so it refuses every unknown key born before, and gives out an attempt number
    above all that its predecessor could have given out.
    """
    system = settled_system(workers=4)
    system.hold_upstreams = True
    for number in range(12):
        system.submit(system.submission(f"fill{number}"))
    refused = system.submission("k", tasks=1)
    system.submit(refused)
    system.run(0.3)
    system.cancel(refused.key)
    system.run(1)
    first = system.answers(refused.key)[0]
    assert first.work is Work.NOT_RUN
    system.kill(system.owner(refused.key))
    system.hold_upstreams = False
    system.run(TAKEN_OVER)
    system.submit(refused)
    system.submit(refused._replace(attempt=first.next_attempt))
    system.run(1)
    assert not system.starts(refused.key)
    last = system.answers(refused.key)[-1]
    assert last.kind is ErrorKind.BORN_BEFORE_TAKEOVER
    system.submit(refused._replace(attempt=last.next_attempt))
    system.run(1)
    assert set(system.starts(refused.key).values()) == {1}
    assert system.answers(refused.key)[-1].kind is None


def test_two_deaths_in_a_row_lose_no_start():
    """H1 dies, H2 takes over and dies too before the retention is over.

    H2's executor held a start that H1 had placed there. H2 told it to another executor
    when it took over, so H3 knows it and answers the resubmission without a start.
    """
    system = settled_system(workers=5, partitions=1)
    submissions = [system.submission(f"k{number}", tasks=4) for number in range(6)]
    for submission in submissions:
        system.submit(submission)
    system.run(2)
    key = submissions[0].key
    first = system.owner(key)
    system.kill(first)
    system.run(TAKEN_OVER)
    second = system.owner(key)
    assert second != first
    assert any(start.worker == second.split(".")[0] for start in system.started)
    system.kill(second)
    system.join(first.split(".")[0])
    system.run(TAKEN_OVER + 1)
    assert system.owner(key) not in (first, second)
    for submission in submissions:
        system.submit(submission)
    system.run(2)
    for submission in submissions:
        assert set(system.starts(submission.key).values()) == {1}


def test_a_death_before_the_records_were_told_makes_old_keys_unknown():
    """H2 takes over from H1 and dies before it could tell what its executor held.

    The caller of a job that H1 had run at H2's worker hears "unknown". "Not run" would
    be wrong: the only record of the start died with H2.
    """
    system = settled_system(workers=4, partitions=1)
    submissions = [system.submission(f"k{number}", tasks=1) for number in range(8)]
    for submission in submissions:
        system.submit(submission)
    system.run(1)
    first = system.owner(submissions[0].key)
    system.is_lost = lambda message: (
        isinstance(message, Remember) and not message.source.startswith(first)
    )
    system.kill(first)
    system.run(TAKEN_OVER)
    second = system.owner(submissions[0].key)
    lost = [s for s in system.started if second.startswith(s.worker + ".")]
    assert lost
    # The second home learns that the first one is gone, tells on what that one knew,
    # and dies before it could give the partition back to the first one's worker.
    system.join(first.split(".")[0])
    system.is_lost = lambda message: (
        isinstance(message, Handoff)
        or isinstance(message, Remember)
        and not message.source.startswith(first)
    )
    while not system.counts[Counter.HANDOFF_SENT]:
        system.run(0.1)
    system.kill(second)
    system.run(TAKEN_OVER + 1)
    for submission in submissions:
        system.submit(submission)
    system.run(1)
    for start in lost:
        assert system.answers(start.key)[-1].work is Work.UNKNOWN


def test_what_an_owner_told_does_not_cover_later_starts():
    """H2 told its records when it took over, then gave the partition to H3.

    H3 places a job on H2's worker, and both workers die. A third executor still holds
    what H2 told as owner; it must not pass for all that H2's executor ever started, or
    the job's resubmission would be told "not run".
    """
    system = settled_system(workers=4, partitions=1)
    first = system.owner(system.submission("k").key)
    system.kill(first)
    system.run(TAKEN_OVER)
    second = system.owner(system.submission("k").key)
    system.join(first.split(".")[0])
    system.run(TAKEN_OVER)
    third = system.owner(system.submission("k").key)
    assert third not in (first, second)
    born = system.now
    for number in range(8):
        system.submit(system.submission(f"k{number}", tasks=1, birth=born))
    system.run(1)
    lost = [s for s in system.started if second.startswith(s.worker + ".")]
    assert lost
    for name in (second, third):
        system.kill(name)
    for name in (second, third):
        system.join(name.split(".")[0])
    system.run(TAKEN_OVER + 1)
    for start in lost:
        system.submit(system.submission(start.key.key, tasks=1, birth=born))
    system.run(1)
    for start in lost:
        assert system.answers(start.key)[-1].work is Work.UNKNOWN


def test_an_executor_lost_while_a_handed_partition_waits_is_told_on_in_full():
    """A home hands over; while the next one waits for a fence, two executors die.

    One had answered the fence with a start, the other had not. Both are replaced, the
    partition is served, and its home dies too. The job on the first must not be told
    "not run", and a job on the second must not be started again.
    """
    system = settled_system(workers=5, partitions=1)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=8)
    system.submit(submission)
    system.run(0.5)
    home = system.owner(submission.key)
    workers = sorted({start.worker for start in system.started})
    silent, answering = (f"{worker}.1" for worker in workers[:2])
    system.pause(silent)
    system.drain(home)
    system.run(1)
    assert system.owner(submission.key) != home
    system.kill(silent)
    system.kill(answering)
    for worker in workers[:2]:
        system.join(worker)
    system.run(TAKEN_OVER)
    system.hold_upstreams = False
    system.kill(system.owner(submission.key))
    system.run(TAKEN_OVER + 1)
    system.join("more")
    system.run(1)
    system.submit(submission)
    system.run(3)
    assert set(system.starts(submission.key).values()) == {1}
    for answer in system.answers(submission.key):
        assert answer.work is not Work.NOT_RUN


def test_a_key_born_ahead_of_the_next_homes_clock_stays_refused():
    """A caller whose clock runs ahead is refused; its late copy must not run.

    The first home's clock runs ahead too, so it took the birth. The next home's clock
    shows a time before that birth when it takes over.
    """
    system = settled_system(workers=4, partitions=1)
    former = system.owner(system.submission("k").key)
    system.nodes[former].offset = timedelta(seconds=0.9)
    system.hold_upstreams = True
    for number in range(10):
        system.submit(system.submission(f"fill{number}"))
    born = system.now + timedelta(seconds=2.1)
    refused = system.submission("k", tasks=1, birth=born)
    system.run(0.3)
    system.submit(refused)
    system.cancel(refused.key)
    system.run(0.2)
    assert system.answers(refused.key)[0].work is Work.NOT_RUN
    system.kill(former)
    system.hold_upstreams = False
    while system.owner(refused.key) == former:
        system.run(0.1)
    system.run(0.2)
    assert system.now < born
    system.submit(refused)
    system.run(1)
    assert not system.starts(refused.key)


def test_keys_whose_records_were_lost_are_unknown():
    """The caller is told "unknown", which is true, and never gets a second start.

    The only executor that knew a job dies together with the job's home, and both
    workers are replaced. Nobody is left who knows whether the key ran.
    """
    system = settled_system(workers=3, partitions=1)
    submission = system.submission("k", tasks=1)
    system.submit(submission)
    system.run(1)
    home = system.owner(submission.key)
    worker = system.started[0].worker
    system.kill(home)
    system.kill(f"{worker}.1")
    system.join(home.split(".")[0])
    system.join(worker)
    system.run(TAKEN_OVER + 2)
    system.submit(submission)
    system.run(2)
    assert system.answers(submission.key)[-1].work is Work.UNKNOWN
    assert set(system.starts(submission.key).values()) == {1}
    later = system.submission("later", tasks=1, birth=system.now)
    system.submit(later)
    system.run(2)
    assert system.answers(later.key)[-1].kind is None


def test_a_home_tells_on_what_a_lost_executor_knew():
    """An executor dies and is replaced; later the home dies as well.

    The home had told the executor's starts to another one, so the next home knows
    that the key ran, and unknown keys are served at once.
    """
    system = settled_system(workers=4, partitions=1)
    submission = system.submission("k", tasks=1)
    system.submit(submission)
    system.run(1)
    worker = system.started[0].worker
    system.kill(f"{worker}.1")
    system.join(worker)
    system.run(3)
    system.kill(system.owner(submission.key))
    system.run(TAKEN_OVER + 2)
    system.submit(submission)
    system.run(1)
    assert set(system.starts(submission.key).values()) == {1}
    assert system.answers(submission.key)[-1].work is Work.RAN
    assert not system.counts[ErrorKind.RECORDS_LOST]


def test_while_an_executor_does_not_answer_its_keys_are_unknown():
    """The caller is told to come back; nothing starts on both sides of a cut.

    A home dies, and an executor that can't be reached may still serve the old side.
    Only its replacement's registration, or its answer, ends the doubt.
    """
    system = settled_system(workers=4, partitions=1)
    home = system.owner(system.submission("k").key)
    silent = next(name for name in system.nodes if name != home)
    system.kill(home)
    system.pause(silent)
    system.run(TAKEN_OVER)
    submission = system.submission("k")
    system.submit(submission)
    system.run(3)
    (answer,) = system.answers(submission.key)
    assert answer.kind is ErrorKind.TAKEOVER_IN_PROGRESS
    assert answer.work is Work.UNKNOWN
    assert not system.started
    system.resume(silent)
    system.run(3)
    system.submit(submission._replace(birth=system.now))
    system.run(1)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_joining_executor_between_claim_and_read_refuses_the_former_home():
    """A worker joins while a takeover has written its claim but not read the members.

    The former home, paused and woken, knows the new worker and places a task there.
    The worker registered first and read the map second, so it knows the new epoch.
    """
    system = settled_system(workers=4, partitions=1)
    submission = system.submission("k", tasks=2)
    former = system.owner(submission.key)
    system.pause(former)
    system.run(TAKEN_OVER)
    joined = system.join("new")
    system.run(1)
    node = system.nodes[joined]
    epoch = 1
    home = system.nodes[former].state.home
    assert home.takeover.owned[0].epoch == epoch
    system.resume(former)
    start = _start_of(submission, system, epoch)
    system.post(joined, Received(former, start))
    system.deliver_all()
    assert not node.running
    assert system.counts[Counter.REFUSED_BY_EPOCH] >= 1


def _start_of(submission, system, epoch):
    return StartTask(
        AttemptId(submission.key, 0, 999, epoch),
        0,
        0,
        submission.birth,
        submission.digest,
        2,
        submission.service,
        submission.deadline,
        False,
        b"x",
    )


def test_a_leaving_sidecar_hands_over_and_its_callers_notice_nothing():
    """A sidecar is stopped gracefully under load; a resubmission finds its answer.

    The home hands its ledger to the next one, the executor finishes and tells its
    records to another. No key is answered "unknown" or "not run".
    """
    system = settled_system(workers=4, partitions=4)
    early = [system.submission(f"k{number}", tasks=3) for number in range(8)]
    for submission in early:
        system.submit(submission)
    system.run(1)
    leaving = system.owner(early[0].key)
    system.drain(leaving)
    system.run(4)
    assert system.nodes[leaving].exited
    for submission in early:
        system.submit(submission)
    system.run(1)
    for submission in early:
        first, second = system.answers(submission.key)
        assert first == second and first.kind is None
        assert set(system.starts(submission.key).values()) == {1}
    fresh = system.submission("fresh")
    system.submit(fresh)
    system.run(1)
    assert system.answers(fresh.key)[0].kind is None


def test_a_rolling_restart_leaves_no_key_unknown():
    """Every sidecar is replaced in turn, and each old key still has its answer."""
    system = settled_system(workers=4, partitions=4)
    early = [system.submission(f"k{number}", tasks=3) for number in range(8)]
    for submission in early:
        system.submit(submission)
    system.run(1)
    for number in range(4):
        system.drain(system.current(f"w{number}"))
        system.run(4)
        assert system.nodes[system.current(f"w{number}")].exited
        system.join(f"w{number}")
        system.run(4)
    for submission in early:
        system.submit(submission)
    system.run(1)
    for submission in early:
        answers = system.answers(submission.key)
        assert len(set(answers)) == 1 and answers[0].kind is None
        assert set(system.starts(submission.key).values()) == {1}


def test_a_replaced_pair_that_wakes_starts_nothing():
    """A job runs at the next home; the former home and an executor wake as one.

    Both were paused together and replaced by the platform, so the next home counts the
    executor as gone and does not fence it. Awake again, the former home takes a copy
    and places it there. The executor noticed its pause and finds its row ended.
    """
    system = settled_system(workers=3, partitions=1)
    former = system.owner(system.submission("k").key)
    pair = [name for name in system.nodes if name != former][0]
    for name in (former, pair):
        system.pause(name)
        system.join(name.split(".")[0])
    system.run(TAKEN_OVER + 2)
    submission = system.submission("k", tasks=2)
    system.submit(submission)
    system.run(1)
    assert set(system.starts(submission.key).values()) == {1}
    for name in (former, pair):
        system.nodes[name].backlog.clear()
        system.nodes[name].paused = False
    system.table.is_down = True
    system.submit(submission, to=former)
    system.deliver_all()
    assert set(system.starts(submission.key).values()) == {1}
    system.table.is_down = False
    system.run(1)
    assert set(system.starts(submission.key).values()) == {1}


def test_a_longer_retention_brings_no_forgotten_key_back():
    """An operator shortens the retention and lengthens it again.

    A job's records were dropped in between. Its resubmission is as old as the longer
    retention allows, yet nobody knows any more whether it ran, not even the next home.
    """
    system = settled_system(workers=4, partitions=1)
    submission = system.submission("k", tasks=1)
    system.submit(submission)
    system.run(1)
    change_retention(system, timedelta(seconds=4))
    system.run(8)
    change_retention(system, timedelta(minutes=10))
    system.submit(submission)
    system.run(1)
    system.kill(system.owner(submission.key))
    system.run(TAKEN_OVER)
    system.submit(submission)
    system.run(1)
    kinds = [answer.kind for answer in system.answers(submission.key)]
    assert kinds == [None, ErrorKind.KEY_EXPIRED, ErrorKind.KEY_EXPIRED]
    assert set(system.starts(submission.key).values()) == {1}


def change_retention(system, retention):
    policy = POLICY._replace(retention=retention)
    manifest = MANIFEST._replace(policy=policy)
    for name in list(system.nodes):
        system.post(name, ManifestChanged(2, manifest))


def test_the_table_down_changes_nothing_for_owned_partitions():
    """Callers are served while the platform's table is down for long."""
    system = settled_system(workers=3, partitions=4)
    system.table.is_down = True
    system.run(30)
    submission = system.submission("k")
    system.submit(submission)
    system.run(1)
    assert system.answers(submission.key)[0].kind is None


def test_a_claim_whose_answer_was_lost_is_found_by_reading_back():
    """The table took the claim and its answer was lost; the partition is served."""
    system = System(workers=3, partitions=2)
    system.run(0.9)
    system.table.answers_to_lose = 2
    system.run(4)
    submission = system.submission("k")
    system.submit(submission)
    system.run(1)
    assert system.answers(submission.key)[0].kind is None


def test_a_replaced_home_does_not_tell_on_what_its_successor_placed():
    """A home is paused; its successor runs a job on a third worker. Both die.

    The first home wakes before it hears of its replacement, sees the third worker's row
    end, and tells another executor all that it knows of that worker's starts. The job
    is not among them. Taken for complete, the job would be told "not run".
    """
    system = settled_system(workers=3, partitions=1)
    first = system.owner(system.submission("k").key)
    system.pause(first)
    system.run(TAKEN_OVER + 1)
    second = system.owner(system.submission("k").key)
    assert second != first
    submission = system.submission("k", tasks=1)
    system.submit(submission)
    system.run(1)
    worker = system.started[0].worker
    system.kill(second)
    system.kill(f"{worker}.1")
    system.nodes[first].paused = False
    system.nodes[first].backlog.clear()
    system.join(second.split(".")[0])
    system.join(worker)
    system.run(TAKEN_OVER + 2)
    system.submit(submission)
    system.run(1)
    assert system.answers(submission.key)[-1].work is Work.UNKNOWN
