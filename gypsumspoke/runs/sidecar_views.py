"""What an entry believes of the sidecars that are connected to it.

A report is up to a report interval old, and says how many of this entry's placements it
includes. The placements sent since are taken off its room, so that one entry never
takes room twice; where several do at once, the sidecar sends back what came last.
"""

from collections import deque
from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.values import NO_ROOM, Room, RunId, add, fits, subtract

# Run time over estimate that is assumed before the first end of a worker.
DEFAULT_PACE = 1.0
# A worker's pace may look extreme after one odd run; beyond these it is not believed.
LOWEST_PACE, HIGHEST_PACE = 0.2, 20.0


class Placement(NamedTuple):
    """One run that was placed and may not be in the report yet."""

    run: RunId
    room: Room


class SidecarView:
    """One connected or lately lost sidecar.

    Attributes:
      budget: the time budget of all runs.
      max_placement_age: a placement on an older report would be refused.
      incarnation, host: the process, and the name of the instance it runs on.
      found: when this entry first heard of the process.
      reported: when that was read.
      last_sent: when this entry last sent it proof of being alive.
      connected: whether a connection is up.
      sent: how many placements were sent on this connection.
      unreported: placements that the latest report does not include.
      freed: room of runs that ended since the latest report.
      open_runs: room of the runs placed there that have not ended.
      pace: run time over estimate on this worker.
    """

    def __init__(
        self,
        incarnation: str,
        host: str,
        now: datetime,
        budget: Budget = DEFAULT_BUDGET,
    ) -> None:
        self.budget = budget
        self.max_report_age = budget.max_placement_age
        self.incarnation = incarnation
        self.host = host
        self.pace = DEFAULT_PACE
        self._report: WorkerReport | None = None
        self._free: Room | None = None
        self.first_seen = now
        self.reported_at = now
        self.last_sent_at = now
        self.connected = True
        self.sent = 0
        self.unreported: deque[tuple[int, Placement]] = deque()
        self.freed = NO_ROOM
        self.open_runs: dict[RunId, Room] = {}

    @property
    def report(self) -> WorkerReport | None:
        """Its latest report; None before the first."""
        return self._report

    @report.setter
    def report(self, report: WorkerReport) -> None:
        self._report = report
        self.pace = min(max(report.pace or DEFAULT_PACE, LOWEST_PACE), HIGHEST_PACE)
        self.invalidate_free()

    @property
    def free(self) -> Room:
        """The room left, as far as this entry knows."""
        # Kept until something changes: each task looks at the room of every worker.
        if self._free is None:
            free = add(self._report.free, self.freed)
            for _, placement in self.unreported:
                free = subtract(free, placement.room)
            self._free = free
        return self._free

    def invalidate_free(self) -> None:
        """Work the room out anew: what it is made of has changed."""
        self._free = None

    @property
    def runs_dead_at(self) -> datetime:
        """When all runs placed there are certainly gone if it stays silent."""
        return self.last_sent_at + self.budget.run_expiry


def update_report(view: SidecarView, report: WorkerReport, read: datetime) -> None:
    """Take a newer report.

    Args:
      view: the sidecar, changed in place.
      report: its report.
      read: when that was read, which may be well before it is handled.
    """
    view.report = report
    view.reported_at = read
    view.freed = NO_ROOM
    while view.unreported and view.unreported[0][0] <= report.taken:
        view.unreported.popleft()
    view.invalidate_free()


def record_placement(view: SidecarView, placement: Placement) -> None:
    """Count a placement that was just sent."""
    view.sent += 1
    view.unreported.append((view.sent, placement))
    view.open_runs[placement.run] = placement.room
    view.invalidate_free()


def record_run_end(view: SidecarView, run: RunId, ran: bool) -> None:
    """Count an end that came since the latest report."""
    room = view.open_runs.pop(run, None)
    if room is None:
        return
    known = len(view.unreported)
    view.unreported = deque(entry for entry in view.unreported if entry[1].run != run)
    if ran and len(view.unreported) == known:
        view.freed = add(view.freed, room)
    view.invalidate_free()


def restart_connection(view: SidecarView, read: datetime) -> None:
    """Start counting placements anew, as the sidecar does on a new connection."""
    view.connected = True
    view.sent = 0
    view.unreported.clear()
    view.reported_at = read
    view.invalidate_free()


def is_open(view: SidecarView, now: datetime) -> bool:
    """Return whether new runs may be placed there."""
    return (
        view.connected
        and view.report is not None
        and view.report.takes_work
        # An order names the time of the report, and one that is older is refused. A
        # sidecar that was not heard for so long may also be frozen or cut off.
        and now - view.reported_at < view.max_report_age
        # A worker that fails is tried with one run at a time.
        and not (view.report.failing and view.open_runs)
    )


class Offer(NamedTuple):
    """What decides whether a sidecar gets a task.

    Attributes:
      is_open: whether new runs may be placed there.
      worker: its service, labels and capacity.
      pace: run time over estimate.
      free: the room left.
    """

    is_open: bool
    worker: tuple[str, tuple[str, ...], Room]
    pace: float
    free: Room


def make_offer(view: SidecarView, now: datetime) -> Offer | None:
    """Return what a sidecar offers; None before its first report."""
    report = view.report
    if report is None:
        return None
    worker = (report.service, report.labels, report.capacity)
    return Offer(is_open(view, now), worker, view.pace, view.free)


def may_allow_placement(offer: Offer, before: Offer | None) -> bool:
    """Return whether a task that found no place may find one now.

    A worker that closes or turns slow counts too: tasks may have waited for it rather
    than go elsewhere.
    """
    return (
        before is None or offer[:3] != before[:3] or not fits(offer.free, before.free)
    )


def fastest_pace(views: Iterable[SidecarView], service: str) -> float:
    """Return the pace of the fastest worker of a service; 1 where none is known."""
    paces = (
        view.pace
        for view in views
        if view.report is not None and view.report.service == service
    )
    return min(paces, default=DEFAULT_PACE)
