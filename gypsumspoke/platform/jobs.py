"""Decodes job submissions of the platform's callers."""

import json
import re
from datetime import timedelta
from typing import Any

from returns.result import Failure, Result, Success

from gypsumspoke.runs.values import Job, Room, Step

# Specified by the platform.
MAX_SPEC_BYTES = 4000
# Many times the widest job that callers send. A larger one would block the entry's
# event loop while it is placed, and so delay all others.
MAX_TASKS = 1000
MAX_STEPS = 100

_ID = re.compile(r"[0-9a-f]{16}")
# Features that need durable jobs or gang scheduling.
_UNSUPPORTED_JOB_FIELDS = ("long_running", "times")
_UNSUPPORTED_STEP_FIELDS = ("gang", "same_rack", "fills", "may_miss")


class Unsupported(ValueError):
    """The job is valid but uses a feature that is not supported."""


def is_job_id(text: str) -> bool:
    """Return whether a text is a well-formed job id."""
    return _ID.fullmatch(text) is not None


def parse_job(job_id: str, body: bytes) -> Result[Job, ValueError]:
    """Decode the body of a job.

    Args:
      job_id: the id in the path.
      body: JSON text.

    Returns:
      The job, or the error; ``Unsupported`` for a feature that is not supported.
    """
    try:
        fields = json.loads(body)
        return Success(_job(job_id, fields))
    except Unsupported as error:
        return Failure(error)
    except KeyError as error:
        return Failure(ValueError(f"{error.args[0]} is missing"))
    except (ValueError, RecursionError) as error:
        return Failure(ValueError(str(error)))


def _job(job_id: str, fields: Any) -> Job:
    _check(isinstance(fields, dict), "a job is an object")
    for name in _UNSUPPORTED_JOB_FIELDS:
        if fields.get(name):
            raise Unsupported(f"jobs with {name} are not served")
    # Any other job would have to be stored before it is accepted.
    if not fields.get("best_effort"):
        raise Unsupported("jobs that must be stored are not served")
    spec = fields.get("spec", "")
    _check(isinstance(spec, str), "spec is not a text")
    _check(len(spec.encode()) <= MAX_SPEC_BYTES, "spec is too long")
    steps = fields["steps"]
    _check(isinstance(steps, list) and steps, "steps is not a list with a step")
    _check(len(steps) <= MAX_STEPS, f"more than {MAX_STEPS} steps")
    decoded = tuple(_step(number, step) for number, step in enumerate(steps))
    tasks = sum(step.count for step in decoded)
    _check(tasks <= MAX_TASKS, f"{tasks} tasks, more than {MAX_TASKS}")
    return Job(job_id, spec, decoded)


def _step(number: int, fields: Any) -> Step:
    _check(isinstance(fields, dict), f"step {number} is not an object")
    for name in _UNSUPPORTED_STEP_FIELDS:
        if fields.get(name):
            raise Unsupported(f"steps with {name} are not served")
    count = _integer(fields, "count")
    _check(count >= 1, "count is below 1")
    after = fields.get("after") or []
    _check(isinstance(after, list), "after is not a list")
    for earlier in after:
        _check(
            isinstance(earlier, int) and 0 <= earlier < number,
            "after names no earlier step",
        )
    return Step(
        count=count,
        room=Room(
            _integer(fields, "cpu"), _integer(fields, "mem_mb"), _integer(fields, "gpu")
        ),
        estimate=timedelta(milliseconds=_integer(fields, "estimate_ms")),
        after=tuple(after),
        # On the wire, "constraints" is one label, "affinity" is a rack, and
        # "anti_affinity" is the maximum number of tasks on a worker.
        label=_text(fields, "constraints"),
        rack=_text(fields, "affinity"),
        per_worker=_integer(fields, "anti_affinity"),
    )


def _integer(fields: dict[str, Any], name: str) -> int:
    value = fields.get(name, 0)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    _check(is_number and 0 <= value < 10**12, f"{name} is not a count")
    return int(value)


def _text(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name) or ""
    _check(isinstance(value, str), f"{name} is not a text")
    return value


def _check(is_valid: bool, message: str) -> None:
    if not is_valid:
        raise ValueError(message)
