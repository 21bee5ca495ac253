"""The command line without a system behind it."""

import socket
from pathlib import Path

import pytest
from click.testing import CliRunner

from gypsumspoke import __version__
from gypsumspoke.tools.command_line import main
from gypsumspoke.tools.exit_codes import ExitCode

NOBODY = "127.0.0.1:1"


def run(*arguments):
    return CliRunner().invoke(main, arguments)


def test_version():
    assert run("version").output == f"{__version__}\n"


@pytest.mark.parametrize(
    "arguments",
    [
        ("settings", "check", "examples/entry.json"),
        ("settings", "check", "examples/sidecar.json"),
        ("manifest", "check", "examples/manifest.json"),
    ],
)
def test_the_examples_pass(arguments):
    assert run(*arguments).exit_code == ExitCode.OK


@pytest.mark.parametrize("command", [("settings", "check"), ("manifest", "check")])
def test_a_bad_file_is_refused_with_path_and_reason(command, tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"colour": "red"} // not a key')
    result = run(*command, str(path))
    assert result.exit_code == ExitCode.BAD_INPUT
    assert f"{path}: colour: unknown key" in result.output


def test_a_role_refuses_settings_of_the_other():
    result = run("entry", "--settings", "examples/sidecar.json")
    assert result.exit_code == ExitCode.BAD_INPUT
    assert "role: is for the role sidecar" in result.output


def test_a_taken_port_ends_the_start_with_a_reason(tmp_path, restored_logs):
    """The platform sees exit code 2 and a log line, not a traceback.

    Another process holds the port that the settings name, so listening fails before
    anything was registered.
    """
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        text = Path("examples/sidecar.json").read_text()
        path = tmp_path / "settings.json"
        path.write_text(text.replace("7201", str(port)))
        result = run("sidecar", "--settings", str(path))
    assert result.exit_code == ExitCode.BAD_INPUT
    assert "can't start" in result.output


def test_an_address_without_port_is_a_usage_error():
    result = run("status", "--admin", "127.0.0.1")
    assert result.exit_code == ExitCode.BAD_INPUT


@pytest.mark.parametrize(
    "arguments",
    [
        ("status", "--admin", NOBODY),
        ("manifest", "apply", "examples/manifest.json", "--admin", NOBODY),
        ("query", "tax", "k1", "--entry", NOBODY),
    ],
)
def test_without_a_connection_nothing_was_sent(arguments):
    assert run(*arguments).exit_code == ExitCode.UNREACHABLE
