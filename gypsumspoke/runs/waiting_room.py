"""Runs that wait at a sidecar for room, instead of being sent back.

The load that this answers: workers are nearly full, and each is shared by several
entries whose views of it are some milliseconds old. As many runs are then refused for
want of room as are completed, and each refusal costs both processes messages, log lines
and another placement. On a full worker with several runs one of them often ends soon,
so that a short wait costs less than another placement.

A run that waits counts as taken room in reports. Only as much waits as is expected to
find room within ``MAX_WAIT``; a run that has waited longer than ``MAX_WAIT`` is sent
back. What waits here is bound by the time budget like any run: it is dropped when its
entry is silent, and starts only on a lease that its entry's last message allows.
"""

from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect
from gypsumspoke.runs import supervisor_commands, supervisor_report
from gypsumspoke.runs.supervisor_state import (
    LocalRun,
    Phase,
    SupervisorState,
    promised_room,
)
from gypsumspoke.runs.values import NO_ROOM, EndReason, Room, add, fits, subtract

# Short against the time that callers allow a job beyond its work.
MAX_WAIT = timedelta(milliseconds=60)
# Estimates are inaccurate: a run past its expected end may take this share longer.
OVERDUE_SHARE = 0.25


def expects_room_soon(state: SupervisorState, now: datetime) -> bool:
    """Return whether all waiting runs are expected to start within ``MAX_WAIT``."""
    if supervisor_report.is_failing(state) or not supervisor_report.can_start(
        state, now
    ):
        return False
    return fits(_room_of_waiting(state), _room_soon(state, now))


def _room_of_waiting(state: SupervisorState) -> Room:
    return subtract(promised_room(state), state.reserved)


def _room_soon(state: SupervisorState, now: datetime) -> Room:
    """Return the room that is free or expected to be free within ``MAX_WAIT``."""
    room = subtract(state.worker.capacity, state.reserved)
    ending = NO_ROOM
    for local in state.runs.values():
        if local.phase is Phase.STOPPING or (
            local.phase is Phase.RUNNING and _remaining(state, local, now) <= MAX_WAIT
        ):
            ending = add(ending, local.room)
    return add(room, ending)


def _remaining(state: SupervisorState, local: LocalRun, now: datetime) -> timedelta:
    """Return the expected time until a run ends, from its progress or its estimate."""
    elapsed = now - local.started_at
    expected = local.projected_run_time or local.estimate * (state.pace or 1.0)
    return max(expected - elapsed, elapsed * OVERDUE_SHARE)


def send_back_overdue(state: SupervisorState, now: datetime) -> list[Effect]:
    """Send back the runs that have waited too long for room."""
    effects: list[Effect] = []
    for local in list(state.runs.values()):
        since = local.waits_for_room_since
        if local.phase is not Phase.WAITING or since is None:
            continue
        if now - since > MAX_WAIT:
            effects += refuse_for_room(state, local, now)
    return effects


def refuse_for_room(
    state: SupervisorState, local: LocalRun, now: datetime
) -> list[Effect]:
    """Send a run back for want of room, after a current report."""
    report = supervisor_report.report_to(state, local.coordinator, now)
    refused = supervisor_commands.cancel_run(state, local, EndReason.ROOM_TAKEN, now)
    return [*report, *refused]
