"""Random walks over the guarantees of best-effort jobs, one for each seed.

A walk submits jobs and injects faults in random order, also several at once, and then
lets the system recover. At no time may two runs of a task be live, a worker exceed its
room, or a job have run of which every request was answered "not run". At the end the
system must serve new jobs.

``python -m tests.runs.walk 0 1000`` lists the failing seeds of a longer search.
"""

import random
import sys
from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum
from functools import partial
from typing import Any, NamedTuple

from gypsumspoke.core.effects import Send
from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.cancellations import AnswerCancel
from gypsumspoke.runs.coordinator_state import AnswerJob
from gypsumspoke.runs.cordons import Cordons
from gypsumspoke.runs.entry_group import EntryGroup
from gypsumspoke.runs.messages import PlaceRun
from gypsumspoke.runs.values import Job, JobEnd, RunId
from gypsumspoke.runs.worker_commands import RenewCommand, StartCommand, StopCommand
from gypsumspoke.runs.worker_record import WorkerRecord
from tests.runs.groups import SingleEntryGroup
from tests.runs.world import Delivery, Process, World, job, ms

ENTRIES = ("entry0", "entry1")
SIDES = ("side0", "side1", "side2")


class Walk:
    """A random walk.

    Args:
      seed: seed of all random choices.
      budget: the time budget of all processes.
    """

    STEPS = 40
    GROUP: Callable[..., EntryGroup] = EntryGroup

    def __init__(self, seed: int, budget: Budget = DEFAULT_BUDGET) -> None:
        self.random = random.Random(seed)
        self.world = World(2, 3, seed, budget, self.GROUP)
        self.requests = 0
        self.jobs = 0
        self.tries: dict[str, list[str]] = {}

    def play(self) -> list[str]:
        """Play the walk and return the broken guarantees."""
        self.world.run(ms(2000))
        for _ in range(self.STEPS):
            self._step()
            self.world.run(ms(self.random.choice((1, 10, 60, 150, 400))))
        self._clear_faults()
        self.world.run(ms(15_000))
        self._check_refusals()
        self._check_service()
        return self.world.violations

    def _step(self) -> None:
        self.random.choice(self._steps())()

    def _steps(self) -> list[Callable[[], None]]:
        return [self._submit] * 8 + [
            self._abandon_random_request,
            self._restart,
            self._restart,
            self._lose_power,
            self._freeze,
            self._cut_connection,
            self._reset_connection,
            self._crash_worker,
            self._silence_worker,
            self._inject_command_faults,
        ]

    def _submit(self) -> None:
        self.jobs += 1
        name = f"j{self.jobs}"
        self.tries[name] = []
        self._send(name, self.random.choice(ENTRIES), self.random.randint(1, 4))

    def _send(self, name: str, host: str, count: int) -> None:
        """Send a request, and resubmissions as early as a caller may send them."""
        process = self.world.processes[host]
        if not process.alive or len(self.tries[name]) >= 3:
            return
        self.requests += 1
        request = f"r{self.requests}"
        self.tries[name].append(request)
        within = ms(3000)
        self.world.submit(host, request, self._make_job(name, count), within)
        self._watch(name, count, host, process.name, request, 0)

    def _make_job(self, name: str, count: int) -> Job:
        return job(name, count)

    def _watch(self, name, count, host, incarnation, request, waited) -> None:
        """Check every 20 ms whether the caller has to resubmit."""
        step = ms(20)

        def check() -> None:
            end = self.world.end_of(request)
            if end is JobEnd.GIVEN_UP:
                self._resubmit_after_delay(name, count)
            elif end is not None:
                return
            elif self._is_lost(host, incarnation) or waited > 3100:
                self._abandon_request(host, incarnation, request)
                self._resubmit_after_delay(name, count)
            else:
                self._watch(name, count, host, incarnation, request, waited + 20)

        self.world.at(step, check)

    def _is_lost(self, host: str, incarnation: str) -> bool:
        process = self.world.processes[host]
        return process.name != incarnation or not process.alive

    def _abandon_request(self, host: str, incarnation: str, request: str) -> None:
        if not self._is_lost(host, incarnation):
            self.world.close_request(host, request)

    def _resubmit_after_delay(self, name: str, count: int) -> None:
        host = self.random.choice(ENTRIES)
        self.world.at(
            self.world.budget.bounds.resend, lambda: self._send(name, host, count)
        )

    def _abandon_random_request(self) -> None:
        waiting = [
            (name, tries[-1])
            for name, tries in self.tries.items()
            if tries and self.world.end_of(tries[-1]) is None
        ]
        if waiting:
            _, request = self.random.choice(waiting)
            for host in ENTRIES:
                self.world.close_request(host, request)

    def _restart(self) -> None:
        host = self.random.choice(ENTRIES + SIDES)
        self.world.kill(host)
        self.world.at(ms(self.random.choice((100, 500))), lambda: self._start(host))

    def _lose_power(self) -> None:
        host = self.random.choice(ENTRIES)
        self.world.power_off(host)
        self.world.at(ms(1200), lambda: self._start(host))

    def _start(self, host: str) -> None:
        if self.world.processes[host].alive:
            return
        self.world.kill(host)
        if host in ENTRIES:
            self.world.start_entry(host)
        else:
            self.world.start_sidecar(host)

    def _freeze(self) -> None:
        host = self.random.choice(ENTRIES + SIDES)
        if not self.world.processes[host].frozen:
            self.world.freeze(host, ms(self.random.choice((300, 900, 3000))))

    def _cut_connection(self) -> None:
        one = self.random.choice(ENTRIES)
        other = self.random.choice(SIDES)
        self.world.cut_off(one, other)
        after = ms(self.random.choice((200, 700, 2500)))
        if self.random.random() < 0.5:
            pair = frozenset((one, other))
            self.world.at(after, lambda: self.world.cut.discard(pair))
        else:
            self.world.at(after, lambda: self.world.heal(one, other))

    def _reset_connection(self) -> None:
        self.world.heal(self.random.choice(ENTRIES), self.random.choice(SIDES))

    def _crash_worker(self) -> None:
        self.world.crash_worker(self.random.choice(SIDES))

    def _silence_worker(self) -> None:
        host = self.random.choice(SIDES)
        self.world.silent_workers.add(host)
        after = ms(self.random.choice((200, 1500)))
        self.world.at(after, lambda: self.world.silent_workers.discard(host))

    def _inject_command_faults(self) -> None:
        self.world.late_share = self.random.choice((0.0, 0.05, 0.3))
        self.world.lost_share = self.random.choice((0.0, 0.05, 0.2))

    def _clear_faults(self) -> None:
        self.world.late_share = self.world.lost_share = 0.0
        self.world.silent_workers.clear()
        self.world.cut.clear()

    def _check_refusals(self) -> None:
        started = {
            run.task.job for worker in self.world.all_workers for run in worker.starts
        }
        for name, tries in self.tries.items():
            ends = {self.world.end_of(request) for request in tries}
            if ends == {JobEnd.NOT_RUN} and name in started:
                self.world.violations.append(f"{name} ran and was answered as not run")

    def _check_service(self) -> None:
        for host in ENTRIES:
            if not self.world.processes[host].alive:
                self._start(host)
        self.world.run(ms(4000))
        for host in ENTRIES:
            name = f"last-{host}"
            self.world.submit(host, name, job(name, 3), ms(4000))
            self.world.run(ms(4000))
            if self.world.end_of(name) is not JobEnd.COMPLETED:
                self.world.violations.append(f"{host} does not serve after the faults")


