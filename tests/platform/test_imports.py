"""Tests which modules a role imports: each import delays its start."""

import json
import os
import subprocess
import sys

import pytest

# Modules that no role on the platform needs to start.
UNUSED = {
    "click",
    "gypsumspoke.core.entry",
    "gypsumspoke.core.home",
    "gypsumspoke.core.membership",
    "gypsumspoke.parser.settings",
    "gypsumspoke.shell.metrics",
    "geventhttpclient.client",
    "geventhttpclient.requests",
    "http.cookiejar",
    "json5",
    "msgspec",
    "prometheus_client",
    "urllib.request",
}
LOAD = """
import json, sys
from gypsumspoke.platform import roles
try:
    roles.run_{role}()
except KeyError:
    print(json.dumps(sorted(sys.modules)))
"""


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_a_role_imports_no_unused_modules(role):
    """After a loss of all processes no job is accepted until a role has started, so its
    imports must not grow.
    """
    # Without the settings variable a role raises KeyError after its imports.
    environment = {
        name: value
        for name, value in os.environ.items()
        if name != "GYPSUMSPOKE_SETTINGS"
    }
    loaded = subprocess.run(
        [sys.executable, "-c", LOAD.format(role=role)],
        env=environment,
        capture_output=True,
        check=True,
        timeout=60,
    )
    modules = set(json.loads(loaded.stdout))
    assert "gypsumspoke.shell.run_role" in modules
    assert modules & UNUSED == set()


def test_the_whole_client_can_be_imported_after_the_parser():
    code = (
        "from gypsumspoke.shell.http_parser import HTTPParseError as own\n"
        "from geventhttpclient import HTTPClient\n"
        "from geventhttpclient.response import HTTPParseError\n"
        "assert HTTPParseError is own and HTTPClient('127.0.0.1', 1)\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, timeout=60)
