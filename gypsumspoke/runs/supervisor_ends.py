"""Ends of runs: free the room, report to the entry, update the worker's statistics."""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Log, Send
from gypsumspoke.runs.messages import RunEnded
from gypsumspoke.runs.supervisor_state import (
    LocalRun,
    Phase,
    SupervisorState,
    record_end,
)
from gypsumspoke.runs.values import EndReason, RunEnd, subtract

# Weights of the newest end in the smoothed pace and share of failures: about the last
# ten ends decide the pace, the last three whether the worker is failing.
PACE_WEIGHT = 0.1
FAILING_WEIGHT = 0.25


def finish(
    state: SupervisorState,
    local: LocalRun,
    end: RunEnd,
    reason: EndReason,
    now: datetime,
) -> list[Effect]:
    """Free the room, keep the end and report it to the entry."""
    state.runs.remove(local)
    if local.phase is not Phase.WAITING:
        state.reserved = subtract(state.reserved, local.room)
    _update_statistics(state, local, end, now)
    took = None
    if end is not RunEnd.NOT_RUN and local.started_at is not None:
        took = now - local.started_at
    highest = state.highest.get(local.run.task, 0)
    ended = RunEnded(local.run, end, reason, took, highest)
    record_end(state, local.coordinator, ended)
    return [
        Count(reason),
        Send(local.coordinator, ended),
        log_end(ended, local.coordinator),
    ]


def _update_statistics(
    state: SupervisorState, local: LocalRun, end: RunEnd, now: datetime
) -> None:
    """Update the worker's pace from completed runs, and its health from all ends."""
    if end is RunEnd.FAILED:
        update_failure_share(state, 1.0)
    if end is not RunEnd.DONE:
        return
    update_failure_share(state, 0.0)
    seconds = local.estimate.total_seconds()
    if seconds > 0 and local.started_at is not None:
        pace = (now - local.started_at).total_seconds() / seconds
        state.estimates.record(local.estimate, pace, now)
        if not state.estimates.is_wrong(local.estimate, now):
            known = state.pace or pace
            state.pace = known + PACE_WEIGHT * (pace - known)
        state.pace = state.estimates.bound_pace(state.pace, now)


def update_failure_share(state: SupervisorState, value: float) -> None:
    state.failing += FAILING_WEIGHT * (value - state.failing)


def log_end(ended: RunEnded, coordinator: str) -> Log:
    """Return the log line of a run's end."""
    took = ended.took / timedelta(milliseconds=1) if ended.took is not None else -1.0
    fields = (
        ("job", ended.run.task.job),
        ("step", ended.run.task.step),
        ("run", ended.run.number),
        ("entry", coordinator),
        ("end", ended.end.value),
        ("reason", ended.reason.value),
        ("took_ms", round(took, 1)),
    )
    return Log(logging.INFO, "run ended", task=ended.run.task.index, fields=fields)
