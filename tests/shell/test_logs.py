"""Log lines are JSON and identify their process and submission."""

import io
import json
import logging

import pytest

from gypsumspoke.core.effects import Log
from gypsumspoke.core.values import JobKey
from gypsumspoke.shell.logs import configure_logs, log


@pytest.fixture
def stream(restored_logs):
    stream = io.StringIO()
    configure_logs(stream, "INFO", role="entry", worker="entry-1")
    return stream


def test_a_line_names_process_and_submission(stream):
    fields = (("worker", "w2"), ("partition", 3))
    log(Log(logging.INFO, "task placed", JobKey("tax", "k1"), 2, 1, fields))
    line = json.loads(stream.getvalue())
    assert line.pop("time")
    assert line == {
        "level": "INFO",
        "logger": "gypsumspoke",
        "role": "entry",
        "worker": "entry-1",
        "message": "task placed",
        "team": "tax",
        "key": "k1",
        "task": 2,
        "attempt": 1,
        "details": {"worker": "w2", "partition": 3},
    }


def test_a_line_below_the_level_is_omitted(stream):
    log(Log(logging.DEBUG, "heartbeat"))
    assert stream.getvalue() == ""


def test_a_line_from_the_logging_module_has_the_same_format(stream):
    logging.getLogger("gypsumspoke.wire").info("listening", extra={"peer_port": 7})
    line = json.loads(stream.getvalue())
    assert line["message"] == "listening"
    assert line["peer_port"] == 7
