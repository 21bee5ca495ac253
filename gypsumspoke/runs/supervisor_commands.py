"""Start and stop commands to the worker, and its answers."""

import logging
from datetime import datetime, timedelta
from functools import partial

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs.supervisor_ends import finish, update_failure_share
from gypsumspoke.runs.supervisor_incarnation import (
    is_from_current_incarnation,
    raise_token,
    record_worker_clock,
)
from gypsumspoke.runs.supervisor_lease import extend_lease, last_heard
from gypsumspoke.runs.supervisor_report import is_failing
from gypsumspoke.runs.supervisor_state import (
    LocalRun,
    Phase,
    SupervisorState,
    reserve_room,
)
from gypsumspoke.runs.values import EndReason, RunEnd, SidecarRetry
from gypsumspoke.runs.worker_commands import (
    CommandAnswered,
    CommandKind,
    CommandResult,
    RenewCommand,
    StartCommand,
    StopCommand,
)

# Interval at which an unanswered stop is sent again.
STOP_RETRY_INTERVAL = timedelta(milliseconds=100)
# An extra renewal that has brought no event for so long was lost in a pause.
EXTRA_RENEWAL_TIMEOUT = timedelta(milliseconds=500)
# Interval at which a failing worker is tried with one run.
PROBE_INTERVAL = timedelta(milliseconds=700)


def start_run(state: SupervisorState, local: LocalRun, now: datetime) -> list[Effect]:
    """Reserve the room and tell the worker to start a waiting run."""
    local.phase = Phase.STARTING
    state.runs.record_start(local)
    local.started_at = now
    local.progressed_at = now
    reserve_room(state, local)
    if is_failing(state):
        state.next_probe = now + PROBE_INTERVAL
    return [_start_command(state, local, now)]


def resend_start(
    state: SupervisorState, local: LocalRun, now: datetime
) -> list[Effect]:
    """Send a start again that got no answer and shows no run.

    The first one may still be carried out. The worker runs each number once, and an
    answer other than an acceptance doesn't show that the run never started.
    """
    local.was_resent = True
    local.is_uncertain = False
    local.started_at = now
    local.progressed_at = now
    fields = (
        ("job", local.run.task.job),
        ("step", local.run.task.step),
        ("run", local.run.number),
        ("entry", local.coordinator),
    )
    log = Log(
        logging.INFO, "start sent again", task=local.run.task.index, fields=fields
    )
    count = Count(SidecarRetry.START_UNANSWERED)
    return [_start_command(state, local, now), count, log]


def _start_command(
    state: SupervisorState, local: LocalRun, now: datetime
) -> StartCommand:
    return StartCommand(
        local.run,
        local.spec,
        state.worker.id,
        extend_lease(state, now),
        state.token,
    )


def cancel_run(
    state: SupervisorState, local: LocalRun, reason: EndReason, now: datetime
) -> list[Effect]:
    """Drop a waiting run, or stop a started one."""
    if local.phase is Phase.WAITING:
        return finish(state, local, RunEnd.NOT_RUN, reason, now)
    if local.phase is Phase.STOPPING:
        return []
    local.heard_before_stop = last_heard(state, local)
    local.phase = Phase.STOPPING
    state.runs.record_stop(local)
    local.stop_reason = reason
    local.stop_requested_at = now
    return _send_stop(state, local, now)


def retry_stops(state: SupervisorState, now: datetime) -> list[Effect]:
    """Send stops again that got no answer."""
    if not state.retries.may_send(now):
        return []
    effects: list[Effect] = []
    for local in state.runs.values():
        if local.phase is not Phase.STOPPING or local.stop_clock is not None:
            continue
        if (
            local.stop_sent_at is None
            or now - local.stop_sent_at >= STOP_RETRY_INTERVAL
        ):
            effects += _send_stop(state, local, now)
    return effects


def _send_stop(state: SupervisorState, local: LocalRun, now: datetime) -> list[Effect]:
    local.stop_sent_at = now
    return [StopCommand(local.run, state.worker_id, state.token)]


def handle_answer(
    state: SupervisorState, event: CommandAnswered, now: datetime
) -> list[Effect]:
    """Handle the worker's answer to a start or a stop."""
    if not is_from_current_incarnation(state, event.sent):
        event = event._replace(clock=None)
    record_worker_clock(state, event.clock, now)
    local = state.runs.get(event.run)
    if local is None:
        return []
    if event.kind is CommandKind.STOP:
        return _handle_stop_answer(state, local, event, now)
    if event.result is CommandResult.ACCEPTED:
        local.start_clock = event.clock
    elif local.was_resent:
        return _handle_refused_resend(state, local, event.result, now)
    return _START_ANSWERS[event.result](state, local, now)


