"""The callers' HTTP interface of an entry.

A request becomes one event for the reducer and waits for the one answer with its own
request id; nothing is decided here. A caller that closes its connection does not cancel
its job: it may come back through any entry and gets the answer then.
"""

import logging
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import partial
from typing import Any

import gevent
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import Input, WSGIHandler, WSGIServer
from returns.pipeline import is_successful

from gypsumspoke.core.clock import Clock
from gypsumspoke.core.copies import DEADLINE_GRACE
from gypsumspoke.core.data import Answer, Count, Deliver, JobKey
from gypsumspoke.core.entry import (
    QUERY_PATIENCE,
    CallerArrived,
    CallerLeft,
    CancelArrived,
    QueryArrived,
)
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.refusals import refusal_of
from gypsumspoke.parser.job_request import BODY_LIMIT, RequestError, parse_job_request
from gypsumspoke.shell.admin_http import server_environ
from gypsumspoke.shell.http_answers import (
    Environ,
    HttpAnswer,
    StartResponse,
    TooLarge,
    cancel_answer,
    job_answer,
    problem,
    read_body,
    respond,
)
from gypsumspoke.shell.waiters import Waiters

JOBS_PATH = "/v1/jobs"
SOCKET_KEY = "gypsumspoke.socket"
MAX_CONNECTIONS = 3_000
IDLE_TIMEOUT_SECONDS = 60.0
# From the end of a request's first line to the end of its header, where no
# configuration says otherwise: a header comes in one packet or two.
HEADER_TIMEOUT = timedelta(seconds=10)
DISCARD_LIMIT = 16 * 1024 * 1024
DISCARD_SECONDS = 5.0
STOP_SECONDS = 5.0
# The reducer answers every request by its deadline; this only guards against a fault.
_ANSWER_SLACK = timedelta(seconds=10)
_DISCARD_STEP = 16 * 1024

_log = logging.getLogger(__name__)


class EntryHttp:
    """The WSGI application towards callers.

    Args:
      post: queues an event for the reducer.
      count: counts a refusal that never reaches the reducer.
      clock: source of arrival times.
      is_draining: whether connections should be closed after their answer.
    """

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
        """Hand an answer to the request that waits for it."""
        self._waiters.deliver(effect.request, effect.answer)

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request (WSGI)."""
        answer = self._answer(environ)
        if self._is_draining():
            # A connection kept open would have its next request cut by the stop.
            answer = answer._replace(headers=(*answer.headers, ("Connection", "close")))
        return respond(answer, start)

    def _answer(self, environ: Environ) -> HttpAnswer:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if path == JOBS_PATH:
            return self._submit(environ) if method == "POST" else self._bad_method()
        key = _key_of_path(path)
        if key is None:
            return self._refuse(ErrorKind.INVALID_REQUEST, f"no such path: {path}")
        if method == "GET":
            return job_answer(key, self._ask(partial(QueryArrived, key=key)))
        if method == "DELETE":
            return cancel_answer(key, self._ask(partial(CancelArrived, key=key)))
        return self._bad_method()

    def _submit(self, environ: Environ) -> HttpAnswer:
        try:
            body = read_body(environ, BODY_LIMIT)
        except TooLarge:
            return self._refuse(
                ErrorKind.BODY_TOO_LARGE, f"at most {BODY_LIMIT} bytes are taken"
            )
        except OSError:
            return self._refuse(ErrorKind.INVALID_REQUEST, "the body ended early")
        parsed = parse_job_request(body, self._clock.now())
        if not is_successful(parsed):
            return self._refuse_body(parsed.failure())
        submission = parsed.unwrap()
        wait = not _prefers_async(environ)
        patience = submission.deadline - self._clock.now() + DEADLINE_GRACE
        arrived = partial(CallerArrived, submission=submission, wait=wait)
        return job_answer(submission.key, self._ask(arrived, patience))

    def _ask(
        self, event_for: Callable[[str], Any], patience: timedelta = QUERY_PATIENCE
    ) -> Answer:
        """Post the event of a new request and wait for its answer."""
        request, result = self._waiters.open()
        try:
            self._post(event_for(request))
            limit = max(patience, timedelta(0)) + _ANSWER_SLACK
            return result.get(timeout=limit.total_seconds())
        except gevent.Timeout:
            details = {"request": request}
            _log.error({"message": "no answer from the reducer", "details": details})
            self._post(CallerLeft(request))
            self._count(Count(ErrorKind.INTERNAL))
            return refusal_of(ErrorKind.INTERNAL)
        finally:
            self._waiters.close(request)

    def _refuse(self, kind: ErrorKind, detail: str, **more: Any) -> HttpAnswer:
        self._count(Count(kind))
        return problem(refusal_of(kind, detail), **more)

    def _refuse_body(self, errors: tuple[RequestError, ...]) -> HttpAnswer:
        listed = [error._asdict() for error in errors]
        detail = "; ".join(f"{error.path}: {error.reason}" for error in errors)
        return self._refuse(ErrorKind.INVALID_REQUEST, detail, errors=listed)

    def _bad_method(self) -> HttpAnswer:
        return self._refuse(ErrorKind.INVALID_REQUEST, "no such method on this path")


class CallerServer:
    """The HTTP server around the application.

    Args:
      host, port: where to listen; port 0 takes any free one.
      application: the WSGI application.
      header_timeout: returns how long a request's header may take.
    """

    def __init__(
        self,
        host: str,
        port: int,
        application: EntryHttp,
        header_timeout: Callable[[], timedelta] = lambda: HEADER_TIMEOUT,
    ) -> None:
        self._server = WSGIServer(
            (host, port),
            application,
            spawn=Pool(MAX_CONNECTIONS),
            handler_class=_Handler,
            log=None,
            error_log=logging.getLogger("gypsumspoke.callers"),
            environ=server_environ(host),
        )
        self._server.busy = _Busy()
        self._server.header_timeout = header_timeout

    @property
    def port(self) -> int:
        """TCP port it listens on, once started."""
        return self._server.server_port

    def start(self) -> None:
        """Listen and serve on the loop.

        Raises:
          OSError: the port can't be had.
        """
        self._server.start()

    def close(self) -> None:
        """Stop listening, let every answer under way be written, close the rest."""
        self._server.stop_accepting()
        self._server.busy.wait_idle(STOP_SECONDS)
        self._server.stop(timeout=0)


class _Busy:
    """Counts requests whose answer is not fully written."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = Event()
        self._idle.set()

    def __enter__(self) -> None:
        self._count += 1
        self._idle.clear()

    def __exit__(self, *error: object) -> None:
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    def wait_idle(self, seconds: float) -> None:
        """Wait until no request is under way, for a bounded time."""
        self._idle.wait(seconds)


