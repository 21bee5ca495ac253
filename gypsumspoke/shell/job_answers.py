"""HTTP form of answers about jobs: JSON for results, problem details for errors.

Status and title of a problem come from ``ANSWER_RULES``, so that each kind of error
looks the same wherever it arises.
"""

import base64
import json
from http import HTTPStatus
from typing import Any

import msgspec

from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind
from gypsumspoke.core.values import Answer, JobKey
from gypsumspoke.http.answers import HttpAnswer, json_answer, retry_headers

PROBLEM_TYPE = "application/problem+json"
PROBLEM_URN = "urn:gypsumspoke:error:"
NOT_JSON = "not_json_base64"


def job_answer(key: JobKey, answer: Answer) -> HttpAnswer:
    """Return the HTTP form of the answer to a job, a query or a cancellation."""
    if answer.kind is None:
        return _complete(key, answer)
    if answer.kind is ErrorKind.JOB_RUNNING:
        status = ANSWER_RULES[answer.kind].status
        members = {"team": key.team, "key": key.key, **_members(answer)}
        return json_answer(members, status, retry_headers(answer.retry_after))
    return problem(answer, team=key.team, key=key.key)


def cancel_answer(key: JobKey, answer: Answer) -> HttpAnswer:
    """Return the HTTP form of the answer to a cancellation; cancelled is a success."""
    if answer.kind is ErrorKind.CANCELLED:
        return json_answer({"team": key.team, "key": key.key, **_members(answer)})
    return job_answer(key, answer)


def problem(answer: Answer, **more: Any) -> HttpAnswer:
    """Return the problem details (RFC 9457) of an answer that has a kind.

    Args:
      answer: answer with a kind.
      more: additional members of the problem.
    """
    rule = ANSWER_RULES[answer.kind]
    members = {
        "type": PROBLEM_URN + answer.kind.value,
        "title": rule.title,
        "status": rule.status,
        **({"detail": answer.detail} if answer.detail else {}),
        **_members(answer),
        **more,
    }
    body = json.dumps(members).encode()
    return HttpAnswer(
        rule.status, body, retry_headers(answer.retry_after), PROBLEM_TYPE
    )


def _complete(key: JobKey, answer: Answer) -> HttpAnswer:
    head = json.dumps(
        {"team": key.team, "key": key.key, "work": answer.work.value}
    ).encode()
    results = b",".join(_encode_result(result) for result in answer.results)
    # Results are inserted verbatim, so that numbers keep their digits.
    return HttpAnswer(HTTPStatus.OK, head[:-1] + b', "results": [' + results + b"]}")


def _encode_result(body: bytes) -> bytes:
    try:
        msgspec.json.decode(body)
        return body
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return json.dumps({NOT_JSON: base64.b64encode(body).decode()}).encode()


def _members(answer: Answer) -> dict[str, Any]:
    members: dict[str, Any] = {"kind": answer.kind.value, "work": answer.work.value}
    if answer.next_attempt is not None:
        members["next_attempt"] = answer.next_attempt
    if answer.outcomes:
        members["outcomes"] = [outcome.value for outcome in answer.outcomes]
    if answer.retry_after is not None:
        members["retry_after_seconds"] = answer.retry_after.total_seconds()
    return members