def _handle_refused_resend(
    state: SupervisorState, local: LocalRun, result: CommandResult, now: datetime
) -> list[Effect]:
    """Stop a run whose start was sent twice: the first may have been carried out."""
    if result is CommandResult.FENCED:
        raise_token(state, now)
    if local.phase is not Phase.STARTING:
        return []
    local.is_uncertain = True
    return stop_uncertain_run(state, local, now)


def _handle_stop_answer(
    state: SupervisorState, local: LocalRun, event: CommandAnswered, now: datetime
) -> list[Effect]:
    """Record when a stop was accepted; repeat an unanswered one.

    After a second closed connection the next tick repeats it, since the worker may
    close each connection at once.
    """
    if event.result is CommandResult.ACCEPTED:
        local.stop_clock = event.clock
        return []
    if local.stop_clock is not None:
        return []
    if event.result is CommandResult.UNANSWERED:
        return _send_stop(state, local, now)
    if event.result is CommandResult.CLOSED and not local.stop_closed:
        local.stop_closed = True
        return _send_stop(state, local, now)
    return []


def _extra_renewal(state: SupervisorState, now: datetime) -> list[Effect]:
    """Request the lists at once, beside the pending renewal.

    One at a time: a worker that closes all connections leaves many starts unanswered.
    The next regular list settles those that came later.
    """
    sent_at = state.extra_renewal_at
    if sent_at is not None and now - sent_at < EXTRA_RENEWAL_TIMEOUT:
        return []
    state.extra_renewal_at = now
    return [
        RenewCommand(
            state.worker_id, None, state.last_seen, timedelta(), state.token, True
        )
    ]


def _started(state: SupervisorState, local: LocalRun, now: datetime) -> list[Effect]:
    if local.phase is Phase.STARTING:
        local.phase = Phase.RUNNING
        local.started_at = now
        local.progressed_at = now
    return [_log_start(local)]


def _rejected(
    reason: EndReason, state: SupervisorState, local: LocalRun, now: datetime
) -> list[Effect]:
    if reason is EndReason.WORKER_UNHEALTHY:
        update_failure_share(state, 1.0)
    if reason is EndReason.WORKER_GONE:
        # The worker isn't at its address: start nothing until it answers a renewal.
        state.worker_answered_at = None
    return finish(state, local, RunEnd.NOT_RUN, reason, now)


def _unanswered(state: SupervisorState, local: LocalRun, now: datetime) -> list[Effect]:
    """Ask whether a run whose start was not answered is running.

    If the worker was only slow, it lists the run, which then goes on.
    """
    if local.phase is not Phase.STARTING:
        return []
    local.is_uncertain = True
    local.uncertain_since = now
    return _extra_renewal(state, now)


def stop_uncertain_run(
    state: SupervisorState, local: LocalRun, now: datetime
) -> list[Effect]:
    """Stop a run whose start was not answered and which is not listed.

    From the stop on the worker refuses this run, so that its outcome becomes certain:
    either its end is listed, or it never starts.
    """
    update_failure_share(state, 1.0)
    return cancel_run(state, local, EndReason.START_UNANSWERED, now)


def _fenced(state: SupervisorState, local: LocalRun, now: datetime) -> list[Effect]:
    raise_token(state, now)
    return _rejected(EndReason.ORDER_STALE, state, local, now)


_START_ANSWERS = {
    CommandResult.ACCEPTED: _started,
    CommandResult.UNANSWERED: _unanswered,
    CommandResult.CLOSED: _unanswered,
    CommandResult.FENCED: _fenced,
    CommandResult.NUMBER_TOO_LOW: partial(_rejected, EndReason.NUMBER_TOO_LOW),
    CommandResult.LATE: partial(_rejected, EndReason.START_LATE),
    CommandResult.NO_ROOM: partial(_rejected, EndReason.WORKER_REFUSED_ROOM),
    CommandResult.INVALID: partial(_rejected, EndReason.WORKER_UNHEALTHY),
    CommandResult.UNHEALTHY: partial(_rejected, EndReason.WORKER_UNHEALTHY),
    CommandResult.OTHER_WORKER: partial(_rejected, EndReason.WORKER_GONE),
    CommandResult.NOT_SENT: partial(_rejected, EndReason.WORKER_GONE),
}


def _log_start(local: LocalRun) -> Log:
    fields = (
        ("job", local.run.task.job),
        ("step", local.run.task.step),
        ("run", local.run.number),
        ("entry", local.coordinator),
        ("cpu", local.room.cpu),
    )
    return Log(logging.INFO, "run started", task=local.run.task.index, fields=fields)
