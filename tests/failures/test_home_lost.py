"""A home is killed or paused while its jobs run."""

import signal
from time import monotonic

import gevent

from tests.failures.system import job, wait_until


def test_home_killed_while_a_job_runs(system):
    """Guards against tasks started twice or results lost when a home is killed."""
    body = job(tasks=4, sleep=1.0)
    home = system.owner_of(body["key"])
    partitions = system.partitions_of(home)
    waiting = system.submit_later("entry-1", body)
    wait_until(lambda: len(system.starts(body["key"])) == 4, "all tasks started")
    system.roles[home].kill()
    killed_at = monotonic()
    resubmitted = gevent.spawn(system.until_final, body, "entry-2")
    report = system.serve_again("home killed", partitions, killed_at)
    assert report["unknown_keys"] == 0
    assert resubmitted.get()[-1].status == 200
    assert waiting.get().work in ("ran", "unknown")
    assert system.most_starts() == 1


def test_home_paused_past_takeover_and_resumed(system):
    """Guards against false answers from a home that resumes after its takeover."""
    body = job(tasks=4, sleep=0.5)
    home = system.owner_of(body["key"])
    partitions = system.partitions_of(home)
    unread_jobs = [job(system.key_in(partitions), tasks=2) for _ in range(10)]
    system.submit_later("entry-1", body)
    wait_until(lambda: len(system.starts(body["key"])) == 4, "all tasks started")
    system.roles[home].send_signal(signal.SIGSTOP)
    paused_at = monotonic()
    requests = [system.submit_later("entry-1", each) for each in unread_jobs]
    wait_until(lambda: not system.partitions_of(home), "takeover")
    system.roles[home].send_signal(signal.SIGCONT)
    report = system.serve_again("home paused past takeover", partitions, paused_at)
    assert report["unknown_keys"] == 0
    for each in (body, *unread_jobs):
        assert system.until_final(each, "entry-2")[-1].status == 200
    gevent.joinall(requests, raise_error=True)
    assert system.most_starts() == 1
