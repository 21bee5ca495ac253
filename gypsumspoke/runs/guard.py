"""The sidecar's reducer: its worker's only client, and guard of the worker's room.

Entries place runs here; the guard lets them wait by priority, starts them when there is
room, keeps the worker's lease alive, and tells the entry how each run ended. It counts
a run's room as taken from before its start is sent until the worker lists its end, so
that an unanswered start and an unfinished stop still count.

Load that it answers: several entries place work on one worker without seeing each
other's, so more arrives at once than fits. What does not fit is sent back at once with
a fresh report, and goes where there is room. Only a run whose task has an older run
here waits, until that one is gone.
"""

import logging
from datetime import datetime, timedelta
from functools import singledispatch
from typing import Any

from gypsumspoke.core.effects import Count, Effect, Exit, Log, Send
from gypsumspoke.core.events import Drain, PeerConnected, PeerLost, Received, Tick
from gypsumspoke.runs import (
    guard_ends,
    guard_holds,
    guard_life,
    guard_orders,
    guard_report,
)
from gypsumspoke.runs.directory import EntriesRead, SettingsRead
from gypsumspoke.runs.guard_state import (
    GuardedRun,
    GuardState,
    Phase,
    keep_end,
    note_highest,
)
from gypsumspoke.runs.messages import (
    AskRun,
    KnownEntries,
    PlaceRun,
    Pulse,
    RunEnded,
    RunMessage,
    WithdrawRun,
)
from gypsumspoke.runs.orders import (
    HeartbeatArrived,
    HoldAnswered,
    HoldFailed,
    OrderAnswered,
    WorkerLeft,
)
from gypsumspoke.runs.values import (
    EndReason,
    RunEnd,
    RunId,
    WorkerReady,
    fits,
    subtract,
)

# A stopping sidecar ends what still runs this long after the signal; the platform kills
# the process after a grace of some seconds, and ends must be told before.
DRAIN_PATIENCE = timedelta(seconds=4.5)


def reduce(state: GuardState, event: Any, now: datetime) -> list[Effect]:
    """Take one event.

    Args:
      state: the guard's state, changed in place.
      event: an event of ``runs/orders.py`` or ``core/events.py``.
      now: the current time of a steady clock.

    Returns:
      What is to be done.
    """
    effects = _take(event, state, now)
    return [*effects, *guard_report.report_changes(state, now)]


@singledispatch
def _take(event: Any, state: GuardState, now: datetime) -> list[Effect]:
    return []


@_take.register
def _(event: Received, state: GuardState, now: datetime) -> list[Effect]:
    return _take_message(event.message, event.sender, state, now)


@_take.register
def _(event: PeerConnected, state: GuardState, now: datetime) -> list[Effect]:
    state.peers.add(event.incarnation)
    state.taken[event.incarnation] = 0
    return guard_report.report_to(state, event.incarnation, now)


@_take.register
def _(event: PeerLost, state: GuardState, now: datetime) -> list[Effect]:
    # Its runs go on: the entry may be back in a moment. If not, its silence ends them.
    state.peers.discard(event.incarnation)
    state.taken.pop(event.incarnation, None)
    state.told.pop(event.incarnation, None)
    return []


@_take.register
def _(event: HeartbeatArrived, state: GuardState, now: datetime) -> list[Effect]:
    effects = guard_life.take_registration(state, event.registration, now)
    if state.worker and state.worker.state is WorkerReady.DRAINING:
        effects += _refuse_waiting(state, EndReason.WORKER_DRAINING, now)
    return [*effects, *_start_waiting(state, now)]


@_take.register
def _(event: WorkerLeft, state: GuardState, now: datetime) -> list[Effect]:
    if state.worker is None or state.worker.id != event.id:
        return []
    state.worker = state.worker._replace(state=WorkerReady.DRAINING)
    log = Log(logging.INFO, "worker left", fields=(("worker", event.id),))
    return [log, *_refuse_waiting(state, EndReason.WORKER_DRAINING, now)]


@_take.register
def _(event: OrderAnswered, state: GuardState, now: datetime) -> list[Effect]:
    effects = guard_orders.take_answer(state, event, now)
    return [*effects, *_start_waiting(state, now)]


@_take.register
def _(event: HoldAnswered, state: GuardState, now: datetime) -> list[Effect]:
    effects = guard_holds.take_hold(state, event, now)
    effects += _start_waiting(state, now)
    return [*effects, *guard_holds.next_hold(state, now)]


@_take.register
def _(event: HoldFailed, state: GuardState, now: datetime) -> list[Effect]:
    return guard_holds.take_failed_hold(state, event, now)


