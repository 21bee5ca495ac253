"""Tests of decoding the platform's formats, and of errors for invalid input."""

import io
import json
from datetime import timedelta

import pytest
from hypothesis import given, strategies as st
from returns.pipeline import is_successful

from gypsumspoke.core.process_limits import DEFAULT_PROCESS_LIMITS, ProcessLimits
from gypsumspoke.platform.configuration import parse_configuration
from gypsumspoke.platform.jobs import MAX_TASKS, Unsupported, is_job_id, parse_job
from gypsumspoke.platform.names import parse_run_id, task_name
from gypsumspoke.platform.registration import (
    WorkerRegistration,
    parse_heartbeat,
    parse_registration,
)
from gypsumspoke.platform.settings import read_settings
from gypsumspoke.runs.budget import DEFAULT_BUDGET
from gypsumspoke.runs.sidecar_views import HIGHEST_PACE
from gypsumspoke.runs.values import (
    JobEnd,
    RefusalReason,
    Room,
    RunId,
    TaskId,
    WorkerReady,
)
from tests.platform.system import configuration, job_body
from tests.runs.test_job_lifecycle import settled
from tests.standins.platform_worker import PlatformWorker

JOB_ID = "5c0e7a21d94b36f8"
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


def parse(body):
    return parse_job(JOB_ID, json.dumps(body).encode())


def test_a_job_with_all_fields_of_a_step():
    step = {
        "count": 4,
        "cpu": 500,
        "mem_mb": 256,
        "gpu": 1,
        "estimate_ms": 900,
        "constraints": "b",
        "affinity": "r1-3",
        "anti_affinity": 2,
        "checkpointing": True,
    }
    later = {"count": 1, "cpu": 1, "after": [0], "unknown": [1]}
    job = parse(job_body(steps=[step, later])).unwrap()
    assert job.steps[0].room == Room(500, 256, 1)
    assert job.steps[0].estimate == timedelta(milliseconds=900)
    assert (job.steps[0].label, job.steps[0].rack) == ("b", "r1-3")
    assert job.steps[0].per_worker == 2
    assert job.steps[1].after == (0,)


@pytest.mark.parametrize(
    "invalid",
    [
        [],
        None,
        {"best_effort": True},
        job_body(steps=[]),
        job_body(steps=[3]),
        job_body(spec=7),
        job_body(spec="x" * 4001),
        job_body(steps=[{"count": 0}]),
        job_body(steps=[{"count": "x"}]),
        job_body(steps=[{"count": True}]),
        job_body(steps=[{"count": MAX_TASKS + 1}]),
        job_body(steps=[{"count": 1, "cpu": -1}]),
        job_body(steps=[{"count": 1, "after": [0]}]),
        job_body(steps=[{"count": 1, "after": "x"}]),
        job_body(steps=[{"count": 1, "affinity": 3}]),
    ],
)
def test_an_invalid_job_is_refused_with_a_message(invalid):
    error = parse(invalid).failure()
    assert str(error) and not isinstance(error, Unsupported)


@pytest.mark.parametrize(
    "more",
    [
        {"best_effort": False},
        {"times": 3},
        {"long_running": True},
        {"steps": [{"count": 2, "gang": True}]},
    ],
)
def test_an_unsupported_job_is_distinguished_from_an_invalid_one(more):
    assert isinstance(parse(job_body(**more)).failure(), Unsupported)


@given(ANY_JSON)
def test_no_json_raises(value):
    parse_job(JOB_ID, json.dumps(value).encode())
    parse_registration("w1", json.dumps(value).encode())
    parse_configuration(json.dumps(value))


@given(st.binary(max_size=50))
def test_no_bytes_raise(body):
    parse_job(JOB_ID, body)
    parse_registration("w1", body)


@given(st.sampled_from(sorted(job_body()["steps"][0])), ANY_JSON)
def test_a_field_of_the_wrong_type_gives_a_message_or_a_job(name, value):
    step = {**job_body()["steps"][0], name: value}
    parsed = parse(job_body(steps=[step]))
    assert is_successful(parsed) or str(parsed.failure())


