"""Fencing tokens over the lives of a worker and the processes of its sidecar."""

from gypsumspoke.runs.values import JobEnd
from gypsumspoke.runs.worker_commands import RenewCommand
from tests.runs.lone_sidecar import LIFE, LoneSidecar
from tests.runs.test_job_lifecycle import settled
from tests.runs.test_orphans import is_clean
from tests.runs.world import World, job, ms


def replace_sidecar(world: World) -> None:
    """Kill the sidecar and start its next process."""
    world.kill("side0")
    world.run(ms(100))
    world.start_sidecar("side0")
    world.run(ms(2000))


def test_a_sidecar_replaced_after_its_worker_was_born_again_serves():
    """A worker's clock and its memory of tokens begin anew with each life, but the
    sidecar's token stays. Its next process took one from the young clock, below that
    token, and the worker refused all of its orders for as long as the first life had
    lasted.
    """
    world = settled(sidecars=1)
    world.run(ms(30_000))
    replace_sidecar(world)
    world.crash_worker("side0")
    world.run(ms(1000))
    replace_sidecar(world)
    world.submit("entry0", "r1", job("j1", count=2), ms(4000))
    world.run(ms(1000))
    assert world.end_of("r1") is JobEnd.COMPLETED


def test_a_list_asked_for_without_a_token_fences_nobody():
    """Two holds are under way when a sidecar learns its worker's clock. The answer to
    the second, sent before there was a token, proves nothing: the worker may still
    carry out an order of the sidecar's earlier process.
    """
    sidecar = LoneSidecar()
    sidecar.take_list(ms(3), asked=ms(1), made=ms(2), token=0)
    assert sidecar.state.token > 0
    sidecar.take_list(ms(4), asked=ms(1), made=ms(3), token=0)
    assert not is_clean(sidecar, ms(5))
    sidecar.take_list(ms(6), asked=ms(5), made=ms(6))
    assert is_clean(sidecar, ms(7))


def test_orders_of_an_earlier_life_are_refused_by_the_next():
    """An order that was left unanswered before its worker was born again may be
    carried out on the new life, which knows no token yet. What comes later names a
    higher one.
    """
    sidecar = LoneSidecar()
    sidecar.take_list(ms(3), asked=ms(1), made=ms(2))
    before = sidecar.state.token
    effects = sidecar.take_list(ms(50), asked=ms(40), made=ms(4), life=LIFE + 1)
    (hold,) = [effect for effect in effects if isinstance(effect, RenewCommand)]
    assert hold.token > before
    assert not is_clean(sidecar, ms(51))
