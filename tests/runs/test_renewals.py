"""Lease renewals: one is pending at a time."""

from gypsumspoke.core.events import Tick
from gypsumspoke.runs.worker_commands import CommandResult, RenewalFailed, RenewCommand
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.world import World, ms


def renewals(effects) -> list[RenewCommand]:
    return [effect for effect in effects if isinstance(effect, RenewCommand)]


def test_the_answer_to_an_overdue_renewal_does_not_cause_a_second_pending_one():
    """A paused sidecar sends the next renewal before it reads the answer to the last
    one; that answer must not trigger another.
    """
    sidecar = LoneSidecar()
    (first,) = renewals(sidecar.handle_list(ms(100)))
    (second,) = renewals(sidecar.handle(ms(1100), Tick()))
    assert renewals(sidecar.handle_list(ms(1101), number=first.number)) == []
    assert len(renewals(sidecar.handle_list(ms(1160), number=second.number))) == 1


def test_a_late_failure_of_an_overdue_renewal_causes_none_either():
    sidecar = LoneSidecar()
    (first,) = renewals(sidecar.handle_list(ms(100)))
    assert len(renewals(sidecar.handle(ms(1100), Tick()))) == 1
    failed = RenewalFailed(CommandResult.UNANSWERED, number=first.number)
    assert renewals(sidecar.handle(ms(1101), failed)) == []


def test_a_sidecar_that_was_paused_often_sends_no_more_renewals():
    world = World(entries=1, sidecars=1)
    world.tick_on_wake = True
    for _ in range(4):
        world.run(ms(1000))
        world.freeze("side0", ms(900))
    world.run(ms(2000))
    world.log.clear()
    world.run(ms(1000))
    sent = renewals(effect for _, _, effect in world.log)
    # Each is answered after the wait for an end.
    assert len(sent) <= 1000 / 60 + 1
