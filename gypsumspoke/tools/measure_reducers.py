"""Times the reducers event by event, for the slopes of docs/CAPACITY.md.

The reducers of a few processes run in one process on virtual time: a message is handed
over at once, a table is a dict, an upstream answers after a fixed time. Nothing of
that is timed; only ``reduce`` is, by the kind of the event. Sizes of messages are those
of the codec. The shell's cost (sockets, codec, HTTP) is not in these figures.
"""

import gc
import heapq
import time
import tracemalloc
from collections import Counter, deque
from datetime import datetime, timedelta, timezone
from typing import NamedTuple

from gypsumspoke.core import membership, sidecar
from gypsumspoke.core.effects import Effect, ReadRows, Send, StartUpstream, WriteRows
from gypsumspoke.core.events import (
    TICK,
    PeerConnected,
    Received,
    RowsRead,
    RowsWritten,
    Tick,
    UpstreamAnswered,
    WriteOutcome,
)
from gypsumspoke.core.messages import SubmitJob
from gypsumspoke.core.partitions import partition_of
from gypsumspoke.core.rows import (
    MANIFEST_KEY,
    PARTITIONS_PREFIX,
    partition_from_row,
    partition_key,
)
from gypsumspoke.core.values import JobKey, Member, Outcome, Role, Row, Submission, Task
from gypsumspoke.parser.manifest import parse_manifest
from gypsumspoke.wire.codec import encode

SERVICE = "estimate"
START = datetime(2026, 1, 1, tzinfo=timezone.utc)
CALLER = "caller"
_SLOTS = 8
_RUN = timedelta(milliseconds=200)
_BODY = b"x" * 200
_DEADLINE = timedelta(seconds=60)
_WARM_UP = 15.0
_SETTLE = 8.0
_MANIFEST = """{
  "services": [{"name": "estimate", "queue_limit_tasks": 32}],
  "teams": [{"name": "team", "tasks_per_second": 100000, "burst_tasks": 100000}],
  "policy": {"retention_seconds": %d}
}"""


class Cost(NamedTuple):
    """What one kind of event cost: how often, and seconds in all."""

    count: int
    seconds: float


