"""The operators' HTTP interface of an entry, with a table that can fail."""

import json

import gevent
import pytest

from gypsumspoke.core.rows import member_key, member_value
from tests.standins.entry_process import MANIFEST, Entry, Home, request, write
from tests.standins.processes import TIMEOUT_SECONDS

CHANGE_ID = "Gypsumspoke-Change-Id"


class Operator:
    """Requests to the administration port of one entry."""

    def __init__(self, entry):
        self.port = entry.admin_port

    def get(self, path):
        return request(self.port, "GET", path)

    def version(self):
        return json.loads(self.get("/v1/manifest")[1]["etag"].strip('"'))

    def apply(self, base, change_id="c1", text=None):
        headers = {"If-Match": f'"{base}"', CHANGE_ID: change_id}
        body = (text or json.dumps(MANIFEST)).encode()
        return request(self.port, "PUT", "/v1/manifest", body, headers)

    def post(self, path, body=None):
        payload = json.dumps(body).encode() if body is not None else b""
        return request(self.port, "POST", path, payload)

    def wait_status(self, path, condition):
        with gevent.Timeout(TIMEOUT_SECONDS):
            while not condition(self.get(path)[2]):
                gevent.sleep(0.02)


@pytest.fixture
def operator(entry):
    return Operator(entry)


def manifest(rate):
    team = {**MANIFEST["teams"][0], "tasks_per_second": rate}
    return json.dumps({**MANIFEST, "teams": [team]})


def member_row(table, incarnation):
    [row] = table.post("/v1/read", {"prefix": member_key(incarnation)})["rows"]
    return json.loads(row["value"])


def is_home_reachable(status):
    [member] = [m for m in status["members"] if m["worker"] == "home"]
    return member["reachable"]


def test_an_applied_manifest_takes_effect_and_is_returned_with_its_change_id(operator):
    status, _, body = operator.apply(operator.version(), "c1", manifest(5))
    assert status == 200
    _, headers, shown = operator.get("/v1/manifest")
    assert headers["etag"] == f'"{body["version"]}"'
    assert headers[CHANGE_ID.lower()] == "c1"
    assert shown == json.loads(manifest(5))

    def is_in_force(answer):
        own = [p for p in answer["processes"] if p["worker"] == "entry-a"]
        return own[0]["manifest_version"] == body["version"]

    operator.wait_status("/v1/manifest/status", is_in_force)


def test_of_two_concurrent_changes_one_gets_a_conflict(operator):
    """Of two changes based on the same version, the second is refused with the current
    version and has no effect.
    """
    base = operator.version()
    _, _, first = operator.apply(base, "c1", manifest(5))
    status, _, second = operator.apply(base, "c2", manifest(6))
    assert (status, second["kind"]) == (409, "conflict")
    assert second["current_version"] == first["version"]
    assert operator.get("/v1/manifest")[2] == json.loads(manifest(5))


def test_a_lost_answer_is_resolved_by_the_change_id(operator, table):
    """The table commits the change but its answer is lost. The repeated transaction
    conflicts with itself, and the entry finds the change id when it reads back.
    """
    base = operator.version()
    table.post("/faults", {"lose_answers": 1})
    status, _, body = operator.apply(base, "c1", manifest(5))
    assert (status, body["version"]) == (200, operator.version())


def test_a_repeated_change_is_recognised_after_a_later_one(operator):
    _, _, first = operator.apply(operator.version(), "c1", manifest(5))
    _, _, second = operator.apply(first["version"], "c2", manifest(6))
    status, _, again = operator.apply(first["version"], "c1", manifest(5))
    assert (status, again["version"]) == (200, first["version"])
    assert operator.version() == second["version"]


def test_a_change_id_used_for_another_manifest_conflicts(operator):
    _, _, first = operator.apply(operator.version(), "c1", manifest(5))
    assert operator.apply(first["version"], "c1", manifest(6))[0] == 409


def test_an_invalid_manifest_is_refused_with_the_paths_of_errors(operator):
    status, _, body = operator.apply(operator.version(), text='{"teams": [{}]}')
    assert (status, body["kind"]) == (422, "invalid_manifest")
    assert any("teams[0].name" in error for error in body["errors"])


@pytest.mark.parametrize("missing", ["If-Match", CHANGE_ID])
def test_a_change_needs_its_base_version_and_a_change_id(operator, missing):
    headers = {"If-Match": '"1"', CHANGE_ID: "c1"}
    del headers[missing]
    body = manifest(5).encode()
    status, _, body = request(operator.port, "PUT", "/v1/manifest", body, headers)
    assert (status, body["kind"]) == (400, "invalid_request")


def test_without_the_table_a_change_is_uncertain_with_retry_after(operator, table):
    base = operator.version()
    table.post("/faults", {"down": True})
    status, headers, body = operator.apply(base, "c1", manifest(5))
    assert (status, body["kind"], body["work"]) == (
        503,
        "store_unavailable",
        "unknown",
    )
    assert "retry-after" in headers


def test_the_status_shows_reachable_members(operator, home):
    operator.wait_status("/v1/status", is_home_reachable)


def test_a_drain_marks_the_row_of_the_worker(operator, table):
    status, _, body = operator.post("/v1/workers/home/drain")
    assert (status, body["draining"]) == (200, True)
    assert member_row(table, "home-1")["draining"] is True
    assert operator.post("/v1/workers/nobody/drain")[0] == 400


def test_a_drained_entry_exits(operator, entry):
    assert operator.post("/v1/workers/entry-a/drain")[0] == 200
    assert entry.process.wait_exit() == 0


def test_gone_needs_the_incarnation_and_a_confirmation(operator, table, home):
    """A worker that may still run is declared ended only with a confirmation of its
    incarnation, and only once it is unreachable.
    """
    path = "/v1/workers/home/gone"
    confirmed = {"incarnation": "home-1", "confirm_ended_for_good": True}
    for body in (None, {}, {**confirmed, "incarnation": "home-0"}, [1]):
        assert operator.post(path, body)[0] == 400
    operator.wait_status("/v1/status", is_home_reachable)
    assert operator.post(path, confirmed)[2]["kind"] == "conflict"
    home.links.close()

    operator.wait_status("/v1/status", lambda status: not is_home_reachable(status))
    assert operator.post(path, confirmed)[0] == 200
    assert member_row(table, "home-1")["ended"] is not None


def test_the_first_manifest_replaces_version_0(processes, table):
    entry = Entry(processes, table)
    operator = Operator(entry)
    assert operator.get("/v1/manifest")[2]["kind"] == "no_manifest"
    assert operator.apply(0)[0] == 200
    entry.wait_ready()


def test_a_registration_with_a_lost_answer_is_effective(processes, table):
    home = Home()
    write(
        table,
        {
            "manifest": json.dumps(MANIFEST),
            member_key("home-1"): member_value(home.member()),
        },
    )
    table.post("/faults", {"lose_answers": 1})
    entry = Entry(processes, table).wait_ready()
    assert member_row(table, entry.incarnation)["ended"] is None
    home.links.close()


def test_each_refusal_is_counted(operator):
    """Conflicts and invalid manifests appear in the metrics."""
    operator.apply(base=operator.version(), text="{")
    operator.apply(base=operator.version() + 1)
    metrics = bytes(request(operator.port, "GET", "/metrics")[2]).decode()
    for kind in ("invalid_manifest", "conflict"):
        assert f'gypsumspoke_refusals_total{{kind="{kind}"}} 1.0' in metrics
