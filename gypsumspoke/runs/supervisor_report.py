"""Reports of a sidecar to entries, and when its worker takes work."""

from datetime import datetime, timedelta
from statistics import geometric_mean

from gypsumspoke.core.effects import Effect, Send
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.supervisor_state import (
    LastReport,
    SupervisorState,
    has_runs_of,
    promised_room,
)
from gypsumspoke.runs.values import NO_ROOM, WorkerReady
from gypsumspoke.runs.warm_up import leaves_in, offered_room

# Shortest interval between reports of changed room to one entry, which limits the
# entry's processor time: a busy worker's room changes with each start and end.
CHANGE_REPORT_INTERVAL = timedelta(milliseconds=20)
# With more entries than this the interval grows in proportion, so that the rate of
# reports stays bounded.
ENTRIES_AT_FULL_RATE = 4
# An entry that got a report within so many ticks needs no regular one.
RECENT_REPORT_TICKS = 0.5
# Running runs override the smoothed pace only if at least so many of them show a change
# by at least this factor, since single estimates are inaccurate.
MIN_PACE_RUNS = 3
MIN_PACE_CHANGE = 2.0
# A worker with a larger smoothed share of failed ends fails nearly everything, and
# counts as failing.
MAX_FAILURE_SHARE = 0.5


def can_start(state: SupervisorState, now: datetime) -> bool:
    """Return whether runs may be started on the worker now."""
    return (
        state.worker is not None
        and state.worker.state is WorkerReady.READY
        and state.draining_since is None
        and state.knows_all_runs
        and state.token > 0
        and state.lease.clock is not None
        and is_answering(state, now)
        and not state.retries.is_down
        and may_probe(state, now)
        and not state.is_lease_short
        and not state.is_cordoned
    )


def is_answering(state: SupervisorState, now: datetime) -> bool:
    """Return whether the worker has answered a renewal recently."""
    if state.worker_answered_at is None:
        return False
    return now - state.worker_answered_at < state.budget.worker_silence


def is_failing(state: SupervisorState) -> bool:
    """Return whether most runs on the worker fail."""
    return state.failing > MAX_FAILURE_SHARE


def may_probe(state: SupervisorState, now: datetime) -> bool:
    """Return whether a failing worker may be tried again; True for a healthy one."""
    if not is_failing(state):
        return True
    return state.next_probe is None or now >= state.next_probe


def takes_work(state: SupervisorState, now: datetime) -> bool:
    """Return whether entries may place runs here."""
    if is_failing(state) and state.runs:
        return False
    return can_start(state, now)


def _takes_work_of(state: SupervisorState, peer: str, takes_work_now: bool) -> bool:
    return takes_work_now and peer not in state.leaving


def report_to(state: SupervisorState, peer: str, now: datetime) -> list[Effect]:
    """Send a report to one entry."""
    return _send_reports(state, [peer], now)


def _send_reports(
    state: SupervisorState, peers: list[str], now: datetime
) -> list[Effect]:
    """Send reports to some entries; they differ in what concerns one entry only."""
    if not peers:
        return []
    common = _report(state, now)
    promised = promised_room(state)
    effects: list[Effect] = []
    for peer in peers:
        message = common._replace(
            takes_work=_takes_work_of(state, peer, common.takes_work),
            taken=state.taken.get(peer, 0),
        )
        if state.leaving.get(peer, now) is None and not has_runs_of(state, peer):
            state.leaving[peer] = now
        state.last_reports[peer] = LastReport(now, promised, message.takes_work)
        effects.append(Send(peer, message))
    return effects


def _report(state: SupervisorState, now: datetime) -> WorkerReport:
    """Return the report to an entry that this sidecar doesn't leave."""
    worker = state.worker
    capacity = worker.capacity if worker else NO_ROOM
    return WorkerReport(
        stamp=now - state.origin,
        worker=state.worker_id,
        service=worker.service if worker else "",
        labels=worker.labels if worker else (),
        takes_work=takes_work(state, now),
        clean=state.is_fenced and state.knows_all_runs,
        capacity=capacity,
        free=offered_room(capacity, promised_room(state), state.warm_up.share(now)),
        pace=current_pace(state, now),
        failing=is_failing(state),
        taken=0,
        entries=max(len(state.peers) - len(state.leaving), 1),
        partial=state.group.is_partial(state.directory.known),
        cordoned=state.is_cordoned,
        leaves_in=leaves_in(worker, state.registered_at, now),
    )


def current_pace(state: SupervisorState, now: datetime) -> float:
    """Return the worker's current run time over estimate.

    The smoothed pace of ended runs reacts late when a worker becomes slow; the progress
    of running ones shows it earlier. Estimates are inaccurate, so several runs must
    show a clear change before it counts.
    """
    paces = [
        local.projected_run_time / local.estimate
        for local in state.runs.values()
        if local.projected_run_time is not None
        and local.estimate
        and not state.estimates.is_wrong(local.estimate, now)
    ]
    if not state.pace or len(paces) < MIN_PACE_RUNS:
        return state.pace
    shown = geometric_mean(paces)
    is_clear = max(shown / state.pace, state.pace / shown) >= MIN_PACE_CHANGE
    return shown if is_clear else state.pace


def send_regular_reports(state: SupervisorState, now: datetime) -> list[Effect]:
    """Send reports to all entries but those that got one recently.

    At most every second tick is left out for an entry, so its latest report is never
    older than a tick and a half.
    """
    recently = state.budget.tick * RECENT_REPORT_TICKS
    due = []
    for peer in sorted(state.peers):
        last = state.last_reports.get(peer)
        if last is None or now - last.at >= recently:
            due.append(peer)
    return _send_reports(state, due, now)


def send_change_reports(state: SupervisorState, now: datetime) -> list[Effect]:
    """Send reports to the entries whose view of the free room is outdated.

    Whether the worker takes work is reported at once: jobs may be waiting for it, and
    runs placed on a worker that has begun to drain would be refused. Changes of room
    are reported between ticks, or entries would place runs on full workers while others
    have room.
    """
    interval = CHANGE_REPORT_INTERVAL * max(
        1.0, len(state.peers) / ENTRIES_AT_FULL_RATE
    )
    takes_work_now = takes_work(state, now)
    promised = promised_room(state)
    due = []
    for peer in sorted(state.peers):
        last = state.last_reports.get(peer)
        takes_work_of_peer = _takes_work_of(state, peer, takes_work_now)
        if last is None or last.takes_work is not takes_work_of_peer:
            due.append(peer)
        elif last.promised != promised and now - last.at >= interval:
            due.append(peer)
    return _send_reports(state, due, now)
