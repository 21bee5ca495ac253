"""What a sidecar tells entries of its worker, and when it may start runs."""

from datetime import datetime, timedelta
from statistics import geometric_mean

from gypsumspoke.core.effects import Effect, Send
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.supervisor_state import LastReport, SupervisorState
from gypsumspoke.runs.values import NO_ROOM, WorkerState, subtract

# A changed room is reported this often at most: each report costs an entry processor
# time, and a busy worker's room changes with each start and end.
CHANGE_REPORT_INTERVAL = timedelta(milliseconds=20)
# With more entries than this each of them hears of changes less often, so that what
# a sidecar sends does not grow with the entries, nor what an entry takes.
ENTRIES_AT_FULL_RATE = 4
# An entry that was told of a change so many ticks ago needs no regular report.
RECENT_REPORT_TICKS = 0.5
# So many runs must show a pace, and so clear a change: estimates are far off, but the
# mean of some seldom is by this much.
MIN_PACE_RUNS = 3
MIN_PACE_CHANGE = 2.0
# A worker whose smoothed share of failed ends is above this fails nearly everything.
MAX_FAILURE_SHARE = 0.5


def can_start(state: SupervisorState, now: datetime) -> bool:
    """Return whether the worker may be told to start something now."""
    return (
        state.worker is not None
        and state.worker.state is WorkerState.READY
        and state.draining_since is None
        and state.knows_all_runs
        and state.token > 0
        and state.lease.clock is not None
        and is_answering(state, now)
        and may_probe(state, now)
        and not state.is_lease_short
    )


def is_answering(state: SupervisorState, now: datetime) -> bool:
    """Return whether the worker answered a hold a moment ago."""
    if state.worker_answered_at is None:
        return False
    return now - state.worker_answered_at < state.budget.worker_silence


def is_failing(state: SupervisorState) -> bool:
    """Return whether the worker fails most of what it starts."""
    return state.failing > MAX_FAILURE_SHARE


def may_probe(state: SupervisorState, now: datetime) -> bool:
    """Return whether a worker that fails may be tried again; True for a sound one."""
    if not is_failing(state):
        return True
    return state.next_probe is None or now >= state.next_probe


def takes_work(state: SupervisorState, now: datetime) -> bool:
    """Return whether entries may place runs here."""
    if is_failing(state) and state.runs:
        return False
    return can_start(state, now)


def report_to(state: SupervisorState, peer: str, now: datetime) -> list[Effect]:
    """Return the report for one entry."""
    worker = state.worker
    capacity = worker.capacity if worker else NO_ROOM
    message = WorkerReport(
        stamp=now - state.origin,
        worker=state.worker_id,
        service=worker.service if worker else "",
        labels=worker.labels if worker else (),
        takes_work=takes_work(state, now),
        clean=state.is_fenced and state.knows_all_runs,
        capacity=capacity,
        free=subtract(capacity, state.reserved),
        pace=current_pace(state),
        failing=is_failing(state),
        taken=state.taken.get(peer, 0),
    )
    state.last_reports[peer] = LastReport(now, state.reserved, message.takes_work)
    return [Send(peer, message)]


def current_pace(state: SupervisorState) -> float:
    """Return run time over estimate, as the worker is now.

    The smoothed pace of ends follows a worker that turns slow only after ten ends,
    which are slow to come. What runs shows it within two lists. Estimates are far off,
    so the runs must agree on a clear change before they are believed.
    """
    paces = [
        local.projected_run_time / local.estimate
        for local in state.runs.values()
        if local.projected_run_time is not None and local.estimate
    ]
    if not state.pace or len(paces) < MIN_PACE_RUNS:
        return state.pace
    shown = geometric_mean(paces)
    is_clear = max(shown / state.pace, state.pace / shown) >= MIN_PACE_CHANGE
    return shown if is_clear else state.pace


def send_regular_reports(state: SupervisorState, now: datetime) -> list[Effect]:
    """Return reports for all entries but those that were told a moment ago.

    Left out of every second tick at most, a report is never older than a tick and a
    half, well below the age at which an entry gives a sidecar up.
    """
    effects: list[Effect] = []
    recently = state.budget.tick * RECENT_REPORT_TICKS
    for peer in sorted(state.peers):
        told = state.last_reports.get(peer)
        if told is None or now - told.at >= recently:
            effects += report_to(state, peer, now)
    return effects


def send_change_reports(state: SupervisorState, now: datetime) -> list[Effect]:
    """Return reports for the entries that know an old figure of the room.

    That the worker takes work now, or no longer, is told at once: after a loss of all
    processes jobs wait for the first worker, and what is placed on one that has just
    begun to drain comes back.

    With reports at the regular interval only, entries would place work on full workers
    while others have room, and get it back a tick later.
    """
    effects: list[Effect] = []
    interval = CHANGE_REPORT_INTERVAL * max(
        1.0, len(state.peers) / ENTRIES_AT_FULL_RATE
    )
    takes_work_now = takes_work(state, now)
    for peer in sorted(state.peers):
        told = state.last_reports.get(peer)
        if told is None or told.takes_work is not takes_work_now:
            effects += report_to(state, peer, now)
        elif told.reserved != state.reserved and now - told.at >= interval:
            effects += report_to(state, peer, now)
    return effects