class IsolationWalk(Walk):
    """A walk on which entries are also cut off from all sidecars.

    A separate class, so that seeds of the other walks keep their meaning.
    """

    def _steps(self) -> list[Callable[[], None]]:
        return [*super()._steps(), self._isolate_entry, self._isolate_entry]

    def _isolate_entry(self) -> None:
        """Cut an entry off from all sidecars; callers still reach it."""
        entry = self.random.choice(ENTRIES)
        after = ms(self.random.choice((900, 1400, 4000)))
        for side in SIDES:
            self.world.cut_off(entry, side)
            self.world.at(after, partial(self.world.heal, entry, side))


class SilenceWalk(Walk):
    """A walk on which open connections go silent for good while new ones work.

    Without another fault no run is stopped for it: see ``test_silent_links.py``.
    """

    def _steps(self) -> list[Callable[[], None]]:
        return [*super()._steps(), *[self._silence_links] * 4]

    def _silence_links(self) -> None:
        self.world.silence_links(self.random.choice((0.3, 1.0)))


class GroupWalk(Walk):
    """A walk on which each sidecar is connected to one entry, and often to another.

    Connections are left while runs are live and processes are lost; an entry may have
    no sidecar for a while.
    """

    STEPS = 80
    GROUP = SingleEntryGroup

    def _steps(self) -> list[Callable[[], None]]:
        return [*super()._steps(), *[self._redraw] * 6]

    def _redraw(self) -> None:
        """Draw the groups of some sidecars anew."""
        for host in self.random.sample(SIDES, self.random.randint(1, len(SIDES))):
            group = self.world.processes[host].state.group
            group.redraw(str(self.random.random()))

    def _check_service(self) -> None:
        for host in SIDES:
            self.world.processes[host].state.group.widen()
        super()._check_service()


