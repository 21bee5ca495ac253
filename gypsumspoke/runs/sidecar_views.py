"""An entry's views of its sidecars and of the room on their workers.

A report states how many of this entry's placements it includes. The entry subtracts
the placements sent since, so that it never uses the same room twice. If several entries
use the same room, the sidecar refuses the placements that arrive last.
"""

from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.values import NO_ROOM, Room, RunId, add, fits, subtract

# Ratio of run time to estimate, assumed until a worker has completed a run.
DEFAULT_PACE = 1.0
# Bounds on a reported pace, which a single outlier may distort.
LOWEST_PACE, HIGHEST_PACE = 0.2, 20.0
# Each completed run changes the pace a little. Smaller changes wait for the next tick,
# which tries all queued tasks.
MIN_PACE_CHANGE = 0.1


class Placement(NamedTuple):
    """A placed run and the room it takes."""

    run: RunId
    room: Room


class UnreportedPlacements:
    """Placements that the latest report of a sidecar does not include.

    All placed tasks of a job come between two reports, so that each look at the free
    room must not go through all of them.
    """

    def __init__(self) -> None:
        # Number on the connection and room by run, in the order of the numbers.
        self._placements: dict[RunId, tuple[int, Room]] = {}
        self._room = NO_ROOM

    @property
    def room(self) -> Room:
        """Room that all of them take."""
        return self._room

    def add(self, number: int, placement: Placement) -> None:
        """Add the newest placement."""
        # A job that was sent again numbers its runs from 1 again.
        _, earlier = self._placements.pop(placement.run, (0, NO_ROOM))
        self._placements[placement.run] = (number, add(placement.room, earlier))
        self._room = add(self._room, placement.room)

    def remove(self, run: RunId) -> bool:
        """Remove a run that has ended; return whether it was there."""
        if run not in self._placements:
            return False
        _, room = self._placements.pop(run)
        self._room = subtract(self._room, room)
        return True

    def remove_reported(self, taken: int) -> None:
        """Remove the placements up to a number."""
        while self._placements:
            run = next(iter(self._placements))
            if self._placements[run][0] > taken:
                return
            self.remove(run)

    def clear(self) -> None:
        """Remove all."""
        self._placements.clear()
        self._room = NO_ROOM


