"""The home of a running job dies or pauses."""

import signal
from time import monotonic

import gevent

from tests.failures.system import job, wait_until


def test_home_killed_while_a_job_runs(system):
    """The caller resubmits through the other entry and gets one complete answer.

    The home is killed once all tasks have started elsewhere. Another home takes the
    partition, learns of the starts from the executors, and answers from their results.
    """
    body = job(tasks=4, sleep=1.0)
    home = system.owner_of(body["key"])
    partitions = system.partitions_of(home)
    waiting = system.submit_later("entry-1", body)
    wait_until(lambda: len(system.starts(body["key"])) == 4, "all tasks started")
    system.roles[home].kill()
    killed = monotonic()
    again = gevent.spawn(system.until_final, body, "entry-2")
    report = system.serve_again("home killed", partitions, killed)
    assert report["unknown_keys"] == 0
    assert again.get()[-1].status == 200
    assert waiting.get().work in ("ran", "unknown")
    assert system.most_starts() == 1


def test_home_paused_past_takeover_and_woken(system):
    """No task starts twice, and nothing that ran is said not to have.

    The home stops while a job's tasks run, and copies of other jobs lie unread in its
    connections. It wakes when all its partitions have another owner, reads them and
    still believes that it owns the keys. Executors refuse its lower epoch, so it can
    neither start nor deny anything.
    """
    body = job(tasks=4, sleep=0.5)
    home = system.owner_of(body["key"])
    partitions = system.partitions_of(home)
    late = [job(system.key_in(partitions), tasks=2) for _ in range(10)]
    system.submit_later("entry-1", body)
    wait_until(lambda: len(system.starts(body["key"])) == 4, "all tasks started")
    system.roles[home].send_signal(signal.SIGSTOP)
    stopped = monotonic()
    copies = [system.submit_later("entry-1", each) for each in late]
    wait_until(lambda: not system.partitions_of(home), "takeover")
    system.roles[home].send_signal(signal.SIGCONT)
    report = system.serve_again("home paused past takeover", partitions, stopped)
    assert report["unknown_keys"] == 0
    for resubmitted in (body, *late):
        assert system.until_final(resubmitted, "entry-2")[-1].status == 200
    gevent.joinall(copies, raise_error=True)
    assert system.most_starts() == 1
