"""Starts and stops: the orders to the worker, and what its answers mean."""

import logging
from datetime import datetime, timedelta
from functools import partial

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.runs.supervisor_ends import finish, note_failure
from gypsumspoke.runs.supervisor_incarnation import (
    is_of_this_life,
    note_clock,
    raise_token,
)
from gypsumspoke.runs.supervisor_lease import last_word, name_lease_end
from gypsumspoke.runs.supervisor_report import is_failing
from gypsumspoke.runs.supervisor_state import (
    Phase,
    SupervisedRun,
    SupervisorState,
    hold_room,
)
from gypsumspoke.runs.values import EndReason, RunEnd
from gypsumspoke.runs.worker_commands import (
    CommandAnswered,
    CommandKind,
    CommandResult,
    RenewCommand,
    StartCommand,
    StopCommand,
)

# A stop without an answer is sent again this often; one answer takes a few ms.
STOP_RETRY_INTERVAL = timedelta(milliseconds=100)
# A worker that fails is tried with one run this often.
PROBE_INTERVAL = timedelta(milliseconds=700)


def start_run(
    state: SupervisorState, guarded: SupervisedRun, now: datetime
) -> list[Effect]:
    """Take the room and tell the worker to start a waiting run."""
    guarded.phase = Phase.STARTING
    guarded.started = now
    guarded.progressed = now
    hold_room(state, guarded)
    if is_failing(state):
        state.next_probe = now + PROBE_INTERVAL
    order = StartCommand(
        guarded.run,
        guarded.spec,
        state.worker.id,
        name_lease_end(state, now),
        state.token,
    )
    return [order]


def end_run_early(
    state: SupervisorState, guarded: SupervisedRun, reason: EndReason, now: datetime
) -> list[Effect]:
    """Drop a waiting run, or have a started one stopped."""
    if guarded.phase is Phase.WAITING:
        return finish(state, guarded, RunEnd.NOT_RUN, reason, now)
    if guarded.phase is Phase.STOPPING:
        return []
    guarded.stop_word = last_word(state, guarded)
    guarded.phase = Phase.STOPPING
    guarded.stop_reason = reason
    guarded.stop_since = now
    return _send_stop(state, guarded, now)


def repeat_stops(state: SupervisorState, now: datetime) -> list[Effect]:
    """Send stops again that got no answer."""
    effects: list[Effect] = []
    for guarded in state.runs.values():
        if guarded.phase is not Phase.STOPPING or guarded.stop_clock is not None:
            continue
        if guarded.stop_sent is None or now - guarded.stop_sent >= STOP_RETRY_INTERVAL:
            effects += _send_stop(state, guarded, now)
    return effects


def _send_stop(
    state: SupervisorState, guarded: SupervisedRun, now: datetime
) -> list[Effect]:
    guarded.stop_sent = now
    return [StopCommand(guarded.run, state.worker_id, state.token)]


def take_answer(
    state: SupervisorState, event: CommandAnswered, now: datetime
) -> list[Effect]:
    """Take the worker's answer to a start or a stop."""
    if not is_of_this_life(state, event.sent):
        event = event._replace(clock=None)
    note_clock(state, event.clock, now)
    guarded = state.runs.get(event.run)
    if guarded is None:
        return []
    if event.kind is CommandKind.STOP:
        return _take_stop_answer(state, guarded, event, now)
    if event.result is CommandResult.ACCEPTED:
        guarded.start_clock = event.clock
    return _START_ANSWERS[event.result](state, guarded, now)


def _take_stop_answer(
    state: SupervisorState,
    guarded: SupervisedRun,
    event: CommandAnswered,
    now: datetime,
) -> list[Effect]:
    """Note when a stop was accepted; repeat an unanswered one."""
    if event.result is CommandResult.ACCEPTED:
        guarded.stop_clock = event.clock
        return []
    if event.result is CommandResult.UNANSWERED and guarded.stop_clock is None:
        return _send_stop(state, guarded, now)
    return []


def extra_hold(state: SupervisorState) -> list[Effect]:
    """Ask at once, beside the hold under way, what runs and what ended."""
    return [
        RenewCommand(
            state.worker_id, None, state.last_seen, timedelta(), state.token, True
        )
    ]


def _started(
    state: SupervisorState, guarded: SupervisedRun, now: datetime
) -> list[Effect]:
    if guarded.phase is Phase.STARTING:
        guarded.phase = Phase.RUNNING
        guarded.started = now
        guarded.progressed = now
    return [_log_start(guarded)]


def _not_started(
    reason: EndReason, state: SupervisorState, guarded: SupervisedRun, now: datetime
) -> list[Effect]:
    if reason is EndReason.WORKER_UNHEALTHY:
        note_failure(state, 1.0)
    if reason is EndReason.WORKER_GONE:
        # Nothing listens there. What comes next would be refused in the same way, until
        # a hold is answered again.
        state.heard_worker = None
    return finish(state, guarded, RunEnd.NOT_RUN, reason, now)


def _in_doubt(
    state: SupervisorState, guarded: SupervisedRun, now: datetime
) -> list[Effect]:
    """Ask whether a run is at work whose start got no answer.

    A worker that was slow for a moment shows the run, and nothing is lost.
    """
    if guarded.phase is not Phase.STARTING:
        return []
    guarded.in_doubt = True
    guarded.doubted = now
    return extra_hold(state)


def give_up_start(
    state: SupervisorState, guarded: SupervisedRun, now: datetime
) -> list[Effect]:
    """Stop a run whose start got no answer and which does not show.

    The stop makes the worker refuse this run from then on, so that what follows is
    certain: either its end is listed, or it never starts.
    """
    note_failure(state, 1.0)
    return end_run_early(state, guarded, EndReason.START_UNANSWERED, now)


def _fenced(
    state: SupervisorState, guarded: SupervisedRun, now: datetime
) -> list[Effect]:
    raise_token(state, now)
    return _not_started(EndReason.ORDER_STALE, state, guarded, now)


_START_ANSWERS = {
    CommandResult.ACCEPTED: _started,
    CommandResult.UNANSWERED: _in_doubt,
    CommandResult.FENCED: _fenced,
    CommandResult.NUMBER_TOO_LOW: partial(_not_started, EndReason.NUMBER_TOO_LOW),
    CommandResult.LATE: partial(_not_started, EndReason.START_LATE),
    CommandResult.NO_ROOM: partial(_not_started, EndReason.WORKER_REFUSED_ROOM),
    CommandResult.INVALID: partial(_not_started, EndReason.WORKER_UNHEALTHY),
    CommandResult.UNHEALTHY: partial(_not_started, EndReason.WORKER_UNHEALTHY),
    CommandResult.OTHER_WORKER: partial(_not_started, EndReason.WORKER_GONE),
    CommandResult.NOT_SENT: partial(_not_started, EndReason.WORKER_GONE),
}


def _log_start(guarded: SupervisedRun) -> Log:
    fields = (
        ("job", guarded.run.task.job),
        ("step", guarded.run.task.step),
        ("run", guarded.run.number),
        ("entry", guarded.coordinator),
        ("cpu", guarded.room.cpu),
    )
    return Log(logging.INFO, "run started", task=guarded.run.task.index, fields=fields)