class CordonWalk(GroupWalk):
    """A walk on which failure domains are cordoned and the cordons lifted.

    Entries read the store late. A sidecar that has heard an entry since the entry knows
    a cordon knows it too, and starts nothing in a cordoned domain.
    """

    DOMAINS = {"side0": "north", "side1": "north", "side2": "south"}

    def __init__(self, seed: int, budget: Budget = DEFAULT_BUDGET) -> None:
        super().__init__(seed, budget)
        self.world.failure_domains.update(self.DOMAINS)
        for host in SIDES:
            self.world.kill(host)
            self.world.start_sidecar(host)
        self._learned: dict[str, tuple[Cordons, datetime]] = {}
        self.world.on_start = self._check_start

    def _steps(self) -> list[Callable[[], None]]:
        cordons = [*[self._cordon] * 4, *[self._lift] * 3]
        return [*super()._steps(), *cordons, *[self._cut_from_store] * 2]

    def _cordon(self) -> None:
        self.world.cordon(self.random.choice(("north", "south")))

    def _lift(self) -> None:
        self.world.lift(self.random.choice(("north", "south")))

    def _cut_from_store(self) -> None:
        """Let an entry read the store late."""
        host = self.random.choice(ENTRIES)
        self.world.cut_from_store.add(host)
        after = ms(self.random.choice((300, 1800, 6000)))
        self.world.at(after, partial(self._reach_store, host))

    def _reach_store(self, host: str) -> None:
        self.world.cut_from_store.discard(host)
        self.world.read_cordons(host)

    def _check_start(self, sidecar: Process) -> None:
        state = sidecar.state
        for host in ENTRIES:
            entry = self.world.processes[host]
            cordons = entry.state.cordons
            known, learned = self._learned.get(entry.name, (None, self.world.now))
            if known != cordons:
                learned = self.world.now
                self._learned[entry.name] = (cordons, learned)
            is_told = state.heard.get(entry.name, learned) > learned
            if is_told and state.cordons.revision < cordons.revision:
                self._report(sidecar, "has missed a cordon")
        if state.is_cordoned:
            self._report(sidecar, "starts a run in a cordoned domain")

    def _report(self, sidecar: Process, what: str) -> None:
        self.world.violations.append(f"{self.world.now}: {sidecar.name} {what}")

    def _clear_faults(self) -> None:
        super()._clear_faults()
        self.world.cut_from_store.clear()
        self.world.lift("north", "south")


