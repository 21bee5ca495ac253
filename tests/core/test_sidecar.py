"""Tests of the sidecar: waiting for its upstream, and graceful stops."""

from gypsumspoke.core import sidecar
from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import Exit
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.events import Drain, Tick, UpstreamAnnounced
from tests.core.system import SERVICE, START, System, parse_manifest, settled_system

COMES = UpstreamAnnounced(SERVICE, 2, leaving=False)
LEAVES = COMES._replace(leaving=True)


def waiting_sidecar():
    member = next(iter(System(workers=1).nodes.values())).member
    unnamed = member._replace(service="", slots=0)
    return sidecar.new_sidecar(unnamed, 4, 0, parse_manifest)


def test_it_reads_no_table_before_its_upstream_is_known():
    state = waiting_sidecar()
    assert sidecar.reduce(state, Tick(), START) == []
    assert sidecar.reduce(state, LEAVES, START) == []
    assert not state.knows_upstream
    sidecar.reduce(state, COMES, START)
    assert (state.member.service, state.member.slots) == (SERVICE, 2)
    assert sidecar.reduce(state, Tick(), START)


def test_a_stop_before_any_announcement_ends_at_once():
    assert sidecar.reduce(waiting_sidecar(), Drain(), START) == [Exit()]


def test_an_upstream_that_leaves_under_load_gets_nothing_more():
    """Under load, no job fails and homes stop placing tasks at the leaving upstream.

    Its sidecar keeps its partitions.
    """
    system = settled_system()
    leaver = system.current("w0")
    owned = {f"k{number}": system.submission(f"k{number}") for number in range(40)}
    owners = {name: system.owner(job.key) for name, job in owned.items()}
    for number, submission in enumerate(owned.values()):
        if number == 20:
            system.run(0.1)
            system.post(leaver, LEAVES)
            begun = len([start for start in system.started if start.worker == "w0"])
            system.run(1)
            asked = system.counts[RetryReason.EXECUTOR_LEAVING]
        system.submit(submission)
        system.run(0.1)
    system.run(3)
    assert begun
    assert len([start for start in system.started if start.worker == "w0"]) == begun
    assert system.counts[RetryReason.EXECUTOR_LEAVING] == asked
    for name, submission in owned.items():
        assert [answer.kind for answer in system.answers(submission.key)] == [None]
        assert set(system.starts(submission.key).values()) == {1}
        assert system.owner(submission.key) == owners[name]


def test_a_sidecar_whose_row_was_ended_by_another_leaves():
    """A process replaced by a second one for its worker must hand over and exit."""
    system = System(workers=4, partitions=4)
    system.run(3)
    ended = system.current("w1")
    system.join("w1")
    system.run(5)
    assert system.nodes[ended].exited
    for number in range(8):
        system.submit(system.submission(f"k{number}"))
    system.run(2)
    assert all(each.answer.kind is None for each in system.delivered)
    assert len(system.delivered) == 8


def test_the_last_sidecar_leaves_although_nobody_can_take_over():
    system = System(workers=1, partitions=2)
    system.run(3)
    last = system.current("w0")
    system.drain(last)
    system.run(40)
    assert system.nodes[last].exited


def test_a_sidecar_leaves_while_the_table_is_down_and_cuts_no_job():
    """Without a table nobody can take over: running jobs must end before the exit."""
    system = System(workers=4, partitions=1)
    system.run(3)
    system.hold_upstreams = True
    running = system.submission("k", tasks=3)
    leaving = system.owner(running.key)
    system.submit(running)
    system.run(0.5)
    system.table.is_down = True
    system.drain(leaving)
    system.run(6)
    fresh = system.submission("fresh")
    system.submit(fresh)
    system.run(0.5)
    assert system.answers(fresh.key)[0].kind is ErrorKind.NOT_OWNER
    system.hold_upstreams = False
    system.run(40)
    assert system.answers(running.key)[0].kind is None
    assert system.nodes[leaving].exited
