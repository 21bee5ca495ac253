"""Logs as JSON lines on one stream.

Each line has the role and worker of its process and, where known, the team, key, task
and attempt, so that a text search follows a submission across processes. Further values
are nested under ``details``, so that they can't overwrite the fields of the process.
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
    """Write all log lines of the process to ``stream`` as JSON.

    Args:
      stream: receives the lines, usually standard error.
      level: lowest level written, as in ``logging``.
      role, worker: identity of the process, added to each line.

    Returns:
      The handler, which replaces all earlier ones.
    """
    # Prints no traceback for each line when the stream is closed.
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
    """Write one log line of a reducer or of the shell.

    Args:
      entry: the line; fields that are None are omitted.
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
    error_type: type[BaseException],
    error: BaseException,
    traceback: TracebackType | None,
) -> None:
    if issubclass(error_type, KeyboardInterrupt):
        sys.__excepthook__(error_type, error, traceback)
        return
    _logger.critical("uncaught error", exc_info=(error_type, error, traceback))
