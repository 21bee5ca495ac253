"""State of a sidecar: its worker and the runs placed on it."""

from collections import OrderedDict
from datetime import datetime, timedelta
from enum import Enum
from typing import NamedTuple

from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.cordons import NO_CORDONS
from gypsumspoke.runs.directory import Directory
from gypsumspoke.runs.entry_group import EntryGroup
from gypsumspoke.runs.estimates import EstimateCheck
from gypsumspoke.runs.local_runs import LocalRuns
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
from gypsumspoke.runs.warm_up import WarmUp
from gypsumspoke.runs.worker_heartbeats import WorkerHeartbeats
from gypsumspoke.runs.worker_record import WorkerRecords
from gypsumspoke.runs.worker_retries import WorkerRetries

# Ends kept so that they can be reported again after a lost connection.
MAX_KEPT_ENDS = 4000


class Phase(Enum):
    """State of a local run. Every phase but WAITING reserves room."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Lease(NamedTuple):
    """The worker's lease and clock, as last known.

    Attributes:
      clock: the worker's clock at ``read_at`` or slightly before; None while unknown.
      read_at: when the clock was last read.
      ends_by: latest time at which the lease ends unless it is extended.
    """

    clock: timedelta | None
    read_at: datetime
    ends_by: datetime


class LastReport(NamedTuple):
    """The parts of the latest report to an entry that trigger the next one."""

    at: datetime
    promised: Room
    takes_work: bool


class LocalRun:
    """One run placed on this sidecar.

    Attributes:
      run: which run.
      coordinator: incarnation of the entry that placed it.
      room, priority, estimate, spec: as in PlaceRun.
      start_by: deadline for the start.
      placement_number: rises with each placement.
      arrived: when the placement arrived.
      due: when the run's job is late; None if its entry doesn't say.
      phase: see Phase.
      waits_for_room_since: when it began to wait for room; None if it doesn't.
      started_at: when the start was sent; once accepted, when it was accepted.
      start_clock: the worker's clock when it last reported the run as running.
      stop_clock: the worker's clock when it accepted the stop.
      percent: latest known progress.
      progressed_at: when the progress last changed.
      lists_since_progress: number of lists received since then.
      projected_run_time: total run time at the speed of the latest progress.
      stop_reason: why it is being stopped.
      stop_requested_at: when the first stop was sent.
      heard_before_stop: when its coordinator was last heard before that.
      stop_sent_at: when the latest stop was sent.
      stop_closed: whether a stop's connection was closed without an answer.
      is_uncertain: the start was not answered, so it may or may not have run.
      was_resent: the start was sent a second time.
      worker_restarted: the worker has restarted since the start was sent.
      uncertain_since: when the start was found to be unanswered.
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
        arrived: datetime,
        due: datetime | None = None,
    ) -> None:
        self.run = run
        self.coordinator = coordinator
        self.room = room
        self.priority = priority
        self.estimate = estimate
        self.spec = spec
        self.start_by = start_by
        self.placement_number = placement_number
        self.arrived = arrived
        self.due = due
        self.waits_for_room_since: datetime | None = None
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
        self.stop_closed = False
        self.is_uncertain = False
        self.was_resent = False
        self.worker_restarted = False
        self.uncertain_since: datetime | None = None


