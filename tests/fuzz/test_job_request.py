"""Fuzz tests of job requests: an error or a submission that can be forwarded."""

import json
from datetime import datetime, timezone

from hypothesis import given, strategies as st
from returns.pipeline import is_successful

from gypsumspoke.core.messages import SubmitJob
from gypsumspoke.parser.job_request import parse_job_request
from gypsumspoke.wire.codec import decode, encode
from tests.fuzz.texts import mutated_documents

NOW = datetime(2026, 1, 1, 8, tzinfo=timezone.utc)
JOB = {
    "key": "0197f0a3-5c1e-7b2a-9c44-0d7a3b1f8e21",
    "birth": "2026-01-01T08:00:00.5+01:00",
    "attempt": 0,
    "team": "pots",
    "service": "estimate",
    "deadline_seconds": 5,
    "not_repeatable": False,
    "tasks": [
        {"body": {"paid": 1250.50, "name": "é"}, "declared_seconds": 0.2},
        {"body": [1e30, None]},
    ],
}

bodies = mutated_documents(JOB).map(lambda text: text.encode(errors="surrogatepass"))


@given(bodies | st.binary(max_size=80))
def test_a_submission_reaches_the_home_unchanged(body):
    parsed = parse_job_request(body, NOW)
    if not is_successful(parsed):
        errors = parsed.failure()
        assert errors
        # The errors are sent to the caller as JSON in UTF-8.
        json.dumps([error._asdict() for error in errors], ensure_ascii=False).encode()
        return
    message = SubmitJob("r1", 0, parsed.unwrap())
    assert decode(encode(message)).unwrap() == message
    for task in parsed.unwrap().tasks:
        json.loads(task.body)


@given(bodies)
def test_a_resubmission_is_parsed_alike(body):
    first = parse_job_request(body, NOW)
    assert parse_job_request(body, NOW) == first