class World:
    """Reducers of some sidecars and of membership at some entries.

    Args:
      workers: number of sidecars.
      entries: number of entries.
      partitions: number of partitions.
      sized: whether to encode each message for its size; slow.
    """

    def __init__(
        self, workers: int, entries: int, partitions: int, sized: bool = False
    ) -> None:
        self.now = START
        self.costs: dict[str, list[float]] = {}
        self.messages: Counter[str] = Counter()
        self.sizes: Counter[str] = Counter()
        self.reads = 0
        self.writes = 0
        self.rows: dict[str, Row] = {}
        self.answers = 0
        self._revision = 0
        self._partitions = partitions
        self._sized = sized
        self._states: dict[str, object] = {}
        self._events: deque[tuple[str, object]] = deque()
        self._upstreams: list[tuple[datetime, int, str, UpstreamAnswered]] = []
        self._jobs = 0
        self.put(MANIFEST_KEY, _MANIFEST % 600)
        for number in range(entries):
            self.join(f"entry-{number}", Role.ENTRY)
        for number in range(workers):
            self.join(f"worker-{number}", Role.SIDECAR)

    def put(self, key: str, value: str | None) -> None:
        """Write a row as another process would."""
        self._revision += 1
        self.rows[key] = Row(key, self._revision, value)

    def join(self, worker: str, role: Role) -> None:
        """Start a process and connect it with all others."""
        is_entry = role is Role.ENTRY
        member = Member(
            incarnation=f"{worker}.{len(self._states):08d}-0000-4000-8000-000000000000",
            worker=worker,
            role=role,
            host="127.0.0.1",
            port=10000 + len(self._states),
            failure_domain="almaty-1",
            rack="rack-1",
            service="" if is_entry else SERVICE,
            slots=0 if is_entry else _SLOTS,
            registered=self.now,
            ended=None,
            admin_port=9000,
        )
        build = membership.new_membership if is_entry else sidecar.new_sidecar
        seed = len(self._states)
        state = build(member, self._partitions, seed, parse_manifest)
        for other in self._states:
            self._events.append((other, PeerConnected(member.incarnation)))
            self._events.append((member.incarnation, PeerConnected(other)))
        self._states[member.incarnation] = state

    def submit(self, tasks: int) -> None:
        """Send one job to the home of its partition."""
        self._jobs += 1
        key = JobKey("team", f"0190b5f0-0000-7000-8000-{self._jobs:012d}")
        partition = partition_of(key, self._partitions)
        submission = Submission(
            key=key,
            birth=self.now,
            attempt=0,
            service=SERVICE,
            deadline=self.now + _DEADLINE,
            not_repeatable=False,
            tasks=(Task(_BODY),) * tasks,
            digest=b"d" * 32,
        )
        owner = partition_from_row(self.rows[partition_key(partition)]).owner
        message = SubmitJob(f"request-{self._jobs}", partition, submission)
        self._send(CALLER, Send(owner, message))

    def run(self, seconds: float, jobs_per_second: float = 0.0, tasks: int = 0) -> None:
        """Let virtual time pass, with jobs arriving evenly."""
        due = 0.0
        for _ in range(round(seconds / TICK.total_seconds())):
            due += jobs_per_second * TICK.total_seconds()
            while due >= 1:
                due -= 1
                self.submit(tasks)
            self._advance()

    def is_served(self) -> bool:
        """Whether each partition has an owner."""
        owned = [row for key, row in self.rows.items() if _is_owned(key, row)]
        return len(owned) == self._partitions

    def reset(self) -> None:
        """Forget costs and counts so far."""
        self.costs = {}
        self.messages.clear()
        self.sizes.clear()
        self.reads = self.writes = self.answers = 0

    def cost(self, *names: str) -> Cost:
        """Return the sum over these kinds of event; over all without names."""
        chosen = [
            self.costs[name] for name in names or self.costs if name in self.costs
        ]
        return Cost(
            int(sum(count for count, _ in chosen)),
            sum(seconds for _, seconds in chosen),
        )

    def _advance(self) -> None:
        end = self.now + TICK
        self._settle()
        while self._upstreams and self._upstreams[0][0] <= end:
            self.now, _, to, event = heapq.heappop(self._upstreams)
            self._events.append((to, event))
            self._settle()
        self.now = end
        self._events.extend((name, Tick()) for name in self._states)
        self._settle()

    def _settle(self) -> None:
        while self._events:
            to, event = self._events.popleft()
            state = self._states[to]
            is_sidecar = isinstance(state, sidecar.SidecarState)
            reduce = sidecar.reduce if is_sidecar else membership.reduce
            started = time.perf_counter()
            effects = reduce(state, event, self.now)
            spent = time.perf_counter() - started
            cost = self.costs.setdefault(_name(event), [0, 0.0])
            cost[0] += 1
            cost[1] += spent
            for effect in effects:
                self._perform(to, effect)

    def _perform(self, sender: str, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._send(sender, effect)
        elif isinstance(effect, StartUpstream):
            answer = UpstreamAnswered(effect.attempt, Outcome.DONE, _BODY, "")
            item = (self.now + _RUN, len(self._upstreams), sender, answer)
            heapq.heappush(self._upstreams, item)
        elif isinstance(effect, ReadRows):
            self.reads += 1
            rows = [
                row
                for key, row in sorted(self.rows.items())
                if key.startswith(effect.prefix) and row.value is not None
            ]
            self._events.append((sender, RowsRead(effect.request, tuple(rows))))
        elif isinstance(effect, WriteRows):
            self.writes += 1
            self._events.append((sender, self._write(effect)))

    def _send(self, sender: str, effect: Send) -> None:
        name = type(effect.message).__name__
        self.messages[name] += 1
        if self._sized:
            self.sizes[name] += len(encode(effect.message))
        if effect.to in self._states:
            self._events.append((effect.to, Received(sender, effect.message)))
        elif name == "JobAnswer" and effect.message.answer.kind is None:
            self.answers += 1

    def _write(self, effect: WriteRows) -> RowsWritten:
        for key, version in effect.checks:
            row = self.rows.get(key)
            if (row.version if row and row.value is not None else 0) != version:
                return RowsWritten(effect.request, WriteOutcome.CONFLICT, 0)
        self._revision += 1
        for key, value in effect.writes:
            self.rows[key] = Row(key, self._revision, value)
        return RowsWritten(effect.request, WriteOutcome.COMMITTED, self._revision)


def _name(event: object) -> str:
    if isinstance(event, Received):
        return type(event.message).__name__
    return type(event).__name__


def _is_owned(key: str, row: Row) -> bool:
    if not key.startswith(PARTITIONS_PREFIX) or row.value is None:
        return False
    return bool(partition_from_row(row).owner)


def served_world(workers: int, partitions: int, sized: bool = False) -> World:
    """Return a world of two entries and some sidecars that serve all partitions.

    Raises:
      RuntimeError: they did not within the virtual time for it.
    """
    world = World(workers, 2, partitions, sized)
    world.run(_WARM_UP)
    if not world.is_served():
        raise RuntimeError("not all partitions are served")
    world.reset()
    return world


def task_slopes(workers: int, partitions: int, tasks: int) -> dict[str, float]:
    """Return microseconds per task at home and executor, and starts/s per core.

    Args:
      workers: number of sidecars.
      partitions: number of partitions.
      tasks: tasks of each job.
    """
    world = served_world(workers, partitions)
    rate = 0.5 * workers * _SLOTS / _RUN.total_seconds() / tasks
    gc.collect()
    world.run(20.0, rate, tasks)
    done = max(1, world.cost("UpstreamAnswered").count)
    home = world.cost("SubmitJob", "TaskOutcome", "CloseAck").seconds
    executor = world.cost("StartTask", "UpstreamAnswered").seconds
    return {
        "tasks": done,
        "home_us_per_task": 1e6 * home / done,
        "executor_us_per_task": 1e6 * executor / done,
        "home_starts_per_core": done / home,
        "executor_starts_per_core": done / executor,
        "messages_per_task": _job_messages(world) / done,
    }


def _job_messages(world: World) -> int:
    return sum(count for name, count in world.messages.items() if name != "Heartbeat")


def idle_slopes(workers: int, partitions: int) -> dict[str, float]:
    """Return the cost of a process that does nothing but keep in touch.

    Args:
      workers: number of sidecars.
      partitions: number of partitions.
    """
    world = served_world(workers, partitions, sized=True)
    seconds = 20.0
    world.run(seconds)
    processes = workers + 2
    tick = world.cost("Tick")
    heartbeat = world.cost("Heartbeat")
    member_rows = [
        len(row.value) for key, row in world.rows.items() if "members" in key
    ]
    return {
        "tick_us": 1e6 * tick.seconds / tick.count,
        "heartbeat_us": 1e6 * heartbeat.seconds / heartbeat.count,
        "heartbeat_bytes": world.sizes["Heartbeat"] / world.messages["Heartbeat"],
        "messages_per_process_second": world.messages.total() / processes / seconds,
        "bytes_per_process_second": world.sizes.total() / processes / seconds,
        "core_share_per_process": world.cost().seconds / processes / seconds,
        "table_reads_per_second": world.reads / seconds,
        "table_writes_per_second": world.writes / seconds,
        "member_row_bytes": sum(member_rows) / len(member_rows),
    }


def change_slopes(workers: int, partitions: int) -> dict[str, dict[str, float]]:
    """Return what one join and one manifest change cost above idling.

    Args:
      workers: number of sidecars.
      partitions: number of partitions.
    """
    world = served_world(workers, partitions, sized=True)
    world.run(_SETTLE)
    idle = _counts(world)
    results = {}
    for name in ("member_change", "manifest_change"):
        world.reset()
        if name == "member_change":
            world.join("worker-new", Role.SIDECAR)
        else:
            world.put(MANIFEST_KEY, _MANIFEST % 700)
        world.run(_SETTLE)
        after = _counts(world)
        results[name] = {key: after[key] - idle[key] for key in idle}
    return results


def _counts(world: World) -> dict[str, float]:
    counts = {
        "messages": world.messages.total(),
        "bytes": world.sizes.total(),
        "table_reads": world.reads,
        "table_writes": world.writes,
        "reducer_ms": 1e3 * world.cost().seconds,
    }
    world.reset()
    return counts


def ledger_bytes(workers: int, partitions: int, tasks: int) -> dict[str, float]:
    """Return bytes held per finished job of so many tasks, home and executors together.

    Args:
      workers: number of sidecars.
      partitions: number of partitions.
      tasks: tasks of each job.
    """
    world = served_world(workers, partitions)
    rate = 0.3 * workers * _SLOTS / _RUN.total_seconds() / tasks
    world.run(5.0, rate, tasks)
    world.run(_SETTLE)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    world.reset()
    world.run(20.0, rate, tasks)
    world.run(_SETTLE)
    answers = world.answers
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"jobs": answers, "bytes_per_job": (after - before) / max(1, answers)}