class SupervisorState:
    """State of the supervisor; changed only by ``supervisor.reduce``.

    Attributes:
      origin: zero of the timestamps in reports.
      budget: the time budget of all runs.
      service: the service named in the settings; empty for any.
      worker: the worker's latest registration; None before the first.
      heartbeats: heartbeats of its other incarnations.
      records: the record of the worker in the store.
      registered_at: when that registration arrived.
      warm_up: how much of a cold worker's room is offered.
      worker_incarnation: the worker's incarnation; ``last_seen`` counts within it.
      incarnation_seen_at: when that incarnation was first seen.
      token: fencing token; 0 before the worker's clock is known.
      lease: see Lease.
      lease_withheld_since: when an unanswered stop began to hold the lease back.
      is_lease_short: whether the lease was too short for a start at the last renewal.
      last_seen: highest number of the listed ends that were processed.
      renewal_sent_at: when the pending renewal was sent; None if none is pending.
      renewal_wait: how long the worker may wait before it answers that renewal.
      renewal_number: number of the latest renewal.
      retries: when commands are sent again while connections to the worker fail.
      extra_renewal_at: when the extra renewal that is under way was sent; None if none.
      is_fenced: whether the worker has seen this sidecar's token, and so refuses
        commands of earlier processes of this sidecar.
      worker_answered_at: when a renewal was last answered.
      orphans: runs at the worker that this process did not place and has stopped; the
        value is the worker's clock of the first list without the run, or None while
        the run is listed.
      list_clock: the worker's clock of the most recent list of this incarnation.
      lists_complete_from: the worker's clock from which on a list can't miss a run of
        an earlier process that is being stopped; None before the first list.
      runs: placed runs that have not ended, in order of placement.
      reserved: room of all runs that are not waiting.
      ended: the latest ends by entry and run; entries number their runs independently.
      heard: for each entry, the latest time at which it was known to be alive.
      taken: for each entry, the placements that arrived on its current connection.
      peers: connected entries, with the time of the latest connection.
      replacements: entries whose connection was found silent lately; the value is the
        earliest time of the next replacement.
      ticked_at: when the latest tick was handled.
      last_reports: the latest report to each connected entry.
      group: the entries that this sidecar connects to.
      failure_domain: the worker's failure domain.
      cordons: the cordoned failure domains.
      cordoned_at: when this one became cordoned; None if it isn't.
      is_empty: whether no run is left since then.
      leaving: entries whose connection is to be closed; the value is when the first
        report that says so was sent while no run of the entry was here, or None.
      highest: highest run number accepted for a task, for the latest tasks.
      pace: run time over estimate, smoothed; 0 before the first end.
      estimates: which estimates say nothing of the worker.
      failing: smoothed share of failed ends.
      next_probe: when a failing worker may be tried again.
      placement_count: number of runs accepted so far.
      draining_since: when the graceful stop began.
      has_stopped: whether the graceful stop is complete.
      directory: the known entries.
    """

    def __init__(
        self,
        service: str,
        directory: Directory,
        now: datetime,
        budget: Budget = DEFAULT_BUDGET,
        group: EntryGroup | None = None,
        failure_domain: str = "",
    ) -> None:
        self.origin = now
        self.budget = budget
        self.service = service
        self.worker: Registration | None = None
        self.heartbeats = WorkerHeartbeats()
        self.records = WorkerRecords()
        self.registered_at: datetime | None = None
        self.warm_up = WarmUp()
        self.worker_incarnation: int | None = None
        self.incarnation_seen_at: datetime | None = None
        self.token = 0
        self.lease = Lease(None, now, now)
        self.lease_withheld_since: datetime | None = None
        self.is_lease_short = False
        self.last_seen = 0
        self.renewal_sent_at: datetime | None = None
        self.renewal_wait = timedelta()
        self.renewal_number = 0
        self.retries = WorkerRetries(budget.tick)
        self.extra_renewal_at: datetime | None = None
        self.is_fenced = False
        self.worker_answered_at: datetime | None = None
        self.orphans: dict[RunId, timedelta | None] = {}
        self.list_clock = timedelta()
        self.lists_complete_from: timedelta | None = None
        self.runs = LocalRuns()
        self.reserved = NO_ROOM
        self.ended: OrderedDict[tuple[str, RunId], RunEnded] = OrderedDict()
        self.heard: dict[str, datetime] = {}
        self.taken: dict[str, int] = {}
        self.peers: dict[str, datetime] = {}
        self.replacements: dict[str, datetime] = {}
        self.ticked_at = now
        self.last_reports: dict[str, LastReport] = {}
        self.group = group or EntryGroup("", now)
        self.leaving: dict[str, datetime | None] = {}
        self.failure_domain = failure_domain
        self.cordons = NO_CORDONS
        self.cordoned_at: datetime | None = None
        self.is_empty = False
        self.highest: OrderedDict[TaskId, int] = OrderedDict()
        self.pace = 0.0
        self.estimates = EstimateCheck()
        self.failing = 0.0
        self.next_probe: datetime | None = None
        self.placement_count = 0
        self.draining_since: datetime | None = None
        self.has_stopped = False
        self.directory = directory

    @property
    def is_cordoned(self) -> bool:
        """Whether operators have cordoned the worker's failure domain."""
        return self.failure_domain in self.cordons.domains

    @property
    def knows_all_runs(self) -> bool:
        """Whether no run of an earlier process can still be running."""
        if self.orphans or self.lists_complete_from is None:
            return False
        return self.list_clock >= self.lists_complete_from

    @property
    def worker_id(self) -> str:
        """The worker's id; empty before its registration."""
        return self.worker.id if self.worker else ""


def has_runs_of(state: SupervisorState, entry: str) -> bool:
    """Return whether a run of an entry has not ended here."""
    return any(local.coordinator == entry for local in state.runs.values())


def reserve_room(state: SupervisorState, local: LocalRun) -> None:
    """Reserve a run's room, just before its start is sent."""
    state.reserved = add(state.reserved, local.room)


def promised_room(state: SupervisorState) -> Room:
    """Return the room of all runs here, those that wait included."""
    return add(state.reserved, state.runs.waiting_room)


def record_end(state: SupervisorState, coordinator: str, ended: RunEnded) -> None:
    """Keep an end for later reports, up to ``MAX_KEPT_ENDS``."""
    state.ended[coordinator, ended.run] = ended
    if len(state.ended) > MAX_KEPT_ENDS:
        state.ended.popitem(last=False)


def record_highest(state: SupervisorState, run: RunId) -> None:
    """Record the highest run number of a task, for up to ``MAX_KEPT_ENDS`` tasks."""
    known = state.highest.get(run.task, 0)
    state.highest[run.task] = max(known, run.number)
    if len(state.highest) > MAX_KEPT_ENDS:
        state.highest.popitem(last=False)
