"""Where the upstream announces itself to the sidecar beside it.

There is no list of upstreams: each says what it is when it is up, and that it leaves
before it stops. The announcement goes to the sidecar's administration port, and may be
repeated at any time, since a sidecar that was replaced knows nothing of earlier ones.
"""

from collections.abc import Callable, Iterable

from returns.pipeline import is_successful

from gypsumspoke.core import executor_state
from gypsumspoke.core.effects import Count
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.events import UpstreamAnnounced
from gypsumspoke.core.refusals import refusal_answer
from gypsumspoke.core.sidecar import SidecarState
from gypsumspoke.parser.announcement import Announcement, parse_announcement
from gypsumspoke.shell.http_answers import (
    Environ,
    HttpAnswer,
    StartResponse,
    TooLarge,
    json_answer,
    read_body,
    respond,
)
from gypsumspoke.shell.job_answers import problem

UPSTREAM_PATH = "/v1/upstream"
BODY_LIMIT = 16 * 1024


class UpstreamHttp:
    """The WSGI application towards the upstream.

    Args:
      view: gives the sidecar's state, to be read only.
      post: queues an event for the reducer.
      count: counts a refusal.
      set_port: takes the upstream's port for tasks that start from now on.
      port: the upstream's port as the settings have it; 0 if they leave it open.
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
            text = read_body(environ, BODY_LIMIT).decode()
        except TooLarge:
            detail = f"at most {BODY_LIMIT} bytes are taken"
            return self._refuse(detail, ErrorKind.BODY_TOO_LARGE)
        except (OSError, UnicodeDecodeError) as error:
            return self._refuse(f"bad body: {error}")
        parsed = parse_announcement(text)
        if not is_successful(parsed):
            return self._refuse("; ".join(str(error) for error in parsed.failure()))
        announcement = parsed.unwrap()
        reason = self._objection(announcement)
        if reason:
            return self._refuse(reason)
        self._take(announcement)
        return json_answer(self._status())

    def _objection(self, announcement: Announcement) -> str:
        """Return why an announcement can't be taken; empty if it can.

        Other processes place tasks by the service that this one registered with, so
        it can't change while the process lives.
        """
        known = self._service
        if known and announcement.service != known:
            return f"this sidecar serves {known}; restart it to serve another service"
        if not announcement.port and not self._port:
            return "port: missing, the settings leave it open"
        return ""

    def _take(self, announcement: Announcement) -> None:
        if announcement.port:
            self._port = announcement.port
            self._set_port(announcement.port)
        self._tell(
            UpstreamAnnounced(
                announcement.service, announcement.slots, announcement.leaving
            )
        )

    def _leave(self, environ: Environ) -> HttpAnswer:
        if self._service:
            slots = self._slots
            self._tell(UpstreamAnnounced(self._service, slots, leaving=True))
        return json_answer(self._status())

    def _tell(self, event: UpstreamAnnounced) -> None:
        self._announced = event
        self._post(event)

    @property
    def _service(self) -> str:
        # The event may still be queued, so the state alone would let two services in.
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
