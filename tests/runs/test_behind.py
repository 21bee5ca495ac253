"""More work than an entry's own processor carries, though the workers have room."""

from gypsumspoke.core.effects import Log, Send
from gypsumspoke.core.events import Arrival, Tick, Timed
from gypsumspoke.runs.coordinator_state import JobArrived
from tests.runs.world import ROUTE, World, job, ms

ENTRY = "entry0"


def play_unread(heard_advances: bool) -> World:
    """Let two seconds pass for an entry in which no report is handled."""
    world = World(entries=1, sidecars=2)
    world.run(ms(1500))
    world.submit(ENTRY, "r1", job("j1", count=2), ms(9000))
    entry = world.processes[ENTRY]
    heard = now = world.now
    for _ in range(20):
        now += ms(100)
        heard = now if heard_advances else heard
        timed = Timed(Arrival(heard, heard, now), Tick())
        for effect in entry.reduce(entry.state, timed, now):
            world.log.append((now, entry.name, effect))
    return world


def told(world: World) -> set[str]:
    """Return the sentences that were logged."""
    return {effect.event for _, _, effect in world.log if isinstance(effect, Log)}


def test_reports_that_are_not_read_yet_are_no_silence():
    """An entry is behind and handles no report for two seconds, though all sidecars
    send theirs. It took them for silent, gave up its jobs and refused new ones.
    """
    world = play_unread(heard_advances=False)
    assert "no sidecar heard" not in told(world)
    assert world.processes[ENTRY].state.jobs.keys() == {"j1"}


def test_sidecars_that_are_silent_are_given_up_by_an_entry_that_keeps_up():
    world = play_unread(heard_advances=True)
    assert "no sidecar heard" in told(world)
    assert not world.processes[ENTRY].state.jobs


def test_no_order_is_sent_that_is_too_old_to_be_taken():
    """An entry decided on reports that it had handled a moment ago and read long
    before. Its orders were sent back as stale, and it placed the tasks again and again.
    """
    world = World(entries=1, sidecars=2)
    world.run(ms(1510))
    entry = world.processes[ENTRY]
    late = world.now + world.budget.order_fresh
    event = JobArrived("r1", job("j1"), ROUTE, late + ms(5000))
    arrival = Arrival(world.now, world.now, world.now)
    effects = entry.reduce(entry.state, Timed(arrival, event), late)
    orders = [effect for effect in effects if isinstance(effect, Send)]
    assert orders == []
    assert entry.state.waiting.keys() == {"j1"}
