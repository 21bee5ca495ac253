"""Lists of a worker that arrive out of order on different connections."""

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
    sidecar.handle_list(ms(3), sent_at=ms(1), listed_at=ms(2))
    sidecar.handle(ms(4), PeerConnected(ENTRY))
    place = PlaceRun(ms(100), RUN, TASK_ROOM, 1, TASK_TIME, ms(4000), "x")
    effects = sidecar.handle(ms(100), Received(ENTRY, place))
    assert any(isinstance(effect, StartCommand) for effect in effects)
    return sidecar


def ends(effects) -> list[RunEnded]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, RunEnded)
    ]


def test_an_older_list_that_comes_late_ends_no_run():
    """The answer to a start is lost, and a list made before the start arrives after a
    newer one that shows the run. It must not end the run.
    """
    sidecar = sidecar_that_starts_a_run()
    unanswered = CommandAnswered(CommandKind.START, RUN, CommandResult.UNANSWERED)
    sidecar.handle(ms(101), unanswered)
    sidecar.handle_list(
        ms(104), running=[RUN], sent_at=ms(101), listed_at=ms(103), is_extra=True
    )
    late = sidecar.handle_list(ms(105), sent_at=ms(100.5), listed_at=ms(101))
    assert ends(late) == []
    assert RUN in sidecar.state.runs


def test_a_younger_list_that_lacks_the_run_ends_it():
    sidecar = sidecar_that_starts_a_run()
    sidecar.handle_list(ms(104), running=[RUN], sent_at=ms(101), listed_at=ms(103))
    (end,) = ends(sidecar.handle_list(ms(141), sent_at=ms(105), listed_at=ms(140)))
    assert end.run == RUN
