"""Runs that a new sidecar finds at its worker."""

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import PeerConnected
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.orders import EndedRun, StopOrder
from gypsumspoke.runs.values import RunEnd, RunId, TaskId
from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.world import ms

FOUND = RunId(TaskId("j1", 0, 0), 1)


def is_clean(sidecar, at) -> bool:
    """Return what an entry that connects now is told."""
    effects = sidecar.take(at, PeerConnected("entry-1"))
    (message,) = [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, WorkerReport)
    ]
    return message.clean and message.takes_work


def test_a_run_that_is_being_stopped_for_a_new_sidecar_is_at_work():
    """A sidecar's process is replaced beside a run of its predecessor. It has the run
    stopped, and the next list comes at once and lacks it, though it is at work until
    the stop has taken effect. Called clean by then, the sidecar gets the same task
    again and starts it beside the old run.
    """
    sidecar = LoneSidecar()
    effects = sidecar.take_list(ms(100), running=[FOUND])
    assert any(isinstance(effect, StopOrder) for effect in effects)
    sidecar.take_list(ms(102), running=[FOUND])
    sidecar.take_list(ms(105))
    assert not is_clean(sidecar, ms(106))
    sidecar.take_list(ms(150))
    assert not is_clean(sidecar, ms(151))
    sidecar.take_list(ms(170))
    assert is_clean(sidecar, ms(171))


def test_a_run_whose_end_is_listed_is_gone():
    sidecar = LoneSidecar()
    sidecar.take_list(ms(100), running=[FOUND])
    sidecar.take_list(ms(105))
    sidecar.take_list(ms(110), ended=[EndedRun(1, FOUND, RunEnd.STOPPED, False)])
    assert is_clean(sidecar, ms(111))


def test_an_older_list_that_comes_late_does_not_hide_a_run_that_is_being_stopped():
    """A list from before the run began comes after one that shows it. Counted from the
    older list, the time that a stop may take had passed when the stop had just begun.
    """
    sidecar = LoneSidecar()
    sidecar.take_list(ms(200), running=[FOUND])
    sidecar.take_list(ms(201), asked=ms(100), made=ms(101))
    sidecar.take_list(ms(205))
    assert not is_clean(sidecar, ms(206))
    sidecar.take_list(ms(270))
    assert is_clean(sidecar, ms(271))
