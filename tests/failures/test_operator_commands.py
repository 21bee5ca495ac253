"""Operator and caller commands, run as processes against a whole system."""

import json
import os
import re

import gevent
import pytest
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from gypsumspoke.core.clock import SystemClock
from gypsumspoke.tools.caller_client import new_key
from gypsumspoke.tools.exit_codes import ExitCode
from gypsumspoke.tools.http_client import Request, exchange
from gypsumspoke.tools.operator_client import CHANGE_ID_HEADER
from tests.failures.system import (
    TEAM,
    TIMEOUT_SECONDS,
    WORKERS,
    job,
    manifest,
    wait_until,
)
from tests.standins.processes import Process


class Commands:
    """Runs ``python -m gypsumspoke`` against one system.

    Args:
      folder: directory for output and files.
      system: the system whose first entry is used.
    """

    def __init__(self, folder, system):
        self._folder = folder
        self._admin = "{}:{}".format(*system.admin())
        self._entry = f"127.0.0.1:{system.ports('entry-1')['http_port']}"
        self._count = 0

    def file(self, text):
        """Return the path of a new file with this text."""
        self._count += 1
        path = self._folder / f"command-{self._count}.json"
        path.write_text(text)
        return str(path)

    def run(self, *arguments):
        """Run a command without an address; return its exit code and output."""
        self._count += 1
        log = self._folder / f"command-{self._count}.log"
        process = Process(["gypsumspoke", *arguments], log)
        try:
            return process.wait_exit(), log.read_text()
        finally:
            process.kill()

    def operate(self, *arguments, admin=None):
        """Run an operator's command, at administration port ``admin`` if given."""
        address = self._admin if admin is None else f"127.0.0.1:{admin}"
        return self.run(*arguments, "--admin", address)

    def call(self, *arguments):
        """Run a caller's command."""
        return self.run(*arguments, "--entry", self._entry)


class DelayingProxy:
    """Forwards requests to an administration port; PUT waits until released."""

    def __init__(self, target):
        self._target = target
        self._server = WSGIServer(("127.0.0.1", 0), self._forward, log=None)
        self._server.start()
        self.held = Event()
        self.released = Event()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self._server.stop(timeout=0)

    @property
    def port(self):
        return self._server.server_port

    def _forward(self, environ, start):
        method = environ["REQUEST_METHOD"]
        if method == "PUT":
            self.held.set()
            self.released.wait(TIMEOUT_SECONDS)
        headers = {
            "If-Match": environ.get("HTTP_IF_MATCH", ""),
            CHANGE_ID_HEADER: environ.get("HTTP_GYPSUMSPOKE_CHANGE_ID", ""),
        }
        body = environ["wsgi.input"].read()
        request = Request(method, environ["PATH_INFO"], headers, body)
        reply = exchange(self._target, request).unwrap()
        start(f"{reply.status} Forwarded", [("ETag", reply.headers.get("etag", ""))])
        return [reply.body]


@pytest.fixture
def commands(tmp_path, system):
    return Commands(tmp_path, system)


def done(ended):
    """Return the output of a command, which must have succeeded."""
    code, output = ended
    assert code == ExitCode.OK, output
    return output


def versions(commands):
    """Return the manifest versions in force and how many processes reported."""
    status = json.loads(done(commands.operate("manifest", "status")))
    in_force = [process["manifest_version"] for process in status["processes"]]
    return set(in_force), len(in_force)


def live_members(commands):
    """Return the ids of the live incarnations by worker, as ``status`` shows them."""
    members = json.loads(done(commands.operate("status")))["members"]
    return {m["worker"]: m["incarnation"] for m in members if m["ended"] is None}


def test_a_manifest_is_checked_applied_shown_and_in_force_everywhere(system, commands):
    text = manifest(teams={"pots": {"tasks_per_second": 5, "burst_tasks": 5}})
    path = commands.file("// a new team\n" + text)
    done(commands.run("manifest", "check", path))
    applied = done(commands.operate("manifest", "apply", path, "--change-id", "c1"))
    version = int(re.search(r"version (\d+) is accepted", applied)[1])
    assert version > system.version
    shown = done(commands.operate("manifest", "show"))
    assert f"version {version}\n" in shown
    assert json.loads(shown[shown.index("{") :]) == json.loads(text)
    wait_until(lambda: versions(commands) == ({version}, 6), "the version everywhere")
    repeated = done(commands.operate("manifest", "apply", path, "--change-id", "c1"))
    assert f"version {version} is" in repeated


