"""The sidecar as a whole: leaving, and being told to leave."""

from tests.core.system import System


def test_a_sidecar_whose_row_was_ended_by_another_leaves():
    """The platform starts a second process for a worker whose first one still lives.

    The second one ends the first one's row. The first one must not stay and serve: it
    hands its partitions over and exits, and jobs go on being served.
    """
    system = System(workers=4, partitions=4)
    system.run(3)
    ended = system.current("w1")
    system.join("w1")
    system.run(5)
    assert system.nodes[ended].exited
    for number in range(8):
        system.submit(system.submission(f"k{number}"))
    system.run(2)
    assert all(told.answer.kind is None for told in system.told)
    assert len(system.told) == 8


def test_the_last_sidecar_leaves_although_nobody_can_take_over():
    system = System(workers=1, partitions=2)
    system.run(3)
    last = system.current("w0")
    system.drain(last)
    system.run(40)
    assert system.nodes[last].exited
