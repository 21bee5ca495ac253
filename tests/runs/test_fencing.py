"""Fencing tokens across restarts of a worker and of its sidecar."""

from gypsumspoke.runs.values import JobEnd
from gypsumspoke.runs.worker_commands import RenewCommand
from tests.runs.lone_sidecar import INCARNATION, LoneSidecar
from tests.runs.test_job_lifecycle import settled
from tests.runs.test_orphans import is_clean
from tests.runs.world import World, job, ms


def replace_sidecar(world: World) -> None:
    """Kill the sidecar and start its next process."""
    world.kill("side0")
    world.run(ms(100))
    world.start_sidecar("side0")
    world.run(ms(2000))


def test_a_sidecar_replaced_after_its_worker_restarted_serves():
    """A restarted worker's clock may be below the token that it was given last. The
    next process of the sidecar must not be refused for long.
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


def test_a_list_requested_without_a_token_does_not_fence():
    """The answer to a renewal without a token doesn't prove that commands of an earlier
    process of the sidecar are refused.
    """
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2), token=0)
    assert sidecar.state.token > 0
    sidecar.handle_list(ms(4), sent_at=ms(1), listed_at=ms(3), token=0)
    assert not is_clean(sidecar, ms(5))
    sidecar.handle_list(ms(6), sent_at=ms(5), listed_at=ms(6))
    assert is_clean(sidecar, ms(7))


def test_commands_for_a_previous_incarnation_are_refused_by_the_next():
    """A delayed command may reach the new incarnation, which knows no token yet; later
    commands carry a higher one.
    """
    sidecar = LoneSidecar()
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    before = sidecar.state.token
    effects = sidecar.handle_list(
        ms(50), sent_at=ms(40), listed_at=ms(4), incarnation=INCARNATION + 1
    )
    (renewal,) = [effect for effect in effects if isinstance(effect, RenewCommand)]
    assert renewal.token > before
    assert not is_clean(sidecar, ms(51))
