"""Cordons as operators write them, and whole processes that follow them."""

import pytest

from gypsumspoke.platform.cordons import parse_cordons
from gypsumspoke.platform.store import Table
from gypsumspoke.runs.cordons import CordonsRead
from tests.platform.system import PlatformSystem

NORTH, SOUTH = "north", "south"
KEY = f"evacuate/{NORTH}"


@pytest.mark.parametrize("value", [b"{}", b"", b"{", b"[1]", b'{"later": 1}', b"\xff"])
def test_a_row_cordons_its_failure_domain_whatever_its_value(value):
    table = Table({"config": b"{}", KEY: value}, 7)
    assert parse_cordons(table) == CordonsRead(7, (NORTH,), False)


@pytest.mark.parametrize(
    "key, domains",
    [
        ("evacuate/a/b", ("a/b",)),
        ("evacuate/a%2Fb", ("a%2Fb",)),
        ("evacuate/", ()),
        ("evacuate", ()),
        ("wave/1", ()),
        ("Evacuate/a", ()),
    ],
)
def test_the_key_names_the_failure_domain_as_it_is(key, domains):
    assert parse_cordons(Table({key: b"{}"}, 7)).domains == domains


@pytest.mark.parametrize(
    "changed, is_unchanged",
    [
        (None, False),
        (frozenset(), True),
        (frozenset({"config"}), True),
        (frozenset({"config", KEY}), False),
    ],
)
def test_only_a_followed_table_shows_that_no_cordon_has_changed(changed, is_unchanged):
    assert parse_cordons(Table({}, 7, changed)).is_unchanged is is_unchanged


@pytest.fixture
def system(tmp_path):
    with PlatformSystem(tmp_path, 2, 2, domains=(NORTH, SOUTH)) as running:
        running.wait_until_serving()
        yield running


def starts(system):
    """Return the number of starts on each worker."""
    return [len(worker.worker.starts) for worker in system.workers]


def submit_all(system, count=6):
    """Submit jobs through both entries by turns; all must be completed."""
    for number in range(count):
        status, _, _ = system.submit(number % 2, f"{system.next_job():016x}", count=1)
        assert status == 200


def has_lines(process, message, count=1):
    """Return whether a process has written as many lines with this message."""
    return sum(line["message"] == message for line in process.lines()) >= count


def test_a_cordoned_domain_gets_no_runs_until_the_cordon_is_lifted(system):
    sidecar = system.sidecars[0]
    system.store.put("op", KEY, b"{")
    system.wait_until(
        lambda: has_lines(sidecar, "failure domain cordoned"), "the cordon"
    )
    before = starts(system)
    submit_all(system)
    after = starts(system)
    assert after[0] == before[0]
    assert after[1] > before[1]
    system.store.put("op", KEY, None)
    system.wait_until(lambda: has_lines(sidecar, "cordon lifted"), "the lifting")
    system.wait_until(
        lambda: submit_all(system) or starts(system)[0] > after[0],
        "a run in the domain",
    )


def test_a_cordon_outlasts_the_restart_of_all_processes_without_the_store(system):
    """The entry that starts learns the cordon from the other one, and its sidecars
    from both.
    """
    system.store.put("op", KEY, b"{}")
    for process in system.sidecars[:1]:
        system.wait_until(
            lambda: has_lines(process, "failure domain cordoned"), "the cordon"
        )
    system.store.status = 503
    system.entries[1].kill()
    system.entries[1] = system.start_entry(1)
    system.sidecars[0].kill()
    system.sidecars[0] = system.start_sidecar(0)
    system.wait_until(
        lambda: has_lines(system.sidecars[0], "failure domain cordoned"),
        "the cordon after the restart",
    )
    system.wait_until_serving()
    before = starts(system)
    submit_all(system)
    assert starts(system)[0] == before[0]


def test_jobs_are_refused_while_all_failure_domains_are_cordoned(system):
    system.store.put("op", KEY, b"{}")
    system.store.put("op", f"evacuate/{SOUTH}", b"{}")
    for process in system.sidecars:
        system.wait_until(
            lambda: has_lines(process, "failure domain cordoned"), "the cordon"
        )
    system.wait_until(
        lambda: system.submit(0, f"{system.next_job():016x}")[0] == 503, "a refusal"
    )
    status, body, headers = system.submit(0, f"{system.next_job():016x}")
    assert (status, body["reason"]) == (503, "domains_cordoned")
    assert int(headers["retry-after"]) >= 1
