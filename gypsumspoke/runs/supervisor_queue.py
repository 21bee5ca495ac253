"""Queue of the runs that wait at a sidecar.

They wait for an older run of their task to end, for room that is expected soon, or
until the worker may take work, and start in the order of ``waiting_order.py``.
"""

from datetime import datetime

from gypsumspoke.core.effects import Effect
from gypsumspoke.runs import supervisor_commands, supervisor_report, waiting_order
from gypsumspoke.runs.supervisor_lease import lease_allows_run, lease_allows_start
from gypsumspoke.runs.supervisor_state import LocalRun, Phase, SupervisorState
from gypsumspoke.runs.values import EndReason, TaskId, fits, subtract


def start_waiting_runs(state: SupervisorState, now: datetime) -> list[Effect]:
    """Start waiting runs that fit, in their order and without overtaking."""
    effects = _cancel_overdue_runs(state, now)
    if not supervisor_report.can_start(state, now):
        return effects
    queue = waiting_runs(state, now)
    if not queue or not lease_allows_start(state, now):
        return effects
    free = subtract(state.worker.capacity, state.reserved)
    for local in queue:
        if _is_at_work(state, local.run.task):
            continue
        if not lease_allows_run(state, local, now):
            continue
        if not fits(local.room, free):
            break
        free = subtract(free, local.room)
        effects += supervisor_commands.start_run(state, local, now)
    return effects


def _is_at_work(state: SupervisorState, task: TaskId) -> bool:
    """Return whether a run of a task has been started and has not ended."""
    return any(local.phase is not Phase.WAITING for local in state.runs.of_task(task))


def waiting_runs(state: SupervisorState, now: datetime) -> list[LocalRun]:
    """Return the waiting runs, the next one first."""
    found = list(state.runs.waiting)
    if len(found) < 2:
        return found
    pace = supervisor_report.current_pace(state, now) or 1.0
    return waiting_order.in_order(found, pace, now)


def _cancel_overdue_runs(state: SupervisorState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for local in list(state.runs.waiting):
        if local.start_by < now:
            effects += supervisor_commands.cancel_run(
                state, local, EndReason.DEADLINE_PASSED, now
            )
    return effects


def cancel_waiting_runs(
    state: SupervisorState, reason: EndReason, now: datetime
) -> list[Effect]:
    effects: list[Effect] = []
    for local in waiting_runs(state, now):
        effects += supervisor_commands.cancel_run(state, local, reason, now)
    return effects
