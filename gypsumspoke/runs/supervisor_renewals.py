"""Lease renewals, which extend the lease and list running and ended runs."""

from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect
from gypsumspoke.runs.supervisor_commands import (
    cancel_run,
    resend_start,
    stop_uncertain_run,
)
from gypsumspoke.runs.supervisor_ends import finish, update_failure_share
from gypsumspoke.runs.supervisor_incarnation import (
    follow_incarnation,
    follow_other_worker,
    is_from_current_incarnation,
    raise_refused_token,
    raise_token,
    record_worker_clock,
)
from gypsumspoke.runs.supervisor_lease import (
    extend_lease,
    lease_allows_run,
    update_lease_withheld,
)
from gypsumspoke.runs.supervisor_orphans import stop_orphans
from gypsumspoke.runs.supervisor_report import can_start
from gypsumspoke.runs.supervisor_state import LocalRun, Phase, SupervisorState
from gypsumspoke.runs.values import EndReason, RunEnd
from gypsumspoke.runs.worker_commands import (
    CommandResult,
    EndedRun,
    RenewalAnswered,
    RenewalFailed,
    RenewCommand,
)

# Longest time until the shell has an answer to a command or gives it up; a renewal's
# own wait comes on top.
COMMAND_TIMEOUT = timedelta(milliseconds=120)
# A run is stalled without progress for this long and this share of its estimate. A
# healthy worker shows progress in each list, and one that is eight times slower
# advances by a percent in a twelfth of the estimate.
MIN_STALL_DURATION = timedelta(milliseconds=220)
STALL_SHARE = 0.15
# Lists that must show the same progress before a run counts as stalled.
MIN_STALLED_LISTS = 2


def next_renewal(state: SupervisorState, now: datetime) -> list[Effect]:
    """Send the next renewal unless one is pending.

    While the worker leaves renewals unanswered they don't extend the lease, so that its
    runs end by a known time and can be placed elsewhere. Until the worker has seen this
    process's token nothing can start, so those renewals don't wait for an end.
    """
    if state.renewal_sent_at is not None:
        overdue = state.renewal_sent_at + state.renewal_wait + 2 * COMMAND_TIMEOUT
        if now < overdue:
            return []
    if not state.retries.may_send(now):
        return []
    state.renewal_sent_at = now
    state.renewal_wait = _renewal_wait(state)
    state.renewal_number += 1
    lease_end = extend_lease(state, now) if _may_extend_lease(state, now) else None
    renewal = RenewCommand(
        state.worker_id,
        lease_end,
        state.last_seen,
        state.renewal_wait,
        state.token,
        number=state.renewal_number,
    )
    return [renewal, *update_lease_withheld(state, now)]


def _renewal_wait(state: SupervisorState) -> timedelta:
    """Return how long the worker may wait for an end before it answers."""
    if not state.is_fenced or state.retries.is_down:
        return timedelta()
    if state.runs or not state.knows_all_runs:
        return state.budget.renewal_interval
    return state.budget.idle_renewal_interval


def _may_extend_lease(state: SupervisorState, now: datetime) -> bool:
    if state.token == 0 or state.lease.clock is None:
        return False
    if state.worker_answered_at is None:
        return False
    if state.orphans:
        # If their stops are lost, only the end of the lease stops them.
        return False
    return now - state.worker_answered_at < state.budget.worker_silence


