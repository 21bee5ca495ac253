"""State of a running job."""

from datetime import datetime, timedelta, timezone

from gypsumspoke.core import jobs
from gypsumspoke.core.jobs import Job
from gypsumspoke.core.values import JobKey, Submission, Task

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)


def new_job(tasks):
    return Job(
        Submission(
            JobKey("team", "k"),
            NOW,
            0,
            "estimate",
            NOW + timedelta(seconds=5),
            False,
            (Task(b"1"),) * tasks,
            b"",
        ),
        3,
        NOW,
    )


def test_results_of_one_job_are_bounded_in_memory(monkeypatch):
    """Results over the bound of one answer are dropped, as they can't be sent.

    A dropped result is None, since an empty one would be taken as the result.
    """
    monkeypatch.setattr(jobs, "MAX_ANSWER_BYTES", 10)
    job = new_job(tasks=4)
    for slot, size in zip(job.slots, (6, 4, 1, 0), strict=True):
        job.set_done(slot, bytes(size))
    assert [slot.result for slot in job.slots] == [bytes(6), bytes(4), None, None]
    assert job.is_done
    assert job.is_too_large