class SidecarView:
    """A connected or recently disconnected sidecar.

    Attributes:
      budget: the time budget of all runs.
      max_report_age: age of the latest report from which on the sidecar would refuse a
        placement as stale.
      incarnation, host: the process, and the name of the instance that runs it.
      first_seen: when this entry first heard of the process.
      reported_at: when its latest report was read.
      last_sent_at: when this entry last sent it an ack or a placement.
      proof_read_at: when the report was read whose stamp that message carried; None
        before the first on this connection.
      connected: whether a connection is up.
      has_reported: whether a report has arrived on it.
      sent: number of placements sent on this connection.
      unreported: placements that the latest report does not include.
      freed: room of runs that ended since the latest report.
      open_runs: room of the runs placed there that have not ended.
      pace: ratio of run time to estimate on this worker.
      report: its latest report; None before the first.
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
        self.report: WorkerReport | None = None
        self._free: Room | None = None
        self.first_seen = now
        self.reported_at = now
        self.last_sent_at = now
        self.proof_read_at: datetime | None = None
        self.connected = True
        self.has_reported = False
        self.sent = 0
        self.unreported = UnreportedPlacements()
        self.freed = NO_ROOM
        self.open_runs: dict[RunId, Room] = {}

    @property
    def free(self) -> Room:
        """The free room on the worker, as far as this entry knows."""
        # Cached, since the placement of each task reads it for every worker.
        if self._free is None:
            free = add(self.report.free, self.freed)
            self._free = subtract(free, self.unreported.room)
        return self._free

    def invalidate_free(self) -> None:
        """Drop the cached free room."""
        self._free = None

    @property
    def runs_expire_at(self) -> datetime:
        """When all runs placed there have ended for certain if it stays silent."""
        return self.last_sent_at + self.budget.run_expiry


def update_report(view: SidecarView, report: WorkerReport, read: datetime) -> None:
    """Apply a newer report.

    Args:
      view: the sidecar, changed in place.
      report: its report.
      read: when the report was read, which may be well before it is handled.
    """
    view.report = report
    view.pace = min(max(report.pace or DEFAULT_PACE, LOWEST_PACE), HIGHEST_PACE)
    view.has_reported = True
    view.reported_at = read
    view.freed = NO_ROOM
    view.unreported.remove_reported(report.taken)
    view.invalidate_free()


def record_proof(view: SidecarView, now: datetime) -> None:
    """Record a message that carries the stamp of the latest report."""
    view.last_sent_at = now
    view.proof_read_at = view.reported_at


def record_placement(view: SidecarView, placement: Placement) -> None:
    """Record a placement that is being sent."""
    view.sent += 1
    view.unreported.add(view.sent, placement)
    view.open_runs[placement.run] = placement.room
    view.invalidate_free()


def record_run_end(view: SidecarView, run: RunId, ran: bool) -> None:
    """Record the end of a run since the latest report.

    Args:
      view: the sidecar, changed in place.
      run: the run.
      ran: whether it had started, and so took room on the worker.
    """
    room = view.open_runs.pop(run, None)
    if room is None:
        return
    was_unreported = view.unreported.remove(run)
    if ran and not was_unreported:
        view.freed = add(view.freed, room)
    view.invalidate_free()


def restart_connection(view: SidecarView, read: datetime) -> None:
    """Reset the count of placements, as the sidecar does on a new connection."""
    view.connected = True
    view.has_reported = False
    view.proof_read_at = None
    view.sent = 0
    view.unreported.clear()
    view.reported_at = read
    view.invalidate_free()


def is_open(view: SidecarView, now: datetime) -> bool:
    """Return whether new runs may be placed there."""
    return (
        view.connected
        and view.has_reported
        and view.report.takes_work
        # The sidecar refuses placements that are based on an older report.
        and now - view.reported_at < view.max_report_age
        # A failing worker gets one run at a time.
        and not (view.report.failing and view.open_runs)
    )


class Offer(NamedTuple):
    """The properties of a sidecar that decide whether it gets a task.

    Attributes:
      is_open: whether new runs may be placed there.
      worker: service, labels and capacity of its worker.
      pace: ratio of run time to estimate.
      free: the free room.
    """

    is_open: bool
    worker: tuple[str, tuple[str, ...], Room]
    pace: float
    free: Room


def make_offer(view: SidecarView, now: datetime) -> Offer | None:
    """Return the offer of a sidecar; None before its first report."""
    report = view.report
    if report is None:
        return None
    worker = (report.service, report.labels, report.capacity)
    return Offer(is_open(view, now), worker, view.pace, view.free)


def may_allow_placement(offer: Offer, previous: Offer | None, least: Room) -> bool:
    """Return whether a change of an offer may let a queued task be placed.

    That includes a worker that closes or slows down: tasks may have waited for it
    instead of taking another one. More room counts only if a task fits in it: on full
    workers most changes leave too little.

    Args:
      offer: the offer of a sidecar.
      previous: its offer before; None if there was none.
      least: no queued task needs less.
    """
    if previous is None or offer[:2] != previous[:2]:
        return True
    if abs(offer.pace - previous.pace) > MIN_PACE_CHANGE * previous.pace:
        return True
    return fits(least, offer.free) and not fits(offer.free, previous.free)


def fastest_pace(views: Iterable[SidecarView], service: str) -> float:
    """Return the pace of the fastest worker of a service, or the default pace."""
    paces = (
        view.pace
        for view in views
        if view.report is not None and view.report.service == service
    )
    return min(paces, default=DEFAULT_PACE)
