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
from gypsumspoke.runs.values import NO_ROOM, Room, RunId, add, subtract

# Run time over estimate that is assumed before the first end of a worker.
UNKNOWN_PACE = 1.0
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
      incarnation, host: the process, and the name of the instance it runs on.
      found: when this entry first heard of the process.
      report: its latest report; None before the first.
      reported: when that came.
      last_sent: when this entry last sent it proof of being alive.
      connected: whether a connection is up.
      sent: how many placements were sent on this connection.
      unreported: placements that the latest report does not include.
      freed: room of runs that ended since the latest report.
      open_runs: room of the runs placed there that have not ended.
    """

    def __init__(
        self,
        incarnation: str,
        host: str,
        now: datetime,
        budget: Budget = DEFAULT_BUDGET,
    ) -> None:
        self.budget = budget
        self.incarnation = incarnation
        self.host = host
        self.found = now
        self.report: WorkerReport | None = None
        self.reported = now
        self.last_sent = now
        self.connected = True
        self.sent = 0
        self.unreported: deque[tuple[int, Placement]] = deque()
        self.freed = NO_ROOM
        self.open_runs: dict[RunId, Room] = {}

    @property
    def pace(self) -> float:
        """Run time over estimate on this worker."""
        pace = self.report.pace if self.report else 0.0
        return min(max(pace or UNKNOWN_PACE, LOWEST_PACE), HIGHEST_PACE)

    @property
    def runs_dead_at(self) -> datetime:
        """When all runs placed there are certainly gone if it stays silent."""
        return self.last_sent + self.budget.runs_dead_after


def take_report(view: SidecarView, report: WorkerReport, now: datetime) -> None:
    """Take a newer report."""
    view.report = report
    view.reported = now
    view.freed = NO_ROOM
    while view.unreported and view.unreported[0][0] <= report.taken:
        view.unreported.popleft()


def note_placed(view: SidecarView, placement: Placement) -> None:
    """Count a placement that was just sent."""
    view.sent += 1
    view.unreported.append((view.sent, placement))
    view.open_runs[placement.run] = placement.room


def note_ended(view: SidecarView, run: RunId, ran: bool) -> None:
    """Count an end that came since the latest report."""
    room = view.open_runs.pop(run, None)
    if room is None:
        return
    known = len(view.unreported)
    view.unreported = deque(entry for entry in view.unreported if entry[1].run != run)
    if ran and len(view.unreported) == known:
        view.freed = add(view.freed, room)


def restart_connection(view: SidecarView, now: datetime) -> None:
    """Start counting placements anew, as the sidecar does on a new connection."""
    view.connected = True
    view.sent = 0
    view.unreported.clear()
    view.reported = now


def is_open(view: SidecarView, now: datetime) -> bool:
    """Return whether new runs may be placed there."""
    return (
        view.connected
        and view.report is not None
        and view.report.takes_work
        and now - view.reported < view.budget.report_silence
        # A worker that fails is tried with one run at a time.
        and not (view.report.failing and view.open_runs)
    )


def free_room(view: SidecarView) -> Room:
    """Return the room left, as far as this entry knows."""
    free = add(view.report.free, view.freed)
    for _, placement in view.unreported:
        free = subtract(free, placement.room)
    return free


def fastest_pace(views: Iterable[SidecarView], service: str) -> float:
    """Return the pace of the fastest worker of a service; 1 where none is known."""
    paces = (
        view.pace
        for view in views
        if view.report is not None and view.report.service == service
    )
    return min(paces, default=UNKNOWN_PACE)
