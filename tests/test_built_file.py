"""The one file that ``scripts/build`` makes does what the package does."""

import os
import subprocess
from pathlib import Path

import pytest

from gypsumspoke import __version__
from tests.standins.processes import Processes, call_json

BUILT_FILE = Path(__file__).parents[1] / "dist" / "gypsumspoke"
BOUND_SECONDS = 60


@pytest.fixture(scope="module")
def environment(tmp_path_factory):
    """An environment in which the file unpacks anew, without the package beside it."""
    environment = dict(os.environ, SHIV_ROOT=str(tmp_path_factory.mktemp("root")))
    environment.pop("PYTHONPATH", None)
    return environment


def run(environment, *arguments):
    return subprocess.run(
        [BUILT_FILE, *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=BOUND_SECONDS,
    )


def test_version(environment):
    assert run(environment, "version").stdout == f"{__version__}\n"


def test_settings_check(environment, tmp_path):
    good = run(environment, "settings", "check", "examples/sidecar.json")
    assert good.returncode == 0
    bad_path = tmp_path / "bad.json"
    bad_path.write_text('{"role": "entry", "worker": 3}')
    bad = run(environment, "settings", "check", str(bad_path))
    assert bad.returncode == 2
    assert f"{bad_path}: worker: expected str, got int" in bad.stderr


def test_manifest_check(environment):
    result = run(environment, "manifest", "check", "examples/manifest.json")
    assert result.returncode == 0


def settings_of(role, table, upstream):
    common = {
        "role": role,
        "worker": f"{role}-1",
        "host": "127.0.0.1",
        "peer_port": 0,
        "admin_port": 0,
        "failure_domain": "domain-1",
        "rack": "rack-1",
        "region": "region-1",
        "table_host": "127.0.0.1",
        "table_port": table.port,
    }
    if role == "entry":
        return {**common, "http_port": 0}
    return {
        **common,
        "service": "estimate",
        "slots": 8,
        "upstream_host": "127.0.0.1",
        "upstream_port": upstream.port,
    }


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_each_role_runs_as_one_process_and_stops(
    role, environment, tmp_path, monkeypatch
):
    monkeypatch.setenv("SHIV_ROOT", environment["SHIV_ROOT"])
    with Processes(tmp_path) as processes:
        table, upstream = processes.start_table(), processes.start_upstream()
        settings = settings_of(role, table, upstream)
        process = processes.start_role(role, settings, BUILT_FILE)
        line = process.wait_for_line("listening")
        ports = line.get("details", line)
        health = call_json(ports["admin_port"], "GET", "/healthz", parse=False)
        assert health == (200, b"ok\n")
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
        assert children.read_text() == ""
        process.wait_for_line("registered")
        assert process.terminate() == 0
