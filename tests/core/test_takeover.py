"""Takeover after homes fail, pause or leave.

Each test runs a system of reducers in virtual time and controls message delivery.
"""

from datetime import timedelta

from gypsumspoke.core.claims import claim
from gypsumspoke.core.counters import Counter
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.events import ManifestChanged, Received
from gypsumspoke.core.messages import Handoff, Remember, StartTask
from gypsumspoke.core.values import AttemptId
from tests.core.system import MANIFEST, POLICY, System, settled_system

TAKEOVER_SECONDS = 3.0


def test_a_job_is_resumed_by_the_next_home_without_a_second_start():
    """A home fails while some tasks of a job run and others wait.

    The next home fences the executors and on resubmission starts only the rest.
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
    system.run(TAKEOVER_SECONDS)
    system.submit(submission)
    system.run(2)
    (answer,) = system.answers(submission.key)
    assert answer.kind is None
    assert len(answer.results) == 12
    assert set(system.starts(submission.key).values()) == {1}
    assert system.counts[Counter.JOB_RESUMED] == 1


def test_a_task_whose_executor_died_is_not_tried_elsewhere():
    """The task may have run at the failed executor, so the answer is "unknown"."""
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


def test_attempts_of_an_ended_job_at_a_dead_executor_are_dropped():
    """Guards against a leak of in-flight attempts with each executor that ends."""
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
    """The home fails with its ledger after all tasks ran; executors kept results."""
    system = settled_system(workers=4)
    submission = system.submission("k", tasks=3)
    system.submit(submission)
    system.run(1)
    system.kill(system.owner(submission.key))
    system.run(TAKEOVER_SECONDS)
    system.submit(submission)
    system.run(1)
    first, second = system.answers(submission.key)
    assert first == second
    assert set(system.starts(submission.key).values()) == {1}


def test_a_paused_home_that_wakes_starts_nothing():
    """A home resumes after its partition was taken over and places its waiting tasks.

    Executors must refuse its epoch.
    """
    system = settled_system(workers=4)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=12)
    system.submit(submission)
    system.run(0.5)
    former = system.owner(submission.key)
    system.pause(former)
    system.hold_upstreams = False
    system.run(TAKEOVER_SECONDS)
    system.submit(submission)
    system.run(1)
    system.resume(former)
    system.submit(submission, to=former)
    system.run(2)
    assert set(system.starts(submission.key).values()) == {1}
    complete = [a for a in system.answers(submission.key) if a.kind is None]
    assert len(complete) == 1


def test_a_paused_home_that_wakes_does_not_say_not_run():
    """A replaced home must not answer "not run" for a key that its successor ran.

    Its refusal needs an executor's confirmation of its epoch, which none gives.
    """
    system = settled_system(workers=4)
    former = system.owner(system.submission("k").key)
    system.pause(former)
    system.run(TAKEOVER_SECONDS + 3)
    submission = system.submission("k")
    system.submit(submission)
    system.run(1)
    assert set(system.starts(submission.key).values()) == {1}
    # It resumes before it can learn of the takeover.
    node = system.nodes[former]
    node.backlog.clear()
    node.paused = False
    system.submit(submission._replace(service="other"), to=former)
    system.deliver_all()
    system.run(2)
    for answer in system.answers(submission.key):
        assert answer.work is not Work.NOT_RUN


def test_a_key_refused_before_a_takeover_stays_refused_after_it():
    """A delayed request reaches the next home after the first one answered "not run".

    The refusal was lost with the first home, so the next one refuses unknown keys born
    before the takeover and returns an attempt number above those of its predecessor.
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
    system.run(TAKEOVER_SECONDS)
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
    """A home fails after taking over from another one; its executor held start records.

    It replicated them when it took over, so the third home starts nothing again.
    """
    system = settled_system(workers=5, partitions=1)
    submissions = [system.submission(f"k{number}", tasks=4) for number in range(6)]
    for submission in submissions:
        system.submit(submission)
    system.run(2)
    key = submissions[0].key
    first = system.owner(key)
    system.kill(first)
    system.run(TAKEOVER_SECONDS)
    second = system.owner(key)
    assert second != first
    assert any(start.worker == second.split(".")[0] for start in system.started)
    system.kill(second)
    system.join(first.split(".")[0])
    system.run(TAKEOVER_SECONDS + 1)
    assert system.owner(key) not in (first, second)
    for submission in submissions:
        system.submit(submission)
    system.run(2)
    for submission in submissions:
        assert set(system.starts(submission.key).values()) == {1}