def handle_renewal_failure(
    state: SupervisorState, event: RenewalFailed, now: datetime
) -> list[Effect]:
    """Handle a renewal that failed.

    An unanswered renewal is repeated at once, since ends may be waiting, unless the
    worker closes each connection (``worker_retries.py``). So is a fenced one once the
    token is higher: the worker knows a token of an earlier process of this sidecar, and
    its refusal carries the clock that tokens are derived from. Other failures are
    immediate, so the next tick retries them.
    """
    record_worker_clock(state, event.clock, now)
    token = state.token
    if event.result is CommandResult.FENCED:
        raise_refused_token(state, event.token, now)
    if event.is_extra:
        state.extra_renewal_at = None
        effects: list[Effect] = []
        for local in _uncertain_runs(state):
            effects += stop_uncertain_run(state, local, now)
        return effects
    _clear_pending_renewal(state, event.number)
    effects = state.retries.record_failure(event.result, state.lease.ends_by, now)
    if event.result is CommandResult.OTHER_WORKER and event.worker == state.worker_id:
        effects += follow_other_worker(state, now)
    if state.retries.may_repeat_at_once(event.result) or state.token > token:
        effects += next_renewal(state, now)
    return effects


def _clear_pending_renewal(state: SupervisorState, number: int) -> None:
    """Clear the pending renewal if it has this number.

    After a pause of this process an answer to an earlier renewal may arrive late; it
    must not cause a second renewal beside the pending one.
    """
    if number == state.renewal_number:
        state.renewal_sent_at = None


def handle_renewal_answer(
    state: SupervisorState, event: RenewalAnswered, now: datetime
) -> list[Effect]:
    """Handle the worker's lists of running and ended runs."""
    if event.is_extra:
        state.extra_renewal_at = None
    else:
        _clear_pending_renewal(state, event.number)
    reached = state.retries.record_answer(now)
    if event.incarnation is not None and event.incarnation != state.worker_incarnation:
        if not is_from_current_incarnation(state, event.sent):
            # An answer of the previous incarnation that arrived late.
            return reached
        reached += follow_incarnation(state, event.incarnation, now)
    effects = reached
    is_first = state.worker_answered_at is None
    state.worker_answered_at = now
    record_worker_clock(state, event.clock, now)
    if state.token == 0:
        raise_token(state, now)
    # Only a renewal that carried this token proves that the worker has seen it.
    state.is_fenced = state.is_fenced or event.token == state.token
    for ended in event.ended:
        effects += _handle_listed_end(state, ended, now)
    _update_progress(state, event, now)
    effects += _settle_uncertain_runs(state, event.sent, now)
    effects += _end_unlisted_runs(state, event, now)
    effects += _stop_stalled(state, now)
    return [*effects, *stop_orphans(state, event, is_first)]


def _handle_listed_end(
    state: SupervisorState, ended: EndedRun, now: datetime
) -> list[Effect]:
    if ended.number <= state.last_seen:
        return []
    state.last_seen = ended.number
    local = state.runs.get(ended.run)
    if local is None or local.phase is Phase.WAITING:
        return []
    return finish(state, local, ended.end, _end_reason(local, ended), now)


def _end_reason(local: LocalRun, ended: EndedRun) -> EndReason:
    if ended.end is RunEnd.DONE:
        return EndReason.COMPLETED
    if ended.end is RunEnd.FAILED:
        return EndReason.TASK_FAILED
    if ended.lapsed:
        return EndReason.LEASE_LAPSED
    if local.phase is Phase.STOPPING:
        return local.stop_reason
    return EndReason.STOPPED_BY_WORKER


def _update_progress(
    state: SupervisorState, event: RenewalAnswered, now: datetime
) -> None:
    for listed in event.running:
        local = state.runs.get(listed.run)
        if local is None:
            continue
        if local.phase is Phase.STARTING:
            # The answer to its start is late or lost, but the run is listed.
            local.phase = Phase.RUNNING
        local.is_uncertain = False
        # The run was running then, so an older list that arrives late on another
        # connection can't end it.
        if local.start_clock is None or event.clock > local.start_clock:
            local.start_clock = event.clock
        local.lists_since_progress += 1
        if listed.percent != local.percent:
            gained = listed.percent - local.percent
            if local.percent > 0 and gained > 0:
                local.projected_run_time = (now - local.progressed_at) * 100 / gained
            local.percent = listed.percent
            local.progressed_at = now
            local.lists_since_progress = 0


