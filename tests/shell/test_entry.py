"""Entry process over real HTTP, with a home simulated by the test."""

import json
from contextlib import closing
from datetime import timedelta

import gevent
import pytest
from gevent import socket

from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.messages import CancelJob, JobAnswer, QueryJob, SubmitJob
from gypsumspoke.core.rows import member_key
from gypsumspoke.core.values import Answer, Outcome
from tests.standins.entry_process import DONE, PARTITIONS, job, request
from tests.standins.processes import TIMEOUT_SECONDS, call_json


def test_a_job_is_forwarded_and_its_answer_returned(entry, home):
    caller = entry.submit_later()
    message = home.answer(DONE)
    assert [task.body for task in message.submission.tasks] == [b'{"paid": 7}', b"2"]
    status, _, body = caller.get(timeout=TIMEOUT_SECONDS)
    assert status == 200
    assert body["work"] == "ran"
    assert body["results"] == [{"pot": 1.1}, {"not_json_base64": "cGxhaW4="}]


def test_a_refusal_has_problem_details_with_retry_after(entry, home):
    caller = entry.submit_later()
    home.answer(
        Answer(
            ErrorKind.QUEUE_FULL,
            Work.NOT_RUN,
            next_attempt=3,
            outcomes=(Outcome.NOT_RUN, Outcome.NOT_RUN),
            retry_after=timedelta(seconds=1.2),
        )
    )
    status, headers, body = caller.get(timeout=TIMEOUT_SECONDS)
    assert status == 503
    assert headers["content-type"] == "application/problem+json"
    assert headers["retry-after"] == "2"
    assert body == {
        "type": "urn:gypsumspoke:error:queue_full",
        "title": "The queue is full.",
        "status": 503,
        "kind": "queue_full",
        "work": "not_run",
        "next_attempt": 3,
        "outcomes": ["not_run", "not_run"],
        "retry_after_seconds": 1.2,
        "team": "pots",
        "key": "k1",
    }


def test_answers_out_of_order_reach_their_own_callers(entry, home):
    """Answers are matched by request id, not by their order on the connection."""
    first = entry.submit_later(key="a")
    sender, one = home.receive(SubmitJob)
    second = entry.submit_later(key="b")
    _, two = home.receive(SubmitJob)
    for message, result in ((two, b'"b"'), (one, b'"a"')):
        answer = Answer(None, Work.RAN, (result,))
        key = message.submission.key
        home.links.send(sender, JobAnswer(message.request, key, answer))
    assert first.get(timeout=TIMEOUT_SECONDS)[2]["results"] == ["a"]
    assert second.get(timeout=TIMEOUT_SECONDS)[2]["results"] == ["b"]


def test_a_caller_may_ask_for_the_answer_later(entry, home):
    caller = gevent.spawn(entry.submit, (), {"Prefer": "respond-async"})
    running = Answer(
        ErrorKind.JOB_RUNNING, Work.RUNNING, retry_after=timedelta(seconds=1)
    )
    assert home.answer(running).wait is False
    assert caller.get(timeout=TIMEOUT_SECONDS)[0] == 202
    query = gevent.spawn(request, entry.port, "GET", "/v1/jobs/pots/a%2Fb%20%C3%A9")
    assert home.answer(DONE, QueryJob).key == ("pots", "a/b é")
    assert query.get(timeout=TIMEOUT_SECONDS)[0] == 200
    cancel = gevent.spawn(request, entry.port, "DELETE", "/v1/jobs/pots/k1")
    home.answer(Answer(ErrorKind.CANCELLED, Work.NOT_RUN), CancelJob)
    status, _, body = cancel.get(timeout=TIMEOUT_SECONDS)
    assert (status, body["kind"]) == (200, "cancelled")