def test_a_chain_of_estimates_of_decades_is_refused_like_any_long_job():
    """An estimate beyond any date ended the entry."""
    step = {"count": 1, "estimate_ms": 10**12 - 1}
    steps = [step] + [{**step, "after": [number]} for number in range(99)]
    world = settled()
    for view in world.processes["entry0"].state.views.values():
        view.pace = HIGHEST_PACE
    world.submit("entry0", "r", parse(job_body(steps=steps)).unwrap())
    answer = world.answers["r"]
    assert (answer.end, answer.reason) == (JobEnd.NOT_RUN, RefusalReason.TOO_LATE)


def test_repeated_numbers_of_earlier_steps_take_no_memory():
    """A job of legal size could hold a hundred times the memory of its text."""
    step = {"count": 1, "cpu": 1}
    later = {**step, "after": [0] * 100_000}
    job = parse(job_body(steps=[step, later])).unwrap()
    assert job.steps[1].after == (0,)


@pytest.mark.parametrize("empty", [None, False, 0, "", [], {}])
def test_an_unsupported_field_that_is_empty_counts_as_left_out(empty):
    step = {"count": 1, "gang": empty, "constraints": None, "after": None}
    assert is_successful(parse(job_body(times=empty, steps=[step])))


def test_job_ids_and_task_names():
    assert is_job_id(JOB_ID)
    assert not is_job_id(JOB_ID.upper())
    assert not is_job_id(JOB_ID + "0")
    task = TaskId(JOB_ID, 1, 17)
    assert task_name(task) == JOB_ID + ".0.1.17"
    assert parse_run_id(task_name(task), 2) == RunId(task, 2)


def test_a_configuration():
    parsed = parse_configuration(json.dumps(configuration(7, "/a/", "/b/"))).unwrap()
    assert parsed.version == 7
    assert [route.path_prefix for route in parsed.routes] == ["/a/", "/b/"]
    assert parsed.routes[0].target_latency == timedelta(milliseconds=60)
    assert parsed.limits.body_bytes == 262144


def test_a_missing_configuration_field_is_named():
    invalid = configuration(7)
    del invalid["limits"]["max_body_bytes"]
    assert "max_body_bytes" in parse_configuration(json.dumps(invalid)).failure()


def test_a_heartbeat():
    body = json.dumps(PlatformWorker("w1").heartbeat()).encode()
    registration = parse_registration("w1", body).unwrap()
    assert registration.id == "w1"
    assert registration.state is WorkerReady.READY
    assert registration.capacity == Room(8000, 64000, 0)
    assert registration.sequence == 1
    assert (registration.remaining, registration.cold) == (None, timedelta())


def heartbeat(**more):
    return PlatformWorker("w1").heartbeat() | more


def parsed_heartbeat(**more):
    return parse_heartbeat("w1", json.dumps(heartbeat(**more)).encode()).unwrap()


def test_a_heartbeat_with_the_time_left_and_the_cold_time():
    parsed = parsed_heartbeat(
        state="draining", remaining_ms=2000, cold_remaining_ms=812.5
    )
    assert parsed.registration.remaining == timedelta(seconds=2)
    assert parsed.registration.cold == timedelta(milliseconds=812.5)
    assert not parsed.unusable


def test_a_heartbeat_of_an_earlier_platform_lacks_both():
    body = heartbeat(state="draining")
    del body["cold_remaining_ms"]
    parsed = parse_heartbeat("w1", json.dumps(body).encode()).unwrap()
    assert parsed.registration.remaining is None
    assert parsed.registration.cold == timedelta()
    assert not parsed.unusable


def test_a_worker_that_stays_has_no_time_left():
    """A 0 that means "no notice" would have its runs withdrawn once it leaves."""
    assert parsed_heartbeat(remaining_ms=0).registration.remaining is None


@pytest.mark.parametrize(
    "value", [-1, -0.5, 3_600_001, 1e300, float("nan"), float("inf"), "7", True, None]
)
def test_an_unusable_time_counts_as_missing(value):
    """The heartbeat itself must count, or the worker would be lost for it."""
    parsed = parsed_heartbeat(
        state="draining", remaining_ms=value, cold_remaining_ms=value
    )
    assert parsed.registration.remaining is None
    assert parsed.registration.cold == timedelta()
    assert set(parsed.unusable) == {"remaining_ms", "cold_remaining_ms"}


