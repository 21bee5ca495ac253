"""End-to-end tests with processes, a stand-in store and stand-in workers."""

import json
import signal

import gevent
import pytest
from gevent.socket import create_connection

from tests.platform.system import (
    PREFIX,
    TIMEOUT_SECONDS,
    PlatformSystem,
    configuration,
    job_body,
)


@pytest.fixture
def system(tmp_path):
    with PlatformSystem(tmp_path) as running:
        running.wait_until_serving()
        yield running


def job_id(number: int) -> str:
    return f"{number:016x}"


def test_each_entry_completes_a_job(system):
    for number in range(2):
        status, body, _ = system.submit(number, job_id(number), count=3)
        assert (status, body) == (200, {"state": "completed"})
    assert not any(worker.worker.violations for worker in system.workers)


def test_an_entry_refuses_invalid_requests_and_keeps_serving(system):
    path = PREFIX + job_id(1)
    assert system.call(0, "POST", path, b"{")[0] == 400
    assert system.call(0, "POST", path, b"[]")[0] == 400
    assert system.call(0, "POST", path, {"steps": 3, "best_effort": True})[0] == 400
    assert system.call(0, "POST", path, job_body(count=10_000))[0] == 400
    assert system.call(0, "POST", path, b"x" * 300_000)[0] == 413
    assert system.call(0, "POST", path, {**job_body(), "best_effort": False})[0] == 503
    assert system.call(0, "POST", PREFIX + "nothex", job_body())[0] == 404
    assert system.call(0, "POST", path, job_body(), {"Host": "other"})[0] == 404
    assert system.call(0, "GET", path)[0] == 410
    assert system.call(0, "DELETE", path)[0] == 410
    assert system.call(0, "GET", PREFIX)[:2] == (200, {"pending": 0})
    assert system.submit(0, job_id(2))[0] == 200


def test_changed_routes_take_effect_and_are_kept(system):
    """Both entries must apply an added and a removed route, and keep the latest
    configuration during an outage of the store.
    """
    system.store.put_json("op", "config", configuration(5, PREFIX, "/new/"))
    for number in range(2):
        system.wait_until(
            lambda: system.call(number, "GET", "/new/")[0] == 200, "the new route"
        )
    system.store.put_json("op", "config", configuration(9, "/new/"))
    for number in range(2):
        system.wait_until(
            lambda: system.call(number, "GET", PREFIX)[0] == 404, "the removal"
        )
    system.store.status = 503
    gevent.sleep(0.5)
    assert system.call(0, "GET", "/new/")[0] == 200


def test_an_entry_without_configuration_is_not_ready_and_refuses(tmp_path):
    with PlatformSystem(tmp_path, entries=0, sidecars=0) as system:
        system.store.put("op", "config", None)
        entry = system.start_entry(0)
        entry.wait_for_line("started")
        assert not system.is_ready(0)
        status, _, headers = system.submit(0, job_id(1))
        assert status == 503
        assert int(headers["retry-after"]) >= 1


def test_sidecars_reconnect_to_a_restarted_entry(system):
    """Sidecars connect to addresses, not incarnations, so a restarted entry needs no
    change in the store to be reached.
    """
    system.entries[1].kill()
    system.entries[1] = system.start_entry(1)
    system.wait_until_serving()


def test_an_entry_gets_the_configuration_from_a_peer_if_the_store_refuses_it(system):
    """Both entries must apply the same configuration, even if only one of them has
    read it from the store.
    """
    system.entries[1].kill()
    system.store.put_json("op", "config", configuration(3, PREFIX, "/new/"))
    system.wait_until(lambda: system.call(0, "GET", "/new/")[0] == 200, "the change")
    system.store.status = 503
    system.entries[1] = system.start_entry(1)
    system.wait_until(lambda: system.is_ready(1), "readiness by a peer")
    assert system.call(1, "GET", "/new/")[0] == 200


def test_a_stopping_entry_answers_accepted_jobs(system):
    """After SIGTERM an entry must become unready, answer waiting callers, still serve
    open connections, and exit with status 0.
    """
    for worker in system.workers:
        worker.task_duration = worker.task_duration * 5
    waiting = gevent.spawn(system.submit, 0, job_id(1))
    gevent.sleep(0.1)
    system.entries[0].send_signal(signal.SIGTERM)
    system.wait_until(lambda: not system.is_ready(0), "not ready")
    assert waiting.get()[:2] == (200, {"state": "completed"})
    assert system.submit(0, job_id(2))[2]["connection"] == "close"
    assert system.entries[0].wait_exit() == 0


def test_a_second_sigterm_does_not_interrupt_the_stop(system):
    """A second SIGTERM must not end the process before a waiting caller is answered."""
    for worker in system.workers:
        worker.task_duration = worker.task_duration * 10
    waiting = gevent.spawn(system.submit, 0, job_id(1))
    gevent.sleep(0.1)
    for _ in range(2):
        system.entries[0].send_signal(signal.SIGTERM)
        gevent.sleep(0.1)
    assert waiting.get()[:2] == (200, {"state": "completed"})
    assert system.entries[0].wait_exit() == 0


