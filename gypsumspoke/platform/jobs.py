"""Decodes job submissions of the platform's callers."""

import re
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from gypsumspoke.runs.values import Job, Room, Step

if TYPE_CHECKING:
    from gypsumspoke.platform.job_fields import JobFields, StepFields

# Specified by the platform.
MAX_SPEC_BYTES = 4000
# Many times the widest job that callers send. A larger one would block the entry's
# event loop while it is placed, and so delay all others.
MAX_TASKS = 1000
# Longer estimates count as this one: no caller waits that long, and sums of centuries
# are beyond any date.
_MAX_ESTIMATE = timedelta(days=1)

_ID = re.compile(r"[0-9a-f]{16}")
# Features that need durable jobs or gang scheduling.
_UNSUPPORTED_JOB_FIELDS = ("long_running", "times")
_UNSUPPORTED_STEP_FIELDS = ("gang", "same_rack", "fills", "may_miss")
# Values that mean the same as a field that is left out.
_EMPTY_VALUES = frozenset((b"", b"null", b"false", b"0", b"0.0", b'""', b"[]", b"{}"))


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
    # With the first job, since the library would delay the start of the process.
    from gypsumspoke.platform.job_fields import decode_job

    try:
        return Success(_job(job_id, decode_job(body)))
    except ValueError as error:
        return Failure(error)


def _job(job_id: str, fields: "JobFields") -> Job:
    for name in _UNSUPPORTED_JOB_FIELDS:
        if _is_set(getattr(fields, name)):
            raise Unsupported(f"jobs with {name} are not served")
    # Any other job would have to be stored before it is accepted.
    if not _is_set(fields.best_effort):
        raise Unsupported("jobs that must be stored are not served")
    _check(fields.steps is not None, "steps is missing")
    _check(len(fields.spec.encode()) <= MAX_SPEC_BYTES, "spec is too long")
    steps = tuple(_step(number, step) for number, step in enumerate(fields.steps))
    tasks = sum(step.count for step in steps)
    _check(tasks <= MAX_TASKS, f"{tasks} tasks, more than {MAX_TASKS}")
    return Job(job_id, fields.spec, steps)


def _step(number: int, fields: "StepFields") -> Step:
    for name in _UNSUPPORTED_STEP_FIELDS:
        if _is_set(getattr(fields, name)):
            raise Unsupported(f"steps with {name} are not served")
    after = sorted(fields.after or ())
    _check(not after or after[-1] < number, "after names no earlier step")
    return Step(
        count=int(fields.count),
        room=Room(int(fields.cpu), int(fields.mem_mb), int(fields.gpu)),
        estimate=min(timedelta(milliseconds=int(fields.estimate_ms)), _MAX_ESTIMATE),
        after=tuple(after),
        label=fields.constraints or "",
        rack=fields.affinity or "",
        per_worker=int(fields.anti_affinity),
    )


def _is_set(value: Any) -> bool:
    return bytes(value) not in _EMPTY_VALUES


def _check(is_valid: bool, message: str) -> None:
    if not is_valid:
        raise ValueError(message)
