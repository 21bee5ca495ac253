"""HTTP interface of a sidecar that receives its worker's heartbeats."""

import json
import logging
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from returns.result import Failure, Result, Success

from gypsumspoke.runs.values import Registration, Room, WorkerReady
from gypsumspoke.runs.worker_commands import HeartbeatArrived, WorkerLeft
from gypsumspoke.shell.http_answers import (
    BodyTooLarge,
    Environ,
    HttpAnswer,
    StartResponse,
    json_answer,
    read_body,
    respond,
)

_PREFIX = "/v1/instances/"
# Specified by the platform.
_MAX_BODY_BYTES = 4 * 1024 * 1024

_log = logging.getLogger(__name__)


class WorkerRegistration:
    """WSGI application that the worker sends heartbeats to.

    Args:
      post: queues an event for the reducer.
    """

    def __init__(self, post: Callable[[Any], None]) -> None:
        self._post = post

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request (WSGI)."""
        return respond(self._answer(environ), start)

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
        match parse_registration(worker, body):
            case Success(registration):
                self._post(HeartbeatArrived(registration))
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


def parse_registration(worker: str, body: bytes) -> Result[Registration, str]:
    """Decode a heartbeat.

    Args:
      worker: the id in the path.
      body: JSON text.

    Returns:
      The registration, or an error message.
    """
    try:
        return Success(_registration(worker, json.loads(body)))
    except KeyError as error:
        return Failure(f"{error.args[0]} is missing")
    except (ValueError, TypeError, AttributeError) as error:
        return Failure(str(error))


def _registration(worker: str, fields: dict[str, Any]) -> Registration:
    capacity = fields["capacity"]
    labels = fields.get("labels") or []
    if not isinstance(fields["service"], str) or not isinstance(labels, list):
        raise ValueError("a field has another type")
    return Registration(
        id=worker,
        incarnation=int(fields.get("born", 0)),
        sequence=int(fields["seq"]),
        service=fields["service"],
        state=WorkerReady(fields["state"]),
        capacity=Room(
            int(capacity.get("cpu", 0)),
            int(capacity.get("mem_mb", 0)),
            int(capacity.get("gpu", 0)),
        ),
        labels=tuple(str(label) for label in labels),
        clock=timedelta(milliseconds=fields.get("clock_ms", 0)),
    )
