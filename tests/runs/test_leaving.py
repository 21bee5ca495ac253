"""A sidecar leaves an entry that its group doesn't need any more."""

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected, Received, Tick
from gypsumspoke.runs.directory import CloseConnection, Directory, EntriesRead
from gypsumspoke.runs.entry_group import SURPLUS_DELAY
from gypsumspoke.runs.messages import KnownEntries, PlaceRun, ReportAck, WorkerReport
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.values import RunEnd, RunId, TaskId
from gypsumspoke.runs.worker_commands import EndedRun, HeartbeatArrived
from tests.runs.groups import SingleEntryGroup
from tests.runs.lone_sidecar import LoneSidecar, registration
from tests.runs.world import SERVICE, START, TASK_ROOM, TASK_TIME, ms

WANTED, SURPLUS = "10.0.0.1:1", "10.0.0.2:1"
ENTRY = "entry-1"
RUN = RunId(TaskId("j1", 0, 0), 1)


def leaving_sidecar():
    """Return a sidecar that has told an entry that it takes no work, and when."""
    group = SingleEntryGroup("side0", START)
    directory = Directory("", (), group.select)
    sidecar = LoneSidecar(SupervisorState(SERVICE, directory, START, group=group))
    sidecar.handle(ms(0), HeartbeatArrived(registration()))
    for at in (0, 70, 140):
        sidecar.handle(ms(at), Tick())
        sidecar.handle_list(ms(at + 5))
    sidecar.handle(ms(190), EntriesRead((WANTED, SURPLUS)))
    (selected,) = group.select((WANTED, SURPLUS))
    other = SURPLUS if selected == WANTED else WANTED
    for entry, address in (("entry-0", selected), (ENTRY, other)):
        sidecar.handle(ms(200), PeerConnected(entry))
        sidecar.handle(ms(200), Received(entry, KnownEntries((address,), address)))
    sidecar.handle(ms(200), Tick())
    at = ms(200) + SURPLUS_DELAY
    effects = [*sidecar.handle(at, Tick()), *sidecar.handle(at + ms(100), Tick())]
    last = reports(effects, ENTRY)[-1]
    assert not last.takes_work
    return sidecar, at + ms(100)


def reports(effects, entry):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send)
        and effect.to == entry
        and isinstance(effect.message, WorkerReport)
    ]


def closed(effects):
    return [effect for effect in effects if isinstance(effect, CloseConnection)]


def test_the_connection_is_closed_once_the_entry_has_agreed():
    sidecar, now = leaving_sidecar()
    assert not closed(sidecar.handle(now + ms(100), Tick()))
    sidecar.handle(now + ms(101), Received(ENTRY, ReportAck(now)))
    assert closed(sidecar.handle(now + ms(200), Tick())) == [CloseConnection(ENTRY)]


def test_it_stays_open_for_the_end_of_a_run_that_came_meanwhile():
    """A run that was placed before the entry had agreed may start and end between two
    ticks; the entry would not hear of its end.
    """
    sidecar, now = leaving_sidecar()
    place = PlaceRun(now - ms(50), RUN, TASK_ROOM, 1, TASK_TIME, ms(4000), "x")
    sidecar.handle(now + ms(10), Received(ENTRY, place))
    done = EndedRun(1, RUN, RunEnd.DONE, False)
    sidecar.handle_list(now + ms(60), ended=(done,))
    sidecar.handle(now + ms(70), Received(ENTRY, ReportAck(now)))
    effects = sidecar.handle(now + ms(100), Tick())
    assert not closed(effects)
    sidecar.handle(now + ms(110), Received(ENTRY, ReportAck(now + ms(100))))
    assert closed(sidecar.handle(now + ms(200), Tick())) == [CloseConnection(ENTRY)]