def _settle_uncertain_runs(
    state: SupervisorState, listed_at: datetime, now: datetime
) -> list[Effect]:
    """Settle uncertain runs that are missing from a list requested since.

    Their start is sent again, since most often it was lost with its connection. If that
    doesn't succeed either, they are stopped.
    """
    effects: list[Effect] = []
    for local in _uncertain_runs(state):
        if local.uncertain_since > listed_at:
            continue
        if _may_resend_start(state, local, now):
            effects += resend_start(state, local, now)
        else:
            effects += stop_uncertain_run(state, local, now)
    return effects


def _uncertain_runs(state: SupervisorState) -> list[LocalRun]:
    return [
        local
        for local in state.runs.values()
        if local.phase is Phase.STARTING and local.is_uncertain
    ]


def _may_resend_start(state: SupervisorState, local: LocalRun, now: datetime) -> bool:
    return (
        not local.was_resent
        and not local.worker_restarted
        and now < local.start_by
        and can_start(state, now)
        and lease_allows_run(state, local, now)
    )


def _end_unlisted_runs(
    state: SupervisorState, event: RenewalAnswered, now: datetime
) -> list[Effect]:
    """End runs that the worker lists neither as running nor as ended.

    The list must be newer, by the worker's clock, than the answer to the start or stop,
    since answers on different connections can arrive out of order.
    """
    listed = {running.run for running in event.running}
    effects: list[Effect] = []
    for local in list(state.runs.values()):
        if local.run in listed or local.phase is Phase.WAITING:
            continue
        if local.phase is Phase.RUNNING and _is_after_start(event, local):
            effects += finish(state, local, RunEnd.LOST, EndReason.WORKER_GONE, now)
        elif _is_after_stop(state, event, local):
            end = RunEnd.NOT_RUN if _never_started(local) else RunEnd.STOPPED
            effects += finish(state, local, end, local.stop_reason, now)
    return effects


def _never_started(local: LocalRun) -> bool:
    """Return whether a stopped run without a listed end is known not to have started.

    After a restart of the worker this is unknown: the previous incarnation may have
    started the run, and the current one has no record of it.
    """
    return local.is_uncertain and not local.worker_restarted


def _is_after_start(event: RenewalAnswered, local: LocalRun) -> bool:
    if local.start_clock is None:
        # Started on a previous incarnation, or before the current one was seen.
        return local.started_at < event.sent
    return event.clock > local.start_clock


def _is_after_stop(
    state: SupervisorState, event: RenewalAnswered, local: LocalRun
) -> bool:
    """Return whether a stopped run that is not listed has certainly ended.

    While a run is being stopped it still runs but is in neither list; treating it as
    ended too early would allow two concurrent runs of its task.
    """
    if local.stop_clock is None:
        return False
    return event.clock > local.stop_clock + state.budget.stop_settle_time


def _stop_stalled(state: SupervisorState, now: datetime) -> list[Effect]:
    """Stop runs that make no progress, so that they are placed elsewhere.

    Called only with a new list: without lists progress is unknown, and healthy runs
    would seem stalled.
    """
    effects: list[Effect] = []
    for local in list(state.runs.values()):
        if local.phase is not Phase.RUNNING or local.percent >= 100:
            continue
        limit = max(MIN_STALL_DURATION, local.estimate * STALL_SHARE)
        if (
            local.lists_since_progress >= MIN_STALLED_LISTS
            and now - local.progressed_at > limit
        ):
            update_failure_share(state, 1.0)
            effects += cancel_run(state, local, EndReason.STALLED, now)
    return effects


def expire_runs(state: SupervisorState, now: datetime) -> list[Effect]:
    """End all started runs once the worker's lease has certainly expired."""
    if now <= state.lease.ends_by + state.budget.bounds.stop:
        return []
    effects: list[Effect] = []
    for local in list(state.runs.values()):
        if local.phase is not Phase.WAITING:
            effects += finish(state, local, RunEnd.LOST, EndReason.LEASE_LAPSED, now)
    return effects
