"""Waiting for a log line also works after the process has ended."""

import pytest

from tests.standins.processes import Processes


def test_line_printed_before_process_ended_is_found(tmp_path):
    """Guards against an error when asking a stopped process for its ports."""
    with Processes(tmp_path) as processes:
        process = processes.start_table().process
        process.kill()
        assert process.wait_for_line("listening")["port"]


def test_process_that_ended_without_the_line_is_an_error(tmp_path):
    with Processes(tmp_path) as processes:
        process = processes.start("json.tool", "--help")
        with pytest.raises(AssertionError, match="no line 'listening'"):
            process.wait_for_line("listening")
        assert not process.alive
