"""What a process printed is found, also once it has ended."""

import pytest

from tests.standins.processes import Processes


def test_a_line_is_found_that_a_process_printed_before_it_ended(tmp_path):
    """A caller that asks for the ports of a process that just stopped got an error."""
    with Processes(tmp_path) as processes:
        process = processes.start_table().process
        process.kill()
        assert process.wait_for_line("listening")["port"]


def test_a_process_that_ended_without_the_line_is_an_error(tmp_path):
    with Processes(tmp_path) as processes:
        process = processes.start("json.tool", "--help")
        with pytest.raises(AssertionError, match="no line 'listening'"):
            process.wait_for_line("listening")
        assert not process.alive
