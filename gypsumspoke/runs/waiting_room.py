"""Runs that wait at a sidecar for room, instead of being sent back.

The load that this answers: workers are nearly full, and each is shared by several
entries whose views of it are some milliseconds old. As many runs are then refused for
want of room as are completed, and each refusal costs both processes messages, log lines
and another placement. On a full worker with several runs one of them often ends soon,
so that a short wait costs less than another placement.

A run that waits counts as taken room in reports. Only as much waits as is expected to
find room within ``MAX_WAIT``; a run that has waited longer than ``MAX_WAIT`` is sent
back, and so is one that a new run displaces (``waiting_order.py``). What waits here is
bound by the time budget like any run: it is dropped when its entry is silent, and
starts only on a lease that its entry's last message allows.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs import supervisor_commands, supervisor_report, waiting_order
from gypsumspoke.runs.supervisor_lease import lease_allows_run, lease_allows_start
from gypsumspoke.runs.supervisor_state import (
    LocalRun,
    Phase,
    SupervisorState,
    promised_room,
)
from gypsumspoke.runs.values import (
    NO_ROOM,
    DisplacementReason,
    EndReason,
    Room,
    add,
    fits,
    subtract,
)

# Short against the time that callers allow a job beyond its work.
MAX_WAIT = timedelta(milliseconds=60)
# Estimates are inaccurate: a run past its expected end may take this share longer.
OVERDUE_SHARE = 0.25
# Share of a worker's processors that less urgent runs don't lose to displacement, so
# that they are not kept away for good.
MIN_LESS_URGENT_SHARE = 0.25


def expects_room_soon(state: SupervisorState, now: datetime) -> bool:
    """Return whether all waiting runs are expected to start within ``MAX_WAIT``."""
    if not _may_wait_for_room(state, now):
        return False
    return fits(_room_of_waiting(state), _room_soon(state, now))


def has_older_run(state: SupervisorState, local: LocalRun) -> bool:
    """Return whether another run of a run's task has not ended here."""
    return len(state.runs.of_task(local.run.task)) > 1


def displace_waiting(
    state: SupervisorState, new: LocalRun, now: datetime
) -> list[Effect]:
    """Send back waiting runs for which a more urgent one has no place.

    Args:
      state: the sidecar's state.
      new: the run that has just arrived, for which no room is expected soon.
      now: the current time.

    Returns:
      The effects; none if the new run can't get a place in this way.
    """
    if not _may_wait_for_room(state, now) or not _lacks_only_room(state, new, now):
        return []
    displaceable = [
        local
        for local in state.runs.waiting
        if local.waits_for_room_since is not None
        and _lacks_only_room(state, local, now)
    ]
    pace = supervisor_report.current_pace(state, now) or 1.0
    displaceable = _beyond_minimum(state, new, displaceable, pace, now)
    excess = subtract(_room_of_waiting(state), _room_soon(state, now))
    effects: list[Effect] = []
    for local in waiting_order.choose_displaced(new, displaceable, excess, pace, now):
        reason = waiting_order.displacement_reason(new, local, pace, now)
        effects += [Count(reason), _log_displaced(local, new, reason, now)]
        effects += refuse_for_room(state, local, now)
    return effects


def _beyond_minimum(
    state: SupervisorState,
    new: LocalRun,
    displaceable: list[LocalRun],
    pace: float,
    now: datetime,
) -> list[LocalRun]:
    """Leave out less urgent runs that are part of their minimum share of the worker.

    Those that come last in the order are the first that may be displaced.
    """
    minimum = state.worker.capacity.cpu * MIN_LESS_URGENT_SHARE
    held = sum(
        local.room.cpu for local in state.runs.values() if local.priority > new.priority
    )
    allowed = []
    for local in reversed(waiting_order.in_order(displaceable, pace, now)):
        if local.priority > new.priority:
            if held - local.room.cpu < minimum:
                continue
            held -= local.room.cpu
        allowed.append(local)
    return allowed


def _may_wait_for_room(state: SupervisorState, now: datetime) -> bool:
    return not supervisor_report.is_failing(state) and supervisor_report.can_start(
        state, now
    )


def _lacks_only_room(state: SupervisorState, local: LocalRun, now: datetime) -> bool:
    """Return whether a run waits neither for an older run of its task nor the lease."""
    return (
        local.phase is Phase.WAITING
        and not has_older_run(state, local)
        and lease_allows_start(state, now)
        and lease_allows_run(state, local, now)
    )


def _log_displaced(
    local: LocalRun, new: LocalRun, reason: DisplacementReason, now: datetime
) -> Log:
    waited = (now - local.waits_for_room_since) / timedelta(milliseconds=1)
    fields = (
        ("job", local.run.task.job),
        ("step", local.run.task.step),
        ("run", local.run.number),
        ("entry", local.coordinator),
        ("reason", reason.value),
        ("waited_ms", round(waited, 1)),
        ("for_job", new.run.task.job),
        ("for_step", new.run.task.step),
        ("for_task", new.run.task.index),
        ("for_run", new.run.number),
        ("for_entry", new.coordinator),
    )
    return Log(logging.INFO, "run displaced", task=local.run.task.index, fields=fields)


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
    for local in list(state.runs.waiting):
        since = local.waits_for_room_since
        if since is None:
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