def test_a_failure_before_replication_makes_old_keys_unknown():
    """A home fails after a takeover, before it replicated its executor's records.

    These were the only records of the starts, so the answer must be "unknown".
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
    system.run(TAKEOVER_SECONDS)
    second = system.owner(submissions[0].key)
    lost = [s for s in system.started if second.startswith(s.worker + ".")]
    assert lost
    # The second home replicates the records of the first one's executor and fails
    # before it hands the partition back to the first one's worker.
    system.join(first.split(".")[0])
    system.is_lost = lambda message: (
        isinstance(message, Handoff)
        or isinstance(message, Remember)
        and not message.source.startswith(first)
    )
    while not system.counts[Counter.HANDOFF_SENT]:
        system.run(0.1)
    system.kill(second)
    system.run(TAKEOVER_SECONDS + 1)
    for submission in submissions:
        system.submit(submission)
    system.run(1)
    for start in lost:
        assert system.answers(start.key)[-1].work is Work.UNKNOWN


def test_what_an_owner_told_does_not_cover_later_starts():
    """A home replicates its records on a takeover and later hands the partition over.

    The next home places a job on its worker, then both fail. The replicated records
    must not count as complete, or a resubmission would be answered "not run".
    """
    system = settled_system(workers=4, partitions=1)
    first = system.owner(system.submission("k").key)
    system.kill(first)
    system.run(TAKEOVER_SECONDS)
    second = system.owner(system.submission("k").key)
    system.join(first.split(".")[0])
    system.run(TAKEOVER_SECONDS)
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
    system.run(TAKEOVER_SECONDS + 1)
    for start in lost:
        system.submit(system.submission(start.key.key, tasks=1, birth=born))
    system.run(1)
    for start in lost:
        assert system.answers(start.key)[-1].work is Work.UNKNOWN


def test_an_executor_lost_while_a_handed_partition_waits_is_told_on_in_full():
    """Two executors fail during a handoff, one before it acknowledged its fence.

    After the next home fails too, no job with tasks on them may be answered "not run"
    or started again.
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
    system.run(TAKEOVER_SECONDS)
    system.hold_upstreams = False
    system.kill(system.owner(submission.key))
    system.run(TAKEOVER_SECONDS + 1)
    system.join("more")
    system.run(1)
    system.submit(submission)
    system.run(3)
    assert set(system.starts(submission.key).values()) == {1}
    for answer in system.answers(submission.key):
        assert answer.work is not Work.NOT_RUN


def test_a_key_born_ahead_of_the_next_homes_clock_stays_refused():
    """A refused key with a birth ahead of the next home's clock must not run later."""
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
    """A job's home and the only executor with records of it fail together.

    Whether the key ran is lost: the answer is "unknown" and nothing starts again.
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
    system.run(TAKEOVER_SECONDS + 2)
    system.submit(submission)
    system.run(2)
    assert system.answers(submission.key)[-1].work is Work.UNKNOWN
    assert set(system.starts(submission.key).values()) == {1}
    later = system.submission("later", tasks=1, birth=system.now)
    system.submit(later)
    system.run(2)
    assert system.answers(later.key)[-1].kind is None


def test_a_home_replicates_the_records_of_a_lost_executor():
    """An executor fails, later the home fails as well.

    The home replicated the executor's records, so the next home knows that the key ran.
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
    system.run(TAKEOVER_SECONDS + 2)
    system.submit(submission)
    system.run(1)
    assert set(system.starts(submission.key).values()) == {1}
    assert system.answers(submission.key)[-1].work is Work.RAN
    assert not system.counts[ErrorKind.RECORDS_LOST]


