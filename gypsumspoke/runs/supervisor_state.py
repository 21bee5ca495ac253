"""What a sidecar knows of its worker and of the runs placed on it."""

from collections import OrderedDict
from datetime import datetime, timedelta
from enum import Enum
from typing import NamedTuple

from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.messages import RunEnded
from gypsumspoke.runs.values import (
    NO_ROOM,
    EndReason,
    Registration,
    Room,
    RunId,
    TaskId,
    add,
)

# Ends kept to be told again after a lost connection: about a minute of a busy worker.
MAX_KEPT_ENDS = 4000


class Phase(Enum):
    """How far a run is. Only a WAITING one takes no room."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Lease(NamedTuple):
    """What is known of the worker's lease and clock.

    Attributes:
      clock: the worker's clock at ``read_at`` or a little before; None before it spoke.
      read_at: when its clock was last read.
      ends_by: the lease has ended by then unless it is extended again.
    """

    clock: timedelta | None
    read_at: datetime
    ends_by: datetime


class LastReport(NamedTuple):
    """The latest report to an entry: when, what was taken, and whether work is."""

    at: datetime
    reserved: Room
    takes_work: bool


class LocalRun:
    """One run placed on this sidecar.

    Attributes:
      run: which run.
      coordinator: incarnation of the entry that placed it.
      room, priority, estimate, spec: as in PlaceRun.
      start_by: not started later than this.
      placement_number: rises with each placement; breaks ties within a priority.
      phase: see Phase.
      started: when the worker accepted the start.
      start_clock: the worker's clock when it last said that the run is at work.
      stop_clock: the worker's clock when it accepted the stop.
      percent: progress as last seen.
      progressed: when the progress last changed.
      lists_since: how many lists came since then.
      whole: run time of the whole run at the speed of its latest progress.
      stop_reason: why it is being stopped.
      stop_since: when the first stop was sent.
      stop_word: when its coordinator was last heard before that.
      stop_sent: when a stop was last sent.
      in_doubt: the start got no answer.
      outlived: the worker was born again after the start was sent.
      doubted: since when.
    """

    def __init__(
        self,
        run: RunId,
        coordinator: str,
        room: Room,
        priority: int,
        estimate: timedelta,
        spec: str,
        start_by: datetime,
        placement_number: int,
    ) -> None:
        self.run = run
        self.coordinator = coordinator
        self.room = room
        self.priority = priority
        self.estimate = estimate
        self.spec = spec
        self.start_by = start_by
        self.placement_number = placement_number
        self.phase = Phase.WAITING
        self.started_at: datetime | None = None
        self.start_clock: timedelta | None = None
        self.stop_clock: timedelta | None = None
        self.percent = 0
        self.progressed_at: datetime | None = None
        self.lists_since_progress = 0
        self.projected_run_time: timedelta | None = None
        self.stop_reason = EndReason.WITHDRAWN
        self.stop_requested_at: datetime | None = None
        self.heard_before_stop: datetime | None = None
        self.stop_sent_at: datetime | None = None
        self.is_uncertain = False
        self.worker_restarted = False
        self.uncertain_since: datetime | None = None


class SupervisorState:
    """State of the guard; changed only by ``guard.reduce``.

    Attributes:
      origin: zero of the stamps in reports.
      budget: the time budget of all runs.
      service: the service that the settings name; empty for any.
      worker: what the worker last said of itself; None before.
      born: the life of the worker that ``last_seen`` belongs to.
      born_learnt: when that life first showed.
      token: fencing token; 0 before the worker's clock is known.
      lease: see Lease.
      lease_withheld: since when an unanswered stop holds the lease back.
      is_lease_short: whether the lease was too short for a start at the last hold.
      last_seen: highest number of the ends taken note of.
      hold_sent: when the hold under way was sent; None when there is none.
      hold_number: number of the newest hold.
      is_fenced: whether the worker has seen this sidecar's token, and so refuses
        orders of earlier processes of this sidecar.
      heard_worker: when a hold was last answered.
      orphans: runs at the worker that nobody here placed; they are being stopped. With
        the worker's clock of the first list that lacked one; None while it is listed.
      list_clock: the worker's clock of the youngest list of this life.
      quiet_from: the worker's clock from which on a list hides no run of an earlier
        process that is being stopped; None before the first list.
      runs: placed runs that have not ended, in order of placement.
      held: room of all runs that are not waiting.
      ended: the latest ends, by the entry that placed the run; two entries that do
        not know of each other give their runs the same numbers.
      heard: for each entry, when it was provably alive.
      taken: for each entry, how many of its orders arrived on this connection.
      peers: entries that are connected.
      told: what each entry was last told.
      highest: highest run number started for a task, for the latest tasks.
      pace: run time over estimate, smoothed; 0 before the first end.
      failing: smoothed share of failed ends.
      next_probe: while the worker fails, when it may be tried again.
      draining: when the graceful stop began.
      left: the stop is complete.
      directory: whom this sidecar connects to.
    """

    def __init__(
        self,
        service: str,
        directory: Directory,
        now: datetime,
        budget: Budget = DEFAULT_BUDGET,
    ) -> None:
        self.origin = now
        self.budget = budget
        self.service = service
        self.worker: Registration | None = None
        self.worker_incarnation: int | None = None
        self.incarnation_seen_at: datetime | None = None
        self.token = 0
        self.lease = Lease(None, now, now)
        self.lease_withheld_since: datetime | None = None
        self.is_lease_short = False
        self.last_seen = 0
        self.renewal_sent_at: datetime | None = None
        self.renewal_number = 0
        self.is_fenced = False
        self.worker_answered_at: datetime | None = None
        self.orphans: dict[RunId, timedelta | None] = {}
        self.list_clock = timedelta()
        self.lists_complete_from: timedelta | None = None
        self.runs: OrderedDict[RunId, LocalRun] = OrderedDict()
        self.reserved = NO_ROOM
        self.ended: OrderedDict[tuple[str, RunId], RunEnded] = OrderedDict()
        self.heard: dict[str, datetime] = {}
        self.taken: dict[str, int] = {}
        self.peers: set[str] = set()
        self.last_reports: dict[str, LastReport] = {}
        self.highest: OrderedDict[TaskId, int] = OrderedDict()
        self.pace = 0.0
        self.failing = 0.0
        self.next_probe: datetime | None = None
        self.placement_count = 0
        self.draining_since: datetime | None = None
        self.has_stopped = False
        self.directory = directory

    @property
    def knows_all_runs(self) -> bool:
        """Whether nothing that an earlier process started is at work any more."""
        if self.orphans or self.lists_complete_from is None:
            return False
        return self.list_clock >= self.lists_complete_from

    @property
    def worker_id(self) -> str:
        """The worker's id; empty before it has registered."""
        return self.worker.id if self.worker else ""


def reserve_room(state: SupervisorState, local: LocalRun) -> None:
    """Count a run's room as taken, from just before its start is sent."""
    state.reserved = add(state.reserved, local.room)


def record_end(state: SupervisorState, coordinator: str, ended: RunEnded) -> None:
    """Keep an end to tell it again, within the bound."""
    state.ended[coordinator, ended.run] = ended
    if len(state.ended) > MAX_KEPT_ENDS:
        state.ended.popitem(last=False)


def record_highest(state: SupervisorState, run: RunId) -> None:
    """Remember the highest run number of a task, within the bound."""
    known = state.highest.get(run.task, 0)
    state.highest[run.task] = max(known, run.number)
    if len(state.highest) > MAX_KEPT_ENDS:
        state.highest.popitem(last=False)
