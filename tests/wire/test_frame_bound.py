"""Tests that the largest messages of the core fit a frame.

An oversized message is dropped by its sender: a caller would get no answer, and a
takeover or a stopping process would wait until its timeout.
"""

from datetime import datetime, timezone

import pytest

from gypsumspoke.core.adoption import _finished_parts
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.jobs import MAX_ANSWER_BYTES
from gypsumspoke.core.messages import Handoff, JobAnswer
from gypsumspoke.core.start_records import StartRecords, fence_acks, remember_messages
from gypsumspoke.core.values import (
    MAX_TASKS,
    NOTHING_FORGOTTEN,
    Answer,
    AttemptId,
    ClosedRecord,
    FinishedRecord,
    JobKey,
    Outcome,
    StartRecord,
    TaskState,
)
from gypsumspoke.parser.job_request import MAX_KEY_LENGTH, MAX_NAME_LENGTH
from gypsumspoke.shell.upstream_client import MAX_RESULT_BYTES
from gypsumspoke.wire.codec import encode
from gypsumspoke.wire.frames import MAX_FRAME_BYTES

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
DIGEST = bytes(32)
COVERED_WORKERS = tuple(f"worker-{number:03}-" + "f" * 16 for number in range(200))
# Characters of four bytes each in UTF-8.
KEY = JobKey("\U0001f33e" * MAX_NAME_LENGTH, "\U0001f33e" * MAX_KEY_LENGTH)


def started(number, size):
    attempt = AttemptId(KEY, number, 1, 1)
    result = bytes(size)
    return StartRecord(
        attempt, 0, NOW, DIGEST, MAX_TASKS, TaskState.DONE, result if size else None
    )


def finished(answer):
    return FinishedRecord(KEY, NOW, 0, DIGEST, answer)


def fits(message):
    return len(encode(message)) <= MAX_FRAME_BYTES


@pytest.mark.parametrize("task_count", [4, MAX_TASKS])
def test_the_largest_answer_fits_a_frame(task_count):
    sizes = [MAX_ANSWER_BYTES // task_count] * task_count
    answer = Answer(None, Work.RAN, tuple(bytes(size) for size in sizes))
    assert fits(JobAnswer("r1", KEY, answer))


@pytest.mark.parametrize(
    "sizes",
    [
        [999_999, MAX_RESULT_BYTES],
        [0] * 499 + [MAX_RESULT_BYTES] * 3,
        [2_000] * 499 + [MAX_RESULT_BYTES],
        [0] * 1_000,
    ],
    ids=["two large", "small then large", "nearly full", "many"],
)
def test_messages_with_start_records_fit_a_frame(sizes):
    records = [started(number, size) for number, size in enumerate(sizes)]
    closed = [ClosedRecord(KEY, NOW, 0, DIGEST, ErrorKind.TASK_FAILED)] * 501
    messages = remember_messages(
        3, 1, COVERED_WORKERS[0], records, closed, COVERED_WORKERS, NOTHING_FORGOTTEN
    )
    assert all(fits(message) for message in messages)
    assert [record for part in messages for record in part.started] == records
    assert [record for part in messages for record in part.closed] == closed


def test_a_fence_is_acknowledged_for_an_empty_partition_too():
    (ack,) = fence_acks(StartRecords("worker-1-a", 0), 3, 1, "worker-1-a")
    assert (ack.chunk, ack.chunks, ack.started, ack.closed) == (0, 1, (), ())


LARGEST = finished(Answer(None, Work.RAN, (bytes(MAX_ANSWER_BYTES),)))
NEARLY = finished(Answer(None, Work.RAN, (bytes(999_999),)))
FAILED = finished(
    Answer(
        ErrorKind.WORKER_LOST,
        Work.UNKNOWN,
        outcomes=(Outcome.UNKNOWN,) * MAX_TASKS,
        detail="d" * 1_000,
    )
)


@pytest.mark.parametrize(
    "records",
    [(NEARLY, LARGEST, NEARLY), (FAILED,) * 499 + (LARGEST,), (FAILED,) * 1_001],
    ids=["large after nearly full", "failed then large", "many failed"],
)
def test_parts_of_a_handed_over_ledger_fit_a_frame(records):
    """Splitting a ledger must count the outcomes of failed jobs, too.

    Otherwise a part with many failed jobs and a large answer exceeds a frame, and the
    leaving home waits for an acknowledgement that never comes.
    """
    parts = _finished_parts(records)
    assert [record for part in parts for record in part] == list(records)
    for number, part in enumerate(parts):
        handoff = Handoff(3, 1, 1, number, len(parts), NOW, None, NOW, (), part)
        assert fits(handoff)