def test_an_unusable_time_is_logged_once_for_each_incarnation(caplog):
    """Heartbeats come every 1.5 s, and such a worker sends each of them like that."""
    posted = []
    application = WorkerRegistration(posted.append)
    for sequence, born in enumerate((1, 1, 1, 2, 2)):
        body = json.dumps(heartbeat(born=born, seq=sequence, cold_remaining_ms=-1))
        environ = {
            "PATH_INFO": "/v1/instances/w1",
            "REQUEST_METHOD": "PUT",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body.encode()),
        }
        list(application(environ, lambda *answer: None))
    assert len(posted) == 5
    lines = [record.msg for record in caplog.records]
    assert [line["message"] for line in lines] == ["heartbeat fields ignored"] * 2
    assert [line["details"]["born"] for line in lines] == [1, 2]
    assert lines[0]["details"]["fields"] == "cold_remaining_ms"


def test_unreadable_settings_give_the_reason(tmp_path):
    path = tmp_path / "settings.json"
    assert "No such file" in read_settings(path).failure()
    path.write_text("{")
    assert str(path) in read_settings(path).failure()
    path.write_text('{"listen": {}, "serves": []}')
    assert "node is missing" in read_settings(path).failure()


def sidecar_settings(tmp_path, **bounds):
    """Return the path of a sidecar's settings with these bounds."""
    path = tmp_path / "settings.json"
    fields = {
        "node": "side-1",
        "serves": ["side"],
        "ip": "127.0.0.1",
        "zone": "a",
        "listen": {"control": "127.0.0.1:7001"},
        "app": "127.0.0.1:7002",
        "seeds": [],
        "platform": {"address": "127.0.0.1:7003"},
        "bounds": {"grace_s": 6, **bounds},
    }
    path.write_text(json.dumps(fields))
    return path


def test_the_time_budget_follows_the_bounds_of_the_platform(tmp_path):
    default = read_settings(sidecar_settings(tmp_path, resend_ms=1300)).unwrap().budget
    assert default == DEFAULT_BUDGET
    path = sidecar_settings(tmp_path, resend_ms=700, stop_ms=40, max_hold_ms=250)
    short = read_settings(path).unwrap().budget
    assert short.tick < default.tick
    assert short.lease == timedelta(milliseconds=250)
    assert short.run_expiry + short.tick <= timedelta(milliseconds=700)


def test_bounds_with_too_early_resubmission_are_refused(tmp_path):
    """If callers resubmit before the loss of an entry can be detected, two runs of a
    task could overlap.
    """
    path = sidecar_settings(tmp_path, resend_ms=300)
    assert "callers come back after 300 ms" in read_settings(path).failure()


@pytest.mark.parametrize("name", ["born", "seq", "clock_ms", "capacity"])
@pytest.mark.parametrize("number", [float("inf"), -float("inf"), 10**18, -(10**18)])
def test_an_absurd_number_in_a_heartbeat_gives_a_message_or_is_taken(name, number):
    """A number beyond any time was answered 500."""
    value = {"cpu": number} if name == "capacity" else number
    body = {**heartbeat(), name: value}
    answer = parse_heartbeat("w-1", json.dumps(body).encode())
    assert is_successful(answer) or answer.failure()


def test_a_large_heartbeat_is_read_as_a_small_one():
    worker = PlatformWorker("w1")
    fields = worker.heartbeat()
    more = {f"field{number}": [{}] for number in range(3000)}
    large = parse_registration("w1", json.dumps({**fields, **more}).encode())
    assert large == parse_registration("w1", json.dumps(fields).encode())
    del fields["capacity"]
    failed = parse_registration("w1", json.dumps({**fields, **more}).encode())
    assert failed.failure() == "capacity is missing"


def test_the_limits_of_the_process_are_read(tmp_path):
    path = sidecar_settings(tmp_path)
    assert read_settings(path).unwrap().limits == DEFAULT_PROCESS_LIMITS
    fields = json.loads(path.read_text())
    fields["limits"] = {"memory_mb": 168, "max_fds": 4096, "cores": 1}
    path.write_text(json.dumps(fields))
    assert read_settings(path).unwrap().limits == ProcessLimits(168_000_000, 4096)
    fields["limits"] = {"memory_mb": 0}
    path.write_text(json.dumps(fields))
    assert "limits" in read_settings(path).failure()
