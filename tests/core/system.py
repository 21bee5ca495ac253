"""Test harness: a simulated system of reducers with virtual time and one table.

Tests control which messages are delivered, dropped or repeated and which processes are
killed or paused, and read the callers' answers and the started tasks.
"""

import json
import random
from collections import Counter as Tally
from datetime import datetime, timedelta, timezone
from typing import NamedTuple

from returns.result import Success

from gypsumspoke.core import sidecar
from gypsumspoke.core.effects import (
    Count,
    Exit,
    ReadRows,
    Send,
    StartUpstream,
    WriteRows,
)
from gypsumspoke.core.events import (
    Drain,
    PeerConnected,
    PeerLost,
    Received,
    RowsRead,
    RowsWritten,
    Tick,
    UpstreamAnswered,
    WriteOutcome,
)
from gypsumspoke.core.messages import CancelJob, JobAnswer, SubmitJob
from gypsumspoke.core.partitions import partition_of
from gypsumspoke.core.policy import DEFAULT_POLICY, Manifest, ServicePolicy, TeamPolicy
from gypsumspoke.core.rows import MANIFEST_KEY
from gypsumspoke.core.values import (
    Answer,
    JobKey,
    Member,
    Outcome,
    Role,
    Row,
    Submission,
    Task,
)

START = datetime(2026, 1, 1, tzinfo=timezone.utc)
STEP = timedelta(milliseconds=100)
SETTLED = 3.0
SERVICE = "estimate"
POLICY = DEFAULT_POLICY._replace(takeover_after=timedelta(seconds=1))
MANIFEST = Manifest(
    (ServicePolicy(SERVICE, 64, timedelta(seconds=1), timedelta(seconds=30), 4),),
    (TeamPolicy("team", 1000.0, 1000, 1.0),),
    POLICY,
)


def parse_manifest(text):
    return Success(MANIFEST)


class Table:
    """The platform's table: versioned rows, compare-and-set, outages."""

    def __init__(self):
        self.rows = {}
        self.revision = 0
        self.is_down = False
        self.answers_to_lose = 0

    def read(self, prefix):
        return tuple(
            row for key, row in sorted(self.rows.items()) if key.startswith(prefix)
        )

    def write(self, checks, writes):
        for key, version in checks:
            row = self.rows.get(key)
            if (row.version if row else 0) != version:
                return False
        self.revision += 1
        for key, value in writes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = Row(key, self.revision, value)
        return True


class Node:
    """One sidecar process."""

    def __init__(self, member, partitions, seed):
        self.member = member
        self.state = sidecar.new_sidecar(member, partitions, seed, parse_manifest)
        self.alive = True
        self.paused = False
        self.exited = False
        self.backlog = []
        self.running = {}
        self.offset = timedelta(0)


class Envelope(NamedTuple):
    """A message in transit."""

    sender: str
    to: str
    message: object


class DeliveredAnswer(NamedTuple):
    """An answer delivered to a caller, with its position in the order of events."""

    order: int
    key: JobKey
    attempt: int
    answer: Answer


class Started(NamedTuple):
    """A task that reached an upstream."""

    order: int
    key: JobKey
    task: int
    submission_attempt: int
    worker: str


