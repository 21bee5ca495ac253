"""Assignment of keys to partitions and of partitions to preferred homes."""

from datetime import datetime, timezone

from gypsumspoke.core.partitions import partition_of, preferred_owner
from gypsumspoke.core.values import JobKey, Member, Role

REGISTERED = datetime(2026, 1, 1, tzinfo=timezone.utc)
PARTITIONS = 64


def member(worker):
    return Member(
        incarnation=f"{worker}-1",
        worker=worker,
        role=Role.SIDECAR,
        host="127.0.0.1",
        port=1,
        failure_domain="a",
        rack="r",
        service="estimate",
        slots=8,
        registered=REGISTERED,
        ended=None,
        admin_port=2,
    )


def test_team_and_key_are_hashed_separately():
    first = partition_of(JobKey("ab", "c"), 2**32)
    second = partition_of(JobKey("a", "bc"), 2**32)
    assert first != second


def test_only_the_partitions_of_a_lost_worker_move():
    members = [member(f"w{number}") for number in range(11)]
    lost = members[3]
    rest = [other for other in members if other != lost]
    for partition in range(PARTITIONS):
        before = preferred_owner(partition, members)
        if before != lost:
            assert preferred_owner(partition, rest) == before


def test_without_candidates_nobody_is_preferred():
    assert preferred_owner(0, []) is None