def test_a_stop_that_times_out_answers_all_callers(system):
    """The caller of a job that outlasts the stop must be answered before the platform
    would kill the process.
    """
    for worker in system.workers:
        worker.task_duration = worker.task_duration * 100
    waiting = gevent.spawn(
        system.call,
        0,
        "POST",
        PREFIX + job_id(1),
        job_body(),
        {"Gypsumspoke-Deadline-Ms": "20000"},
    )
    gevent.sleep(0.1)
    system.entries[0].send_signal(signal.SIGTERM)
    status, body, headers = waiting.get()
    assert (status, body["reason"]) == (504, "stopping")
    assert "retry-after" in headers
    assert system.entries[0].wait_exit() == 0


def test_a_job_completes_after_a_sidecar_is_killed_and_restarted(system):
    for worker in system.workers:
        worker.task_duration = worker.task_duration * 8
    waiting = gevent.spawn(system.submit, 0, job_id(1), count=4)
    gevent.sleep(0.2)
    system.sidecars[0].kill()
    system.sidecars[0] = system.start_sidecar(0)
    assert waiting.get()[:2] == (200, {"state": "completed"})
    assert not any(worker.worker.violations for worker in system.workers)


def test_a_restarted_sidecar_knows_its_worker_from_the_store(system):
    """Without the record it would wait for a heartbeat, and none arrives here."""
    rows = "gypsumspoke-workers/side-0"
    system.wait_until(lambda: system.store.value(rows, "worker"), "the record")
    worker = system.workers[0]
    good = worker.heartbeat()
    worker.heartbeat = lambda: {**good, "state": "odd"}
    system.sidecars[0].kill()
    system.sidecars[0] = system.start_sidecar(0)
    line = system.sidecars[0].wait_for_line("worker record restored")
    assert line["details"]["worker"] == worker.id
    system.workers[1].status = 503
    system.wait_until_serving()


def test_a_stopping_sidecar_completes_its_runs(system):
    for worker in system.workers:
        worker.task_duration = worker.task_duration * 5
    waiting = gevent.spawn(system.submit, 0, job_id(1), count=4)
    gevent.sleep(0.1)
    system.sidecars[0].send_signal(signal.SIGTERM)
    assert waiting.get()[:2] == (200, {"state": "completed"})
    assert system.sidecars[0].wait_exit() == 0
    starts = [start for each in system.workers for start in each.worker.starts]
    assert len([start for start in starts if start.task.job == job_id(1)]) == 4


def test_jobs_complete_despite_lost_answers_and_a_worker_crash(system):
    system.workers[0].lose_answers = 2
    assert system.submit(0, job_id(1), count=4)[0] == 200
    system.workers[0].crash()
    assert system.submit(0, job_id(2), count=4)[0] == 200


def test_jobs_complete_despite_a_silent_or_unhealthy_worker(system):
    system.workers[0].silent = True
    assert system.submit(0, job_id(1), count=2)[0] == 200
    system.workers[0].silent = False
    system.workers[0].status = 429
    assert system.submit(0, job_id(2), count=2)[0] == 200
    system.workers[0].status = None
    system.wait_until_serving()


def test_invalid_heartbeats_are_refused(system):
    worker = system.workers[0]
    good = worker.heartbeat()
    for invalid in (
        {**good, "seq": "x"},
        {**good, "state": "odd"},
        {**good, "capacity": None},
        {**good, "service": 4},
    ):
        worker.heartbeat = lambda body=invalid: body
        assert system.send_heartbeat(0) == 400
    worker.heartbeat = lambda: {**good, "service": "other", "seq": 10**9}
    system.send_heartbeat(0)
    assert system.submit(0, job_id(1), count=4)[0] == 200


def test_sighup_keeps_processes_serving(system):
    for process in (*system.entries, *system.sidecars):
        process.send_signal(signal.SIGHUP)
        process.wait_for_line("settings read again")
    assert system.submit(0, job_id(1))[0] == 200


def test_a_changed_settings_file_is_read_without_a_signal(system, tmp_path):
    """A valid change must be applied; an invalid one must be logged and ignored."""
    path = tmp_path / "side-0.json"
    settings = json.loads(path.read_text())
    path.write_text(json.dumps({**settings, "seeds": ["127.0.0.1:9"]}))
    line = system.sidecars[0].wait_for_line("settings read again")
    assert line["details"]["entries"] == ["127.0.0.1:9"]
    path.write_text("{")
    system.sidecars[0].wait_for_line("settings are invalid, kept")
    assert system.submit(0, job_id(1))[0] == 200


def test_jobs_complete_during_an_outage_of_the_store(system):
    system.store.status = 503
    line = system.entries[0].wait_for_line("store lost")
    assert "503" in line["details"]["reason"]
    assert system.submit(0, job_id(1))[0] == 200
    system.store.status = None
    system.entries[0].wait_for_line("store reached again")


