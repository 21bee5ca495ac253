"""Logs as JSON lines on one stream.

Each line has the role and worker of its process and, where known, the team, key, task
and attempt, so that a text search follows a submission across processes. Further values
are nested under ``details``, so that they can't overwrite the fields of the process.
"""

import json
import logging
import sys
from datetime import datetime, timezone
from types import TracebackType
from typing import Any, TextIO

from gypsumspoke.core.effects import Log

LOGGER_NAME = "gypsumspoke"

_logger = logging.getLogger(LOGGER_NAME)
_PLAIN_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({})))


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object on one line.

    A message that is a dictionary adds its fields to the object. A general formatter
    takes several times as long, and there are lines for each job and run.

    Args:
      process_fields: fields of every line.
    """

    def __init__(self, process_fields: dict[str, str]) -> None:
        super().__init__()
        self._process_fields = process_fields
        self._encode = json.JSONEncoder(default=str).encode

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        fields: dict[str, Any] = {
            "level": record.levelname,
            "logger": record.name,
            **self._process_fields,
        }
        if isinstance(record.msg, dict):
            fields.update(record.msg)
        else:
            fields["message"] = record.getMessage()
        if len(vars(record)) != len(_PLAIN_ATTRIBUTES):
            fields.update(_extra_fields(record))
        if record.exc_info:
            fields["exc_info"] = self.formatException(record.exc_info)
        time = datetime.fromtimestamp(record.created, timezone.utc)
        fields["time"] = time.isoformat()
        return self._encode(fields)


def _extra_fields(record: logging.LogRecord) -> dict[str, Any]:
    return {
        name: value
        for name, value in vars(record).items()
        if name not in _PLAIN_ATTRIBUTES
    }


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
    _skip_unused_fields()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter({"role": role, "worker": worker}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    sys.excepthook = _log_uncaught
    return handler


def _skip_unused_fields() -> None:
    """Let records lack what no line contains, such as the place of the call."""
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False


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