def test_a_caller_that_disconnects_does_not_cancel(entry, home):
    """The answer to a caller that disconnected is dropped, and the home receives no
    cancellation; the next request on another connection is served.
    """
    body = json.dumps(job()).encode()
    head = f"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    with closing(socket.create_connection(("127.0.0.1", entry.port))) as caller:
        caller.sendall(head.encode() + body)
        sender, message = home.receive(SubmitJob)
    answer = JobAnswer(message.request, message.submission.key, DONE)
    home.links.send(sender, answer)
    again = entry.submit_later()
    home.answer(DONE)
    assert again.get(timeout=TIMEOUT_SECONDS)[0] == 200


@pytest.mark.parametrize(
    "body, status, kind",
    [
        (b"{", 400, "invalid_request"),
        (json.dumps(job(tasks=[{"body": 1}] * 131)).encode(), 400, "invalid_request"),
        (json.dumps(job(team="nobody")).encode(), 403, "unknown_team"),
        (json.dumps(job(service="nothing")).encode(), 404, "unknown_service"),
        (json.dumps(job(deadline_seconds=-1)).encode(), 400, "deadline_in_past"),
        (
            json.dumps(job(birth="2999-01-01T00:00:00Z")).encode(),
            400,
            "birth_in_future",
        ),
        (json.dumps(job(birth="1999-01-01T00:00:00Z")).encode(), 410, "key_expired"),
        (b" " * 10_000_000, 413, "body_too_large"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_bad_input_gets_a_clear_error(entry, home, body, status, kind):
    found, _, problem = request(entry.port, "POST", "/v1/jobs", body)
    assert (found, problem["kind"]) == (status, kind)
    assert problem["work"] in ("not_passed_on", "unknown")
    good = entry.submit_later()
    home.answer(DONE)
    assert good.get(timeout=TIMEOUT_SECONDS)[0] == 200


def test_an_endless_chunked_body_is_refused(entry):
    chunk = b"10000\r\n" + b" " * 0x10000 + b"\r\n"
    head = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    with closing(socket.create_connection(("127.0.0.1", entry.port))) as caller:
        caller.settimeout(TIMEOUT_SECONDS)
        caller.sendall(head + chunk * 20)
        assert caller.recv(100).startswith(b"HTTP/1.1 413 ")


def test_a_graceful_stop_completes_requests_in_progress(entry, home):
    """On SIGTERM an entry with a waiting caller becomes unready and refuses new jobs;
    the caller gets its answer before the process exits with status 0.
    """
    caller = entry.submit_later()
    sender, message = home.receive(SubmitJob)
    entry.process.send_signal(15)
    with gevent.Timeout(TIMEOUT_SECONDS):
        while request(entry.admin_port, "GET", "/readyz")[0] == 200:
            gevent.sleep(0.02)
    assert entry.submit({"key": "late"})[2]["kind"] == "entry_draining"
    answer = JobAnswer(message.request, message.submission.key, DONE)
    home.links.send(sender, answer)
    assert caller.get(timeout=TIMEOUT_SECONDS)[0] == 200
    assert entry.process.wait_exit() == 0


def test_an_idle_entry_stops_with_status_0_and_ends_its_registration(entry, table):
    assert entry.process.terminate() == 0
    [row] = [
        row
        for row in table.post("/v1/read", {"prefix": "members/entry"})["rows"]
        if row["key"] == member_key(entry.incarnation)
    ]
    assert json.loads(row["value"])["ended"] is not None


def test_serves_while_the_table_is_down(entry, table, home):
    table.post("/faults", {"down": True})
    caller = entry.submit_later()
    home.answer(DONE)
    assert caller.get(timeout=TIMEOUT_SECONDS)[0] == 200


def test_the_admin_port_shows_members_and_partitions(entry, home):
    status, body = call_json(entry.admin_port, "GET", "/v1/status")
    assert status == 200
    assert {member["worker"] for member in body["members"]} == {"entry-a", "home"}
    assert len(body["partitions"]) == PARTITIONS
