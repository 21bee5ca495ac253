"""The table is down, slow or loses answers; manifest changes conflict."""

import json
from time import monotonic

import gevent
from returns.result import Success

from gypsumspoke.tools.http_client import Request, exchange
from gypsumspoke.tools.operator_client import MANIFEST_PATH, apply_manifest
from tests.failures.system import ENTRIES, WORKERS, job, manifest, wait_until
from tests.standins.processes import call_json

JOBS_WHILE_DOWN = 100


def put_manifest(system, entry, base, text, change_id):
    """Replace manifest version ``base`` through an entry and return the reply."""
    headers = {"If-Match": f'"{base}"', "Gypsumspoke-Change-Id": change_id}
    request = Request("PUT", MANIFEST_PATH, headers, text.encode())
    return exchange(system.admin(entry), request).unwrap()


def versions(system):
    """Return the manifest version of each process, as each entry knows it."""
    found = {}
    for entry in ENTRIES:
        status = call_json(system.admin(entry).port, "GET", "/v1/manifest/status")[1]
        for process in status["processes"]:
            found[entry, process["worker"]] = process["manifest_version"] or 0
    return found


def in_force(system, version):
    """Return whether all processes use this manifest version."""
    found = versions(system)
    names = {worker for _, worker in found}
    return set(found.values()) == {version} and names == {*ENTRIES, *WORKERS}


def test_table_down_for_long_while_jobs_are_served(system):
    """Guards against failed jobs during a table outage and no takeover after it."""
    system.table.post("/faults", {"down": True})
    for number in range(JOBS_WHILE_DOWN):
        said = system.submit(ENTRIES[number % 2], job(tasks=2, sleep=0.05))
        assert said.status == 200
    home = WORKERS[0]
    owners = system.known_owners("entry-1")
    partitions = [number for number, owner in owners.items() if owner == home]
    system.roles[home].kill()
    said = system.submit("entry-1", job(system.key_in(partitions), deadline_seconds=8))
    assert said.work in ("not_passed_on", "unknown")
    system.table.post("/faults", {"down": False})
    system.serve_again(
        "table down and home killed, table back", partitions, monotonic()
    )
    assert system.most_starts() == 1


def test_table_slow_while_a_home_is_lost(system):
    """Guards against jobs or takeovers that fail while table requests are slow."""
    system.table.post("/faults", {"delay_seconds": 1.0})
    for number in range(20):
        assert system.submit(ENTRIES[number % 2], job(tasks=2)).status == 200
    home = WORKERS[0]
    partitions = system.partitions_of(home)
    system.roles[home].kill()
    system.serve_again("home killed, table slow (1 s)", partitions, monotonic())
    assert system.most_starts() == 1


def test_answers_of_the_table_are_lost_during_a_takeover(system):
    """Guards against claims lost or repeated when the table's answers are lost."""
    home = WORKERS[0]
    partitions = system.partitions_of(home)
    system.table.post("/faults", {"lose_answers": 4})
    system.roles[home].kill()
    system.serve_again("home killed, table answers lost", partitions, monotonic())
    assert system.most_starts() == 1


def test_answer_to_a_manifest_change_is_lost(system):
    """Guards against a manifest change written twice after its answer was lost."""
    system.table.post("/faults", {"lose_answers": 1})
    text = manifest(retention_seconds=500)
    applied = apply_manifest(system.admin(), text, "release-7")
    assert isinstance(applied, Success)
    wait_until(lambda: in_force(system, applied.unwrap()), "the new version")
    assert apply_manifest(system.admin("entry-2"), text, "release-7") == applied
    changes = json.dumps(system.rows("changes/"))
    assert changes.count("release-7") == 1


def test_two_operators_apply_conflicting_manifests(system):
    """Guards against two concurrent changes of one version both being accepted."""
    base, seen = system.version, {}
    for number in range(5):
        texts = [manifest(retention_seconds=100 + 2 * number + n) for n in range(2)]
        sent = [
            gevent.spawn(put_manifest, system, entry, base, text, f"{number}-{entry}")
            for entry, text in zip(ENTRIES, texts, strict=True)
        ]
        replies = [greenlet.get() for greenlet in sent]
        assert sorted(reply.status for reply in replies) == [200, 409]
        [winner] = [n for n, reply in enumerate(replies) if reply.status == 200]
        base = json.loads(replies[winner].body)["version"]
        assert system.rows("manifest")[""] == json.loads(texts[winner])
        for process, version in versions(system).items():
            assert version >= seen.get(process, 0)
            seen[process] = version
    wait_until(lambda: in_force(system, base), "the last version at every process")
