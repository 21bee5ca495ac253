"""Runs that wait at a sidecar, and which of them starts next.

They wait for an older run of their task to be gone, or for the answer that lets the
worker take work; by priority, then by arrival.
"""

from datetime import datetime

from gypsumspoke.core.effects import Effect
from gypsumspoke.runs import supervisor_commands, supervisor_report
from gypsumspoke.runs.supervisor_lease import may_start, may_start_run
from gypsumspoke.runs.supervisor_state import Phase, SupervisedRun, SupervisorState
from gypsumspoke.runs.values import EndReason, fits, subtract


def start_waiting(state: SupervisorState, now: datetime) -> list[Effect]:
    """Start what fits, by priority and arrival; nothing overtakes what waits."""
    effects = _drop_overdue(state, now)
    if not supervisor_report.can_start(state, now):
        return effects
    queue = waiting(state)
    if not queue or not may_start(state, now):
        return effects
    free = subtract(state.worker.capacity, state.held)
    busy = {
        guarded.run.task
        for guarded in state.runs.values()
        if guarded.phase is not Phase.WAITING
    }
    for guarded in queue:
        if guarded.run.task in busy:
            continue
        if not may_start_run(state, guarded, now):
            continue
        if not fits(guarded.room, free):
            break
        free = subtract(free, guarded.room)
        busy.add(guarded.run.task)
        effects += supervisor_commands.start_run(state, guarded, now)
    return effects


def waiting(state: SupervisorState) -> list[SupervisedRun]:
    """Return the waiting runs, the next one first."""
    found = [run for run in state.runs.values() if run.phase is Phase.WAITING]
    found.sort(key=lambda guarded: (guarded.priority, guarded.order))
    return found


def _drop_overdue(state: SupervisorState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for guarded in list(state.runs.values()):
        if guarded.phase is Phase.WAITING and guarded.start_by < now:
            effects += supervisor_commands.end_run_early(
                state, guarded, EndReason.DEADLINE_PASSED, now
            )
    return effects


def refuse_waiting(
    state: SupervisorState, reason: EndReason, now: datetime
) -> list[Effect]:
    effects: list[Effect] = []
    for guarded in waiting(state):
        effects += supervisor_commands.end_run_early(state, guarded, reason, now)
    return effects
