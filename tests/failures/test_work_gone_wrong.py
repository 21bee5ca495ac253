"""Mass cancellations, a worker that fails every task, an upstream that hangs."""

from collections import Counter

import gevent

from gypsumspoke.tools.caller_client import cancel
from gypsumspoke.tools.http_client import Address
from tests.failures.system import ENTRIES, HOST, TEAM, job, record_report, wait_until

JOBS_WITH_FAILING_WORKER = 120


def test_mass_cancellation(system):
    """Guards against cancelled jobs that start tasks or report started ones wrongly."""
    jobs = [job(tasks=8, sleep=1.0) for _ in range(40)]
    waiting = [system.submit_later("entry-1", body) for body in jobs]
    wait_until(lambda: system.most_starts(), "a start")
    address = Address(HOST, system.ports("entry-2")["http_port"])
    cancellations = [gevent.spawn(cancel, address, TEAM, body["key"]) for body in jobs]
    answers = [greenlet.get() for greenlet in waiting]
    gevent.joinall(cancellations)
    starts = [system.starts(body["key"]) for body in jobs]
    record_report(
        {
            "fault": "wave of cancellations",
            "kinds": Counter(said.kind for said in answers),
            "works": Counter(said.work for said in answers),
            "started_tasks": sum(sum(counts.values()) for counts in starts),
        }
    )
    assert {said.kind for said in answers} <= {"cancelled", "complete", "queue_full"}
    assert system.until_final(job())[-1].status == 200
    assert [system.starts(body["key"]) for body in jobs] == starts
    for said, started in zip(answers, starts, strict=True):
        outcomes = said.body.get("outcomes", [])
        possibly_started = [
            str(n) for n, what in enumerate(outcomes) if what != "not_run"
        ]
        assert said.status == 200 or sorted(started) == possibly_started
    assert system.most_starts() == 1


def test_worker_that_fails_each_task_at_once(system):
    """Guards against a fast-failing worker that attracts most of the load."""
    failing = system.upstreams["worker-1"]
    failing.post("/faults", {"fail": True})
    kinds = Counter()
    for number in range(JOBS_WITH_FAILING_WORKER):
        said = system.until_final(job(sleep=0.02), ENTRIES[number % 2])
        kinds[said[-1].kind] += 1
    record_report({"fault": "worker fails each task at once", "kinds": kinds})
    assert set(kinds) <= {"complete", "task_failed"}
    assert kinds["task_failed"] <= JOBS_WITH_FAILING_WORKER / 4
    assert len(failing.get("/starts")["starts"]) == kinds["task_failed"]
    assert system.most_starts() == 1


def test_upstream_that_hangs(start_system):
    """Guards against callers left waiting, and slots lost, when an upstream hangs."""
    system = start_system(services={"answer_timeout_seconds": 1})
    hanging = system.upstreams["worker-1"]
    hanging.post("/faults", {"hang": True})
    jobs = [job(sleep=0.05) for _ in range(40)]
    sent = [
        system.submit_later(ENTRIES[number % 2], body)
        for number, body in enumerate(jobs)
    ]
    answers = [greenlet.get() for greenlet in sent]
    record_report(
        {
            "fault": "upstream hangs",
            "kinds": Counter(said.kind for said in answers),
            "hanging_starts": len(hanging.get("/starts")["starts"]),
        }
    )
    assert {said.work for said in answers} <= {"ran", "unknown"}
    unknown = [said for said in answers if said.work == "unknown"]
    assert len(unknown) == len(hanging.get("/starts")["starts"]) > 0
    hanging.post("/faults", {"hang": False})
    assert system.until_final(job())[-1].status == 200
    assert system.most_starts() == 1