class System:
    """Sidecars, a table and callers.

    Args:
      workers: number of workers to start.
      partitions: number of partitions.
      seed: seed of the system's own random choices.
      slots: maximum number of concurrent tasks of each worker.
    """

    def __init__(self, workers=3, partitions=4, seed=0, slots=2):
        self.now = START
        self.slots = slots
        self.random = random.Random(seed)
        self.partitions = partitions
        self.table = Table()
        self.table.write((), ((MANIFEST_KEY, json.dumps({})),))
        self.nodes = {}
        self.in_transit = []
        self.links = set()
        self.cuts = set()
        self.is_lost = lambda message: False
        self.delivered = []
        self.started = []
        self.counts = Tally()
        self.requests = {}
        self.order = 0
        self.incarnations = Tally()
        self.hold_upstreams = False
        for number in range(workers):
            self.join(f"w{number}")

    # -- processes ----------------------------------------------------------

    def join(self, worker):
        self.incarnations[worker] += 1
        incarnation = f"{worker}.{self.incarnations[worker]}"
        member = Member(
            incarnation,
            worker,
            Role.SIDECAR,
            "127.0.0.1",
            1,
            "a",
            "r",
            SERVICE,
            self.slots,
            self.now,
            None,
            0,
        )
        self.nodes[incarnation] = Node(member, self.partitions, len(self.nodes))
        return incarnation

    def current(self, worker):
        return f"{worker}.{self.incarnations[worker]}"

    def kill(self, incarnation):
        self.nodes[incarnation].alive = False
        for link in [link for link in self.links if incarnation in link]:
            self._unlink(link)

    def pause(self, incarnation):
        """Suspend a process; its connections drop."""
        self.nodes[incarnation].paused = True
        for link in [link for link in self.links if incarnation in link]:
            self._unlink(link)

    def resume(self, incarnation):
        """Resume a paused process, which first handles the events queued for it."""
        node = self.nodes[incarnation]
        node.paused = False
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            self.post(incarnation, event)

    def drain(self, incarnation):
        self.post(incarnation, Drain())

    def _unlink(self, link):
        self.links.discard(link)
        for name in link:
            (other,) = link - {name}
            self.post(name, PeerLost(other))

    def cut(self, one, other):
        """Drop all messages between two processes."""
        link = frozenset((one, other))
        self.cuts.add(link)
        if link in self.links:
            self._unlink(link)

    def restore_links(self):
        self.cuts.clear()

    # -- events ---------------------------------------------------------------

    def post(self, name, event):
        node = self.nodes.get(name)
        if node is None or not node.alive or node.exited:
            return
        if node.paused:
            node.backlog.append(event)
            return
        for effect in sidecar.reduce(node.state, event, self.now + node.offset):
            self._perform(node, effect)

    def _perform(self, node, effect):
        name = node.member.incarnation
        if isinstance(effect, Send):
            self._send(name, effect)
        elif isinstance(effect, StartUpstream):
            self._start(node, effect)
        elif isinstance(effect, ReadRows):
            self._read(name, effect)
        elif isinstance(effect, WriteRows):
            self._write(name, effect)
        elif isinstance(effect, Count):
            self.counts[effect.what] += effect.amount
        elif isinstance(effect, Exit):
            node.exited = True
            self.kill(name)

    def _send(self, name, effect):
        if isinstance(effect.message, JobAnswer):
            self.in_transit.append(Envelope(name, effect.to, effect.message))
            return
        link = frozenset((name, effect.to))
        target = self.nodes.get(effect.to)
        reachable = target is not None and target.alive and not target.paused
        if not reachable or link in self.cuts:
            # The connection attempt fails, and the sender is notified.
            self.post(name, PeerLost(effect.to))
            return
        if link not in self.links:
            self.links.add(link)
            self.post(name, PeerConnected(effect.to))
            self.post(effect.to, PeerConnected(name))
        self.in_transit.append(Envelope(name, effect.to, effect.message))

    def _start(self, node, effect):
        self.order += 1
        attempt = effect.attempt
        record = node.state.executor.records.find(
            partition_of(attempt.key, self.partitions), attempt.key, attempt.task
        )
        self.started.append(
            Started(
                self.order,
                attempt.key,
                attempt.task,
                record.submission_attempt,
                node.member.worker,
            )
        )
        node.running[attempt] = effect.body

    def finish_upstreams(self, outcome=Outcome.DONE):
        for name, node in list(self.nodes.items()):
            if node.alive and not node.paused:
                running, node.running = node.running, {}
                for attempt, body in running.items():
                    event = UpstreamAnswered(attempt, outcome, b"ok:" + body, "")
                    self.post(name, event)

    def finish_one(self, name, attempt, outcome):
        """Finish one task at an upstream; NOT_RUN means that nothing was sent to it."""
        node = self.nodes[name]
        body = node.running.pop(attempt)
        if outcome is Outcome.NOT_RUN:
            worker = node.member.worker
            self.started = [
                start
                for start in self.started
                if (start.key, start.task, start.worker)
                != (attempt.key, attempt.task, worker)
            ]
        self.post(name, UpstreamAnswered(attempt, outcome, b"ok:" + body, ""))

    def drop_connection(self, link):
        """Drop a connection with all messages in transit on it."""
        self.in_transit = [
            envelope
            for envelope in self.in_transit
            if isinstance(envelope.message, JobAnswer)
            or frozenset((envelope.sender, envelope.to)) != link
        ]
        self._unlink(link)

    def _read(self, name, effect):
        rows = None if self.table.is_down else self.table.read(effect.prefix)
        self.post(name, RowsRead(effect.request, rows))

    def _write(self, name, effect):
        if self.table.is_down:
            event = RowsWritten(effect.request, WriteOutcome.LOST, 0)
        elif not self.table.write(effect.checks, effect.writes):
            event = RowsWritten(effect.request, WriteOutcome.CONFLICT, 0)
        elif self.table.answers_to_lose:
            self.table.answers_to_lose -= 1
            event = RowsWritten(effect.request, WriteOutcome.LOST, 0)
        else:
            event = RowsWritten(
                effect.request, WriteOutcome.COMMITTED, self.table.revision
            )
        self.post(name, event)

    # -- messages ---------------------------------------------------------------

    def deliver(self, index=0):
        """Deliver one message in transit."""
        envelope = self.in_transit.pop(index)
        if isinstance(envelope.message, JobAnswer):
            self._deliver_answer(envelope.message)
            return
        if frozenset((envelope.sender, envelope.to)) in self.cuts:
            return
        if self.is_lost(envelope.message):
            return
        self.post(envelope.to, Received(envelope.sender, envelope.message))

    def _deliver_answer(self, message):
        key, attempt = self.requests[message.request]
        assert message.key == key, "an answer reached another caller"
        self.order += 1
        self.delivered.append(DeliveredAnswer(self.order, key, attempt, message.answer))

    def deliver_all(self, limit=20_000):
        for _ in range(limit):
            if not self.in_transit:
                return
            self.deliver()
        raise AssertionError(f"messages still in transit after {limit} deliveries")

    def tick(self):
        self.now += STEP
        for name in list(self.nodes):
            self.post(name, Tick())

    def run(self, seconds):
        """Advance the time; deliver all messages and finish all upstream tasks."""
        for _ in range(int(timedelta(seconds=seconds) / STEP)):
            self.tick()
            self.deliver_all()
            if not self.hold_upstreams:
                self.finish_upstreams()
                self.deliver_all()

    # -- callers ------------------------------------------------------------------

    def submission(self, name, attempt=0, birth=None, tasks=2, body=b"x"):
        return Submission(
            JobKey("team", name),
            birth or self.now,
            attempt,
            SERVICE,
            self.now + timedelta(seconds=20),
            False,
            tuple(Task(body + str(number).encode()) for number in range(tasks)),
            body,
        )

    def owner(self, key):
        """Return the home that the table names for a key, or None."""
        partition = partition_of(key, self.partitions)
        row = self.table.rows.get(f"partitions/{partition:05d}")
        return json.loads(row.value)["owner"] if row else None

    def submit(self, submission, to=None, wait=True):
        """Send a submission as an entry would, by default to the owner."""
        partition = partition_of(submission.key, self.partitions)
        request = f"r{len(self.requests)}"
        self.requests[request] = (submission.key, submission.attempt)
        message = SubmitJob(request, partition, submission, wait)
        target = to or self.owner(submission.key)
        if target is not None:
            self.in_transit.append(Envelope("entry", target, message))
        return request

    def cancel(self, key, to=None):
        partition = partition_of(key, self.partitions)
        request = f"r{len(self.requests)}"
        self.requests[request] = (key, -1)
        message = CancelJob(request, partition, key)
        self.in_transit.append(Envelope("entry", to or self.owner(key), message))

    def answers(self, key):
        return [each.answer for each in self.delivered if each.key == key]

    def starts(self, key):
        return Tally(start.task for start in self.started if start.key == key)


def settled_system(**options):
    """Return a system in which every partition is served."""
    system = System(**options)
    system.run(SETTLED)
    return system