class LeavingWalk(Walk):
    """A walk on which workers announce that they leave, go and come back cold.

    They go when they said, earlier or later, with their sidecar or without it. Tasks
    run for 0.8 to 1.6 s and are estimated at 1.5 s, so that many runs can't end before
    their worker does, and some end although they were withdrawn.
    """

    STEPS = 80
    ESTIMATE = timedelta(milliseconds=1500)

    def __init__(self, seed: int, budget: Budget = DEFAULT_BUDGET) -> None:
        super().__init__(seed, budget)
        for host in SIDES:
            self.world.pace[host] = self.random.choice((4.0, 6.0, 8.0))
            self.world.start_worker(host)

    def _make_job(self, name: str, count: int) -> Job:
        return job(name, count, self.ESTIMATE)

    def _steps(self) -> list[Callable[[], None]]:
        return [*super()._steps(), *[self._announce] * 6, *[self._ignore_stops] * 3]

    def _announce(self) -> None:
        """Let a worker state the time that it has left, perhaps for a second time."""
        host = self.random.choice(SIDES)
        is_first = host not in self.world.leaves_at
        remaining = self.random.choice((0, 150, 500, 900, 2100))
        self.world.announce_leave(host, ms(remaining))
        if is_first:
            error = self.random.choice((0.3, 1.0, 1.0, 1.5))
            self.world.at(ms(remaining * error), partial(self._go, host))

    def _go(self, host: str) -> None:
        self.world.crash_worker(host)
        if self.random.random() < 0.5:
            self.world.power_off(host)
            self.world.at(ms(1200), partial(self._start, host))
        cold = ms(self.random.choice((0, 300, 2000)))
        after = ms(self.random.choice((0, 600, 1500)))
        self.world.at(after, partial(self.world.return_worker, host, cold))

    def _ignore_stops(self) -> None:
        """Let withdrawn runs go on for a while; some of them complete."""
        host = self.random.choice(SIDES)
        self.world.hosts_ignoring_stops.add(host)
        after = ms(self.random.choice((100, 500)))
        self.world.at(after, partial(self.world.hosts_ignoring_stops.discard, host))

    def _clear_faults(self) -> None:
        super()._clear_faults()
        self.world.hosts_ignoring_stops.clear()
        for host in list(self.world.leaves_at):
            self.world.return_worker(host)


class ClockWalk(LeavingWalk):
    """A walk on which the time of day jumps between two incarnations of a worker.

    Nothing may start on a worker for longer than a bound after its sidecar has taken a
    heartbeat that says that it drains.
    """

    DRAIN_BOUND = ms(2000)

    def __init__(self, seed: int, budget: Budget = DEFAULT_BUDGET) -> None:
        super().__init__(seed, budget)
        self.world.clock_steps = True
        self.world.on_start = self._check_start
        self._acknowledged: dict[str, tuple[int, datetime]] = {}

    def _announce(self) -> None:
        """Let a worker drain, and leave long after the bound."""
        host = self.random.choice(SIDES)
        if host in self.world.leaves_at:
            return
        self.world.announce_leave(host, ms(4000))
        process = self.world.processes[host]
        if process.alive and not process.frozen:
            incarnation = self.world.worker_incarnations[host]
            self._acknowledged[host] = (incarnation, self.world.now)
        self.world.at(ms(4000), partial(self._go, host))

    def _check_start(self, sidecar: Process) -> None:
        if sidecar.host not in self._acknowledged:
            return
        incarnation, since = self._acknowledged[sidecar.host]
        if incarnation != self.world.worker_incarnations[sidecar.host]:
            return
        if self.world.now - since > self.DRAIN_BOUND:
            self.world.violations.append(f"{sidecar.host} drains and gets work")