def test_while_an_executor_does_not_answer_its_keys_are_unknown():
    """Guards against starts on both sides of a network partition.

    An unreachable executor may still serve the former home, until it acknowledges its
    fence or its replacement registers.
    """
    system = settled_system(workers=4, partitions=1)
    home = system.owner(system.submission("k").key)
    silent = next(name for name in system.nodes if name != home)
    system.kill(home)
    system.pause(silent)
    system.run(TAKEOVER_SECONDS)
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
    """A worker joins between a takeover's claim and its read of the members.

    The worker read the partition map after it registered, so it knows the new epoch and
    refuses a task from the former home.
    """
    system = settled_system(workers=4, partitions=1)
    submission = system.submission("k", tasks=2)
    former = system.owner(submission.key)
    system.pause(former)
    system.run(TAKEOVER_SECONDS)
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
    """After a graceful stop resubmissions get the same answers as before."""
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
    """Each key keeps its answer while all sidecars are replaced in turn."""
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
    """A home and an executor are paused, replaced and resume together.

    The next home did not fence the replaced executor. The executor detects its pause
    and finds its row ended, so it starts nothing for the former home.
    """
    system = settled_system(workers=3, partitions=1)
    former = system.owner(system.submission("k").key)
    pair = [name for name in system.nodes if name != former][0]
    for name in (former, pair):
        system.pause(name)
        system.join(name.split(".")[0])
    system.run(TAKEOVER_SECONDS + 2)
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
    """Records are dropped under a short retention, which is then lengthened.

    The key is within the new retention, but whether it ran is no longer known.
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
    system.run(TAKEOVER_SECONDS)
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


def test_owned_partitions_are_served_while_the_table_is_down():
    """A long outage of the table does not affect partitions that have an owner."""
    system = settled_system(workers=3, partitions=4)
    system.table.is_down = True
    system.run(30)
    submission = system.submission("k")
    system.submit(submission)
    system.run(1)
    assert system.answers(submission.key)[0].kind is None


def test_a_claim_whose_answer_was_lost_is_found_by_reading_back():
    """The claim takes effect but its answer is lost; the partition must be served."""
    system = System(workers=3, partitions=2)
    system.run(0.9)
    system.table.answers_to_lose = 2
    system.run(4)
    submission = system.submission("k")
    system.submit(submission)
    system.run(1)
    assert system.answers(submission.key)[0].kind is None


def test_a_replaced_home_does_not_tell_on_what_its_successor_placed():
    """A replaced home resumes and replicates records of a failed executor.

    They lack the starts that its successor placed there. If they counted as complete, a
    job of the successor would be answered "not run".
    """
    system = settled_system(workers=3, partitions=1)
    first = system.owner(system.submission("k").key)
    system.pause(first)
    system.run(TAKEOVER_SECONDS + 1)
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
    system.run(TAKEOVER_SECONDS + 2)
    system.submit(submission)
    system.run(1)
    assert system.answers(submission.key)[-1].work is Work.UNKNOWN


def test_a_handoff_overtakes_a_claim_that_can_not_succeed():
    """Guards against seconds without service: a home that hasn't heard of a
    partition's first owner claims it too, and must still take that owner's handoff.
    """
    system = settled_system(workers=4, partitions=1)
    system.hold_upstreams = True
    submission = system.submission("k", tasks=4)
    system.submit(submission)
    system.run(0.5)
    first = system.owner(submission.key)
    for name, node in system.nodes.items():
        if name != first:
            # Its answer from the table is still under way.
            claim(node.state.home.takeover, 0, None, None, "", system.now)
    system.drain(first)
    system.run(0.8)
    assert system.owner(submission.key) != first
    system.hold_upstreams = False
    system.submit(submission)
    system.run(0.5)
    assert system.answers(submission.key)[-1].kind is None
    assert set(system.starts(submission.key).values()) == {1}
