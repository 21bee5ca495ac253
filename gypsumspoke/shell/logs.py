"""Logs as JSON lines on one stream.

Each line carries the role and the worker, and the team, key, task and attempt it is
about where they are known, so that one submission can be followed over all processes
with a text search. Further values stand apart under ``details``: a reducer that speaks
of another worker must not overwrite the name of the one that writes.
"""

import logging
import sys
from types import TracebackType
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from gypsumspoke.core.effects import Log

LOGGER_NAME = "gypsumspoke"

_logger = logging.getLogger(LOGGER_NAME)


def configure_logs(
    stream: TextIO, level: str, role: str = "", worker: str = ""
) -> logging.Handler:
    """Send every log line of the process to ``stream`` as JSON.

    Args:
      stream: where the lines go, as a rule standard error.
      level: lowest level written, as in ``logging``.
      role, worker: who writes, on each line.

    Returns:
      The handler, which takes the place of all earlier ones.
    """
    # A stream that has gone away must not print a traceback for each lost line.
    logging.raiseExceptions = False
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_formatter(role, worker))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    sys.excepthook = _log_uncaught
    return handler


def _formatter(role: str, worker: str) -> JsonFormatter:
    return JsonFormatter(
        ["levelname", "name", "message"],
        rename_fields={"levelname": "level", "name": "logger"},
        static_fields={"role": role, "worker": worker},
        timestamp="time",
    )


def log(entry: Log) -> None:
    """Write one log line of a reducer or the shell.

    Args:
      entry: what to write; fields that are None are left out.
    """
    if not _logger.isEnabledFor(entry.level):
        return
    _logger.log(entry.level, _line(entry))


def _line(entry: Log) -> dict[str, object]:
    line: dict[str, object] = {"message": entry.event}
    if entry.key is not None:
        line["team"] = entry.key.team
        line["key"] = entry.key.key
    if entry.task is not None:
        line["task"] = entry.task
    if entry.attempt is not None:
        line["attempt"] = entry.attempt
    if entry.fields:
        line["details"] = dict(entry.fields)
    return line


def _log_uncaught(
    kind: type[BaseException], error: BaseException, trace: TracebackType | None
) -> None:
    if issubclass(kind, KeyboardInterrupt):
        sys.__excepthook__(kind, error, trace)
        return
    _logger.critical("uncaught error", exc_info=(kind, error, trace))
