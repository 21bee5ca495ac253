"""Lists of a worker that overtake each other on different connections."""

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected, Received
from gypsumspoke.runs.messages import PlaceRun, RunEnded
from gypsumspoke.runs.values import RunId, TaskId
from gypsumspoke.runs.worker_commands import (
    CommandAnswered,
    CommandKind,
    CommandResult,
    StartCommand,
)
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.world import TASK_ROOM, TASK_TIME, ms

ENTRY = "entry-1"
RUN = RunId(TaskId("j1", 0, 0), 1)


def sidecar_that_starts_a_run() -> LoneSidecar:
    """Return a sidecar that has sent the start of a run to its worker at 100 ms."""
    sidecar = LoneSidecar()
    sidecar.take_list(ms(3), asked=ms(1), made=ms(2))
    sidecar.take(ms(4), PeerConnected(ENTRY))
    place = PlaceRun(ms(100), RUN, TASK_ROOM, 1, TASK_TIME, ms(4000), "x")
    effects = sidecar.take(ms(100), Received(ENTRY, place))
    assert any(isinstance(effect, StartCommand) for effect in effects)
    return sidecar


def ends(effects) -> list[RunEnded]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, RunEnded)
    ]


def test_an_older_list_that_comes_late_ends_no_run():
    """The answer to a start is lost. A list that was asked for after the start was
    sent, and made before the worker carried it out, comes after a younger one that
    shows the run. Taken at its word it ended the run, and the task ran twice at once.
    """
    sidecar = sidecar_that_starts_a_run()
    unanswered = CommandAnswered(CommandKind.START, RUN, CommandResult.UNANSWERED)
    sidecar.take(ms(101), unanswered)
    sidecar.take_list(
        ms(104), running=[RUN], asked=ms(101), made=ms(103), is_extra=True
    )
    late = sidecar.take_list(ms(105), asked=ms(100.5), made=ms(101))
    assert ends(late) == []
    assert RUN in sidecar.state.runs


def test_a_younger_list_that_lacks_the_run_ends_it():
    sidecar = sidecar_that_starts_a_run()
    sidecar.take_list(ms(104), running=[RUN], asked=ms(101), made=ms(103))
    (end,) = ends(sidecar.take_list(ms(141), asked=ms(105), made=ms(140)))
    assert end.run == RUN
