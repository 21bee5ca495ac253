"""Cancellations in a wave, a worker that fails all, an upstream that hangs."""

from collections import Counter

import gevent

from gypsumspoke.tools.caller_client import cancel
from gypsumspoke.tools.http_client import Address
from tests.failures.system import ENTRIES, HOST, TEAM, job, note, wait_until

JOBS_PAST_A_FAILING_WORKER = 120


def test_wave_of_cancellations(system):
    """Each caller learns which of its tasks never start; no other start is doubted.

    Forty jobs wait for few slots when all of them are cancelled through the other
    entry. Tasks that wait are dropped at home and executors. The answer does not wait
    for those that run, so what becomes of them is "unknown" in it.
    """
    jobs = [job(tasks=8, sleep=1.0) for _ in range(40)]
    waiting = [system.submit_later("entry-1", body) for body in jobs]
    wait_until(lambda: system.most_starts(), "a start")
    address = Address(HOST, system.ports("entry-2")["http_port"])
    wave = [gevent.spawn(cancel, address, TEAM, body["key"]) for body in jobs]
    answers = [greenlet.get() for greenlet in waiting]
    gevent.joinall(wave)
    starts = [system.starts(body["key"]) for body in jobs]
    note(
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
        doubted = [str(n) for n, what in enumerate(outcomes) if what != "not_run"]
        assert said.status == 200 or sorted(started) == doubted
    assert system.most_starts() == 1


def test_a_worker_that_fails_each_task_at_once(system):
    """A few jobs fail, then the worker gets hardly any; none is started again.

    It answers sooner than all others and looks idle, so it would attract most tasks.
    Its homes eject it after a few failures and probe it from time to time.
    """
    bad = system.upstreams["worker-1"]
    bad.post("/faults", {"fail": True})
    kinds = Counter()
    for number in range(JOBS_PAST_A_FAILING_WORKER):
        said = system.until_final(job(sleep=0.02), ENTRIES[number % 2])
        kinds[said[-1].kind] += 1
    note({"fault": "worker fails each task at once", "kinds": kinds})
    assert set(kinds) <= {"complete", "task_failed"}
    assert kinds["task_failed"] <= JOBS_PAST_A_FAILING_WORKER / 4
    assert len(bad.get("/starts")["starts"]) == kinds["task_failed"]
    assert system.most_starts() == 1


def test_an_upstream_that_hangs(start_system):
    """Callers whose task hangs are told "unknown" after the answer timeout.

    The upstream takes tasks and never answers. Each counts as unknown after a second
    and is not started elsewhere; the slot is free again once the upstream answers.
    """
    system = start_system(services={"answer_timeout_seconds": 1})
    hanging = system.upstreams["worker-1"]
    hanging.post("/faults", {"hang": True})
    jobs = [job(sleep=0.05) for _ in range(40)]
    sent = [
        system.submit_later(ENTRIES[number % 2], body)
        for number, body in enumerate(jobs)
    ]
    answers = [greenlet.get() for greenlet in sent]
    note(
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
