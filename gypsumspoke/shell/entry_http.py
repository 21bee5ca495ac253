"""The callers' HTTP interface of an entry.

Each request is posted to the reducer as one event and waits for the answer with its
request id. Closing the connection does not cancel a job: the caller may fetch the
answer through any entry later.
"""

import logging
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import partial
from typing import Any

import gevent
from returns.pipeline import is_successful

from gypsumspoke.core.clock import Clock
from gypsumspoke.core.effects import Count, Deliver
from gypsumspoke.core.entry import (
    QUERY_TIMEOUT,
    CallerArrived,
    CallerLeft,
    CancelArrived,
    QueryArrived,
)
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.forwarding import DEADLINE_GRACE
from gypsumspoke.core.refusals import refusal_answer
from gypsumspoke.core.values import Answer, JobKey
from gypsumspoke.http.answers import (
    BodyTooLarge,
    Environ,
    HttpAnswer,
    StartResponse,
    read_body,
    respond,
)
from gypsumspoke.http.heads import RequestHead
from gypsumspoke.http.server import UnreadRefusal
from gypsumspoke.http.values import Unread
from gypsumspoke.parser.job_request import (
    MAX_BODY_BYTES,
    RequestError,
    parse_job_request,
)
from gypsumspoke.shell.job_answers import cancel_answer, job_answer, problem
from gypsumspoke.shell.waiters import Waiters

JOBS_PATH = "/v1/jobs"
# The reducer answers every request by its deadline. A request still unanswered this
# much later is reported as an internal error.
_ANSWER_MARGIN = timedelta(seconds=10)

_log = logging.getLogger(__name__)


class EntryHttp:
    """WSGI application of the callers' interface.

    Attributes:
      FIELDS: names of the header fields that it looks at.

    Args:
      post: queues an event for the reducer.
      count: counts refusals made without the reducer.
      clock: source of arrival times.
      is_draining: whether connections are closed after their answer.
    """

    FIELDS = frozenset(("prefer",))

    def __init__(
        self,
        post: Callable[[Any], None],
        count: Callable[[Count], None],
        clock: Clock,
        is_draining: Callable[[], bool],
    ) -> None:
        self._post = post
        self._count = count
        self._clock = clock
        self._is_draining = is_draining
        self._waiters = Waiters()

    def deliver(self, effect: Deliver) -> None:
        """Pass an answer to the waiting request."""
        self._waiters.deliver(effect.request, effect.answer)

    @staticmethod
    def body_limit(head: RequestHead) -> int:
        """Return the size up to which a request's body is wanted."""
        return MAX_BODY_BYTES if head.decoded_path == JOBS_PATH else 0

    def refuse_unread(self, refusal: UnreadRefusal) -> HttpAnswer:
        """Return the answer to a request that isn't read."""
        is_pressed = refusal.reason is Unread.CLIENTS_PRESS
        kind = ErrorKind.ENTRY_OVERLOADED if is_pressed else ErrorKind.INVALID_REQUEST
        return self._refuse(kind, refusal.reason.value.replace("_", " "))

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request (WSGI)."""
        answer = self._answer(environ)
        if self._is_draining():
            # The stop would cut off a later request on this connection.
            answer = answer._replace(headers=(*answer.headers, ("Connection", "close")))
        return respond(answer, start)

    def _answer(self, environ: Environ) -> HttpAnswer:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if path == JOBS_PATH:
            return self._submit(environ) if method == "POST" else self._refuse_method()
        key = _key_of_path(path)
        if key is None:
            return self._refuse(ErrorKind.INVALID_REQUEST, f"no such path: {path}")
        if method == "GET":
            return job_answer(key, self._ask(partial(QueryArrived, key=key)))
        if method == "DELETE":
            return cancel_answer(key, self._ask(partial(CancelArrived, key=key)))
        return self._refuse_method()

    def _submit(self, environ: Environ) -> HttpAnswer:
        try:
            body = read_body(environ, MAX_BODY_BYTES)
        except BodyTooLarge:
            return self._refuse(
                ErrorKind.BODY_TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes are taken"
            )
        except OSError:
            return self._refuse(ErrorKind.INVALID_REQUEST, "the body ended early")
        parsed = parse_job_request(body, self._clock.now())
        if not is_successful(parsed):
            return self._refuse_body(parsed.failure())
        submission = parsed.unwrap()
        wait = not _prefers_async(environ)
        timeout = submission.deadline - self._clock.now() + DEADLINE_GRACE
        arrived = partial(CallerArrived, submission=submission, wait=wait)
        return job_answer(submission.key, self._ask(arrived, timeout))

    def _ask(
        self, event_for: Callable[[str], Any], timeout: timedelta = QUERY_TIMEOUT
    ) -> Answer:
        """Post an event with a new request id and wait for the answer."""
        request, result = self._waiters.open()
        try:
            self._post(event_for(request))
            limit = max(timeout, timedelta(0)) + _ANSWER_MARGIN
            return result.get(timeout=limit.total_seconds())
        except gevent.Timeout:
            details = {"request": request}
            _log.error({"message": "no answer from the reducer", "details": details})
            self._post(CallerLeft(request))
            self._count(Count(ErrorKind.INTERNAL))
            return refusal_answer(ErrorKind.INTERNAL)
        finally:
            self._waiters.close(request)

    def _refuse(self, kind: ErrorKind, detail: str, **more: Any) -> HttpAnswer:
        self._count(Count(kind))
        return problem(refusal_answer(kind, detail), **more)

    def _refuse_body(self, errors: tuple[RequestError, ...]) -> HttpAnswer:
        listed = [error._asdict() for error in errors]
        detail = "; ".join(f"{error.path}: {error.reason}" for error in errors)
        return self._refuse(ErrorKind.INVALID_REQUEST, detail, errors=listed)

    def _refuse_method(self) -> HttpAnswer:
        return self._refuse(ErrorKind.INVALID_REQUEST, "no such method on this path")


def _key_of_path(path: str) -> JobKey | None:
    """Return team and key; only the key may contain slashes."""
    if not path.startswith(JOBS_PATH + "/"):
        return None
    try:
        # WSGI passes paths decoded as Latin-1.
        text = path.removeprefix(JOBS_PATH + "/").encode("latin-1").decode()
    except UnicodeDecodeError:
        return None
    team, _, key = text.partition("/")
    return JobKey(team, key) if team and key else None


def _prefers_async(environ: Environ) -> bool:
    preferences = environ.get("HTTP_PREFER", "").lower().replace(";", ",").split(",")
    return "respond-async" in {preference.strip() for preference in preferences}
