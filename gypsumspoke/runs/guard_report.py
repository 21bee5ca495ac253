"""What a sidecar tells entries of its worker, and when it may start runs."""

from collections import defaultdict
from datetime import datetime, timedelta

from gypsumspoke.core.data import Effect, Send
from gypsumspoke.runs.guard_state import GuardedRun, GuardState, Phase
from gypsumspoke.runs.messages import QueuedWork, WorkerReport
from gypsumspoke.runs.values import NO_ROOM, WorkerReady, subtract

# A worker that left a hold unanswered for longer than a wait and two ways is taken for
# hung or cut off: what is started there now would be found out only later.
WORKER_SILENCE = timedelta(milliseconds=400)
# A worker whose smoothed share of failed ends is above this fails nearly everything.
FAILING_SHARE = 0.5


def can_start(state: GuardState, now: datetime) -> bool:
    """Return whether the worker may be told to start something now."""
    return (
        state.worker is not None
        and state.worker.state is WorkerReady.READY
        and state.draining is None
        and not state.orphans
        and state.token > 0
        and state.lease.clock_ahead is not None
        and is_answering(state, now)
        and may_probe(state, now)
    )


def is_answering(state: GuardState, now: datetime) -> bool:
    """Return whether the worker answered a hold a moment ago."""
    return state.heard_worker is not None and now - state.heard_worker < WORKER_SILENCE


def is_failing(state: GuardState) -> bool:
    """Return whether the worker fails most of what it starts."""
    return state.failing > FAILING_SHARE


def may_probe(state: GuardState, now: datetime) -> bool:
    """Return whether a worker that fails may be tried again; True for a sound one."""
    if not is_failing(state):
        return True
    return state.next_probe is None or now >= state.next_probe


def report_to(state: GuardState, peer: str, now: datetime) -> list[Effect]:
    """Return the report for one entry."""
    worker = state.worker
    capacity = worker.capacity if worker else NO_ROOM
    takes_work = can_start(state, now)
    if is_failing(state) and state.runs:
        takes_work = False
    message = WorkerReport(
        stamp=now - state.origin,
        worker=worker.id if worker else "",
        service=worker.service if worker else "",
        labels=worker.labels if worker else (),
        takes_work=takes_work,
        clean=state.is_fenced and not state.orphans,
        capacity=capacity,
        free=subtract(capacity, state.held),
        running_work=_running_work(state, now),
        queued=_queued(state),
        pace=state.pace,
        failing=is_failing(state),
        taken=state.taken.get(peer, 0),
    )
    return [Send(peer, message)]


def _queued(state: GuardState) -> tuple[QueuedWork, ...]:
    cpu: dict[int, int] = defaultdict(int)
    work: dict[int, float] = defaultdict(float)
    for guarded in state.runs.values():
        if guarded.phase is Phase.WAITING:
            cpu[guarded.priority] += guarded.room.cpu
            seconds = guarded.estimate.total_seconds()
            work[guarded.priority] += guarded.room.cpu * seconds
    return tuple(
        QueuedWork(priority, cpu[priority], round(work[priority]))
        for priority in sorted(cpu)
    )


def _running_work(state: GuardState, now: datetime) -> int:
    total = 0.0
    for guarded in state.runs.values():
        if guarded.phase is not Phase.WAITING:
            total += guarded.room.cpu * _seconds_left(state, guarded, now)
    return round(total)


def _seconds_left(state: GuardState, guarded: GuardedRun, now: datetime) -> float:
    """Return the time that a run still takes, by its progress where it has any."""
    expected = guarded.estimate.total_seconds() * (state.pace or 1.0)
    if guarded.started is None:
        return expected
    elapsed = (now - guarded.started).total_seconds()
    if guarded.percent > 0 and guarded.progressed is not None:
        at_progress = (guarded.progressed - guarded.started).total_seconds()
        whole = at_progress * 100 / guarded.percent
        return max(whole - elapsed, 0.0)
    return max(expected - elapsed, 0.0)
