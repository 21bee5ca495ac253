"""Sidecar processes with a table and an upstream."""

import gevent
import pytest

from tests.standins.processes import TIMEOUT_SECONDS, Processes, call_json


@pytest.fixture
def processes(tmp_path):
    with Processes(tmp_path) as started:
        yield started


def settings(table, upstream, worker):
    return {
        "role": "sidecar",
        "worker": worker,
        "host": "127.0.0.1",
        "peer_port": 0,
        "admin_port": 0,
        "failure_domain": "almaty-1",
        "rack": "rack-1",
        "region": "almaty",
        "service": "estimates",
        "slots": 8,
        "upstream_host": "127.0.0.1",
        "upstream_port": upstream.port,
        "table_host": "127.0.0.1",
        "table_port": table.port,
    }


def rows(table, prefix):
    return table.post("/v1/read", {"prefix": prefix})["rows"]


def wait_until(condition):
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.05)


def test_sidecars_register_share_partitions_and_deregister(processes):
    table, upstream = processes.start_table(), processes.start_upstream()
    sidecars = [
        processes.start_role("sidecar", settings(table, upstream, f"worker-{number}"))
        for number in range(2)
    ]
    wait_until(lambda: len(rows(table, "partitions/")) == 64)
    ports = sidecars[0].wait_for_line("listening")["details"]
    assert call_json(ports["admin_port"], "GET", "/readyz", parse=False)[0] == 200
    assert sidecars[0].terminate() == 0
    ended = ['"ended": null' not in row["value"] for row in rows(table, "members/")]
    assert sorted(ended) == [False, True]
