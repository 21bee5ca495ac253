"""A JSON server on gevent's WSGI server, shared by the stand-in services."""

import errno
import json
import signal
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

Handler = Callable[[Any, dict], tuple[int, Any]]
Routes = dict[tuple[str, str], Handler]


class Unanswered(ConnectionResetError):
    """Raised by a handler to close the connection without an answer."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "unanswered")


def make_server(port: int, routes: Routes) -> WSGIServer:
    """Return a server on 127.0.0.1.

    Args:
      port: TCP port; 0 for any free one.
      routes: handlers by method and path; each takes the JSON body and the WSGI
        environment and returns a status and a JSON answer.
    """

    def application(environ, start_response):
        handler = routes.get((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        if handler is None:
            start_response("404 Not Found", [])
            return [b"{}"]
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        status, answer = handler(body, environ)
        payload = json.dumps(answer).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(payload))),
        ]
        start_response(f"{status} Answer", headers)
        return [payload]

    return WSGIServer(("127.0.0.1", port), application, log=None, backlog=512)


def serve(port: int, routes: Routes) -> None:
    """Serve until SIGTERM; a JSON line on standard output gives the port."""
    server = make_server(port, routes)
    server.start()
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    print(json.dumps({"message": "listening", "port": server.server_port}), flush=True)
    stopped.wait()
    server.stop(timeout=0)