class CancelWalk(Walk):
    """A walk on which jobs are cancelled and their requests arrive again.

    Nothing of a job may start for longer than a bound after its cancel was
    acknowledged, whichever entry its request reaches. Runs are excepted that were
    placed by an entry that has not reached the store since its start.
    """

    CANCEL_BOUND = ms(3000)
    STEPS = 60

    def __init__(self, seed: int, budget: Budget = DEFAULT_BUDGET) -> None:
        super().__init__(seed, budget)
        self._cancelled: dict[str, str] = {}
        self._repeated: set[str] = set()

    def play(self) -> list[str]:
        """Play the walk and return the broken guarantees."""
        super().play()
        self._check_cancels()
        return self.world.violations

    def _steps(self) -> list[Callable[[], None]]:
        return [*super()._steps(), *[self._cancel] * 6, *[self._cut_from_store] * 2]

    def _cancel(self) -> None:
        """Cancel a recent job, and let its request arrive again later."""
        host = self.random.choice(ENTRIES)
        if not self.tries or not self.world.processes[host].alive:
            return
        name = self.random.choice(list(self.tries)[-5:])
        request = f"c{len(self._cancelled)}"
        self._cancelled[request] = name
        self.world.cancel(host, request, name)
        after = ms(self.random.choice((1500, 3100, 4500)))
        self.world.at(after, partial(self._arrive_again, name))

    def _arrive_again(self, name: str) -> None:
        """Let an answered request arrive once more, as it may after a final answer."""
        final = (JobEnd.COMPLETED, JobEnd.FAILED)
        if name in self._repeated or not self.tries[name]:
            return
        if self.world.end_of(self.tries[name][-1]) not in final:
            return
        self._repeated.add(name)
        self.requests += 1
        host = self.random.choice(ENTRIES)
        self.world.submit(host, f"r{self.requests}", self._make_job(name, 1), ms(3000))

    def _cut_from_store(self) -> None:
        host = self.random.choice(ENTRIES)
        self.world.cut_from_store.add(host)
        self.world.at(ms(1000), partial(self._reach_store, host))

    def _reach_store(self, host: str) -> None:
        self.world.cut_from_store.discard(host)
        self.world.read_cancelled_jobs(host)

    def _clear_faults(self) -> None:
        super()._clear_faults()
        for host in ENTRIES:
            self._reach_store(host)

    def _check_cancels(self) -> None:
        acknowledged: dict[str, datetime] = {}
        may_know: dict[tuple[str, RunId], bool] = {}
        for at, process, effect in self.world.log:
            match effect:
                case AnswerCancel(request, end) if end.is_stored:
                    acknowledged.setdefault(self._cancelled[request], at)
                case Send(to, PlaceRun(run=run)):
                    read_at = self.world.cancelled_jobs_read_at.get(process)
                    may_know[to, run] = read_at is not None and read_at <= at
                case StartCommand(run=run) if run.task.job in acknowledged:
                    name = run.task.job
                    is_late = at - acknowledged[name] > self.CANCEL_BOUND
                    if is_late and may_know[process, run]:
                        self.world.violations.append(f"{name} starts after its cancel")


class FaultKind(Enum):
    """What happens to a command."""

    ANSWER_LOST = "answer lost"
    LOST = "lost"
    LATE = "late"
    SLOW = "slow"
    MIXED = "mixed"


class Fault(NamedTuple):
    """A fault that affects a share of the commands of one kind."""

    kind: FaultKind
    share: float


class OpenRequest(NamedTuple):
    """A request without an answer: its job, and the process that has it."""

    name: str
    count: int
    host: str
    incarnation: str


