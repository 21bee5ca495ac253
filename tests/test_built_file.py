"""The one file that ``scripts/build`` makes does what the package does."""

import os
import subprocess
from pathlib import Path

import pytest

from gypsumspoke import __version__

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
