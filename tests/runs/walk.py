"""Random walks over the promises of best-effort jobs, one for each seed.

A walk draws jobs and faults in any order, several at once, and lets the system settle.
At no time may two runs of a task be at work, a worker be over its room, or a job run
that was answered "not run" to every copy. At the end the system must serve.

A long search: ``python -m tests.runs.walk 0 1000`` lists the seeds that fail.
"""

import random
import sys
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from functools import partial
from typing import Any, NamedTuple

from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.coordinator_state import AnswerJob
from gypsumspoke.runs.values import JobEnd
from gypsumspoke.runs.worker_commands import RenewCommand, StartCommand, StopCommand
from tests.runs.world import Delivery, World, job, ms

ENTRIES = ("entry0", "entry1")
SIDES = ("side0", "side1", "side2")


class Walk:
    """One walk.

    Args:
      seed: decides everything.
      budget: the time budget of all processes.
    """

    STEPS = 40

    def __init__(self, seed: int, budget: Budget = DEFAULT_BUDGET) -> None:
        self.random = random.Random(seed)
        self.world = World(entries=2, sidecars=3, seed=seed, budget=budget)
        self.requests = 0
        self.jobs = 0
        self.tries: dict[str, list[str]] = {}

    def play(self) -> list[str]:
        """Play the walk and return the broken promises."""
        self.world.run(ms(2000))
        for _ in range(self.STEPS):
            self._step()
            self.world.run(ms(self.random.choice((1, 10, 60, 150, 400))))
        self._mend()
        self.world.run(ms(15_000))
        self._check_refusals()
        self._check_service()
        return self.world.violations

    def _step(self) -> None:
        self.random.choice(self._steps())()

    def _steps(self) -> list[Callable[[], None]]:
        return [self._submit] * 8 + [
            self._leave,
            self._restart,
            self._restart,
            self._lose_power,
            self._freeze,
            self._cut,
            self._reset,
            self._crash_worker,
            self._silence_worker,
            self._spoil_orders,
        ]

    def _submit(self) -> None:
        self.jobs += 1
        name = f"j{self.jobs}"
        self.tries[name] = []
        self._send(name, self.random.choice(ENTRIES), self.random.randint(1, 4))

    def _send(self, name: str, host: str, count: int) -> None:
        """Send a copy; the next one follows as early as a caller may send it."""
        process = self.world.processes[host]
        if not process.alive or len(self.tries[name]) >= 3:
            return
        self.requests += 1
        request = f"r{self.requests}"
        self.tries[name].append(request)
        within = ms(3000)
        self.world.submit(host, request, job(name, count), within)
        self._watch(name, count, host, process.name, request, 0)

    def _watch(self, name, count, host, incarnation, request, waited) -> None:
        """Look every 20 ms whether the caller has to send again."""
        step = ms(20)

        def look() -> None:
            end = self.world.end_of(request)
            if end is JobEnd.GIVEN_UP:
                self._again_after_pause(name, count)
            elif end is not None:
                return
            elif self._is_lost(host, incarnation) or waited > 3100:
                self._leave_request(host, incarnation, request)
                self._again_after_pause(name, count)
            else:
                self._watch(name, count, host, incarnation, request, waited + 20)

        self.world.at(step, look)

    def _is_lost(self, host: str, incarnation: str) -> bool:
        process = self.world.processes[host]
        return process.name != incarnation or not process.alive

    def _leave_request(self, host: str, incarnation: str, request: str) -> None:
        if not self._is_lost(host, incarnation):
            self.world.close_request(host, request)

    def _again_after_pause(self, name: str, count: int) -> None:
        host = self.random.choice(ENTRIES)
        self.world.at(
            self.world.budget.bounds.resend, lambda: self._send(name, host, count)
        )

    def _leave(self) -> None:
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

    def _cut(self) -> None:
        one = self.random.choice(ENTRIES)
        other = self.random.choice(SIDES)
        self.world.cut_off(one, other)
        after = ms(self.random.choice((200, 700, 2500)))
        if self.random.random() < 0.5:
            pair = frozenset((one, other))
            self.world.at(after, lambda: self.world.cut.discard(pair))
        else:
            self.world.at(after, lambda: self.world.heal(one, other))

    def _reset(self) -> None:
        self.world.heal(self.random.choice(ENTRIES), self.random.choice(SIDES))

    def _crash_worker(self) -> None:
        self.world.crash_worker(self.random.choice(SIDES))

    def _silence_worker(self) -> None:
        host = self.random.choice(SIDES)
        self.world.silent_workers.add(host)
        after = ms(self.random.choice((200, 1500)))
        self.world.at(after, lambda: self.world.silent_workers.discard(host))

    def _spoil_orders(self) -> None:
        self.world.late_share = self.random.choice((0.0, 0.05, 0.3))
        self.world.lost_share = self.random.choice((0.0, 0.05, 0.2))

    def _mend(self) -> None:
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


