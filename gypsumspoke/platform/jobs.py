"""Jobs as callers send them on the platform."""

import json
import re
from datetime import timedelta
from typing import Any

from returns.result import Failure, Result, Success

from gypsumspoke.runs.values import Job, Room, Step

# From the platform's pages.
MAX_SPEC_BYTES = 4000
# Many times the widest job that the users send; one with more is a mistake, and would
# hold the entry up for everybody else while it is placed.
MAX_TASKS = 1000
MAX_STEPS = 100

_ID = re.compile(r"[0-9a-f]{16}")
# Kinds of work that need the job to be stored, or several tasks to act as one.
_NOT_SUPPORTED_OF_JOB = ("long_running", "times")
_NOT_SUPPORTED_OF_STEP = ("gang", "same_rack", "fills", "may_miss")


class Unsupported(ValueError):
    """The job is valid, but of a kind that is not served."""


def is_job_id(text: str) -> bool:
    """Return whether a text has the form of a job's id."""
    return _ID.fullmatch(text) is not None


def parse_job(job_id: str, body: bytes) -> Result[Job, ValueError]:
    """Decode the body of a job.

    Args:
      job_id: the id in the path.
      body: JSON text.

    Returns:
      The job, or what is wrong; ``Unsupported`` for a kind that is not served.
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
    for name in _NOT_SUPPORTED_OF_JOB:
        if fields.get(name):
            raise Unsupported(f"jobs with {name} are not served")
    # Without this flag the job would have to be stored before it is accepted.
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
    for name in _NOT_SUPPORTED_OF_STEP:
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
        # "constraints" is one label, "affinity" a rack, "anti_affinity" a number.
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


def _check(holds: bool, sentence: str) -> None:
    if not holds:
        raise ValueError(sentence)
