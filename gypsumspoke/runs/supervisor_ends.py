"""How runs end: the room is free again, the entry is told, the worker is judged."""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Log, Send
from gypsumspoke.runs.messages import RunEnded
from gypsumspoke.runs.supervisor_state import (
    Phase,
    SupervisedRun,
    SupervisorState,
    keep_end,
)
from gypsumspoke.runs.values import EndReason, RunEnd, subtract

# Weight of the newest end in the smoothed pace and share of failures: about the last
# ten ends decide the pace, the last three whether the worker fails.
PACE_WEIGHT = 0.1
FAILING_WEIGHT = 0.25


def finish(
    state: SupervisorState,
    guarded: SupervisedRun,
    end: RunEnd,
    reason: EndReason,
    now: datetime,
) -> list[Effect]:
    """Free the room, remember the end and tell the entry."""
    del state.runs[guarded.run]
    if guarded.phase is not Phase.WAITING:
        state.held = subtract(state.held, guarded.room)
    _learn(state, guarded, end, now)
    took = None
    if end is not RunEnd.NOT_RUN and guarded.started is not None:
        took = now - guarded.started
    highest = state.highest.get(guarded.run.task, 0)
    ended = RunEnded(guarded.run, end, reason, took, highest)
    keep_end(state, guarded.coordinator, ended)
    return [
        Count(reason),
        Send(guarded.coordinator, ended),
        log_end(ended, guarded.coordinator),
    ]


def _learn(
    state: SupervisorState, guarded: SupervisedRun, end: RunEnd, now: datetime
) -> None:
    """Learn the worker's pace from what is done, and its health from all ends."""
    if end is RunEnd.FAILED:
        note_failure(state, 1.0)
    if end is not RunEnd.DONE:
        return
    note_failure(state, 0.0)
    seconds = guarded.estimate.total_seconds()
    if seconds > 0 and guarded.started is not None:
        pace = (now - guarded.started).total_seconds() / seconds
        known = state.pace or pace
        state.pace = known + PACE_WEIGHT * (pace - known)


def note_failure(state: SupervisorState, value: float) -> None:
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
