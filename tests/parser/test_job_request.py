"""Tests of parsing the JSON body of a job request."""

import json
from datetime import datetime, timedelta, timezone

import pytest
from returns.result import Success

from gypsumspoke.parser.job_request import parse_job_request

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
VALID = {
    "key": "k1",
    "birth": "2026-01-01T07:00:00+07:00",
    "team": "pots",
    "service": "estimate",
    "deadline_seconds": 2.5,
    "tasks": [{"body": {"sum": 1}, "declared_seconds": 0.2}, {"body": [1, 2]}],
}


def parse(**changes):
    fields = {**VALID, **changes}
    present = {name: value for name, value in fields.items() if value is not None}
    return parse_job_request(json.dumps(present).encode(), NOW)


def errors_of(result):
    assert not isinstance(result, Success)
    return [error.path for error in result.failure()]


def test_a_valid_request():
    submission = parse().unwrap()
    assert submission.key == ("pots", "k1")
    assert submission.birth == NOW
    assert submission.attempt == 0
    assert submission.deadline == NOW + timedelta(seconds=2.5)
    assert submission.tasks[0].declared == timedelta(seconds=0.2)
    assert submission.tasks[1] == (b"[1, 2]", None)


def test_numbers_in_a_body_keep_their_digits():
    text = json.dumps(VALID).replace('{"sum": 1}', '{"sum": 1.10, "n": 1e400}')
    submission = parse_job_request(text.encode(), NOW).unwrap()
    assert submission.tasks[0].body == b'{"sum": 1.10, "n": 1e400}'


def test_the_birth_comes_from_a_uuidv7_key():
    key = "019b76da-a800-7000-8000-000000000000"
    assert parse(key=key, birth=None).unwrap().birth == NOW


@pytest.mark.parametrize(
    "changes, path",
    [
        ({"key": ""}, "$.key"),
        ({"key": "k" * 201}, "$.key"),
        ({"key": 5}, "$.key"),
        ({"key": None}, "$.key"),
        ({"birth": None}, "$.birth"),
        ({"birth": "2026-01-01T00:00:00"}, "$.birth"),
        ({"birth": "0001-01-01T00:00:00+14:00"}, "$.birth"),
        ({"birth": "yesterday"}, "$.birth"),
        ({"birth": None, "key": "ffffffff-ffff-7000-8000-000000000000"}, "$.key"),
        ({"attempt": -1}, "$.attempt"),
        ({"attempt": 2**53 + 1}, "$.attempt"),
        ({"team": "a/b"}, "$.team"),
        ({"service": ""}, "$.service"),
        ({"deadline_seconds": "soon"}, "$.deadline_seconds"),
        ({"deadline_seconds": 601}, "$.deadline_seconds"),
        ({"not_repeatable": "yes"}, "$.not_repeatable"),
        ({"not_repeatble": True}, "$.not_repeatble"),
        ({"tasks": []}, "$.tasks"),
        ({"tasks": [{"body": 1}] * 131}, "$.tasks"),
        ({"tasks": [{"body": 1}, {}]}, "$.tasks[1].body"),
        ({"tasks": [{"body": 1}, 7]}, "$.tasks[1]"),
        ({"tasks": [{"body": 1, "size": 2}]}, "$.tasks[0].size"),
        (
            {"tasks": [{"body": 1, "declared_seconds": 0}]},
            "$.tasks[0].declared_seconds",
        ),
    ],
)
def test_an_error_has_its_path(changes, path):
    assert errors_of(parse(**changes)) == [path]


def test_all_errors_are_reported_at_once():
    assert errors_of(parse(key="", team="", extra=1)) == ["$.extra", "$.key", "$.team"]


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b"null", b"\xff", b"[" * 100_000, b'{"key": "\\ud800"}']
)
def test_malformed_json_is_refused(body):
    assert errors_of(parse_job_request(body, NOW))


def test_a_deeply_nested_task_body_is_refused():
    nested = b"[" * 50_000 + b"]" * 50_000
    text = json.dumps(VALID).encode().replace(b"[1, 2]", nested)
    assert errors_of(parse_job_request(text, NOW))


def test_the_digest_distinguishes_a_resubmission_from_another_job():
    def digest(**changes):
        return parse(**changes).unwrap().digest

    ordered = [{"body": {"a": 1, "b": 2}}]
    reordered = [{"body": {"b": 2, "a": 1}}]
    assert digest(tasks=ordered) == digest(tasks=reordered)
    assert digest(tasks=ordered) == digest(tasks=ordered, attempt=3)
    others = [
        digest(),
        digest(service="other"),
        digest(not_repeatable=True),
        digest(tasks=[{"body": {"sum": 1}}]),
        digest(tasks=[{"body": {"sum": 1.0}}, {"body": [1, 2]}]),
    ]
    assert len(set(others)) == len(others)
