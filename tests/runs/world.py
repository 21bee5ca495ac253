"""A simulation of entries, sidecars and workers in virtual time, with fault injection.

The real reducers run; only sockets, timers and workers are replaced. A fault is a call
or a probability, so that a failure test reads as the order of its events, and a
random walk (``walk.py``) can call them in any order. Violated invariants are collected
in ``violations``.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from datetime import datetime, timedelta, timezone
from functools import partial
from typing import Any, NamedTuple

from returns.result import Failure

from gypsumspoke.core.effects import Exit, Send
from gypsumspoke.core.events import (
    Arrival,
    Drain,
    PeerConnected,
    PeerLost,
    Received,
    Tick,
    Timed,
)
from gypsumspoke.runs import coordinator, supervisor
from gypsumspoke.runs.admission import refuse_overloaded
from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.cancellations import (
    AnswerCancel,
    CancelEnd,
    CancelledJobsRead,
    CancelledJobsStored,
    StoreCancelledJobs,
)
from gypsumspoke.runs.coordinator_state import (
    AnswerJob,
    CancelJobArrived,
    ConfigurationChanged,
    CoordinatorState,
    JobArrived,
    JobCallerLeft,
    PlacingContinues,
)
from gypsumspoke.runs.cordons import CordonsRead
from gypsumspoke.runs.directory import (
    CloseConnection,
    DialEntries,
    Directory,
    EntriesRead,
    ReplaceConnection,
)
from gypsumspoke.runs.entry_group import EntryGroup
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.supervisor_renewals import COMMAND_TIMEOUT
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.values import (
    Configuration,
    Job,
    JobEnd,
    Registration,
    RequestLimits,
    Room,
    Route,
    RunId,
    Step,
    WorkerReady,
)
from gypsumspoke.runs.worker_commands import (
    CommandAnswered,
    CommandKind,
    CommandResult,
    HeartbeatArrived,
    RenewalAnswered,
    RenewalFailed,
    RenewCommand,
    StartCommand,
    StopCommand,
)
from gypsumspoke.runs.worker_record import (
    StoreWorkerRecord,
    WorkerRecord,
    WorkerRecordRead,
)
from gypsumspoke.shell.run_role import MAX_SILENCE
from tests.runs.worker import ZERO, FakeWorker

START = datetime(2030, 1, 1, tzinfo=timezone.utc)
ONE_WAY = timedelta(milliseconds=1)
# A new connection and a hello in both directions.
DIAL_TIME = 4 * ONE_WAY
# The silence timeout of connections, and half the interval of its checks.
SILENCE_TIMEOUT = MAX_SILENCE + timedelta(milliseconds=125)
MILLISECOND = timedelta(milliseconds=1)
STORE_CALL_TIME = timedelta(milliseconds=5)
STORE_RETRY_DELAY = timedelta(milliseconds=400)
SERVICE = "estimate"
ROUTE = Route(
    "checks",
    "pots.example",
    "/checks/",
    SERVICE,
    priority=1,
    attempts=3,
    timeout=None,
    target_latency=timedelta(milliseconds=60),
    stretch=1.6,
)
LIMITS = RequestLimits(16384, 262144, timedelta(seconds=3), timedelta(seconds=15))
CONFIGURATION = Configuration(1, (ROUTE,), LIMITS)
CAPACITY = Room(8000, 64000, 0)
TASK_ROOM = Room(3000, 64, 0)
TASK_TIME = timedelta(milliseconds=200)


def ms(value: float) -> timedelta:
    """Return a duration in milliseconds."""
    return timedelta(milliseconds=value)


def job(job_id: str, count: int = 2, estimate: timedelta = TASK_TIME, **more) -> Job:
    """Return a job of one step."""
    return Job(job_id, "spec", (Step(count, TASK_ROOM, estimate, **more),))


class Process:
    """One process: its reducer, its state and whether it runs."""

    def __init__(self, name: str, reduce: Callable, state: Any) -> None:
        self.name = name
        self.reduce = reduce
        self.state = state
        self.alive = True
        self.died: datetime | None = None
        self.frozen = False
        self.backlog: list[Any] = []
        self.queue: deque[tuple[datetime, Any]] = deque()
        self.is_busy = False
        self.exited = False
        self.dialled: frozenset[str] = frozenset()

    @property
    def host(self) -> str:
        """Name of the instance."""
        return self.name.rpartition("-")[0]


class Delivery(NamedTuple):
    """What becomes of one command to a worker.

    Attributes:
      arrival_delay: time until the worker carries it out; None for never.
      answer_delay: time from there until the answer arrives; None for never.
      timeout: how long the sidecar's shell waits for it, beyond the wait of a renewal.
    """

    arrival_delay: timedelta | None
    answer_delay: timedelta | None
    timeout: timedelta = COMMAND_TIMEOUT


class Exchange:
    """A pending command: its sender, when it was sent, and whether it is unanswered."""

    def __init__(self, process: Process, command: Any, sent: datetime) -> None:
        self.process = process
        self.command = command
        self.sent = sent
        self.is_open = True


class World:
    """A small deployment.

    Args:
      entries, sidecars: number of each.
      seed: seed of the random faults.
      budget: the time budget of all processes.
      group: makes the group of a sidecar from its host and the time.
    """

    def __init__(
        self,
        entries: int = 2,
        sidecars: int = 2,
        seed: int = 0,
        budget: Budget = DEFAULT_BUDGET,
        group: Callable[[str, datetime], EntryGroup] = EntryGroup,
    ) -> None:
        self._make_group = group
        self.budget = budget
        self.now = START
        self.random = random.Random(seed)
        self.violations: list[str] = []
        self.answers: dict[str, AnswerJob] = {}
        self.answered_at: dict[str, datetime] = {}
        self.log: list[tuple[datetime, str, Any]] = []
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.failure_domains: dict[str, str] = {}
        self.cordoned: set[str] = set()
        self.store_revision = 0
        self.cut_from_store: set[str] = set()
        self.cancelled_jobs: dict[str, frozenset[str]] = {}
        self.cancel_ends: dict[str, CancelEnd] = {}
        # When each entry first read the cancelled jobs, by the name of its process.
        self.cancelled_jobs_read_at: dict[str, datetime] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.all_workers: list[FakeWorker] = []
        self.worker_incarnations: dict[str, int] = {}
        self.worker_started_at: dict[str, datetime] = {}
        self.clock_rate: dict[str, float] = {}
        self.pace: dict[str, float] = {}
        self.silent_workers: set[str] = set()
        self.closing_workers: set[str] = set()
        self.hosts_ignoring_stops: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.lost_share = 0.0
        self.late_share = 0.0
        self.lose_start_answers = 0
        self.delay_starts = 0
        self.fails: Callable[[RunId], bool] = lambda run: False
        self.costs: dict[str, Callable[[Any], timedelta]] = {}
        self.refusal_cost = ZERO
        self.delivery: Callable[[str, Any], Delivery | None] = (
            lambda host, command: None
        )
        self.on_answer: Callable[[AnswerJob], None] = lambda answer: None
        self.on_start: Callable[[Process], None] = lambda sidecar: None
        # The stored records of workers; None while nothing is stored or read.
        self.records: dict[str, WorkerRecord] | None = None
        self.drained_at: dict[str, datetime] = {}
        self.leaves_at: dict[str, datetime] = {}
        self.cold_until: dict[str, datetime] = {}
        # Whether the time of day may jump between two incarnations of a worker.
        self.clock_steps = False
        self.tick_on_wake = False
        self._connected: set[frozenset[str]] = set()
        self._silent: set[frozenset[str]] = set()
        self._connections: Counter[frozenset[str]] = Counter()
        self._queue: list[tuple[datetime, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._incarnations = itertools.count(1)
        self._sequence = itertools.count(1)
        for number in range(entries):
            self.start_entry(f"entry{number}")
        for number in range(sidecars):
            self.start_worker(f"side{number}")
            self.start_sidecar(f"side{number}")

    # Time

    def at(self, delay: timedelta, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        entry = (self.now + delay, next(self._numbers), call)
        heapq.heappush(self._queue, entry)

    def run(self, duration: timedelta) -> None:
        """Advance the virtual time."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
            self._check()
        self.now = end

    # Processes

    def start_entry(self, host: str) -> Process:
        """Start an entry, or the next incarnation of one."""
        state = CoordinatorState(
            lambda text: Failure("none"),
            Directory(self.address_of(host), ()),
            self.now,
            self.budget,
            incarnation=f"{host}-{next(self._numbers)}",
        )
        process = self._add(host, coordinator.reduce, state)
        self.read_cordons(host)
        self.read_cancelled_jobs(host)
        table = RoutingTable(CONFIGURATION)
        self.post(process, ConfigurationChanged(table, ""))
        self._publish_entries()
        return process

    def address_of(self, host: str) -> str:
        """Return the address of an entry; the same for all its incarnations."""
        if host not in self.addresses:
            number = len(self.addresses) + 1
            self.addresses[host] = f"10.0.{number // 256}.{number % 256}:8166"
        return self.addresses[host]

    def _publish_entries(self) -> None:
        """Have all processes read the addresses of all entries."""
        for process in self.processes.values():
            self._read_entries(process)

    def _read_entries(self, process: Process) -> None:
        self.post(process, EntriesRead(tuple(self.addresses.values())))

    def start_sidecar(self, host: str) -> Process:
        """Start a sidecar, or the next incarnation of one."""
        group = self._make_group(host, self.now)
        directory = Directory("", (), group.select)
        domain = self.failure_domains.get(host, "")
        state = SupervisorState(
            SERVICE, directory, self.now, self.budget, group, domain
        )
        process = self._add(host, supervisor.reduce, state)
        self._read_entries(process)
        if self.records is None:
            self._send_heartbeats(process)
            return process
        self.at(ms(5), lambda: self._read_record(process))
        first = ms(self.random.uniform(0, 1500))
        self.at(first, lambda: self._send_heartbeats(process))
        return process

    def _read_record(self, process: Process) -> None:
        self.post(process, WorkerRecordRead(self.records.get(process.host)))

    def _add(self, host: str, reduce: Callable, state: Any) -> Process:
        process = Process(f"{host}-{next(self._incarnations):04d}", reduce, state)
        self.processes[host] = process
        self.at(ZERO, lambda: self._tick(process))
        return process

    def start_worker(self, host: str) -> None:
        """Start a worker, or its next incarnation."""
        self.worker_incarnations[host] = self._next_incarnation(host)
        self.worker_started_at[host] = self.now
        self.clock_rate.setdefault(host, 1.0)
        pace = self.pace.setdefault(host, 1.0)
        self.workers[host] = FakeWorker(
            CAPACITY,
            lambda task: TASK_ROOM,
            lambda task: TASK_TIME * pace,
            lambda run: self.fails(run),
        )
        self.all_workers.append(self.workers[host])

    def _next_incarnation(self, host: str) -> int:
        """Return a number for a worker's next incarnation, as its start time."""
        if not self.clock_steps:
            return self.worker_incarnations.get(host, 0) + 1
        return self.random.randint(1, 1000) * 10_000 + len(self.all_workers)

    def kill(self, host: str) -> None:
        """End a process; its connections break."""
        process = self.processes[host]
        self.power_off(host)
        for pair in [pair for pair in self._connected if process.name in pair]:
            self._disconnect(pair)

    def power_off(self, host: str) -> None:
        """End a process without notice: peers only notice its silence."""
        process = self.processes[host]
        if process.alive:
            process.died = self.now
        process.alive = False

    def freeze(self, host: str, duration: timedelta) -> None:
        """Pause a process; events that arrive meanwhile are queued."""
        process = self.processes[host]
        process.frozen = True
        self.at(duration, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        process.frozen = False
        waiting, process.backlog = process.backlog, []
        if self.tick_on_wake:
            self.post(process, Tick())
        for event in waiting:
            self.post(process, event)

    def cut_off(self, one: str, other: str) -> None:
        """Partition two hosts; their connection goes silent but isn't closed."""
        self.cut.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a partition; the old connection is closed and a new one is made."""
        self.cut.discard(frozenset((one, other)))
        pair = frozenset((self.processes[one].name, self.processes[other].name))
        self._disconnect(pair)

    def silence_links(self, share: float = 1.0) -> None:
        """Let open connections between processes go silent for good; new ones work."""
        for pair in sorted(self._connected, key=sorted):
            if self.random.random() < share:
                self._silent.add(pair)
                self.at(SILENCE_TIMEOUT, partial(self._close_silent, pair))

    def _close_silent(self, pair: frozenset[str]) -> None:
        if pair in self._silent:
            self._disconnect(pair)

    def crash_worker(self, host: str) -> None:
        """Crash a worker; its next incarnation starts at once."""
        self.start_worker(host)

    def drain(self, host: str) -> None:
        """Send SIGTERM."""
        self.post(self.processes[host], Drain())

    # Cordons

    def cordon(self, *domains: str) -> None:
        """Cordon failure domains; entries that reach the store read it at once."""
        self.cordoned.update(domains)
        self._publish_cordons()

    def lift(self, *domains: str) -> None:
        """Lift the cordons of failure domains."""
        self.cordoned.difference_update(domains)
        self._publish_cordons()

    def _publish_cordons(self) -> None:
        self.store_revision += 1
        for process in list(self.processes.values()):
            self.read_cordons(process.host)

    def read_cordons(self, host: str) -> None:
        """Let an entry read the cordons, if it reaches the store."""
        process = self.processes[host]
        is_entry = isinstance(process.state, CoordinatorState)
        if not is_entry or host in self.cut_from_store or not self.store_revision:
            return
        domains = tuple(sorted(self.cordoned))
        event = CordonsRead(self.store_revision, domains, is_unchanged=False)
        self.post(process, event)

    def read_cancelled_jobs(self, host: str) -> None:
        """Let an entry read all rows with cancelled jobs, if it reaches the store."""
        if host not in self.cut_from_store:
            rows = dict(self.cancelled_jobs)
            process = self.processes[host]
            self.cancelled_jobs_read_at.setdefault(process.name, self.now)
            self.post(process, CancelledJobsRead(rows, is_complete=True))

    def _store_cancelled_jobs(
        self, process: Process, effect: StoreCancelledJobs
    ) -> None:
        if process.host in self.cut_from_store:
            self.at(
                STORE_RETRY_DELAY, lambda: self._store_cancelled_jobs(process, effect)
            )
            return
        if not process.alive:
            return
        rows = {effect.key: frozenset(effect.jobs)}
        self.cancelled_jobs.update(rows)
        self.post(process, CancelledJobsStored(effect.key))
        for other in list(self.processes.values()):
            is_entry = isinstance(other.state, CoordinatorState)
            if is_entry and other.host not in self.cut_from_store:
                self.post(other, CancelledJobsRead(rows, is_complete=False))

    # Callers

    def cancel(self, host: str, request: str, job_id: str) -> None:
        """Send a request to an entry that cancels a job."""
        self.post(self.processes[host], CancelJobArrived(request, job_id))

    def submit(
        self, host: str, request: str, sent: Job, within: timedelta = ms(4000)
    ) -> None:
        """Send a job to an entry."""
        event = JobArrived(request, sent, ROUTE, self.now + within)
        self.post(self.processes[host], event)

    def close_request(self, host: str, request: str) -> None:
        """Close the connection of a request."""
        self.post(self.processes[host], JobCallerLeft(request))

    def end_of(self, request: str) -> JobEnd | None:
        """Return how a request was answered."""
        answer = self.answers.get(request)
        return answer.end if answer else None

    # The loop of a process

    def post(self, process: Process, event: Any) -> None:
        """Give a process an event."""
        if not process.alive:
            return
        if process.frozen:
            process.backlog.append(event)
            return
        if process.host in self.costs:
            self._enqueue(process, event)
            return
        for effect in process.reduce(process.state, event, self.now):
            self._perform(process, effect)

    def _enqueue(self, process: Process, event: Any) -> None:
        """Queue an event at a process whose events cost processor time."""
        process.queue.append((self.now, event))
        if not process.is_busy:
            process.is_busy = True
            self._handle_next(process)

    def _handle_next(self, process: Process) -> None:
        if not process.alive or not process.queue:
            process.is_busy = False
            return
        came, event = process.queue.popleft()
        effects, cost = self._work(process, event, came)

        def finish() -> None:
            for effect in effects:
                self._perform(process, effect)
            self._handle_next(process)

        self.at(cost, finish)

    def _work(
        self, process: Process, event: Any, came: datetime
    ) -> tuple[list[Any], timedelta]:
        """Return the effects of an event, and the processor time that it takes."""
        if isinstance(event, JobArrived):
            refusal = refuse_overloaded(process.state, event.job.id)
            if refusal is not None:
                answer = AnswerJob(event.request, JobEnd.NOT_RUN, *refusal)
                return [answer], self.refusal_cost
        timed = Timed(Arrival(came, came, came), event)
        effects = process.reduce(process.state, timed, self.now)
        return effects, self.costs[process.host](event)

    def _tick(self, process: Process) -> None:
        if not process.alive:
            return
        self._connect_all(process)
        tick_waits = any(isinstance(event, Tick) for _, event in process.queue)
        if not process.frozen and not tick_waits:
            self.post(process, Tick())
        self.at(self.budget.tick, lambda: self._tick(process))

    def _connect_all(self, process: Process) -> None:
        if process.frozen or not isinstance(process.state, SupervisorState):
            return
        for other in list(self.processes.values()):
            if not isinstance(other.state, CoordinatorState):
                continue
            pair = frozenset((process.name, other.name))
            is_dialled = self.addresses[other.host] in process.dialled
            usable = is_dialled and self._answers(process, other)
            if usable and pair not in self._connected:
                self._connect(process, other)

    def _answers(self, process: Process, other: Process) -> bool:
        """Return whether a process answers on a new connection of another."""
        is_cut = frozenset((process.host, other.host)) in self.cut
        return other.alive and not other.frozen and not is_cut

    def _connect(self, process: Process, other: Process) -> None:
        pair = frozenset((process.name, other.name))
        self._connected.add(pair)
        self._connections[pair] += 1
        self.post(process, PeerConnected(other.name))
        self.post(other, PeerConnected(process.name))

    def _replace_connection(self, process: Process, incarnation: str) -> None:
        other = self._by_name(incarnation)
        pair = frozenset((process.name, incarnation))
        if other is None or pair not in self._connected or not process.alive:
            return
        if self._answers(process, other):
            self._disconnect(pair)
            self._connect(process, other)

    def _disconnect(self, pair: frozenset[str]) -> None:
        if pair not in self._connected:
            return
        self._connected.discard(pair)
        self._silent.discard(pair)
        for name in pair:
            (other,) = pair - {name}
            process = self._by_name(name)
            if process is not None:
                self.post(process, PeerLost(other))

    def _by_name(self, name: str) -> Process | None:
        for process in self.processes.values():
            if process.name == name:
                return process
        return None

    def _perform(self, process: Process, effect: Any) -> None:
        self.log.append((self.now, process.name, effect))
        match effect:
            case Send(to, message):
                pair = frozenset((process.name, to))
                event = Received(process.name, message)
                number = self._connections[pair]
                self.at(ONE_WAY, lambda: self._deliver(pair, number, to, event))
            case PlacingContinues():
                self.at(ZERO, lambda: self.post(process, effect))
            case AnswerJob():
                self._record_answer(effect)
            case AnswerCancel(request, end):
                self.cancel_ends[request] = end
            case StoreCancelledJobs():
                self.at(
                    STORE_CALL_TIME,
                    lambda: self._store_cancelled_jobs(process, effect),
                )
            case StartCommand() | StopCommand() | RenewCommand():
                if isinstance(effect, StartCommand):
                    self.on_start(process)
                self.at(ZERO, lambda: self._send_command(process, effect))
            case StoreWorkerRecord(record):
                self.records[process.host] = record
            case DialEntries(addresses):
                process.dialled = frozenset(addresses)
            case CloseConnection(incarnation):
                self._disconnect(frozenset((process.name, incarnation)))
            case ReplaceConnection(incarnation):
                self.at(
                    DIAL_TIME, lambda: self._replace_connection(process, incarnation)
                )
            case Exit():
                process.exited = True
                self.kill(process.host)

    def _deliver(
        self, pair: frozenset[str], number: int, to: str, event: Received
    ) -> None:
        """Deliver a message if its connection is still open."""
        process = self._by_name(to)
        if process is None or pair not in self._connected or pair in self._silent:
            return
        if number != self._connections[pair]:
            return
        hosts = frozenset(name.rpartition("-")[0] for name in pair)
        if hosts in self.cut:
            # Data on a partitioned link arrives after it, unless the connection closes.
            self.at(ms(50), lambda: self._deliver(pair, number, to, event))
            return
        self.post(process, event)

    def _record_answer(self, answer: AnswerJob) -> None:
        if answer.request in self.answers:
            self.violations.append(f"{answer.request} was answered twice")
        self.answers[answer.request] = answer
        self.answered_at[answer.request] = self.now
        self.on_answer(answer)

    # Workers

    def worker_clock(self, host: str) -> timedelta:
        """Return the worker's own clock."""
        return (self.now - self.worker_started_at[host]) * self.clock_rate[host]

    def send_heartbeat(self, host: str, state: WorkerReady = WorkerReady.READY) -> None:
        """Send a worker's heartbeat to its sidecar."""
        remaining = None
        if state is WorkerReady.DRAINING and host in self.leaves_at:
            remaining = max(self.leaves_at[host] - self.now, ZERO)
        registration = Registration(
            id=f"w-{host}",
            incarnation=self.worker_incarnations[host],
            sequence=next(self._sequence),
            service=SERVICE,
            state=state,
            capacity=CAPACITY,
            labels=("a", "r1"),
            clock=self.worker_clock(host),
            remaining=remaining,
            cold=max(self.cold_until.get(host, self.now) - self.now, ZERO),
        )
        self.post(self.processes[host], HeartbeatArrived(registration))

    def announce_leave(self, host: str, remaining: timedelta) -> None:
        """Let a worker drain and state the time that it has left."""
        self.drained_at[host] = self.now
        self.leaves_at[host] = self.now + remaining
        self.send_heartbeat(host, WorkerReady.DRAINING)

    def return_worker(self, host: str, cold: timedelta = ZERO) -> None:
        """Start the next incarnation of a worker that was leaving; it may be cold."""
        self.drained_at.pop(host, None)
        self.leaves_at.pop(host, None)
        self.cold_until[host] = self.now + cold
        self.start_worker(host)
        self.send_heartbeat(host)

    def _send_heartbeats(self, process: Process) -> None:
        if not process.alive:
            return
        if process.host not in self.drained_at:
            self.send_heartbeat(process.host)
        elif process.host in self.leaves_at:
            self.send_heartbeat(process.host, WorkerReady.DRAINING)
        self.at(ms(1500), lambda: self._send_heartbeats(process))

    def _send_command(self, process: Process, command: Any) -> None:
        host = process.host
        if not process.alive:
            return
        delivery = self.delivery(host, command)
        if delivery is not None:
            self._exchange(process, command, delivery)
            return
        chance = self.random.random()
        is_deaf = isinstance(command, StopCommand) and host in self.hosts_ignoring_stops
        if is_deaf or host in self.silent_workers or chance < self.lost_share:
            self._unanswered(process, command)
            return
        if host in self.closing_workers:
            event = _failed_event(command, CommandResult.CLOSED)
            self.at(ONE_WAY, lambda: self.post(process, event))
            return
        if chance < self.lost_share + self.late_share:
            delay = ms(self.random.uniform(2000, 12000))
            worker = self.workers[host]
            self.at(delay, lambda: self._carry_out_late(host, worker, command))
            self._unanswered(process, command)
            return
        if isinstance(command, RenewCommand):
            self._renew(process, command, self.now)
            return
        if isinstance(command, StartCommand) and self.delay_starts > 0:
            self.delay_starts -= 1
            delay = COMMAND_TIMEOUT + ms(0.5)
            self.at(delay, lambda: self._carry_out(host, self.workers[host], command))
            self._unanswered(process, command)
            return
        worker = self.workers[host]
        result = self._carry_out(host, worker, command)
        loses = isinstance(command, StartCommand) and self.lose_start_answers > 0
        self.lose_start_answers -= loses
        if loses or self.random.random() < self.lost_share:
            self._unanswered(process, command)
            return
        kind = (
            CommandKind.START if isinstance(command, StartCommand) else CommandKind.STOP
        )
        clock = self.worker_clock(host)
        event = CommandAnswered(kind, command.run, result, clock, self.now)
        self.at(ONE_WAY, lambda: self.post(process, event))

    def _carry_out(self, host: str, worker: FakeWorker, command: Any) -> CommandResult:
        clock = self.worker_clock(host)
        if isinstance(command, StartCommand):
            return worker.start(command, clock)
        return worker.stop(command, clock)

    def _carry_out_late(self, host: str, worker: FakeWorker, command: Any) -> None:
        if worker is self.workers[host] and not isinstance(command, RenewCommand):
            self._carry_out(host, worker, command)

    def _unanswered(self, process: Process, command: Any) -> None:
        event = _failed_event(command, CommandResult.UNANSWERED)
        delay = _wait_of(command) + COMMAND_TIMEOUT
        self.at(delay, lambda: self.post(process, event))

    def _exchange(self, process: Process, command: Any, delivery: Delivery) -> None:
        """Carry a command and its answer on a connection of their own."""
        exchange = Exchange(process, command, self.now)
        worker = self.workers[process.host]
        timeout = _wait_of(command) + delivery.timeout
        unanswered = _failed_event(command, CommandResult.UNANSWERED)
        self.at(timeout, lambda: self._close(exchange, unanswered))
        if delivery.arrival_delay is not None:
            self.at(
                delivery.arrival_delay, lambda: self._arrive(exchange, worker, delivery)
            )

    def _arrive(
        self, exchange: Exchange, worker: FakeWorker, delivery: Delivery
    ) -> None:
        host, command = exchange.process.host, exchange.command
        if worker is not self.workers[host]:
            return
        clock = self.worker_clock(host)
        if not isinstance(command, RenewCommand):
            result = self._carry_out(host, worker, command)
            kind = (
                CommandKind.START
                if isinstance(command, StartCommand)
                else CommandKind.STOP
            )
            sent = exchange.sent
            event = CommandAnswered(kind, command.run, result, clock, sent)
            self._return(exchange, delivery, event)
            return
        result = worker.renew(command, clock)
        if result is CommandResult.ACCEPTED:
            self._list(exchange, worker, delivery, self.now)
        else:
            failed = RenewalFailed(
                result, clock, command.is_extra, command.token, command.number
            )
            self._return(exchange, delivery, failed)

    def _list(
        self,
        exchange: Exchange,
        worker: FakeWorker,
        delivery: Delivery,
        arrived: datetime,
    ) -> None:
        """Answer a renewal when there is an end, or its wait is over."""
        host, command = exchange.process.host, exchange.command
        if worker is not self.workers[host]:
            return
        clock = self.worker_clock(host)
        worker.advance(clock)
        ended = tuple(end for end in worker.ended if end.number > command.last_seen)
        if not ended and self.now - arrived < command.wait:
            self.at(ms(5), lambda: self._list(exchange, worker, delivery, arrived))
            return
        listed = worker.listed(clock)
        incarnation = self.worker_incarnations[host]
        event = RenewalAnswered(
            exchange.sent,
            clock,
            incarnation,
            listed,
            ended,
            command.is_extra,
            command.token,
            command.number,
        )
        self._return(exchange, delivery, event)

    def _return(self, exchange: Exchange, delivery: Delivery, event: Any) -> None:
        if delivery.answer_delay is not None:
            self.at(delivery.answer_delay, lambda: self._close(exchange, event))

    def _close(self, exchange: Exchange, event: Any) -> None:
        """Post the answer or the timeout, whichever comes first."""
        if exchange.is_open:
            exchange.is_open = False
            self.post(exchange.process, event)

    def _renew(self, process: Process, command: RenewCommand, sent: datetime) -> None:
        host = process.host
        worker = self.workers[host]
        result = worker.renew(command, self.worker_clock(host))
        if result is not CommandResult.ACCEPTED:
            clock = self.worker_clock(host)
            event = RenewalFailed(
                result, clock, command.is_extra, command.token, command.number
            )
            self.at(ONE_WAY, lambda: self.post(process, event))
            return
        self._answer_renew(process, worker, command, sent)

    def _answer_renew(
        self,
        process: Process,
        worker: FakeWorker,
        command: RenewCommand,
        sent: datetime,
    ) -> None:
        """Answer a renewal when there is an end, or its wait is over."""
        host = process.host
        if worker is not self.workers[host]:
            failed = RenewalFailed(
                CommandResult.UNANSWERED,
                None,
                command.is_extra,
                command.token,
                command.number,
            )
            self.post(process, failed)
            return
        clock = self.worker_clock(host)
        worker.advance(clock)
        ended = tuple(end for end in worker.ended if end.number > command.last_seen)
        if not ended and self.now - sent < command.wait:
            again = ms(5)
            self.at(again, lambda: self._answer_renew(process, worker, command, sent))
            return
        listed = worker.listed(clock)
        incarnation = self.worker_incarnations[host]
        event = RenewalAnswered(
            sent,
            clock,
            incarnation,
            listed,
            ended,
            command.is_extra,
            command.token,
            command.number,
        )
        self.at(ONE_WAY, lambda: self.post(process, event))

    # Invariants

    def _check(self) -> None:
        at_work: dict[Any, str] = {}
        for host, worker in self.workers.items():
            worker.advance(self.worker_clock(host))
            self.violations += worker.violations
            worker.violations = []
            for run in [*worker.running, *worker.stopping]:
                if run.task in at_work:
                    other = at_work[run.task]
                    self.violations.append(
                        f"{self.now - START}: {run.task} runs on {other} and {host}"
                    )
                at_work[run.task] = host

    def starts_of(self, job_id: str) -> list[RunId]:
        """Return every start of a job's tasks, on all incarnations of workers."""
        return [
            run
            for worker in self.all_workers
            for run in worker.starts
            if run.task.job == job_id
        ]


def _wait_of(command: Any) -> timedelta:
    return command.wait if isinstance(command, RenewCommand) else ZERO


def _failed_event(
    command: Any, result: CommandResult
) -> RenewalFailed | CommandAnswered:
    if isinstance(command, RenewCommand):
        return RenewalFailed(
            result,
            None,
            command.is_extra,
            command.token,
            command.number,
        )
    kind = CommandKind.START if isinstance(command, StartCommand) else CommandKind.STOP
    return CommandAnswered(kind, command.run, result)
