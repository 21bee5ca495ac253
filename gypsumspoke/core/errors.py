"""Error kinds and the table from kind to HTTP answer.

Every refusal and failure that a caller or an operator can see is one of these kinds,
so that counters, log lines, HTTP answers and documents use the same terms. What an
answer claims about the work is part of the table rather than of the refusing code:
only a home may use a kind that claims "not run", because an entry can't know whether
the submission runs through another entry (docs/DESIGN.md, "Claims").
"""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple


class Work(Enum):
    """What an answer claims about the tasks of the submission.

    ``RAN``: every task ran. ``PARTLY_RAN``: at least one task started and at least
    one never will. ``NOT_RUN``: no task of this attempt or a lower one started or will.
    ``UNKNOWN``: may or may not have run. ``NOT_PASSED_ON``: this request was not
    forwarded; nothing is claimed about other requests for the submission.
    ``RUNNING``: not finished.
    """

    RAN = "ran"
    PARTLY_RAN = "partly_ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    NOT_PASSED_ON = "not_passed_on"
    RUNNING = "running"


class ErrorKind(Enum):
    """Every reason for an answer other than a complete result."""

    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_TEAM = "unknown_team"
    UNKNOWN_SERVICE = "unknown_service"
    DEADLINE_IN_PAST = "deadline_in_past"
    BIRTH_IN_FUTURE = "birth_in_future"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    ATTEMPT_NOT_ISSUED = "attempt_not_issued"
    QUOTA_EXCEEDED = "quota_exceeded"
    ENTRY_OVERLOADED = "entry_overloaded"
    ENTRY_DRAINING = "entry_draining"
    ENTRY_NOT_READY = "entry_not_ready"
    CLOCK_OFF = "clock_off"
    HOME_UNREACHABLE = "home_unreachable"
    HOME_SILENT = "home_silent"
    NOT_OWNER = "not_owner"
    TAKEOVER_IN_PROGRESS = "takeover_in_progress"
    RECORDS_LOST = "records_lost"
    BORN_BEFORE_TAKEOVER = "born_before_takeover"
    ALREADY_REFUSED = "already_refused"
    LEDGER_FULL = "ledger_full"
    QUEUE_FULL = "queue_full"
    NO_WORKER_FITS = "no_worker_fits"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    RETRIES_EXHAUSTED = "retries_exhausted"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    WORKER_LOST = "worker_lost"
    RESULT_LOST = "result_lost"
    OWNERSHIP_UNCONFIRMED = "ownership_unconfirmed"
    JOB_NOT_FOUND = "job_not_found"
    JOB_RUNNING = "job_running"
    CONFLICT = "conflict"
    INVALID_MANIFEST = "invalid_manifest"
    NO_MANIFEST = "no_manifest"
    STORE_UNAVAILABLE = "store_unavailable"
    INTERNAL = "internal"


class AnswerRule(NamedTuple):
    """How a kind is answered over HTTP.

    Attributes:
      status: HTTP status code.
      title: the title of the problem details (RFC 9457).
      work: what the kind claims, or None where the home sets it per answer.
      retry_after: default delay before a retry; None where a retry does not help.
    """

    status: int
    title: str
    work: Work | None
    retry_after: timedelta | None


_SOON = timedelta(seconds=1)
_LATER = timedelta(seconds=5)

