"""Holds: they keep the lease alive, and bring what runs and what ended."""

from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect
from gypsumspoke.runs.supervisor_commands import end_run_early, give_up_start
from gypsumspoke.runs.supervisor_ends import finish, note_failure
from gypsumspoke.runs.supervisor_incarnation import (
    is_of_this_life,
    note_clock,
    outbid_token,
    raise_token,
    take_life,
)
from gypsumspoke.runs.supervisor_lease import name_lease_end, note_withheld
from gypsumspoke.runs.supervisor_orphans import stop_orphans
from gypsumspoke.runs.supervisor_state import Phase, SupervisedRun, SupervisorState
from gypsumspoke.runs.values import EndReason, RunEnd
from gypsumspoke.runs.worker_commands import (
    CommandResult,
    EndedRun,
    RenewalAnswered,
    RenewalFailed,
    RenewCommand,
)

# A hold is answered or given up by the shell within its wait and this long at most.
COMMAND_TIMEOUT = timedelta(milliseconds=120)
# A run without progress for this long, or this share of its estimate, stands still. A
# sound worker shows progress with each hold; one that is eight times slower still shows
# a percent in a twelfth of the estimate.
STALL_AT_LEAST = timedelta(milliseconds=220)
STALL_SHARE = 0.15
# So many lists must have shown the same progress.
STALL_LISTS = 2


def next_hold(state: SupervisorState, now: datetime) -> list[Effect]:
    """Ask the worker again unless an answer is awaited.

    While the worker leaves holds unanswered, they no longer extend the lease: its runs
    must end by a known time, so that they can be placed elsewhere. Until the worker has
    seen this process's token nothing can start, so those holds don't wait for an end:
    after a loss of all processes each wait would keep the worker idle.
    """
    interval = state.budget.renewal_interval
    if state.hold_sent is not None:
        overdue = state.hold_sent + interval + 2 * COMMAND_TIMEOUT
        if now < overdue:
            return []
    state.hold_sent = now
    state.hold_number += 1
    lease_end = name_lease_end(state, now) if _may_extend(state, now) else None
    wait = interval if state.is_fenced else timedelta()
    hold = RenewCommand(
        state.worker_id,
        lease_end,
        state.last_seen,
        wait,
        state.token,
        number=state.hold_number,
    )
    return [hold, *note_withheld(state, now)]


def _may_extend(state: SupervisorState, now: datetime) -> bool:
    if state.token == 0 or state.lease.clock is None:
        return False
    if state.heard_worker is None:
        return False
    if state.orphans:
        # Nothing but the end of the lease stops them if the stops are lost.
        return False
    return now - state.heard_worker < state.budget.worker_silence


def take_failed_hold(
    state: SupervisorState, event: RenewalFailed, now: datetime
) -> list[Effect]:
    """Take a hold without a list.

    One that was left unanswered is followed at once, since ends wait to be seen. So is
    one that was fenced if there is a higher token now: the worker has known an earlier
    process of this sidecar, and its first refusal tells the clock that tokens are from.
    After other failures, which come at once, the next tick asks again.
    """
    note_clock(state, event.clock, now)
    token = state.token
    if event.result is CommandResult.FENCED:
        outbid_token(state, event.token, now)
    if event.is_extra:
        return _give_up_starts(state, now, now)
    _note_answered(state, event.number)
    if event.result is CommandResult.UNANSWERED or state.token > token:
        return next_hold(state, now)
    return []


def _note_answered(state: SupervisorState, number: int) -> None:
    """Note that the hold under way is over, if it was that one.

    After a pause of this process the answer to an earlier one may follow. Taken for
    that of the newest, two holds would be under way from then on.
    """
    if number == state.hold_number:
        state.hold_sent = None


def take_hold(
    state: SupervisorState, event: RenewalAnswered, now: datetime
) -> list[Effect]:
    """Take the worker's list of what runs and what ended."""
    if not event.is_extra:
        _note_answered(state, event.number)
    if event.born is not None and event.born != state.born:
        if not is_of_this_life(state, event.sent):
            # An answer of the old life, overtaken by a heartbeat of the new one.
            return []
        take_life(state, event.born, now)
    effects: list[Effect] = []
    is_first = state.heard_worker is None
    state.heard_worker = now
    note_clock(state, event.clock, now)
    if state.token == 0:
        raise_token(state, now)
    # A hold that was sent without this token shows nothing of it.
    state.is_fenced = state.is_fenced or event.token == state.token
    for ended in event.ended:
        effects += _take_end(state, ended, now)
    _note_progress(state, event, now)
    effects += _give_up_starts(state, event.sent, now)
    effects += _take_unlisted(state, event, now)
    effects += _stop_stalled(state, now)
    return [*effects, *stop_orphans(state, event, is_first)]


def _take_end(state: SupervisorState, ended: EndedRun, now: datetime) -> list[Effect]:
    if ended.number <= state.last_seen:
        return []
    state.last_seen = ended.number
    guarded = state.runs.get(ended.run)
    if guarded is None or guarded.phase is Phase.WAITING:
        return []
    return finish(state, guarded, ended.end, _reason(guarded, ended), now)


