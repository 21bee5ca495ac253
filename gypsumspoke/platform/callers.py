"""HTTP interface of an entry for callers on the platform."""

import json
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import gevent
from gevent.event import Event
from returns.pipeline import is_successful

from gypsumspoke.core.clock import Clock
from gypsumspoke.core.effects import Count
from gypsumspoke.http.answers import (
    BodyTooLarge,
    Environ,
    HttpAnswer,
    StartResponse,
    json_answer,
    read_body,
    respond,
    retry_headers,
)
from gypsumspoke.http.heads import RequestHead
from gypsumspoke.http.server import SOCKET_KEY, UnreadRefusal
from gypsumspoke.http.values import UNREAD_STATUS, Unread
from gypsumspoke.platform.jobs import Unsupported, is_job_id, parse_job
from gypsumspoke.runs.admission import configuration_timeout, refuse_overloaded
from gypsumspoke.runs.cancellations import AnswerCancel, CancelEnd
from gypsumspoke.runs.coordinator_state import (
    AnswerJob,
    CancelJobArrived,
    CoordinatorState,
    FirstConfiguration,
    JobArrived,
    JobCallerLeft,
)
from gypsumspoke.runs.values import JobEnd, RefusalReason, Route
from gypsumspoke.shell.disconnects import is_closed, watch_disconnect
from gypsumspoke.shell.waiters import Waiters

# Applies to a caller without a deadline, and bounds every deadline.
_MAX_CALLER_TIMEOUT = timedelta(seconds=30)
# How long a request to cancel a job waits for the store; below the platform's bound on
# the acknowledgement.
_CANCEL_TIMEOUT = timedelta(seconds=3)
# The reducer answers every request by its deadline; the margin guards against a bug.
_ANSWER_MARGIN = timedelta(seconds=2)
_SHORT_RETRY_DELAY = timedelta(seconds=1)
_LONG_RETRY_DELAY = timedelta(seconds=10)

# Before the first configuration no limit is known; more is never held for one caller.
_MAX_UNCONFIGURED_BODY_BYTES = 1024 * 1024
_DEADLINE_FIELD = "gypsumspoke-deadline-ms"

_UNREAD_REASONS = {
    Unread.MALFORMED_REQUEST: RefusalReason.MALFORMED_REQUEST,
    Unread.REQUEST_LINE_TOO_LONG: RefusalReason.HEADER_TOO_LARGE,
    Unread.HEADER_TOO_LARGE: RefusalReason.HEADER_TOO_LARGE,
    Unread.REQUEST_TIMEOUT: RefusalReason.REQUEST_TIMEOUT,
    Unread.CLIENTS_PRESS: RefusalReason.CLIENTS_PRESS,
}

_STATUS_CODES = {
    JobEnd.COMPLETED: 200,
    JobEnd.FAILED: 200,
    # Not accepted: no task of the job runs.
    JobEnd.NOT_RUN: 503,
    # Tasks may have run; the caller may send the job again.
    JobEnd.GIVEN_UP: 504,
}

# The job may have been stopped here, but other entries may not know of it.
_UNCONFIRMED_CANCEL = CancelEnd(is_known=True, is_stored=False)


