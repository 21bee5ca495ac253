"""Estimates the memory that an entry needs for jobs in progress."""

from gypsumspoke.runs.values import Job

DEFAULT_MAX_JOB_BYTES = 25_000_000

_JOB_BYTES = 4096
_STEP_BYTES = 1024
# With the run of the task and its messages.
_TASK_BYTES = 2048


def job_bytes(job: Job) -> int:
    """Return the estimated memory of a job in progress in bytes."""
    texts = len(job.spec) + sum(len(step.label) + len(step.rack) for step in job.steps)
    earlier = sum(len(step.after) for step in job.steps)
    tasks = sum(step.count for step in job.steps)
    return (
        _JOB_BYTES
        + _STEP_BYTES * len(job.steps)
        + _TASK_BYTES * tasks
        + 8 * earlier
        + texts
    )
