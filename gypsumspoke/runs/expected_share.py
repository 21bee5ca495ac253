"""What an entry states about its queue, and the share of a worker that it can expect.

The queued work of a service is spread evenly over its workers, since any of them may
get a task. It is computed once a tick; acks carry the latest result.
"""

from collections import Counter, defaultdict
from datetime import datetime, timedelta

from gypsumspoke.runs.coordinator_state import CoordinatorState
from gypsumspoke.runs.messages import WaitingWork
from gypsumspoke.runs.sidecar_views import SidecarView
from gypsumspoke.runs.urgent_work import Work, is_stateable, room_of, to_work

# Tasks that wait for less usually get room with the next report.
MIN_WAIT = timedelta(milliseconds=20)


def compute_queued_work(state: CoordinatorState, now: datetime) -> dict[str, Work]:
    """Return for each service its queued work per worker, by priority.

    Services with routes of one priority only have none: nothing could be reserved.
    """
    if not state.waiting or state.table is None:
        return {}
    services = _services_with_priorities(state)
    sums: defaultdict[str, Counter[int]] = defaultdict(Counter)
    for job_id, tasks in state.waiting.items():
        progress = state.jobs[job_id]
        service, priority = progress.route.service, progress.route.priority
        if service not in services or not is_stateable(priority):
            continue
        for task in tasks:
            if now - task.queued_at >= MIN_WAIT:
                sums[service][priority] += progress.job.steps[task.id.step].room.cpu
    return {
        service: _per_worker(state, service, queued) for service, queued in sums.items()
    }


def _services_with_priorities(state: CoordinatorState) -> set[str]:
    """Return the services whose routes have more than one priority."""
    priorities: defaultdict[str, set[int]] = defaultdict(set)
    for route in state.table.configuration.routes:
        priorities[route.service].add(route.priority)
    return {service for service, found in priorities.items() if len(found) > 1}


def _per_worker(state: CoordinatorState, service: str, queued: Counter[int]) -> Work:
    workers = sum(_gets_work(view, service) for view in state.views.values())
    if not workers:
        return ()
    return to_work({priority: -(-cpu // workers) for priority, cpu in queued.items()})


def _gets_work(view: SidecarView, service: str) -> bool:
    report = view.report
    return (
        view.connected
        and report is not None
        and report.takes_work
        and report.service == service
    )


def statement_to(state: CoordinatorState, view: SidecarView) -> Work:
    """Return what to state to a sidecar: at most its worker's processors of each.

    A sidecar drops a statement of more than that.
    """
    if not state.queued_work or not _gets_work(view, view.report.service):
        return ()
    capacity = view.report.capacity.cpu
    return tuple(
        WaitingWork(priority, min(cpu, capacity))
        for priority, cpu in state.queued_work.get(view.report.service, ())
        if capacity > 0
    )


def expected_share(view: SidecarView, priority: int) -> float:
    """Return the share of a worker that this entry can expect for its queue.

    Args:
      view: the worker's sidecar, which has reported.
      priority: work of this priority or a more urgent one counts.

    Returns:
      This entry's part of the queued work that all entries have stated; never less than
      an equal share, also where nothing is stated.
    """
    equal = 1 / max(view.report.entries, 1)
    stated_by_all = room_of(view.report.waiting, priority)
    if stated_by_all <= 0:
        return equal
    return min(max(room_of(view.stated, priority) / stated_by_all, equal), 1.0)