@_take.register
def _(event: Tick, state: GuardState, now: datetime) -> list[Effect]:
    effects = _stop_runs_of_silent_entries(state, now)
    effects += guard_holds.check_lease(state, now)
    effects += guard_orders.repeat_stops(state, now)
    effects += guard_holds.next_hold(state, now)
    effects += _start_waiting(state, now)
    effects += guard_report.report_regularly(state, now)
    return [*effects, *_continue_drain(state, now)]


@_take.register
def _(event: Drain, state: GuardState, now: datetime) -> list[Effect]:
    if state.draining is not None:
        return []
    state.draining = now
    log = Log(logging.INFO, "stopping", fields=(("runs", len(state.runs)),))
    effects = [log, *_refuse_waiting(state, EndReason.SIDECAR_STOPPING, now)]
    for peer in sorted(state.peers):
        effects += guard_report.report_to(state, peer, now)
    return effects


@_take.register
def _(event: EntriesRead, state: GuardState, now: datetime) -> list[Effect]:
    return state.directory.take_stored(event.addresses)


@_take.register
def _(event: SettingsRead, state: GuardState, now: datetime) -> list[Effect]:
    return state.directory.take_given(event.known_entries)


# ---------------------------------------------------------------------------
# Messages from entries


@singledispatch
def _take_message(
    message: RunMessage, sender: str, state: GuardState, now: datetime
) -> list[Effect]:
    return []


@_take_message.register
def _(message: Pulse, sender: str, state: GuardState, now: datetime) -> list[Effect]:
    _note_alive(state, sender, message.heard, now)
    return []


@_take_message.register
def _(message: PlaceRun, sender: str, state: GuardState, now: datetime) -> list[Effect]:
    if sender in state.taken:
        state.taken[sender] += 1
    _note_alive(state, sender, message.heard, now)
    known = _tell_known(state, message.run, sender)
    if known is not None:
        return known
    # An order that was held up by a cut, or lay in the buffers of a process that was
    # paused, may come after its entry has given the run up and placed it elsewhere.
    if state.origin + message.heard < now - state.budget.order_fresh:
        return _refuse(state, message.run, sender, EndReason.ORDER_STALE)
    effects = _end_older_runs(state, message.run, sender, now)
    reason = _cannot_take(state, message)
    if reason is not None:
        return [*effects, *_refuse(state, message.run, sender, reason)]
    state.order += 1
    note_highest(state, message.run)
    state.runs[message.run] = GuardedRun(
        message.run,
        sender,
        message.room,
        message.priority,
        message.estimate,
        message.spec,
        now + message.within,
        state.order,
    )
    effects += _start_waiting(state, now)
    return [*effects, *_send_back(state, message.run, now)]


@_take_message.register
def _(
    message: WithdrawRun, sender: str, state: GuardState, now: datetime
) -> list[Effect]:
    guarded = state.runs.get(message.run)
    if guarded is None or guarded.coordinator != sender:
        return []
    effects = guard_orders.end_run_early(state, guarded, EndReason.WITHDRAWN, now)
    return [*effects, *_start_waiting(state, now)]


@_take_message.register
def _(message: AskRun, sender: str, state: GuardState, now: datetime) -> list[Effect]:
    known = _tell_known(state, message.run, sender)
    if known is not None:
        return known
    return _refuse(state, message.run, sender, EndReason.NEVER_SEEN)


@_take_message.register
def _(
    message: KnownEntries, sender: str, state: GuardState, now: datetime
) -> list[Effect]:
    return state.directory.take_told(message.addresses)


def _tell_known(state: GuardState, run: RunId, sender: str) -> list[Effect] | None:
    """Tell the end of a run that this entry placed; None for one that it did not.

    Of a run that has not ended there is nothing to tell yet.
    """
    if (sender, run) in state.ended:
        return [Send(sender, state.ended[sender, run])]
    guarded = state.runs.get(run)
    if guarded is not None and guarded.coordinator == sender:
        return []
    return None


def _note_alive(
    state: GuardState, sender: str, heard: timedelta, now: datetime
) -> None:
    proven = min(state.origin + heard, now)
    known = state.heard.get(sender)
    state.heard[sender] = max(known, proven) if known else proven


def _cannot_take(state: GuardState, message: PlaceRun) -> EndReason | None:
    """Return why this run can't wait here, or None."""
    if state.draining is not None:
        return EndReason.SIDECAR_STOPPING
    if state.worker is None:
        return EndReason.WORKER_UNKNOWN
    if state.worker.state is WorkerReady.DRAINING:
        return EndReason.WORKER_DRAINING
    if not fits(message.room, state.worker.capacity):
        return EndReason.NO_ROOM_EVER
    # Another entry, which had the job before, used this number already; the worker
    # would refuse it, and two runs could not be told apart here.
    if message.run.number <= state.highest.get(message.run.task, 0):
        return EndReason.NUMBER_TOO_LOW
    if guard_report.is_failing(state) and state.runs:
        return EndReason.WORKER_UNHEALTHY
    return None


