"""Graceful stops, rolling restarts and drained workers."""

from collections import Counter
from time import monotonic

import gevent

from tests.failures.system import (
    ENTRIES,
    PAUSE_SECONDS,
    WORKERS,
    job,
    record_report,
    wait_until,
)
from tests.standins.processes import call_json

JOBS_AFTER_DRAIN = 60


class Load:
    """Submits jobs at a fixed interval to entries that report ready."""

    def __init__(self, system):
        self._system = system
        self._callers = []
        self._running = True
        self._submitter = gevent.spawn(self._run)

    def stop(self):
        """Stop submitting and return each caller's answers, the final one last."""
        self._running = False
        self._submitter.get()
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
    """Guards against lost answers when processes stop on SIGTERM."""
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
    """Guards against requests cut off while each process is replaced in turn."""
    load = Load(system)
    for name in WORKERS + ENTRIES:
        assert system.roles[name].terminate() == 0
        system.start(name)
        wait_until(lambda name=name: system.ready(name), f"{name} ready")
    callers = load.stop()
    kinds = Counter(said.kind for answers in callers for said in answers)
    works = Counter(said.work for answers in callers for said in answers)
    record_report(
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


def test_draining_sidecar_gets_no_new_tasks(system):
    """Guards against new tasks at a draining worker and lost results of its tasks."""
    partitions = system.partitions_of("worker-2")
    long = job(system.key_in(partitions), tasks=20, sleep=8.0)
    waiting = system.submit_later("entry-1", long)
    upstream = system.upstreams["worker-1"]
    wait_until(lambda: upstream.get("/running")["running"], "a task at worker-1")
    admin = system.admin().port
    status = call_json(admin, "POST", "/v1/workers/worker-1/drain")[0]
    drain_requested_at = monotonic()
    assert status == 200
    wait_until(lambda: not system.ready("worker-1"), "the drain to be taken up")
    before = len(upstream.get("/starts")["starts"])
    record_report(
        {
            "fault": "drain",
            "taken_up_seconds": round(monotonic() - drain_requested_at, 2),
        }
    )
    for number in range(JOBS_AFTER_DRAIN):
        body = job(tasks=4)
        assert system.until_final(body, ENTRIES[number % 2])[-1].status == 200
    assert len(upstream.get("/starts")["starts"]) == before
    assert waiting.get().status == 200
    assert system.roles["worker-1"].wait_exit() == 0
    assert system.most_starts() == 1
