"""Starts processes under test with settings files and kills those left over.

Each process prints JSON lines; the line with the message "listening" gives its ports.
"""

import json
import os
import signal
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import gevent
from geventhttpclient import HTTPClient

TIMEOUT_SECONDS = 30
ROOT = Path(__file__).resolve().parents[2]


class Process:
    """A started process and the lines it printed.

    Args:
      arguments: command line after ``python -m`` or after the program.
      log_path: file that receives standard output and error.
      program: executable to run in place of ``python -m``, without PYTHONPATH.
    """

    def __init__(
        self, arguments: list[str], log_path: Path, program: Path | None = None
    ) -> None:
        self._log_path = log_path
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-m"]
        if program is not None:
            del environment["PYTHONPATH"]
            command = [str(program)]
        with log_path.open("wb") as log:
            self._child = subprocess.Popen(
                [*command, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether the process still runs."""
        return self._child.poll() is None

    def output_end(self) -> str:
        """Return the last 3,000 characters of its output."""
        return self._log_path.read_text(errors="replace")[-3000:]

    def lines(self) -> list[dict[str, Any]]:
        """Return the JSON lines printed so far, without other output."""
        parsed = []
        for line in self._log_path.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if isinstance(entry, dict):
                parsed.append(entry)
        return parsed

    def wait_for_line(self, message: str) -> dict[str, Any]:
        """Wait for a log line with this message and return it.

        Raises:
          AssertionError: the process ended without it, or the wait timed out; shows
            the end of its output.
        """
        return self._wait(
            lambda: next(
                (line for line in self.lines() if line.get("message") == message), None
            ),
            f"no line {message!r}",
        )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, not to its children."""
        self._child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self.alive:
            self._child.send_signal(signal.SIGKILL)
        self._child.wait(TIMEOUT_SECONDS)

    def terminate(self) -> int:
        """Send SIGTERM and return the exit status."""
        self._child.send_signal(signal.SIGTERM)
        return self.wait_exit()

    def wait_exit(self) -> int:
        """Wait for the process to end and return the exit status."""
        with gevent.Timeout(TIMEOUT_SECONDS):
            while self.alive:
                gevent.sleep(0.02)
        return self._child.returncode

    def _wait(self, find, problem: str):
        with gevent.Timeout(TIMEOUT_SECONDS, False):
            is_alive = True
            while is_alive:
                # Checked before find(), so that output just before the end is found.
                is_alive = self.alive
                found = find()
                if found is not None:
                    return found
                gevent.sleep(0.02)
        raise AssertionError(f"{problem}: {self.output_end()}")


class Processes:
    """Context manager that starts processes and kills them on exit.

    Args:
      folder: directory for settings files and logs.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._stack = ExitStack()
        self._count = 0

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *error: object) -> None:
        self._stack.close()

    def start(self, *arguments: str, program: Path | None = None) -> Process:
        """Start ``python -m arguments``, or a program with these arguments."""
        self._count += 1
        log_path = self._folder / f"{self._count}.log"
        process = Process(list(arguments), log_path, program)
        self._stack.callback(process.kill)
        return process

    def start_table(self) -> "StandIn":
        """Start the stand-in table and wait until it listens."""
        return self._start_stand_in("tests.standins.table")

    def start_upstream(self) -> "StandIn":
        """Start a stand-in upstream and wait until it listens."""
        return self._start_stand_in("tests.standins.upstream")

    def start_role(
        self,
        command: str,
        settings: dict[str, Any],
        built_file: Path | None = None,
        wait: bool = True,
    ) -> Process:
        """Start an entry or a sidecar and wait until it listens.

        Args:
          command: the sub-command, "entry" or "sidecar".
          settings: content of the settings file.
          built_file: built executable to start in place of the sources.
          wait: whether to wait until it listens.
        """
        self._count += 1
        path = self._folder / f"{self._count}.settings.json"
        path.write_text(json.dumps(settings))
        arguments = [command, "--settings", str(path)]
        if built_file is None:
            arguments.insert(0, "gypsumspoke")
        process = self.start(*arguments, program=built_file)
        if wait:
            process.wait_for_line("listening")
        return process

    def _start_stand_in(self, module: str) -> "StandIn":
        process = self.start(module, "--port", "0")
        return StandIn(process, process.wait_for_line("listening")["port"])


class StandIn:
    """A running stand-in and its HTTP interface."""

    def __init__(self, process: Process, port: int) -> None:
        self.process = process
        self.port = port

    def get(self, path: str) -> Any:
        """Return the JSON answer to a GET."""
        return call_json(self.port, "GET", path)[1]

    def post(self, path: str, body: Any) -> Any:
        """Return the JSON answer to a POST."""
        return call_json(self.port, "POST", path, body)[1]


def call_json(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    parse: bool = True,
) -> tuple[int, Any]:
    """Call an HTTP interface on this machine.

    Returns:
      The status and the JSON body, or its bytes unless ``parse``.
    """
    client = HTTPClient("127.0.0.1", port, network_timeout=TIMEOUT_SECONDS)
    try:
        payload = json.dumps(body).encode() if body is not None else b""
        response = client.request(method, path, body=payload, headers=headers or {})
        raw = bytes(response.read())
        return response.status_code, json.loads(raw or b"null") if parse else raw
    finally:
        client.close()