def _refuse(
    state: GuardState, run: RunId, sender: str, reason: EndReason
) -> list[Effect]:
    """Never start this run, and say so."""
    highest = state.highest.get(run.task, 0)
    ended = RunEnded(run, RunEnd.NOT_RUN, reason, None, highest)
    keep_end(state, sender, ended)
    return [Count(reason), Send(sender, ended), guard_ends.log_end(ended, sender)]


def _send_back(state: GuardState, run: RunId, now: datetime) -> list[Effect]:
    """Refuse a run that found no room, with a fresh report.

    Its entry did not know of what the others placed here a moment ago. Waiting here,
    the run would wait for this worker while others have room.
    """
    guarded = state.runs.get(run)
    if guarded is None or guarded.phase is not Phase.WAITING:
        return []
    if _has_older_run(state, guarded):
        return []
    report = guard_report.report_to(state, guarded.coordinator, now)
    refused = guard_orders.end_run_early(state, guarded, EndReason.ROOM_TAKEN, now)
    return [*report, *refused]


def _has_older_run(state: GuardState, guarded: GuardedRun) -> bool:
    return any(
        other.run.task == guarded.run.task and other is not guarded
        for other in state.runs.values()
    )


def _end_older_runs(
    state: GuardState, run: RunId, sender: str, now: datetime
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
        guarded
        for guarded in state.runs.values()
        if guarded.run.task == run.task and (guarded.run, guarded.coordinator) != key
    ]
    for guarded in older:
        effects += guard_orders.end_run_early(state, guarded, EndReason.SUPERSEDED, now)
    return effects


# ---------------------------------------------------------------------------
# Waiting and starting


def _start_waiting(state: GuardState, now: datetime) -> list[Effect]:
    """Start what fits, by priority and arrival; nothing overtakes what waits."""
    effects = _drop_overdue(state, now)
    if not guard_report.can_start(state, now):
        return effects
    free = subtract(state.worker.capacity, state.held)
    busy = {
        guarded.run.task
        for guarded in state.runs.values()
        if guarded.phase is not Phase.WAITING
    }
    for guarded in waiting(state):
        if guarded.run.task in busy:
            continue
        if not fits(guarded.room, free):
            break
        free = subtract(free, guarded.room)
        busy.add(guarded.run.task)
        effects += guard_orders.start_run(state, guarded, now)
    return effects


def waiting(state: GuardState) -> list[GuardedRun]:
    """Return the waiting runs, the next one first."""
    found = [run for run in state.runs.values() if run.phase is Phase.WAITING]
    found.sort(key=lambda guarded: (guarded.priority, guarded.order))
    return found


def _drop_overdue(state: GuardState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for guarded in list(state.runs.values()):
        if guarded.phase is Phase.WAITING and guarded.start_by < now:
            effects += guard_orders.end_run_early(
                state, guarded, EndReason.DEADLINE_PASSED, now
            )
    return effects


def _refuse_waiting(
    state: GuardState, reason: EndReason, now: datetime
) -> list[Effect]:
    effects: list[Effect] = []
    for guarded in waiting(state):
        effects += guard_orders.end_run_early(state, guarded, reason, now)
    return effects


def _stop_runs_of_silent_entries(state: GuardState, now: datetime) -> list[Effect]:
    """End the runs of entries that were not heard for ``entry_silence``.

    An entry that died can't stop them, and its caller will send the job again. Without
    this both runs of a task would be at work at once.
    """
    effects: list[Effect] = []
    limit = now - state.budget.entry_silence
    for guarded in list(state.runs.values()):
        if state.heard.get(guarded.coordinator, state.origin) < limit:
            effects += guard_orders.end_run_early(
                state, guarded, EndReason.COORDINATOR_SILENT, now
            )
    for entry, heard in list(state.heard.items()):
        if heard < limit and entry not in state.peers:
            del state.heard[entry]
    return effects


# ---------------------------------------------------------------------------
# Stopping


def _continue_drain(state: GuardState, now: datetime) -> list[Effect]:
    if state.draining is None or state.left:
        return []
    if not state.runs and not state.orphans:
        state.left = True
        return [Log(logging.INFO, "stopped"), Exit()]
    if now < state.draining + DRAIN_PATIENCE:
        return []
    effects: list[Effect] = []
    for guarded in list(state.runs.values()):
        effects += guard_orders.end_run_early(
            state, guarded, EndReason.SIDECAR_STOPPING, now
        )
    return effects