class Callers:
    """WSGI application that serves callers.

    Attributes:
      FIELDS: names of the header fields that it looks at.

    Args:
      post: queues an event for the reducer.
      count: counts a refusal that never reaches the reducer.
      clock: source of arrival times.
      state: the reducer's state, which holds the routing table; changed here only by
        ``refuse_overloaded``.
    """

    FIELDS = frozenset(("host", _DEADLINE_FIELD))

    def __init__(
        self,
        post: Callable[[Any], None],
        count: Callable[[Count], None],
        clock: Clock,
        state: CoordinatorState,
    ) -> None:
        self._post = post
        self._count = count
        self._clock = clock
        self._state = state
        self._waiters = Waiters()
        self._cancels = Waiters()
        # Number of waiting requests by job id; the reducer may not know them yet.
        self._waiting_jobs: Counter[str] = Counter()
        self._configured = Event()
        self._is_stopped = False

    def on_first_configuration(self, effect: FirstConfiguration) -> None:
        """Release the requests that wait for the first configuration."""
        self._configured.set()

    def deliver(self, effect: AnswerJob) -> None:
        """Pass an answer to the request that waits for it."""
        self._waiters.deliver(effect.request, effect)

    def deliver_cancel(self, effect: AnswerCancel) -> None:
        """Pass an answer to the request that cancels a job."""
        self._cancels.deliver(effect.request, effect.end)

    def abort_all(self) -> None:
        """Answer all waiting requests, and refuse all later ones.

        Called when the event loop has ended: without it, connections would stay open
        unanswered until the process is killed.
        """
        self._is_stopped = True
        self._configured.set()
        self._waiters.deliver_all(
            lambda request: AnswerJob(
                request, JobEnd.GIVEN_UP, RefusalReason.STOPPING, _SHORT_RETRY_DELAY
            )
        )
        self._cancels.deliver_all(lambda request: _UNCONFIRMED_CANCEL)

    def body_limit(self, head: RequestHead) -> int:
        """Return the size up to which a request's body is wanted."""
        if head.method != "POST":
            return 0
        table = self._state.table
        if table is None:
            return _MAX_UNCONFIGURED_BODY_BYTES
        if table.find(head.fields.get("host", ""), head.decoded_path) is None:
            return 0
        return table.configuration.limits.body_bytes

    def refuse_unread(self, refusal: UnreadRefusal) -> HttpAnswer | None:
        """Return the answer to a request that isn't read.

        None if its job is known here: "not run" could be false.
        """
        reason = _UNREAD_REASONS[refusal.reason]
        if refusal.head is not None and self._is_known(refusal.head.decoded_path):
            self._count(Count(reason))
            return None
        status = UNREAD_STATUS[refusal.reason]
        detail = "the request was not read, and nothing has run"
        return self._refuse(status, reason, detail, refusal.retry_after)

    def _is_known(self, path: str) -> bool:
        """Return whether the job of a request's path runs, or was cancelled, here."""
        job_id = path.rpartition("/")[2]
        return (
            job_id in self._waiting_jobs
            or job_id in self._state.jobs
            or job_id in self._state.cancellations
        )

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request (WSGI)."""
        answer = self._answer(environ)
        if self._state.draining is not None or self._state.isolated:
            # The next request on a kept-alive connection would be cut off by the stop,
            # or come here again though other entries reach the sidecars.
            answer = answer._replace(headers=(*answer.headers, ("Connection", "close")))
        return respond(answer, start)

    def _answer(self, environ: Environ) -> HttpAnswer:
        if self._state.table is None:
            timeout = configuration_timeout(self._state, self._clock.now())
            self._configured.wait(timeout.total_seconds())
        if self._is_stopped or self._state.stopped:
            reason = RefusalReason.STOPPING
            return self._refuse(503, reason, "this entry stops", _SHORT_RETRY_DELAY)
        if self._state.table is None:
            reason = RefusalReason.NO_CONFIGURATION
            return self._refuse(503, reason, "no configuration yet", _SHORT_RETRY_DELAY)
        path = environ["PATH_INFO"]
        route = self._state.table.find(environ.get("HTTP_HOST", ""), path)
        if route is None:
            return self._refuse(404, RefusalReason.NO_ROUTE, "no such queue")
        job_id = path.removeprefix(route.path_prefix)
        method = environ["REQUEST_METHOD"]
        if not job_id and method == "GET":
            # A best-effort job is accepted and completed by the same answer, so no
            # accepted job is ever pending.
            return json_answer({"pending": 0})
        if not is_job_id(job_id):
            return self._refuse(404, RefusalReason.NO_ROUTE, "no job id in the path")
        if method == "POST":
            return self._submit(environ, route, job_id)
        if method == "GET":
            return json_answer({"error": "no such job"}, 410)
        if method == "DELETE":
            return self._cancel(job_id)
        return self._refuse(405, RefusalReason.INVALID_JOB, "no such method")

    def _submit(self, environ: Environ, route: Route, job_id: str) -> HttpAnswer:
        if job_id not in self._waiting_jobs:
            refusal = refuse_overloaded(self._state, job_id)
            if refusal is not None:
                detail = "this entry is behind"
                return self._refuse(503, refusal.reason, detail, refusal.retry_after)
        limit = self._state.table.configuration.limits.body_bytes
        try:
            parsed = parse_job(job_id, read_body(environ, limit))
        except BodyTooLarge:
            reason = RefusalReason.BODY_TOO_LARGE
            return self._refuse(413, reason, f"at most {limit} bytes are taken")
        if not is_successful(parsed):
            return self._refuse_body(parsed.failure())
        if is_closed(environ[SOCKET_KEY]):
            # The request was not read while this process was paused; the caller may
            # have resubmitted the job to another entry, where it runs now.
            reason = RefusalReason.CALLER_LEFT
            return self._refuse(504, reason, "the caller has left", _SHORT_RETRY_DELAY)
        timeout = _caller_timeout(environ)
        request, result = self._waiters.open()
        self._waiting_jobs[job_id] += 1
        try:
            deadline = self._clock.now() + timeout
            self._post(JobArrived(request, parsed.unwrap(), route, deadline))
            with watch_disconnect(
                environ[SOCKET_KEY],
                lambda: self._post(JobCallerLeft(request)),
            ):
                limit = timeout + _ANSWER_MARGIN
                return _encode(result.get(timeout=limit.total_seconds()))
        except gevent.Timeout:
            self._post(JobCallerLeft(request))
            reason = RefusalReason.DEADLINE_EXCEEDED
            return self._refuse(504, reason, "no answer in time", _SHORT_RETRY_DELAY)
        finally:
            self._waiters.close(request)
            self._waiting_jobs[job_id] -= 1
            if not self._waiting_jobs[job_id]:
                del self._waiting_jobs[job_id]

    def _cancel(self, job_id: str) -> HttpAnswer:
        request, result = self._cancels.open()
        try:
            self._post(CancelJobArrived(request, job_id))
            end = result.get(timeout=_CANCEL_TIMEOUT.total_seconds())
        except gevent.Timeout:
            end = _UNCONFIRMED_CANCEL
        finally:
            self._cancels.close(request)
        if not end.is_stored:
            reason = RefusalReason.CANCEL_NOT_STORED
            detail = "the cancel is not stored yet"
            return self._refuse(503, reason, detail, _SHORT_RETRY_DELAY)
        if not end.is_known:
            return json_answer({"error": "no such job"}, 410)
        return json_answer({})

    def _refuse_body(self, error: ValueError) -> HttpAnswer:
        if isinstance(error, Unsupported):
            reason = RefusalReason.NOT_SUPPORTED
            return self._refuse(503, reason, str(error), _LONG_RETRY_DELAY)
        return self._refuse(400, RefusalReason.INVALID_JOB, str(error))

    def _refuse(
        self,
        status: int,
        reason: RefusalReason,
        detail: str,
        retry_after: timedelta | None = None,
    ) -> HttpAnswer:
        self._count(Count(reason))
        body = {"error": detail, "reason": reason.value}
        return json_answer(body, status, _retry_headers(retry_after))


def _caller_timeout(environ: Environ) -> timedelta:
    """Return how long the caller waits.

    The route's timeout does not apply: it is for requests that are passed on whole, and
    some tasks run longer.
    """
    text = environ.get("HTTP_GYPSUMSPOKE_DEADLINE_MS", "")
    if not text.isdecimal():
        return _MAX_CALLER_TIMEOUT
    return min(_MAX_CALLER_TIMEOUT, timedelta(milliseconds=int(text[:9])))


def _encode(answer: AnswerJob) -> HttpAnswer:
    status = _STATUS_CODES[answer.end]
    if answer.reason is RefusalReason.TOO_MANY_JOBS:
        status = 429
    if status == 200:
        return json_answer({"state": answer.end.value})
    body = {"error": answer.end.value, "reason": answer.reason.value}
    return json_answer(body, status, _retry_headers(answer.retry_after))


def _retry_headers(retry_after: timedelta | None) -> tuple[tuple[str, str], ...]:
    # Zero would make the caller retry before anything has changed.
    return retry_headers(
        max(retry_after, _SHORT_RETRY_DELAY) if retry_after is not None else None
    )


def readiness(is_ready: Callable[[], bool]):
    """Return the WSGI application that answers the load balancer's readiness probe.

    Args:
      is_ready: whether this entry accepts new connections.
    """

    def answer(environ: Environ, start: StartResponse) -> Iterable[bytes]:
        ready = is_ready()
        text = json.dumps({"ready": ready}).encode()
        return respond(HttpAnswer(200 if ready else 503, text), start)

    return answer
