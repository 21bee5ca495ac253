"""HTTP interface of a sidecar that receives its worker's heartbeats."""

import json
import logging
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from gypsumspoke.http.answers import (
    BodyTooLarge,
    Environ,
    HttpAnswer,
    StartResponse,
    json_answer,
    read_body,
    respond,
)
from gypsumspoke.http.heads import RequestHead
from gypsumspoke.runs.values import Registration, Room, WorkerReady
from gypsumspoke.runs.worker_commands import HeartbeatArrived, WorkerLeft

_PREFIX = "/v1/instances/"
# Specified by the platform.
_MAX_BODY_BYTES = 4 * 1024 * 1024

# Usual heartbeats have some hundred bytes.
_SMALL_BODY_BYTES = 16 * 1024

# A longer time left or cold time is taken for an error.
_MAX_DURATION_MS = 3_600_000

_log = logging.getLogger(__name__)


class Heartbeat(NamedTuple):
    """A decoded heartbeat.

    Attributes:
      registration: what it states.
      unusable: names of optional fields that count as missing for their value.
    """

    registration: Registration
    unusable: tuple[str, ...] = ()


class WorkerRegistration:
    """WSGI application that the worker sends heartbeats to.

    Args:
      post: queues an event for the reducer.
    """

    def __init__(self, post: Callable[[Any], None]) -> None:
        self._post = post
        self._logged: tuple[str, int] | None = None

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request (WSGI)."""
        return respond(self._answer(environ), start)

    @staticmethod
    def body_limit(head: RequestHead) -> int:
        """Return the size up to which a request's body is wanted."""
        is_heartbeat = head.method == "PUT" and head.decoded_path.startswith(_PREFIX)
        return _MAX_BODY_BYTES if is_heartbeat else 0

    def _answer(self, environ: Environ) -> HttpAnswer:
        path = environ["PATH_INFO"]
        worker = path.removeprefix(_PREFIX)
        if not path.startswith(_PREFIX) or not worker:
            return json_answer({"error": "no such path"}, 404)
        method = environ["REQUEST_METHOD"]
        if method == "DELETE":
            self._post(WorkerLeft(worker))
            return json_answer({})
        if method != "PUT":
            return json_answer({"error": "no such method"}, 405)
        return self._handle_heartbeat(environ, worker)

    def _handle_heartbeat(self, environ: Environ, worker: str) -> HttpAnswer:
        try:
            body = read_body(environ, _MAX_BODY_BYTES)
        except BodyTooLarge:
            return json_answer({"error": "the body is too large"}, 413)
        except (OSError, ValueError):
            return json_answer({"error": "the body ended early"}, 400)
        match parse_heartbeat(worker, body):
            case Success(heartbeat):
                self._log_unusable(heartbeat)
                self._post(HeartbeatArrived(heartbeat.registration))
                return json_answer({})
            case Failure(reason):
                _log.warning(
                    {
                        "message": "unreadable heartbeat",
                        "details": {"worker": worker, "reason": reason},
                    }
                )
                return json_answer({"error": reason}, 400)
        raise AssertionError("a result is a success or a failure")

    def _log_unusable(self, heartbeat: Heartbeat) -> None:
        """Log fields that count as missing, once for each incarnation of the worker."""
        registration = heartbeat.registration
        incarnation = (registration.id, registration.incarnation)
        if not heartbeat.unusable or self._logged == incarnation:
            return
        self._logged = incarnation
        _log.warning(
            {
                "message": "heartbeat fields ignored",
                "details": {
                    "worker": registration.id,
                    "born": registration.incarnation,
                    "fields": ",".join(heartbeat.unusable),
                },
            }
        )


def parse_registration(worker: str, body: bytes) -> Result[Registration, str]:
    """Decode a heartbeat, as ``parse_heartbeat`` does, without its unusable fields."""
    return parse_heartbeat(worker, body).map(lambda heartbeat: heartbeat.registration)


def parse_heartbeat(worker: str, body: bytes) -> Result[Heartbeat, str]:
    """Decode a heartbeat.

    Args:
      worker: the id in the path.
      body: JSON text.

    Returns:
      The heartbeat, or an error message.
    """
    try:
        return Success(_heartbeat(worker, _decode_fields(body)))
    except KeyError as error:
        return Failure(f"{error.args[0]} is missing")
    except (
        ValueError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        return Failure(str(error))


def _decode_fields(body: bytes) -> dict[str, Any]:
    """Decode a heartbeat's JSON object.

    Raises:
      ValueError: it is malformed.
    """
    if len(body) <= _SMALL_BODY_BYTES:
        return json.loads(body)
    # Not with the module: the library would delay the start of the process.
    from gypsumspoke.platform.heartbeat_fields import decode_used_fields

    return decode_used_fields(body)


def _heartbeat(worker: str, fields: dict[str, Any]) -> Heartbeat:
    capacity = fields["capacity"]
    labels = fields.get("labels") or []
    if not isinstance(fields["service"], str) or not isinstance(labels, list):
        raise ValueError("a field has another type")
    state = WorkerReady(fields["state"])
    # Without a notice there is no end to count down to.
    names = ["cold_remaining_ms"]
    if state is WorkerReady.DRAINING:
        names.append("remaining_ms")
    durations = {name: _duration(fields[name]) for name in names if name in fields}
    registration = Registration(
        id=worker,
        incarnation=int(fields.get("born", 0)),
        sequence=int(fields["seq"]),
        service=fields["service"],
        state=state,
        capacity=Room(
            int(capacity.get("cpu", 0)),
            int(capacity.get("mem_mb", 0)),
            int(capacity.get("gpu", 0)),
        ),
        labels=tuple(str(label) for label in labels),
        clock=timedelta(milliseconds=fields.get("clock_ms", 0)),
        remaining=durations.get("remaining_ms"),
        cold=durations.get("cold_remaining_ms") or timedelta(),
    )
    unusable = tuple(name for name, value in durations.items() if value is None)
    return Heartbeat(registration, unusable)


def _duration(value: Any) -> timedelta | None:
    """Return a number of milliseconds as a duration; None if it is unusable."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if not 0 <= value <= _MAX_DURATION_MS:
        return None
    return timedelta(milliseconds=value)
