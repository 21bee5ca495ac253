"""What a sidecar does with a run that an entry places on it.

Load that it answers: several entries place work on one worker without seeing each
other's, so more arrives at once than fits. What does not fit is sent back at once with
a fresh report, and goes where there is room. Only a run whose task has an older run
here waits, until that one is gone.
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
from gypsumspoke.runs.values import EndReason, RunEnd, RunId, WorkerState, fits


def handle_placement(
    message: PlaceRun, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    """Start a run, let it wait for an older one, or send it back."""
    if sender in state.taken:
        state.taken[sender] += 1
    record_heard(state, sender, message.heard, now)
    known = _report_known_run(state, message.run, sender)
    if known is not None:
        return known
    # An order that was held up by a cut, or lay in the buffers of a process that was
    # paused, may come after its entry has given the run up and placed it elsewhere.
    if state.origin + message.heard < now - state.budget.max_placement_age:
        return _refuse(state, message.run, sender, EndReason.ORDER_STALE)
    effects = _supersede_older_runs(state, message.run, sender, now)
    reason = _refusal_reason(state, message)
    if reason is not None:
        return [*effects, *_refuse(state, message.run, sender, reason)]
    state.placement_count += 1
    record_highest(state, message.run)
    state.runs[message.run] = LocalRun(
        message.run,
        sender,
        message.room,
        message.priority,
        message.estimate,
        message.spec,
        now + message.within,
        state.placement_count,
    )
    effects += start_waiting_runs(state, now)
    return [*effects, *_refuse_without_room(state, message.run, now)]


def handle_run_query(
    message: AskRun, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    """Say what became of a run; one that was never seen never starts."""
    return _report_or_refuse(state, message.run, sender)


def handle_withdrawal(
    message: WithdrawRun, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    """End a run; of one that is not here say what became of it, as if asked.

    Its end may have been lost with a connection, and its entry waits for it.
    """
    local = state.runs.get(message.run)
    if local is None or local.coordinator != sender:
        return _report_or_refuse(state, message.run, sender)
    effects = supervisor_commands.cancel_run(state, local, EndReason.WITHDRAWN, now)
    return [*effects, *start_waiting_runs(state, now)]


def record_heard(
    state: SupervisorState, sender: str, heard: timedelta, now: datetime
) -> None:
    """Note when an entry was provably alive, by this sidecar's own clock."""
    proven = min(state.origin + heard, now)
    known = state.heard.get(sender)
    state.heard[sender] = max(known, proven) if known else proven


def _report_or_refuse(state: SupervisorState, run: RunId, sender: str) -> list[Effect]:
    known = _report_known_run(state, run, sender)
    if known is not None:
        return known
    return _refuse(state, run, sender, EndReason.NEVER_SEEN)


def _report_known_run(
    state: SupervisorState, run: RunId, sender: str
) -> list[Effect] | None:
    """Tell the end of a run that this entry placed; None for one that it did not.

    Of a run that has not ended there is nothing to tell yet.
    """
    if (sender, run) in state.ended:
        return [Send(sender, state.ended[sender, run])]
    local = state.runs.get(run)
    if local is not None and local.coordinator == sender:
        return []
    return None


def _refusal_reason(state: SupervisorState, message: PlaceRun) -> EndReason | None:
    """Return why this run can't wait here, or None."""
    if state.draining_since is not None:
        return EndReason.SIDECAR_STOPPING
    if state.worker is None:
        return EndReason.WORKER_UNKNOWN
    if state.worker.state is WorkerState.DRAINING:
        return EndReason.WORKER_DRAINING
    if not fits(message.room, state.worker.capacity):
        return EndReason.NO_ROOM_EVER
    # Another entry, which had the job before, used this number already; the worker
    # would refuse it, and two runs could not be told apart here.
    if message.run.number <= state.highest.get(message.run.task, 0):
        return EndReason.NUMBER_TOO_LOW
    if supervisor_report.is_failing(state) and state.runs:
        return EndReason.WORKER_UNHEALTHY
    return None


def _refuse(
    state: SupervisorState, run: RunId, sender: str, reason: EndReason
) -> list[Effect]:
    """Never start this run, and say so."""
    highest = state.highest.get(run.task, 0)
    ended = RunEnded(run, RunEnd.NOT_RUN, reason, None, highest)
    record_end(state, sender, ended)
    return [Count(reason), Send(sender, ended), supervisor_ends.log_end(ended, sender)]


def _refuse_without_room(
    state: SupervisorState, run: RunId, now: datetime
) -> list[Effect]:
    """Refuse a run that found no room, with a fresh report.

    Its entry did not know of what the others placed here a moment ago. Waiting here,
    the run would wait for this worker while others have room.
    """
    local = state.runs.get(run)
    if local is None or local.phase is not Phase.WAITING:
        return []
    if _has_older_run(state, local):
        return []
    report = supervisor_report.report_to(state, local.coordinator, now)
    refused = supervisor_commands.cancel_run(state, local, EndReason.ROOM_TAKEN, now)
    return [*report, *refused]


def _has_older_run(state: SupervisorState, local: LocalRun) -> bool:
    return any(
        other.run.task == local.run.task and other is not local
        for other in state.runs.values()
    )


def _supersede_older_runs(
    state: SupervisorState, run: RunId, sender: str, now: datetime
) -> list[Effect]:
    """End other runs of the same task.

    A caller that lost one entry sends its job through another. The first entry's run
    may still be here; the new one waits until it is gone. Should the first entry live
    all the same, it learns that it was superseded and places nothing again: otherwise
    each of the two would end the other's run for ever.
    """
    effects: list[Effect] = []
    key = (run, sender)
    older = [
        local
        for local in state.runs.values()
        if local.run.task == run.task and (local.run, local.coordinator) != key
    ]
    for local in older:
        effects += supervisor_commands.cancel_run(
            state, local, EndReason.SUPERSEDED, now
        )
    return effects
