"""The reducer of one sidecar, driven by hand-made events."""

from datetime import timedelta
from typing import Any

from gypsumspoke.core.effects import Effect
from gypsumspoke.runs import supervisor
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.values import Registration, RunId, WorkerReady
from gypsumspoke.runs.worker_commands import (
    EndedRun,
    HeartbeatArrived,
    RenewalAnswered,
    RunningRun,
)
from tests.runs.world import CAPACITY, SERVICE, START

INCARNATION = 7


def registration(incarnation: int = INCARNATION) -> Registration:
    """Return the first registration of a worker's incarnation."""
    return Registration(
        "w-1", incarnation, 1, SERVICE, WorkerReady.READY, CAPACITY, (), timedelta()
    )


class LoneSidecar:
    """A sidecar that has just started.

    Args:
      state: its state; by default one whose worker has registered.
    """

    def __init__(self, state: SupervisorState | None = None) -> None:
        self.state = state or SupervisorState(SERVICE, Directory("", ()), START)
        if state is None:
            self.handle(timedelta(), HeartbeatArrived(registration()))

    def handle(self, at: timedelta, event: Any) -> list[Effect]:
        """Handle an event at a time since the start."""
        return supervisor.reduce(self.state, event, START + at)

    def handle_list(
        self,
        at: timedelta,
        running: tuple[RunId, ...] = (),
        ended: tuple[EndedRun, ...] = (),
        sent_at: timedelta | None = None,
        listed_at: timedelta | None = None,
        is_extra: bool = False,
        token: int | None = None,
        incarnation: int = INCARNATION,
        number: int | None = None,
    ) -> list[Effect]:
        """Handle the worker's list.

        By default it was requested and made at the time of its arrival, by the latest
        renewal with the current token.
        """
        sent = START + (at if sent_at is None else sent_at)
        clock = at if listed_at is None else listed_at
        listed = tuple(RunningRun(run, 50) for run in running)
        token = self.state.token if token is None else token
        number = self.state.renewal_number if number is None else number
        ends = tuple(ended)
        return self.handle(
            at,
            RenewalAnswered(
                sent, clock, incarnation, listed, ends, is_extra, token, number
            ),
        )
