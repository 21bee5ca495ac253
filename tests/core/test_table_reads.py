"""Scheduling of table reads."""

from gypsumspoke.core import membership
from gypsumspoke.core.effects import ReadRows
from gypsumspoke.core.values import Role
from tests.core.membership_process import SECOND, Process, heartbeat, sidecar


def test_retries_back_off_while_the_table_is_down():
    process = Process(sidecar("w1"))
    reads = 0
    for _ in range(600):
        process.tick()
        while process.asked:
            process.answer(down=True)
            reads += 1
    assert 6 <= reads <= 20
    process.tick(10 * SECOND)
    process.settle()
    assert membership.is_registered(process.state)


def test_newer_versions_at_many_peers_cause_one_read():
    process = Process(sidecar("w1")).joined()
    process.tick(SECOND)
    for number in range(10):
        process.event(heartbeat(f"x{number}", members_version=99))
    assert len(process.asked) == 1


def test_a_sidecar_does_not_read_unprompted_and_an_entry_does():
    for role, expected in ((Role.SIDECAR, 0), (Role.ENTRY, 3)):
        process = Process(sidecar("w1", role=role)).joined()
        process.effects.clear()
        process.tick(5 * SECOND)
        reads = [e for e in process.effects if isinstance(e, ReadRows)]
        assert len(reads) == expected