def test_one_of_two_racing_operators_gets_conflict(system, commands):
    """Guards against a delayed manifest write replacing a newer version."""
    delayed, prompt = (
        commands.file(manifest(retention_seconds=seconds)) for seconds in (400, 500)
    )
    with DelayingProxy(system.admin()) as proxy:
        arguments = ("manifest", "apply", delayed)
        racing = gevent.spawn(commands.operate, *arguments, admin=proxy.port)
        assert proxy.held.wait(TIMEOUT_SECONDS)
        done(commands.operate("manifest", "apply", prompt))
        proxy.released.set()
        code, output = racing.get(timeout=TIMEOUT_SECONDS)
    assert (code, "is not in force" in output) == (ExitCode.CONFLICT, True), output
    assert '"retention_seconds": 500' in done(commands.operate("manifest", "show"))


def test_a_job_is_submitted_asked_for_and_cancelled(system, commands):
    body = job(tasks=2)
    path = commands.file(json.dumps(body))
    answer = json.loads(done(commands.call("submit", path)))
    assert [result["echo"] for result in answer["results"]] == [0, 1]
    again = json.loads(done(commands.call("query", TEAM, body["key"])))
    assert again["results"] == answer["results"]
    code, output = commands.call("query", TEAM, new_key(SystemClock()))
    assert (code, "job_not_found" in output) == (ExitCode.REFUSED, True)

    slow = job(tasks=1, sleep=20.0, deadline_seconds=60)
    waiting = system.submit_later("entry-2", slow)
    wait_until(lambda: system.running_at(slow["key"]), "a start")
    done(commands.call("cancel", TEAM, slow["key"]))
    assert waiting.get(timeout=60).kind == "cancelled"
    assert system.most_starts() == 1


def test_a_drained_sidecar_exits_and_its_partitions_are_served(system, commands):
    """Guards against partitions left unserved after a sidecar is drained."""
    worker = wait_until(
        lambda: next((w for w in WORKERS if system.partitions_of(w)), ""), "an owner"
    )
    partitions = system.partitions_of(worker)
    done(commands.operate("drain", worker))
    assert system.roles[worker].wait_exit() == 0
    wait_until(system.settled, "other owners")
    wait_until(lambda: worker not in live_members(commands), "the end of its row")
    for partition in partitions:
        assert served(system, partition)


def test_gone_restores_partitions_of_two_dead_sidecars(system, commands):
    """Guards against partitions blocked for ever by records of dead sidecars."""
    members = live_members(commands)
    lost = WORKERS[:2]
    partitions = [part for worker in lost for part in system.partitions_of(worker)]
    assert partitions
    for worker in lost:
        system.roles[worker].kill()
    early = [system.key_in([partition]) for partition in partitions]
    for waiting in [gevent.spawn(wait_for_takeover, system, key) for key in early]:
        waiting.get(timeout=TIMEOUT_SECONDS)
    for worker in lost:
        arguments = ("gone", worker, "--incarnation", members[worker], "--yes")
        done(commands.operate(*arguments))
    wait_until(system.settled, "live owners of all partitions")
    for key in early:
        assert system.until_final(job(key))[-1].work == "unknown"
    probes = [gevent.spawn(wait_until_served, system, part) for part in partitions]
    gevent.joinall(probes, raise_error=True)
    assert system.most_starts() <= 1


def wait_for_takeover(system, key):
    """Wait until a key is answered with an unfinished takeover."""

    def is_taken_over():
        said = system.submit("entry-1", job(key, deadline_seconds=3))
        assert said.status != 200, said
        return said.kind == "takeover_in_progress" and said.work == "unknown"

    wait_until(is_taken_over, "a takeover that waits")


def wait_until_served(system, partition):
    """Wait until a new key of a partition is served."""
    wait_until(lambda: served(system, partition), "a key that is served")


def served(system, partition):
    """Return whether a new key of a partition is served."""
    return system.until_final(job(system.key_in([partition])))[-1].status == 200


def test_gone_is_refused_for_a_live_process(system, commands):
    worker = WORKERS[0]
    incarnation = live_members(commands)[worker]
    arguments = ("gone", worker, "--incarnation", incarnation, "--yes")
    code, output = commands.operate(*arguments)
    assert (code, "HTTP 409" in output) == (ExitCode.REFUSED, True), output
    assert system.roles[worker].alive


def test_each_process_is_one_thread(system, commands):
    """Guards against threads beside the event loop, such as for name resolution."""
    path = commands.file(json.dumps(job(tasks=3)))
    done(commands.call("submit", path))
    done(commands.operate("status"))
    for name, process in system.roles.items():
        assert system.metric(name, "process_resident_memory_bytes") > 0
        assert len(os.listdir(f"/proc/{process.pid}/task")) == 1, name
