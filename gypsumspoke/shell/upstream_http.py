"""The HTTP interface through which an upstream announces itself to its sidecar.

An upstream announces its service once it is up, and that it leaves before it stops, at
the sidecar's administration port. It may repeat the announcement at any time, because a
restarted sidecar has lost earlier ones.
"""

from collections.abc import Callable, Iterable

from returns.pipeline import is_successful

from gypsumspoke.core import executor_state
from gypsumspoke.core.effects import Count
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.events import UpstreamAnnounced
from gypsumspoke.core.refusals import refusal_answer
from gypsumspoke.core.sidecar import SidecarState
from gypsumspoke.http.answers import (
    BodyTooLarge,
    Environ,
    HttpAnswer,
    StartResponse,
    json_answer,
    read_body,
    respond,
)
from gypsumspoke.parser.announcement import Announcement, parse_announcement
from gypsumspoke.shell.job_answers import problem

UPSTREAM_PATH = "/v1/upstream"
MAX_BODY_BYTES = 16 * 1024


class UpstreamHttp:
    """The WSGI application towards the upstream.

    Args:
      view: returns the sidecar's state, which must not be modified.
      post: queues an event for the reducer.
      count: counts a refusal.
      set_port: sets the upstream's port for tasks that start from now on.
      port: the upstream's port from the settings; 0 if not set there.
    """

    def __init__(
        self,
        view: Callable[[], SidecarState],
        post: Callable[[UpstreamAnnounced], None],
        count: Callable[[Count], None],
        set_port: Callable[[int], None],
        port: int,
    ) -> None:
        self._view = view
        self._post = post
        self._count = count
        self._set_port = set_port
        self._port = port
        self._announced: UpstreamAnnounced | None = None

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request (WSGI)."""
        return respond(self._answer(environ), start)

    def _answer(self, environ: Environ) -> HttpAnswer:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        routes = {"GET": self._show, "PUT": self._announce, "DELETE": self._leave}
        if path != UPSTREAM_PATH or method not in routes:
            return self._refuse(f"no such request: {method} {path}")
        return routes[method](environ)

    def _announce(self, environ: Environ) -> HttpAnswer:
        try:
            text = read_body(environ, MAX_BODY_BYTES).decode()
        except BodyTooLarge:
            detail = f"at most {MAX_BODY_BYTES} bytes are taken"
            return self._refuse(detail, ErrorKind.BODY_TOO_LARGE)
        except (OSError, UnicodeDecodeError) as error:
            return self._refuse(f"bad body: {error}")
        parsed = parse_announcement(text)
        if not is_successful(parsed):
            return self._refuse("; ".join(str(error) for error in parsed.failure()))
        announcement = parsed.unwrap()
        reason = self._refusal_reason(announcement)
        if reason:
            return self._refuse(reason)
        self._apply(announcement)
        return json_answer(self._status())

    def _refusal_reason(self, announcement: Announcement) -> str:
        """Return the reason to refuse an announcement; empty to accept it.

        Other processes place tasks by the service with which this one registered, so
        the service can't change during the lifetime of the process.
        """
        known = self._service
        if known and announcement.service != known:
            return f"this sidecar serves {known}; restart it to serve another service"
        if not announcement.port and not self._port:
            return "port: missing, the settings leave it open"
        return ""

    def _apply(self, announcement: Announcement) -> None:
        if announcement.port:
            self._port = announcement.port
            self._set_port(announcement.port)
        self._post_announcement(
            UpstreamAnnounced(
                announcement.service, announcement.slots, announcement.leaving
            )
        )

    def _leave(self, environ: Environ) -> HttpAnswer:
        if self._service:
            slots = self._slots
            self._post_announcement(
                UpstreamAnnounced(self._service, slots, leaving=True)
            )
        return json_answer(self._status())

    def _post_announcement(self, event: UpstreamAnnounced) -> None:
        self._announced = event
        self._post(event)

    @property
    def _service(self) -> str:
        # The state doesn't include an announcement that is still queued.
        if self._announced is not None:
            return self._announced.service
        return self._view().member.service

    @property
    def _slots(self) -> int:
        if self._announced is not None:
            return self._announced.slots
        return self._view().member.slots

    def _refuse(
        self, detail: str, kind: ErrorKind = ErrorKind.INVALID_REQUEST
    ) -> HttpAnswer:
        self._count(Count(kind))
        return problem(refusal_answer(kind, detail))

    def _show(self, environ: Environ) -> HttpAnswer:
        return json_answer(self._status())

    def _status(self) -> dict[str, str | int | bool]:
        load = executor_state.load(self._view().executor)
        announced = self._announced
        return {
            "service": self._service,
            "slots": self._slots,
            "port": self._port,
            "leaving": announced is not None and announced.leaving,
            "running": load.running,
            "queued": load.queued,
        }
