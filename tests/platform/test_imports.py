"""What a role loads before it serves: each module is time in which nobody is served."""

import json
import os
import subprocess
import sys

import pytest

# Libraries and parts of the project that no role on the platform uses at its start.
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
def test_a_role_loads_only_what_it_uses(role):
    """All processes are lost at once. Until each has loaded its libraries it takes no
    job, and callers are late; the command line, the metrics library and an HTTP client
    with cookies took over half of that time.
    """
    # Without the variable that names the settings a role stops once all is loaded.
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