class CutOffWalk(Walk):
    """A walk on which entries are also cut off from all sidecars.

    A class of its own, so that the seeds of the others go on to mean the same walks.
    """

    def _steps(self) -> list[Callable[[], None]]:
        return [*super()._steps(), self._cut_off, self._cut_off]

    def _cut_off(self) -> None:
        """Cut an entry off; callers still reach it."""
        entry = self.random.choice(ENTRIES)
        after = ms(self.random.choice((900, 1400, 4000)))
        for side in SIDES:
            self.world.cut_off(entry, side)
            self.world.at(after, partial(self.world.heal, entry, side))


class Spoiling(Enum):
    """How orders of a kind are spoilt."""

    ANSWER_LOST = "answer lost"
    LOST = "lost"
    LATE = "late"
    SLOW = "slow"
    MIXED = "mixed"


class Spoilt(NamedTuple):
    """How, and what share of them."""

    how: Spoiling
    share: float


class OpenRequest(NamedTuple):
    """A request that a caller waits for: of which job, at which process."""

    name: str
    count: int
    host: str
    incarnation: str


class OrdersWalk(Walk):
    """A walk on which single kinds of orders and their answers go astray.

    Starts, stops and holds of a sidecar are lost, late or slow, each by itself, and
    overtake each other. Sidecars are replaced while runs live, also twice in a row.
    Runs last longer than callers wait, and callers are back exactly at the bound.
    """

    STEPS = 150
    PATIENCE = timedelta(milliseconds=3100)
    GRACE = timedelta(milliseconds=6000)
    # Longer than an order of the process before may be under way and a stop may take,
    # but for orders that are carried out late.
    START_UP = timedelta(milliseconds=150)

    def __init__(self, seed: int, budget: Budget = DEFAULT_BUDGET) -> None:
        super().__init__(seed, budget)
        self.spoilt: dict[tuple[str, type], Spoilt] = {}
        self.open: dict[str, OpenRequest] = {}
        self.world.delivery = self._fate
        self.world.on_answer = self._take_answer
        self.world.tick_on_wake = True
        for host in SIDES:
            self.world.clock_rate[host] = self.random.choice((1.0, 0.98))
            self.world.pace[host] = self.random.choice((1.0, 3.0, 8.0))
            self.world.start_worker(host)

    def _steps(self) -> list[Callable[[], None]]:
        spoiling = [*[self._spoil_kind] * 4, *[self._let_overtake] * 2]
        leaving = [self._come_back] * 2
        replacing = [self._replace, self._replace_twice, self._stop_gracefully]
        return [*super()._steps(), *spoiling, *leaving, *replacing]

    # Orders

    def _spoil_kind(self) -> None:
        """Spoil one or two kinds of orders of one sidecar, or of all, for a while."""
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
        spoilt = Spoilt(
            self.random.choice(list(Spoiling)), self.random.choice((0.3, 0.7, 1.0))
        )
        after = ms(self.random.choice((300, 1500, 5000)))
        for key in [(host, kind) for host in hosts for kind in kinds]:
            self.spoilt[key] = spoilt
            self.world.at(after, partial(self.spoilt.pop, key, None))

    def _let_overtake(self) -> None:
        """Let starts and lists of one sidecar overtake each other for a while."""
        host = self.random.choice(SIDES)
        after = ms(self.random.choice((1500, 5000)))
        for kind, how in (
            (StartCommand, Spoiling.MIXED),
            (RenewCommand, Spoiling.SLOW),
        ):
            self.spoilt[host, kind] = Spoilt(how, self.random.choice((0.5, 1.0)))
            self.world.at(after, partial(self.spoilt.pop, (host, kind), None))

    def _fate(self, host: str, order: Any) -> Delivery | None:
        spoilt = self.spoilt.get((host, type(order)))
        if spoilt is None or self.random.random() >= spoilt.share:
            return None
        how = spoilt.how
        if how is Spoiling.MIXED:
            how = self.random.choice((Spoiling.ANSWER_LOST, Spoiling.SLOW))
        # The connection breaks at once, or the shell gives up sooner or later.
        patience = ms(self.random.choice((1, 20, 120)))
        match how:
            case Spoiling.ANSWER_LOST:
                arrives = self.random.choice((0, self.random.uniform(0, 20)))
                return Delivery(ms(arrives), None, patience)
            case Spoiling.LOST:
                return Delivery(None, None, patience)
            case Spoiling.LATE:
                return Delivery(ms(self.random.uniform(2000, 12000)), None)
        longest = self.random.choice((8, 80))
        arrives = ms(self.random.uniform(0, longest))
        return Delivery(arrives, ms(self.random.uniform(0, longest)))

    # Callers

    def _watch(self, name, count, host, incarnation, request, waited) -> None:
        opened = OpenRequest(name, count, host, incarnation)
        end = self.world.end_of(request)
        if end is JobEnd.GIVEN_UP:
            self._return(opened)
        elif end is None:
            self.open[request] = opened
            self.world.at(self.PATIENCE, lambda: self._leave_and_return(request))

    def _take_answer(self, answer: AnswerJob) -> None:
        opened = self.open.pop(answer.request, None)
        if opened is not None and answer.end is JobEnd.GIVEN_UP:
            self._return(opened)

    def _leave_and_return(self, request: str) -> None:
        opened = self.open.pop(request, None)
        if opened is not None:
            self._leave_request(opened.host, opened.incarnation, request)
            self._return(opened)

    def _return(self, opened: OpenRequest) -> None:
        """Send again at the bound, through another entry as a rule."""
        others = [host for host in ENTRIES if host != opened.host]
        host = self.random.choice((*others * 3, opened.host))
        self.world.at(
            self.world.budget.bounds.resend,
            lambda: self._send(opened.name, host, opened.count),
        )

    def _come_back(self) -> None:
        """A caller closes its connection, and sends its job again."""
        if self.open:
            self._leave_and_return(self.random.choice(sorted(self.open)))

    def _restart(self) -> None:
        super()._restart()
        self._notice_lost()

    def _lose_power(self) -> None:
        super()._lose_power()
        self._notice_lost()

    def _notice_lost(self) -> None:
        for request, opened in list(self.open.items()):
            if self._is_lost(opened.host, opened.incarnation):
                self._leave_and_return(request)

    # Processes

    def _replace(self) -> None:
        """Kill a sidecar; the next process is there as soon as it can be."""
        host = self.random.choice(SIDES)
        self.world.kill(host)
        self._start(host)

    def _replace_twice(self) -> None:
        """Kill a sidecar, and the next process of it soon after its start."""
        host = self.random.choice(SIDES)
        self.world.kill(host)
        self._start(host)
        after = self.START_UP + ms(self.random.choice((3, 10, 30, 120, 300)))
        self.world.at(after, lambda: self.world.kill(host))
        self.world.at(after, lambda: self._start(host))

    def _start(self, host: str) -> None:
        """Start a process that is gone; it is not there before ``START_UP``."""
        process = self.world.processes[host]
        if process.alive:
            return
        left = process.died + self.START_UP - self.world.now
        if left <= timedelta():
            super()._start(host)
        else:
            self.world.at(left, lambda: self._start(host))

    def _stop_gracefully(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace; then the next process starts."""
        host = self.random.choice(ENTRIES + SIDES)
        process = self.world.processes[host]
        if not process.alive or process.frozen:
            return
        self.world.drain(host)
        ends = self.world.now + self.GRACE

        def look() -> None:
            if self.world.processes[host] is not process:
                return
            if process.alive and self.world.now < ends:
                self.world.at(ms(100), look)
                return
            self.world.kill(host)
            self._notice_lost()
            self._start(host)

        look()

    def _mend(self) -> None:
        super()._mend()
        self.spoilt.clear()


KINDS = {"": Walk, "cut-off": CutOffWalk, "orders": OrdersWalk}


def main() -> None:
    """Play the seeds from the first to the second argument.

    A third argument, ``cut-off`` or ``orders``, plays the walks of ``CutOffWalk`` or
    ``OrdersWalk``.
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