ANSWER_RULES: dict[ErrorKind, AnswerRule] = {
    ErrorKind.INVALID_REQUEST: AnswerRule(
        400, "The request is malformed.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.BODY_TOO_LARGE: AnswerRule(
        413, "The request body is too large.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.UNKNOWN_TEAM: AnswerRule(
        403, "The team is not in the manifest.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.UNKNOWN_SERVICE: AnswerRule(
        404, "The service is not in the manifest.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.DEADLINE_IN_PAST: AnswerRule(
        400, "The deadline has passed.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.BIRTH_IN_FUTURE: AnswerRule(
        400, "The birth lies in the future.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.KEY_EXPIRED: AnswerRule(
        410, "The key is older than the retention.", Work.UNKNOWN, None
    ),
    ErrorKind.KEY_REUSED: AnswerRule(
        409,
        "The key was used with another birth or body.",
        Work.NOT_PASSED_ON,
        None,
    ),
    ErrorKind.ATTEMPT_NOT_ISSUED: AnswerRule(
        400, "No refusal gave out this attempt number.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.QUOTA_EXCEEDED: AnswerRule(
        429, "The team is over its quota.", Work.NOT_PASSED_ON, _SOON
    ),
    ErrorKind.ENTRY_OVERLOADED: AnswerRule(
        503, "This entry has too many requests waiting.", Work.NOT_PASSED_ON, _SOON
    ),
    ErrorKind.ENTRY_DRAINING: AnswerRule(
        503, "This entry is shutting down.", Work.NOT_PASSED_ON, _SOON
    ),
    ErrorKind.ENTRY_NOT_READY: AnswerRule(
        503, "This entry has no configuration yet.", Work.NOT_PASSED_ON, _SOON
    ),
    ErrorKind.CLOCK_OFF: AnswerRule(
        503, "This process's clock is off.", Work.NOT_PASSED_ON, _LATER
    ),
    ErrorKind.HOME_UNREACHABLE: AnswerRule(
        503, "No home could be reached.", Work.NOT_PASSED_ON, _SOON
    ),
    ErrorKind.HOME_SILENT: AnswerRule(
        504, "The home did not answer in time.", Work.UNKNOWN, _SOON
    ),
    ErrorKind.NOT_OWNER: AnswerRule(
        503, "The partition has moved.", Work.NOT_PASSED_ON, _SOON
    ),
    ErrorKind.TAKEOVER_IN_PROGRESS: AnswerRule(
        503, "The partition is being taken over.", Work.UNKNOWN, _SOON
    ),
    ErrorKind.RECORDS_LOST: AnswerRule(
        503, "Records of this time were lost.", Work.UNKNOWN, None
    ),
    ErrorKind.BORN_BEFORE_TAKEOVER: AnswerRule(
        503,
        "The submission was not run; resubmit with the next attempt number.",
        Work.NOT_RUN,
        timedelta(0),
    ),
    ErrorKind.ALREADY_REFUSED: AnswerRule(
        503, "This attempt was refused before.", Work.NOT_RUN, timedelta(0)
    ),
    ErrorKind.LEDGER_FULL: AnswerRule(
        503, "The ledger of submissions is full.", Work.NOT_RUN, _LATER
    ),
    ErrorKind.QUEUE_FULL: AnswerRule(503, "The queue is full.", Work.NOT_RUN, _SOON),
    ErrorKind.NO_WORKER_FITS: AnswerRule(
        422, "No worker serves this job.", Work.NOT_RUN, None
    ),
    ErrorKind.DEADLINE_UNREACHABLE: AnswerRule(
        503, "The job can't finish before its deadline.", Work.NOT_RUN, _SOON
    ),
    ErrorKind.DEADLINE_EXCEEDED: AnswerRule(
        504, "The job did not finish before its deadline.", None, None
    ),
    ErrorKind.RETRIES_EXHAUSTED: AnswerRule(
        503, "No worker took the job's tasks.", None, _SOON
    ),
    ErrorKind.CANCELLED: AnswerRule(409, "The job was cancelled.", None, None),
    ErrorKind.TASK_FAILED: AnswerRule(502, "A task failed.", None, None),
    ErrorKind.WORKER_LOST: AnswerRule(
        502, "A worker was lost with a started task.", Work.UNKNOWN, None
    ),
    ErrorKind.RESULT_LOST: AnswerRule(
        502, "The job ran but its answer was lost.", None, None
    ),
    ErrorKind.OWNERSHIP_UNCONFIRMED: AnswerRule(
        503, "The home could not confirm that it is current.", Work.UNKNOWN, _SOON
    ),
    ErrorKind.JOB_NOT_FOUND: AnswerRule(
        404, "No record of this job here.", Work.UNKNOWN, None
    ),
    ErrorKind.JOB_RUNNING: AnswerRule(202, "The job is running.", Work.RUNNING, _SOON),
    ErrorKind.CONFLICT: AnswerRule(
        409, "Another change came first.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.INVALID_MANIFEST: AnswerRule(
        422, "The manifest is invalid.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.NO_MANIFEST: AnswerRule(
        404, "No manifest has been applied yet.", Work.NOT_PASSED_ON, None
    ),
    ErrorKind.STORE_UNAVAILABLE: AnswerRule(
        503, "The platform's table does not answer.", Work.UNKNOWN, _LATER
    ),
    ErrorKind.INTERNAL: AnswerRule(
        500, "An unexpected error occurred.", Work.UNKNOWN, None
    ),
}
