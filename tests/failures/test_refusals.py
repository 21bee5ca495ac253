"""Refused resubmissions, and invalid input from callers and peers."""

import gevent
import pytest
from gevent.socket import create_connection

from gypsumspoke.core.messages import QueryJob
from gypsumspoke.core.values import JobKey
from gypsumspoke.wire.codec import encode
from gypsumspoke.wire.frames import MAX_FRAME_BYTES, frame
from gypsumspoke.wire.hello import PROTOCOL_VERSION, Hello
from tests.failures.system import HOST, PARTITIONS, TIMEOUT_SECONDS, job, wait_until
from tests.standins.processes import call_json

QUERY = QueryJob("request-1", 3, JobKey("tax", "key-1"))
HELLO = Hello(PROTOCOL_VERSION, "stranger-1", "stranger", PARTITIONS)


def framed(message):
    """Return the message as it is sent to a peer."""
    return frame(encode(message)).unwrap()


def post(system, body, headers=None):
    port = system.ports("entry-1")["http_port"]
    return call_json(port, "POST", "/v1/jobs", body, headers)


def test_resubmission_after_the_retention_is_refused(start_system):
    """Guards against a second start of a key whose record was dropped."""
    system = start_system(services={"answer_timeout_seconds": 2}, retention_seconds=4)
    body = job()
    assert system.submit("entry-1", body).status == 200

    def refused():
        said = system.submit("entry-2", body)
        return said if said.status != 200 else None

    said = wait_until(refused, "the end of the retention")
    assert (said.kind, said.work) == ("key_expired", "unknown")
    assert system.submit("entry-1", body).kind == "key_expired"
    assert sum(system.starts(body["key"]).values()) == 1


def test_entry_refuses_resubmission_while_job_runs(start_system):
    """Guards against answering "not run" to a refused resubmission of a running job."""
    quota = {"tasks_per_second": 0.001, "burst_tasks": 8}
    system = start_system(teams={"small": quota})
    body = job(team="small", sleep=3.0)
    waiting = system.submit_later("entry-1", body)
    wait_until(lambda: system.starts(body["key"]), "a start")

    def quota_used_up():
        return system.submit("entry-2", job(team="small")).kind == "quota_exceeded"

    wait_until(quota_used_up, "the quota to be used up")
    refused = system.submit("entry-2", body)
    assert (refused.kind, refused.work) == ("quota_exceeded", "not_passed_on")
    assert not waiting.ready()
    assert waiting.get().status == 200
    assert sum(system.starts(body["key"]).values()) == 1


def test_bad_input_over_http(system):
    """Guards against invalid requests that reach a home or get the wrong error kind."""
    port = system.ports("entry-1")["http_port"]
    for body, status, kind in (
        (job(tasks=131), 400, "invalid_request"),
        ([], 400, "invalid_request"),
        (job(team="nobody"), 403, "unknown_team"),
        (job(service="nothing"), 404, "unknown_service"),
        (job(deadline_seconds=-1), 400, "deadline_in_past"),
        (job("old", birth="2020-01-01T00:00:00Z"), 410, "key_expired"),
        (job("new", birth="2090-01-01T00:00:00Z"), 400, "birth_in_future"),
        ("x" * 10_000_000, 413, "body_too_large"),
    ):
        found, said = call_json(port, "POST", "/v1/jobs", body)
        assert (found, said["kind"]) == (status, kind)
        assert said["work"] == ("unknown" if status == 410 else "not_passed_on")
    good = job()
    assert post(system, good)[0] == 200
    reused = {**good, "tasks": [{"body": {"echo": "another"}}]}
    assert post(system, reused)[1]["kind"] == "key_reused"
    assert post_malformed_json(port) == 400
    assert system.most_starts() == 1
    assert sum(system.starts(good["key"]).values()) == 1
    assert system.submit("entry-1", job()).status == 200


def post_malformed_json(port):
    """Send a body that is not valid JSON and return the status."""
    with gevent.Timeout(TIMEOUT_SECONDS):
        with create_connection((HOST, port)) as sock:
            body = b'{"key": "k'
            head = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            return int(sock.recv(65536).split()[1])


@pytest.mark.parametrize(
    "sent",
    [
        (MAX_FRAME_BYTES + 1).to_bytes(4, "big") + b"x" * 1000,
        framed(HELLO) + framed(QUERY)[:-3],
        framed(HELLO) + frame(encode(QUERY)[:-3]).unwrap(),
        framed(HELLO._replace(protocol_version=PROTOCOL_VERSION + 1)),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
    ids=["oversized", "cut off", "truncated", "other version", "http"],
)
def test_bad_bytes_at_a_peer_port(system, sent):
    """Guards against sidecars that fail on malformed bytes from a peer."""
    connections = []
    for name in ("worker-1", "worker-2", "worker-3", "worker-4"):
        for _ in range(3):
            sock = create_connection((HOST, system.ports(name)["peer_port"]))
            sock.sendall(sent)
            connections.append(sock)
    for partition in range(PARTITIONS):
        said = system.submit("entry-1", job(system.key_in([partition])))
        assert said.status == 200
    for sock in connections:
        sock.close()
    assert all(process.alive for process in system.roles.values())
    assert system.most_starts() == 1