class _HeaderTimeout(Exception):
    """A request's header did not end in time."""


class _Handler(WSGIHandler):
    """Bounds what a client can cost: idle connections and bodies nobody wants."""

    def handle(self) -> None:
        self.socket.settimeout(IDLE_TIMEOUT_SECONDS)
        super().handle()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the header, within its bound.

        Without it a header that never ends would keep its connection for as long as
        its sender adds a byte a minute, and the connections are counted.
        """
        bound = self.server.header_timeout().total_seconds()
        with gevent.Timeout(bound, _HeaderTimeout):
            return super().read_request(raw_requestline)

    def get_environ(self) -> Environ:
        """Add the connection, on which an application may notice that a caller left."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_response(self) -> None:
        with self.server.busy:
            super().handle_one_response()

    def run_application(self) -> None:
        super().run_application()
        if not self._discard_rest():
            self.wsgi_input = Input(self.rfile, 0)
            self.close_connection = True

    def _discard_rest(self) -> bool:
        """Read what is left of a refused body, within bounds; return whether all is.

        The refusal is written already. Closing with unread bytes would reset the
        connection, and the client would see that instead of the refusal.
        """
        left = DISCARD_LIMIT
        with gevent.Timeout(DISCARD_SECONDS, False):
            try:
                while left > 0:
                    piece = self.wsgi_input.read(_DISCARD_STEP)
                    if not piece:
                        return True
                    left -= len(piece)
            except OSError:
                return False
        return False


def _key_of_path(path: str) -> JobKey | None:
    """Return team and key; the key may hold slashes, a team's name can't."""
    if not path.startswith(JOBS_PATH + "/"):
        return None
    try:
        # WSGI hands paths over as Latin-1.
        text = path.removeprefix(JOBS_PATH + "/").encode("latin-1").decode()
    except UnicodeDecodeError:
        return None
    team, _, key = text.partition("/")
    return JobKey(team, key) if team and key else None


def _prefers_async(environ: Environ) -> bool:
    preferences = environ.get("HTTP_PREFER", "").lower().replace(";", ",").split(",")
    return "respond-async" in {preference.strip() for preference in preferences}
