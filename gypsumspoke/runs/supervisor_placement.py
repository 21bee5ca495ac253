"""Runs that entries place on this sidecar, query or withdraw.

Several entries place runs on one worker without seeing each other's, so more may arrive
than fits. What does not fit waits here if room is expected soon (``waiting_room.py``),
if need be in the place of less urgent runs; otherwise it is refused at once with a
current report, so that it can be placed elsewhere. A run whose task has an older run
here waits for its end.
"""

from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Send
from gypsumspoke.runs import supervisor_commands, supervisor_ends, supervisor_report
from gypsumspoke.runs.messages import AskRun, PlaceRun, RunEnded, WithdrawRun
from gypsumspoke.runs.supervisor_queue import start_waiting_runs
from gypsumspoke.runs.supervisor_state import (
    LocalRun,
    Phase,
    SupervisorState,
    record_end,
    record_highest,
)
from gypsumspoke.runs.values import EndReason, RunEnd, RunId, WorkerReady, fits
from gypsumspoke.runs.waiting_order import due_time
from gypsumspoke.runs.waiting_room import (
    displace_waiting,
    expects_room_soon,
    has_older_run,
    refuse_for_room,
)


def handle_placement(
    message: PlaceRun, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    """Start a run, queue it behind an older one of its task, or refuse it."""
    if sender in state.taken:
        state.taken[sender] += 1
    if sender in state.leaving:
        # Its end must be acknowledged too before the connection is closed.
        state.leaving[sender] = None
    record_heard(state, sender, message.heard, now)
    known = _report_known_run(state, message.run, sender)
    if known is not None:
        return known
    # A placement delayed by a partition or a paused process may arrive after its entry
    # has placed the task elsewhere.
    if state.origin + message.heard < now - state.budget.max_placement_age:
        return _refuse(state, message.run, sender, EndReason.ORDER_STALE)
    effects = _supersede_older_runs(state, message.run, sender, now)
    reason = _refusal_reason(state, message)
    if reason is not None:
        return [*effects, *_refuse(state, message.run, sender, reason)]
    state.placement_count += 1
    record_highest(state, message.run)
    state.runs.add(
        LocalRun(
            message.run,
            sender,
            message.room,
            message.priority,
            message.estimate,
            message.spec,
            now + message.within,
            state.placement_count,
            now,
            due_time(message.due, now),
        )
    )
    effects += start_waiting_runs(state, now)
    return [*effects, *_refuse_without_room(state, message.run, now)]


def handle_run_query(
    message: AskRun, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    """Report what became of a run; one that was never seen is refused for good."""
    return _report_or_refuse(state, message.run, sender)


def handle_withdrawal(
    message: WithdrawRun, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    """Cancel a run, or report the end of one that is no longer here.

    The end may have been lost with a connection while the entry waits for it.
    """
    local = state.runs.get(message.run)
    if local is None or local.coordinator != sender:
        return _report_or_refuse(state, message.run, sender)
    effects = supervisor_commands.cancel_run(state, local, EndReason.WITHDRAWN, now)
    return [*effects, *start_waiting_runs(state, now)]


def record_heard(
    state: SupervisorState, sender: str, heard: timedelta, now: datetime
) -> None:
    """Record when an entry was known to be alive, by this sidecar's own clock."""
    alive_at = min(state.origin + heard, now)
    known = state.heard.get(sender)
    state.heard[sender] = max(known, alive_at) if known else alive_at


def _report_or_refuse(state: SupervisorState, run: RunId, sender: str) -> list[Effect]:
    known = _report_known_run(state, run, sender)
    if known is not None:
        return known
    return _refuse(state, run, sender, EndReason.NEVER_SEEN)


def _report_known_run(
    state: SupervisorState, run: RunId, sender: str
) -> list[Effect] | None:
    """Report the end of a run that this entry placed; None for an unknown run.

    For a run that has not ended there is nothing to report.
    """
    if (sender, run) in state.ended:
        return [Send(sender, state.ended[sender, run])]
    local = state.runs.get(run)
    if local is not None and local.coordinator == sender:
        return []
    return None


def _refusal_reason(state: SupervisorState, message: PlaceRun) -> EndReason | None:
    """Return why this run must be refused, or None."""
    if state.draining_since is not None:
        return EndReason.SIDECAR_STOPPING
    if state.worker is None:
        return EndReason.WORKER_UNKNOWN
    if state.worker.state is WorkerReady.DRAINING:
        return EndReason.WORKER_DRAINING
    if state.is_cordoned:
        return EndReason.DOMAIN_CORDONED
    if not fits(message.room, state.worker.capacity):
        return EndReason.NO_ROOM_EVER
    # Another entry that coordinated the job before has used this number already; the
    # worker would refuse it, and the two runs would be indistinguishable here.
    if message.run.number <= state.highest.get(message.run.task, 0):
        return EndReason.NUMBER_TOO_LOW
    if supervisor_report.is_failing(state) and state.runs:
        return EndReason.WORKER_UNHEALTHY
    return None


def _refuse(
    state: SupervisorState, run: RunId, sender: str, reason: EndReason
) -> list[Effect]:
    """Refuse this run for good and report that to the entry."""
    highest = state.highest.get(run.task, 0)
    ended = RunEnded(run, RunEnd.NOT_RUN, reason, None, highest)
    record_end(state, sender, ended)
    return [Count(reason), Send(sender, ended), supervisor_ends.log_end(ended, sender)]


def _refuse_without_room(
    state: SupervisorState, run: RunId, now: datetime
) -> list[Effect]:
    """Let a run wait for room, or refuse it after a current report.

    It is refused if no room is expected soon, not even in the place of less urgent runs
    that wait. Its entry did not know of the latest placements of other entries.
    """
    local = state.runs.get(run)
    if local is None or local.phase is not Phase.WAITING:
        return []
    if has_older_run(state, local):
        return []
    if expects_room_soon(state, now):
        local.waits_for_room_since = now
        return []
    displaced = displace_waiting(state, local, now)
    if not displaced:
        return refuse_for_room(state, local, now)
    local.waits_for_room_since = now
    return displaced


def _supersede_older_runs(
    state: SupervisorState, run: RunId, sender: str, now: datetime
) -> list[Effect]:
    """Cancel other runs of the same task.

    A caller that lost one entry resubmits its job through another. The new run waits
    until the first entry's run has ended. If the first entry is still alive, the reason
    tells it not to place the task again; otherwise the two entries would go on
    cancelling each other's runs.
    """
    effects: list[Effect] = []
    key = (run, sender)
    older = [
        local
        for local in state.runs.of_task(run.task)
        if (local.run, local.coordinator) != key
    ]
    for local in older:
        effects += supervisor_commands.cancel_run(
            state, local, EndReason.SUPERSEDED, now
        )
    return effects