class CommandFaultWalk(Walk):
    """A walk on which single kinds of commands and their answers are lost or delayed.

    Commands of a sidecar also overtake each other. Sidecars are replaced while runs are
    live, also twice in a row. Runs last longer than callers wait, and callers resubmit
    as early as they may.
    """

    STEPS = 150
    CALLER_TIMEOUT = timedelta(milliseconds=3100)
    GRACE = timedelta(milliseconds=6000)
    # Longer than a command of the previous process may be in transit and a stop takes,
    # except for commands that are carried out late.
    MIN_RESTART_DELAY = timedelta(milliseconds=150)

    def __init__(self, seed: int, budget: Budget = DEFAULT_BUDGET) -> None:
        super().__init__(seed, budget)
        self.faults: dict[tuple[str, type], Fault] = {}
        self.open: dict[str, OpenRequest] = {}
        self.world.delivery = self._draw_delivery
        self.world.on_answer = self._handle_answer
        self.world.tick_on_wake = True
        for host in SIDES:
            self.world.clock_rate[host] = self.random.choice((1.0, 0.98))
            self.world.pace[host] = self.random.choice((1.0, 3.0, 8.0))
            self.world.start_worker(host)

    def _steps(self) -> list[Callable[[], None]]:
        commands = [*[self._inject_fault] * 4, *[self._inject_reordering] * 2]
        resubmitting = [self._abandon_and_resubmit_random] * 2
        replacing = [self._replace, self._replace_twice, self._stop_gracefully]
        return [*super()._steps(), *commands, *resubmitting, *replacing]

    # Commands

    def _inject_fault(self) -> None:
        """Inject a fault into some kinds of commands of one or all sidecars."""
        hosts = self.random.choice((*((side,) for side in SIDES), SIDES))
        kinds = self.random.choice(
            (
                (StartCommand,),
                (StopCommand,),
                (RenewCommand,),
                (StartCommand, StopCommand),
                (StartCommand, StopCommand, RenewCommand),
            )
        )
        fault = Fault(
            self.random.choice(list(FaultKind)), self.random.choice((0.3, 0.7, 1.0))
        )
        after = ms(self.random.choice((300, 1500, 5000)))
        for key in [(host, kind) for host in hosts for kind in kinds]:
            self.faults[key] = fault
            self.world.at(after, partial(self.faults.pop, key, None))

    def _inject_reordering(self) -> None:
        """Let starts and renewals of one sidecar overtake each other for a while."""
        host = self.random.choice(SIDES)
        after = ms(self.random.choice((1500, 5000)))
        for command, kind in (
            (StartCommand, FaultKind.MIXED),
            (RenewCommand, FaultKind.SLOW),
        ):
            self.faults[host, command] = Fault(kind, self.random.choice((0.5, 1.0)))
            self.world.at(after, partial(self.faults.pop, (host, command), None))

    def _draw_delivery(self, host: str, command: Any) -> Delivery | None:
        fault = self.faults.get((host, type(command)))
        if fault is None or self.random.random() >= fault.share:
            return None
        kind = fault.kind
        if kind is FaultKind.MIXED:
            kind = self.random.choice((FaultKind.ANSWER_LOST, FaultKind.SLOW))
        # The connection breaks at once, or the request times out.
        timeout = ms(self.random.choice((1, 20, 120)))
        match kind:
            case FaultKind.ANSWER_LOST:
                arrives = self.random.choice((0, self.random.uniform(0, 20)))
                return Delivery(ms(arrives), None, timeout)
            case FaultKind.LOST:
                return Delivery(None, None, timeout)
            case FaultKind.LATE:
                return Delivery(ms(self.random.uniform(2000, 12000)), None)
        max_delay = self.random.choice((8, 80))
        arrives = ms(self.random.uniform(0, max_delay))
        return Delivery(arrives, ms(self.random.uniform(0, max_delay)))

    # Callers

    def _watch(self, name, count, host, incarnation, request, waited) -> None:
        opened = OpenRequest(name, count, host, incarnation)
        end = self.world.end_of(request)
        if end is JobEnd.GIVEN_UP:
            self._resubmit(opened)
        elif end is None:
            self.open[request] = opened
            self.world.at(
                self.CALLER_TIMEOUT, lambda: self._abandon_and_resubmit(request)
            )

    def _handle_answer(self, answer: AnswerJob) -> None:
        opened = self.open.pop(answer.request, None)
        if opened is not None and answer.end is JobEnd.GIVEN_UP:
            self._resubmit(opened)

    def _abandon_and_resubmit(self, request: str) -> None:
        opened = self.open.pop(request, None)
        if opened is not None:
            self._abandon_request(opened.host, opened.incarnation, request)
            self._resubmit(opened)

    def _resubmit(self, opened: OpenRequest) -> None:
        """Resubmit as early as allowed, usually through another entry."""
        others = [host for host in ENTRIES if host != opened.host]
        host = self.random.choice((*others * 3, opened.host))
        self.world.at(
            self.world.budget.bounds.resend,
            lambda: self._send(opened.name, host, opened.count),
        )

    def _abandon_and_resubmit_random(self) -> None:
        """Let a caller close its connection and resubmit its job."""
        if self.open:
            self._abandon_and_resubmit(self.random.choice(sorted(self.open)))

    def _restart(self) -> None:
        super()._restart()
        self._resubmit_lost()

    def _lose_power(self) -> None:
        super()._lose_power()
        self._resubmit_lost()

    def _resubmit_lost(self) -> None:
        for request, opened in list(self.open.items()):
            if self._is_lost(opened.host, opened.incarnation):
                self._abandon_and_resubmit(request)

    # Processes

    def _replace(self) -> None:
        """Kill a sidecar and restart it as early as possible."""
        host = self.random.choice(SIDES)
        self.world.kill(host)
        self._start(host)

    def _replace_twice(self) -> None:
        """Kill a sidecar, and kill the next process soon after its start."""
        host = self.random.choice(SIDES)
        self.world.kill(host)
        self._start(host)
        after = self.MIN_RESTART_DELAY + ms(self.random.choice((3, 10, 30, 120, 300)))
        self.world.at(after, lambda: self.world.kill(host))
        self.world.at(after, lambda: self._start(host))

    def _start(self, host: str) -> None:
        """Start a process that is gone, after at least ``MIN_RESTART_DELAY``."""
        process = self.world.processes[host]
        if process.alive:
            return
        left = process.died + self.MIN_RESTART_DELAY - self.world.now
        if left <= timedelta():
            super()._start(host)
        else:
            self.world.at(left, lambda: self._start(host))

    def _stop_gracefully(self) -> None:
        """Send SIGTERM, SIGKILL after the grace period, and start the next process."""
        host = self.random.choice(ENTRIES + SIDES)
        process = self.world.processes[host]
        if not process.alive or process.frozen:
            return
        self.world.drain(host)
        ends = self.world.now + self.GRACE

        def check() -> None:
            if self.world.processes[host] is not process:
                return
            if process.alive and self.world.now < ends:
                self.world.at(ms(100), check)
                return
            self.world.kill(host)
            self._resubmit_lost()
            self._start(host)

        check()

    def _clear_faults(self) -> None:
        super()._clear_faults()
        self.faults.clear()


