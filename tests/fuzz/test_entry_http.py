"""Fuzz tests of the HTTP interface for callers: a known error kind, no exception."""

import io
import json

import gevent
from hypothesis import assume, given, strategies as st

from gypsumspoke.core.clock import SystemClock
from gypsumspoke.core.effects import Deliver
from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind, Work
from gypsumspoke.core.values import Answer
from gypsumspoke.parser.job_request import MAX_BODY_BYTES
from gypsumspoke.shell.entry_http import EntryHttp
from gypsumspoke.shell.job_answers import PROBLEM_TYPE
from tests.fuzz.test_job_request import JOB, bodies

RUNNING = Answer(ErrorKind.JOB_RUNNING, Work.RUNNING)

# WSGI hands header values and paths over as Latin-1.
latin = st.text(st.characters(max_codepoint=255), max_size=20)
names = st.sampled_from(["HTTP_PREFER", "CONTENT_TYPE", "HTTP_HOST", "HTTP_X_ANY"])
headers = st.dictionaries(names, st.just("respond-async") | latin, max_size=3)


def call(environ):
    """Return status, headers and body of one request to the application.

    Requests that reach the reducer are answered "running" at once.
    """
    answered = []

    def post(event):
        entry.deliver(Deliver(event.request, RUNNING))

    entry = EntryHttp(post, lambda count: None, SystemClock(), lambda: False)
    with gevent.Timeout(30):
        body = b"".join(entry(environ, lambda *start: answered.append(start)))
    ((status, sent),) = answered
    return int(status.split()[0]), dict(sent), body


def request(method, path, more=(), body=b"", length=None):
    """Return the kind of the answer to a request, after checking its format."""
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "wsgi.input": io.BytesIO(body),
        **dict(more),
    }
    if length is not None:
        environ["CONTENT_LENGTH"] = str(length)
    status, sent, answer = call(environ)
    fields = json.loads(answer)
    kind = ErrorKind(fields["kind"])
    Work(fields["work"])
    assert status == ANSWER_RULES[kind].status
    assert kind is RUNNING.kind or sent["Content-Type"] == PROBLEM_TYPE
    return kind


@given(headers, bodies | st.binary(max_size=80))
def test_any_body_runs_or_is_an_invalid_request(more, body):
    assert request("POST", "/v1/jobs", more, body) in (
        ErrorKind.JOB_RUNNING,
        ErrorKind.INVALID_REQUEST,
    )


@given(st.integers(MAX_BODY_BYTES + 1), st.binary(max_size=10))
def test_too_large_a_content_length_is_refused_without_reading(length, body):
    kind = request("POST", "/v1/jobs", body=body, length=length)
    assert kind is ErrorKind.BODY_TOO_LARGE


@given(st.sampled_from(["GET", "DELETE"]), latin, headers)
def test_any_job_path_is_queried_or_an_invalid_request(method, path, more):
    assert request(method, f"/v1/jobs/pots/{path}", more) in (
        ErrorKind.JOB_RUNNING,
        ErrorKind.INVALID_REQUEST,
    )


@given(latin, latin | latin.map(lambda text: "/v1/jobs/" + text), headers)
def test_any_other_method_is_an_invalid_request(method, path, more):
    assume(method not in ("GET", "DELETE"))
    assert request(method, path, more) is ErrorKind.INVALID_REQUEST


def test_valid_requests_reach_the_reducer():
    """Without this, the tests above could pass with every request refused."""
    body = json.dumps(JOB).encode()
    assert request("POST", "/v1/jobs", (), body) is ErrorKind.JOB_RUNNING
    assert request("GET", "/v1/jobs/pots/k/\xc3\xa9") is ErrorKind.JOB_RUNNING
    assert request("DELETE", "/v1/jobs/pots/k") is ErrorKind.JOB_RUNNING
