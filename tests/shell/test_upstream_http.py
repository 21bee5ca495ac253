"""Announcements of an upstream to its sidecar's process."""

import pytest

from tests.shell.test_sidecar import rows, settings, wait_until
from tests.standins.processes import Processes, call_json

PATH = "/v1/upstream"


@pytest.fixture
def processes(tmp_path):
    with Processes(tmp_path) as started:
        yield started


@pytest.fixture
def table(processes):
    return processes.start_table()


@pytest.fixture
def admin_port(processes, table):
    """A sidecar whose service, slots and port are announced by the upstream."""
    upstream = processes.start_upstream()
    left_open = {"service": "", "slots": 0, "upstream_port": 0}
    values = {**settings(table, upstream, "worker-1"), **left_open}
    process = processes.start_role("sidecar", values)
    yield process.wait_for_line("listening")["details"]["admin_port"]
    assert process.terminate() == 0


def is_ready(admin_port):
    return call_json(admin_port, "GET", "/readyz", parse=False)[0] == 200


def test_a_sidecar_registers_after_its_upstream_is_announced(admin_port, table):
    """Tasks can't be placed at a sidecar without a known service: before the
    announcement it is neither ready nor registered.
    """
    assert not is_ready(admin_port)
    assert rows(table, "members/") == []
    announced = {"service": "estimates", "slots": 8, "port": 5201}
    status, shown = call_json(admin_port, "PUT", PATH, announced)
    assert (status, shown["leaving"]) == (200, False)
    wait_until(lambda: is_ready(admin_port))
    (row,) = rows(table, "members/")
    assert '"service": "estimates"' in row["value"]
    assert '"slots": 8' in row["value"]


def test_an_upstream_leaves_and_returns_with_other_slots(admin_port):
    announced = {"service": "estimates", "slots": 8, "port": 5201}
    call_json(admin_port, "PUT", PATH, announced)
    status, shown = call_json(admin_port, "DELETE", PATH)
    assert (status, shown["leaving"]) == (200, True)
    wait_until(lambda: is_ready(admin_port))
    call_json(admin_port, "PUT", PATH, {**announced, "slots": 4})
    _, shown = call_json(admin_port, "GET", PATH)
    assert (shown["slots"], shown["leaving"]) == (4, False)
    status, shown = call_json(admin_port, "PUT", PATH, {**announced, "leaving": True})
    assert (status, shown["leaving"]) == (200, True)


@pytest.mark.parametrize(
    "body, detail",
    [
        ({"service": "estimates", "slots": 8}, "port"),
        ({"service": "estimates", "slots": -1, "port": 5201}, "slots"),
        ({"service": "estimates" * 4000, "slots": 8, "port": 5201}, ""),
    ],
)
def test_an_invalid_announcement_is_refused_and_changes_nothing(
    admin_port, body, detail
):
    status, problem = call_json(admin_port, "PUT", PATH, body)
    assert status in (400, 413)
    assert detail in problem.get("detail", "")
    assert call_json(admin_port, "GET", PATH)[1]["service"] == ""


def test_the_service_of_a_sidecar_never_changes(admin_port):
    announced = {"service": "estimates", "slots": 8, "port": 5201}
    call_json(admin_port, "PUT", PATH, announced)
    other = {**announced, "service": "invoices"}
    assert call_json(admin_port, "PUT", PATH, other)[0] == 400
    assert call_json(admin_port, "POST", PATH, announced)[0] == 400
