"""Graceful stops, restarts one after the other, and a worker that drains."""

from collections import Counter
from time import monotonic

import gevent

from tests.failures.system import (
    ENTRIES,
    PAUSE_SECONDS,
    WORKERS,
    job,
    note,
    wait_until,
)
from tests.standins.processes import call_json

JOBS_AFTER_DRAIN = 60


class Load:
    """A small steady load through a balancer that asks the entries' readiness."""

    def __init__(self, system):
        self._system = system
        self._callers = []
        self._running = True
        self._source = gevent.spawn(self._run)

    def stop(self):
        """Return all answers of each caller, the final one last."""
        self._running = False
        self._source.get()
        return [caller.get() for caller in self._callers]

    def _run(self):
        while self._running:
            body = job(tasks=3, sleep=0.2)
            entry = ENTRIES[len(self._callers) % 2]
            self._callers.append(
                gevent.spawn(self._system.until_final, body, entry, ready=True)
            )
            gevent.sleep(PAUSE_SECONDS)


def test_graceful_stop_of_a_sidecar_and_an_entry_under_load(system):
    """Each caller gets its complete answer at the first try; both exit with 0.

    SIGTERM comes while tasks run at the sidecar and callers wait at the entry. The
    sidecar finishes them and hands its partitions over; the entry answers them all.
    """
    jobs = [job(tasks=3, sleep=2.0) for _ in range(6)]
    waiting = [
        system.submit_later(ENTRIES[number % 2], body)
        for number, body in enumerate(jobs)
    ]
    wait_until(
        lambda: all(len(system.starts(body["key"])) == 3 for body in jobs), "all starts"
    )
    partitions = system.partitions_of("worker-1")
    stopping = [
        gevent.spawn(system.roles[name].terminate) for name in ("worker-1", "entry-1")
    ]
    system.serve_again("sidecar and entry stopped", partitions, monotonic())
    assert [said.get().status for said in waiting] == [200] * len(jobs)
    assert [status.get() for status in stopping] == [0, 0]
    assert system.most_starts() == 1


def test_rolling_restart_of_all_sidecars_and_entries_under_load(system):
    """Every caller gets its complete answer, and no request is cut.

    Each process in turn gets SIGTERM and is replaced under its name once it has ended;
    the next follows when the replacement is ready. Callers whose copy was not passed on
    send it again, as the answer says.
    """
    load = Load(system)
    for name in WORKERS + ENTRIES:
        assert system.roles[name].terminate() == 0
        system.start(name)
        wait_until(lambda name=name: system.ready(name), f"{name} ready")
    callers = load.stop()
    kinds = Counter(said.kind for answers in callers for said in answers)
    works = Counter(said.work for answers in callers for said in answers)
    note(
        {
            "fault": "rolling restart",
            "jobs": len(callers),
            "kinds": kinds,
            "unknown_answers": works["unknown"],
            "table": system.table_use(),
        }
    )
    assert [answers[-1].status for answers in callers] == [200] * len(callers)
    assert kinds["no_answer"] == 0
    assert system.most_starts() == 1


def test_a_draining_sidecar_gets_nothing_new(system):
    """Jobs go on elsewhere; what runs at the drained worker ends with its answer.

    An operator drains the worker through an entry while it runs a long task. Once it
    has read the mark it takes nothing new, and it exits with 0 after the long task.
    """
    partitions = system.partitions_of("worker-2")
    long = job(system.key_in(partitions), tasks=20, sleep=8.0)
    waiting = system.submit_later("entry-1", long)
    upstream = system.upstreams["worker-1"]
    wait_until(lambda: upstream.get("/running")["running"], "a task at worker-1")
    admin = system.admin().port
    status = call_json(admin, "POST", "/v1/workers/worker-1/drain")[0]
    asked = monotonic()
    assert status == 200
    wait_until(lambda: not system.ready("worker-1"), "the drain to be taken up")
    before = len(upstream.get("/starts")["starts"])
    note({"fault": "drain", "taken_up_seconds": round(monotonic() - asked, 2)})
    for number in range(JOBS_AFTER_DRAIN):
        body = job(tasks=4)
        assert system.until_final(body, ENTRIES[number % 2])[-1].status == 200
    assert len(upstream.get("/starts")["starts"]) == before
    assert waiting.get().status == 200
    assert system.roles["worker-1"].wait_exit() == 0
    assert system.most_starts() == 1