def _reason(guarded: SupervisedRun, ended: EndedRun) -> EndReason:
    if ended.end is RunEnd.DONE:
        return EndReason.COMPLETED
    if ended.end is RunEnd.FAILED:
        return EndReason.TASK_FAILED
    if ended.lapsed:
        return EndReason.LEASE_LAPSED
    if guarded.phase is Phase.STOPPING:
        return guarded.stop_reason
    return EndReason.STOPPED_BY_WORKER


def _note_progress(
    state: SupervisorState, event: RenewalAnswered, now: datetime
) -> None:
    for listed in event.running:
        guarded = state.runs.get(listed.run)
        if guarded is None:
            continue
        if guarded.phase is Phase.STARTING:
            # The answer to its start is late or lost, but here it is.
            guarded.phase = Phase.RUNNING
        guarded.in_doubt = False
        # Known to be at work then; without it an older list that came late, on another
        # connection, would make a run whose start got no answer seem to be gone.
        if guarded.start_clock is None or event.clock > guarded.start_clock:
            guarded.start_clock = event.clock
        guarded.lists_since += 1
        if listed.percent != guarded.percent:
            gained = listed.percent - guarded.percent
            if guarded.percent > 0 and gained > 0:
                guarded.whole = (now - guarded.progressed) * 100 / gained
            guarded.percent = listed.percent
            guarded.progressed = now
            guarded.lists_since = 0


def _give_up_starts(
    state: SupervisorState, asked: datetime, now: datetime
) -> list[Effect]:
    """Stop runs in doubt that a list, asked for after the doubt, does not show."""
    effects: list[Effect] = []
    for guarded in list(state.runs.values()):
        if guarded.phase is Phase.STARTING and guarded.in_doubt:
            if guarded.doubted <= asked:
                effects += give_up_start(state, guarded, now)
    return effects


def _take_unlisted(
    state: SupervisorState, event: RenewalAnswered, now: datetime
) -> list[Effect]:
    """End runs that the worker neither runs nor lists as ended.

    The list must be younger than the worker's answer to the start, or the stop: answers
    on different connections overtake each other. Both name the worker's clock.
    """
    listed = {running.run for running in event.running}
    effects: list[Effect] = []
    for guarded in list(state.runs.values()):
        if guarded.run in listed or guarded.phase is Phase.WAITING:
            continue
        if guarded.phase is Phase.RUNNING and _is_after_start(event, guarded):
            effects += finish(state, guarded, RunEnd.LOST, EndReason.WORKER_GONE, now)
        elif _is_after_stop(state, event, guarded):
            end = RunEnd.NOT_RUN if _never_ran(guarded) else RunEnd.STOPPED
            effects += finish(state, guarded, end, guarded.stop_reason, now)
    return effects


def _never_ran(guarded: SupervisedRun) -> bool:
    """Return whether a stopped run without a listed end was certainly not started.

    An earlier life of the worker may have started it; the next one knows nothing of it.
    """
    return guarded.in_doubt and not guarded.outlived


def _is_after_start(event: RenewalAnswered, guarded: SupervisedRun) -> bool:
    if guarded.start_clock is None:
        # Started on a life that has ended, or on the next one before it showed.
        return guarded.started < event.sent
    return event.clock > guarded.start_clock


def _is_after_stop(
    state: SupervisorState, event: RenewalAnswered, guarded: SupervisedRun
) -> bool:
    """Return whether a stopped run that no list shows is gone for certain.

    While it is being stopped a run is at work and in neither list. Taken for gone at
    once, its task was placed again beside it.
    """
    if guarded.stop_clock is None:
        return False
    return event.clock > guarded.stop_clock + state.budget.stop_settle_time


def _stop_stalled(state: SupervisorState, now: datetime) -> list[Effect]:
    """Stop runs that make no progress, so that they are placed elsewhere.

    Called with each list, and at no other time: while lists fail to come, nothing is
    known of progress, and sound runs would seem to stand still.
    """
    effects: list[Effect] = []
    for guarded in list(state.runs.values()):
        if guarded.phase is not Phase.RUNNING or guarded.percent >= 100:
            continue
        limit = max(STALL_AT_LEAST, guarded.estimate * STALL_SHARE)
        if guarded.lists_since >= STALL_LISTS and now - guarded.progressed > limit:
            note_failure(state, 1.0)
            effects += end_run_early(state, guarded, EndReason.STALLED, now)
    return effects


def check_lease(state: SupervisorState, now: datetime) -> list[Effect]:
    """Give up the runs of a worker whose lease has certainly ended them."""
    if now <= state.lease.ends_by + state.budget.bounds.stop:
        return []
    effects: list[Effect] = []
    for guarded in list(state.runs.values()):
        if guarded.phase is not Phase.WAITING:
            effects += finish(state, guarded, RunEnd.LOST, EndReason.LEASE_LAPSED, now)
    return effects
