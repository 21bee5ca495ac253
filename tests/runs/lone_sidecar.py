"""The reducer of one sidecar, told by hand what its worker and an entry say."""

from datetime import timedelta
from typing import Any

from gypsumspoke.core.effects import Effect
from gypsumspoke.runs import supervisor
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.values import Registration, RunId, WorkerState
from gypsumspoke.runs.worker_commands import (
    EndedRun,
    HeartbeatArrived,
    RenewalAnswered,
    RunningRun,
)
from tests.runs.world import CAPACITY, SERVICE, START

LIFE = 7


def registration(life: int = LIFE) -> Registration:
    """Return what the worker says of itself in the first heartbeat of a life."""
    return Registration(
        "w-1", life, 1, SERVICE, WorkerState.READY, CAPACITY, (), timedelta()
    )


class LoneSidecar:
    """A sidecar that has just started.

    Args:
      state: its state; made for one whose worker has registered unless given.
    """

    def __init__(self, state: SupervisorState | None = None) -> None:
        self.state = state or SupervisorState(SERVICE, Directory("", ()), START)
        if state is None:
            self.take(timedelta(), HeartbeatArrived(registration()))

    def take(self, at: timedelta, event: Any) -> list[Effect]:
        """Take an event at a time since the start."""
        return supervisor.reduce(self.state, event, START + at)

    def take_list(
        self,
        at: timedelta,
        running: tuple[RunId, ...] = (),
        ended: tuple[EndedRun, ...] = (),
        asked: timedelta | None = None,
        made: timedelta | None = None,
        is_extra: bool = False,
        token: int | None = None,
        life: int = LIFE,
        number: int | None = None,
    ) -> list[Effect]:
        """Take the worker's list; asked for and made when it arrives unless told.

        The order was the newest, and named the newest token, unless told.
        """
        sent = START + (at if asked is None else asked)
        clock = at if made is None else made
        listed = tuple(RunningRun(run, 50) for run in running)
        token = self.state.token if token is None else token
        number = self.state.renewal_number if number is None else number
        ends = tuple(ended)
        return self.take(
            at,
            RenewalAnswered(sent, clock, life, listed, ends, is_extra, token, number),
        )