class RecordWalk(CommandFaultWalk):
    """A walk on which sidecars know their workers from records in the store.

    Heartbeats come up to 1.5 s after a sidecar's start. Sidecars and workers restart
    together and apart, and records are older than what was written last.
    """

    def __init__(self, seed: int, budget: Budget = DEFAULT_BUDGET) -> None:
        super().__init__(seed, budget)
        self.world.records = {}
        self.world.on_start = self._check_start
        self.restored = 0
        self._older: dict[str, WorkerRecord] = {}
        for host in SIDES:
            self.world.kill(host)
            self.world.start_sidecar(host)

    def _steps(self) -> list[Callable[[], None]]:
        together = [self._replace, self._replace_with_worker, self._replace_all]
        return [*super()._steps(), *together * 2, *[self._exchange_records] * 2]

    def _replace_with_worker(self) -> None:
        """Replace a sidecar and restart its worker shortly before or after."""
        host = self.random.choice(SIDES)
        after = ms(self.random.choice((0, 100, 160, 300)))
        self.world.at(after, partial(self.world.crash_worker, host))
        self.world.kill(host)
        self._start(host)

    def _replace_all(self) -> None:
        for host in SIDES:
            self.world.kill(host)
            self._start(host)

    def _exchange_records(self) -> None:
        """Undo the writes since the latest call, as if they were lost or late."""
        older, self._older = self._older, dict(self.world.records)
        self.world.records = dict(older)

    def _check_start(self, sidecar: Process) -> None:
        state = sidecar.state
        if state.records.is_restored:
            self.restored += 1
            if state.worker.incarnation != state.worker_incarnation:
                self.world.violations.append(f"{sidecar.name} starts without proof")


KINDS = {
    "records": RecordWalk,
    "": Walk,
    "cut-off": IsolationWalk,
    "orders": CommandFaultWalk,
    "groups": GroupWalk,
    "cordons": CordonWalk,
    "silence": SilenceWalk,
    "leaving": LeavingWalk,
    "clocks": ClockWalk,
    "cancels": CancelWalk,
}


def main() -> None:
    """Play the seeds from the first to the second argument.

    A third argument names another kind of walk: see ``KINDS``.
    """
    first, last = int(sys.argv[1]), int(sys.argv[2])
    kind = KINDS[sys.argv[3] if sys.argv[3:] else ""]
    failed = 0
    for seed in range(first, last):
        broken = kind(seed).play()
        if broken:
            failed += 1
            print(f"seed {seed}: {broken[0]} ({len(broken)})", flush=True)
    print(f"{last - first} walks, {failed} failed")


if __name__ == "__main__":
    main()