def test_a_change_is_applied_after_the_store_loses_its_history(system):
    system.store.forget_history()
    system.store.put_json("op", "config", configuration(7, PREFIX, "/new/"))
    system.wait_until(lambda: system.call(0, "GET", "/new/")[0] == 200, "the change")


def test_a_cancelled_job_does_not_run_when_its_request_arrives_again(system):
    """The entry that gets the repeated request must know the cancel, or it takes the
    request for a new job.
    """
    for worker in system.workers:
        worker.task_duration = worker.task_duration * 10
    waiting = gevent.spawn(system.submit, 0, job_id(1))
    system.wait_until(lambda: starts_of(system, job_id(1)), "the start of the job")
    assert system.call(0, "DELETE", PREFIX + job_id(1))[0] == 200
    assert waiting.get()[:2] == (200, {"state": "failed"})
    started = starts_of(system, job_id(1))
    assert system.submit(0, job_id(1))[:2] == (200, {"state": "failed"})
    system.entries[1].wait_for_line("cancelled jobs read")
    assert system.submit(1, job_id(1))[:2] == (200, {"state": "failed"})
    assert starts_of(system, job_id(1)) == started


def test_a_cancel_is_not_acknowledged_while_the_store_is_away(system):
    """The loss of the entry would undo it."""
    for worker in system.workers:
        worker.task_duration = worker.task_duration * 10
    waiting = gevent.spawn(system.submit, 0, job_id(1))
    system.wait_until(lambda: starts_of(system, job_id(1)), "the start of the job")
    system.store.status = 503
    status, body, headers = system.call(0, "DELETE", PREFIX + job_id(1))
    assert (status, body["reason"]) == (503, "cancel_not_stored")
    assert int(headers["retry-after"]) >= 1
    assert waiting.get()[:2] == (200, {"state": "failed"})
    system.store.status = None
    assert system.call(0, "DELETE", PREFIX + job_id(1))[0] == 200


def test_nothing_starts_on_a_draining_worker_whose_time_of_day_jumped_back(system):
    """The heartbeats of its present incarnation must not be taken for earlier ones."""
    worker = system.workers[0]
    worker.crash()
    worker.incarnation -= 5000
    system.wait_until(
        lambda: system.submit(0, job_id(system.next_job()), count=4)[0] == 200
        and worker.worker.starts,
        "a start on the new incarnation",
    )
    worker.state = "draining"
    assert system.send_heartbeat(0) == 200
    started = list(worker.worker.starts)
    for _ in range(5):
        assert system.submit(0, job_id(system.next_job()), count=2)[0] == 200
    assert worker.worker.starts == started


def starts_of(system, job):
    """Return the runs of a job that the workers have started."""
    return [
        start
        for worker in system.workers
        for start in worker.worker.starts
        if start.task.job == job
    ]


def test_logs_and_metrics_report_a_job(system):
    system.submit(0, job_id(77))
    system.submit(0, job_id(78), steps=[])
    entry = [
        line
        for line in system.entries[0].lines()
        if line.get("details", {}).get("job") == job_id(77)
    ]
    assert [line["message"] for line in entry] == ["job accepted", "job answered"]
    sidecar = [
        line
        for process in system.sidecars
        for line in process.lines()
        if line.get("details", {}).get("job") == job_id(77)
    ]
    assert sorted({line["message"] for line in sidecar}) == ["run ended", "run started"]
    text = system.metrics(10)
    assert 'gypsumspoke_job_refusals_total{reason="invalid_job"} 1.0' in text
    assert "gypsumspoke_job_seconds_bucket" in text


def test_an_incomplete_header_is_refused_after_the_header_timeout(system):
    """A client that never completes a header must not hold its connection or delay
    others.
    """
    with create_connection(system.caller_address(0)) as client:
        client.settimeout(TIMEOUT_SECONDS)
        client.sendall(b"POST /checks/0000000000000001 HTTP/1.1\r\nHost: ")
        assert system.submit(0, job_id(2))[0] == 200
        assert client.recv(400).startswith(b"HTTP/1.1 400")
        assert client.recv(400) == b""


def test_a_request_at_the_limits_is_served_when_alone(system):
    """A client inside the configured limits must not be refused for what it sends."""
    path = PREFIX + job_id(1)
    fields = {f"X-{number}": "y" for number in range(1000)}
    assert system.call(0, "POST", path, job_body(), fields)[0] == 200
    body = json.dumps(job_body()).encode()
    padded = body[:-1] + b" " * (262_144 - len(body)) + b"}"
    assert system.call(0, "POST", PREFIX + job_id(2), padded)[0] == 200


def test_a_header_over_the_limit_is_refused(system):
    """The configured limit must be in force."""
    path = PREFIX + job_id(1)
    status, body, headers = system.call(
        0, "POST", path, job_body(), {"X-Long": "y" * 20_000}
    )
    assert (status, body["reason"]) == (431, "header_too_large")
    assert headers["connection"] == "close"
    assert 'reason="header_too_large"} 1.0' in system.metrics(10)
