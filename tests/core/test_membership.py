"""Membership of one process against an in-memory table."""

from gypsumspoke.core import membership
from tests.core.membership_process import SECOND, Process, heartbeat, row_of, sidecar


def test_serves_from_the_last_view_while_the_table_is_down():
    process = Process(sidecar("w1"), (row_of(sidecar("w2"), 1),)).joined()
    process.tick(SECOND)
    process.event(heartbeat("w2-1", members_version=99))
    process.answer(down=True)
    assert membership.is_registered(process.state)
    assert len(membership.members(process.state)) == 2
