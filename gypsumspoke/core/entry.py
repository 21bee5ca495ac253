"""Takes callers' requests, passes each to the home of its key, hands the answer back.

An entry keeps nothing that matters. The same submission may come through any other
entry, so this one never says that work has not run: it knows only whether it passed
*this* copy on. A copy is safe to send again, unchanged, because the home attaches it
to the running job or answers from its ledger; so when a home is lost or moves, the
entry sends the copy to the next owner instead of sending the caller away. It never
changes the attempt number: that is the caller's consent to run after a "not run".
"""

import logging
import random
from collections.abc import Iterable
from datetime import datetime, timedelta
from functools import singledispatch
from typing import NamedTuple

from gypsumspoke.core import quota
from gypsumspoke.core.data import (
    DEFAULT_POLICY,
    Answer,
    CancelJob,
    Count,
    Counter,
    Deliver,
    Drain,
    Effect,
    JobAnswer,
    JobKey,
    Local,
    Log,
    Manifest,
    ManifestChanged,
    Member,
    MembersChanged,
    Observe,
    PartitionRow,
    PartitionsChanged,
    PeerConnected,
    PeerLost,
    Policy,
    QueryJob,
    ReachabilityChanged,
    Received,
    RetryReason,
    Role,
    Send,
    Submission,
    SubmitJob,
    TeamUsage,
    Tick,
)
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.membership import ViewDoubted
from gypsumspoke.core.partitions import partition_of
from gypsumspoke.core.refusals import refusal_of

WAITING_LIMIT = 2_000
WAITING_BYTES_LIMIT = 8_000_000
SEND_AGAIN_AFTER = timedelta(milliseconds=200)
TURNED_AWAY_PATIENCE = timedelta(seconds=2)
# Silence is noticed, the partition taken over and all executors fenced within this
# time beyond ``takeover_after``; waiting longer for a home helps nobody.
TAKEOVER_TAKES = timedelta(seconds=4)
# The home answers at the deadline too, and knows what became of each task.
DEADLINE_GRACE = timedelta(milliseconds=300)
QUERY_PATIENCE = timedelta(seconds=5)


class CallerArrived(NamedTuple):
    """A caller submits a job.

    Attributes:
      request: identity of the request in this process, never used twice.
      submission: the checked job.
      wait: False asks for JOB_RUNNING instead of the final answer.
    """

    request: str
    submission: Submission
    wait: bool = True


class QueryArrived(NamedTuple):
    """A caller asks what became of a key."""

    request: str
    key: JobKey


class CancelArrived(NamedTuple):
    """A caller asks to start nothing more of a key."""

    request: str
    key: JobKey


class CallerLeft(NamedTuple):
    """The caller of a request is gone; its job is not cancelled by that."""

    request: str


class _Waiting:
    """One copy on its way.

    Args:
      message: what goes to the home, the same on every sending.
      key: identity of the submission.
      arrived: when the caller came.
      deadline: when the caller stops waiting.
    """

    def __init__(
        self,
        message: SubmitJob | QueryJob | CancelJob,
        key: JobKey,
        arrived: datetime,
        deadline: datetime,
    ) -> None:
        self.message = message
        self.key = key
        self.arrived = arrived
        self.deadline = deadline
        self.home = ""
        self.ever_sent = False
        self.without_home_since: datetime | None = arrived
        self.turned_away_since: datetime | None = None
        self.send_again_at: datetime | None = None
        self.reason: RetryReason | None = None
        self.last_refusal: Answer | None = None
        self.caller_left = False
        self.size = 0
        if isinstance(message, SubmitJob):
            self.size = sum(len(task.body) for task in message.submission.tasks)


class EntryState:
    """One entry's requests and view; made by ``new_entry``."""

    def __init__(self, member: Member, partition_count: int, seed: int) -> None:
        self._member = member
        self._partition_count = partition_count
        self._random = random.Random(seed)
        self._waiting: dict[str, _Waiting] = {}
        self._waiting_bytes = 0
        self._partitions: dict[int, PartitionRow] = {}
        self._entries: frozenset[str] = frozenset()
        self._reachable: frozenset[str] = frozenset()
        self._manifest: Manifest | None = None
        self._teams: frozenset[str] = frozenset()
        self._services: frozenset[str] = frozenset()
        self._quota = quota.new_quota(member.incarnation)
        self._draining = False
        self._clock_off = False

    @property
    def policy(self) -> Policy:
        """The policy in force, or the default before the first manifest."""
        return self._manifest.policy if self._manifest else DEFAULT_POLICY


def new_entry(member: Member, partition_count: int, seed: int) -> EntryState:
    """Return the state of an entry that knows no home and no manifest yet.

    Args:
      member: this process.
      partition_count: number of partitions, the same in every process.
      seed: for the spread of repeated sendings.
    """
    return EntryState(member, partition_count, seed)


def reduce(state: EntryState, event, now: datetime) -> list[Effect]:
    """Apply one event; events that don't concern an entry have no effect.

    Args:
      state: changed in place.
      event: an event of this module or of ``core.data``.
      now: the time of the event.

    Returns:
      What the process has to do.
    """
    return _on(event, state, now)


def set_clock_off(state: EntryState, off: bool) -> None:
    """Set whether most peers contradict this process's clock."""
    state._clock_off = off


def is_ready(state: EntryState) -> bool:
    """Return whether the entry takes new requests."""
    return not (state._draining or state._clock_off or state._manifest is None)


def is_draining(state: EntryState) -> bool:
    """Return whether new requests are refused for a graceful stop."""
    return state._draining


def waiting_count(state: EntryState) -> int:
    """Return the number of requests without an answer."""
    return len(state._waiting)


def give_up_all(state: EntryState, now: datetime) -> list[Effect]:
    """Answer every waiting request because the process stops before they end."""
    effects: list[Effect] = []
    for request in list(state._waiting):
        effects += _give_up(state, request, now, "the entry stops")
    return effects


# ---------------------------------------------------------------------------
# Callers


@singledispatch
def _on(event, state: EntryState, now: datetime) -> list[Effect]:
    return []


@_on.register
def _on_caller(event: CallerArrived, state: EntryState, now: datetime) -> list[Effect]:
    refusal = _refusal(state, event.submission, now)
    if refusal is not None:
        return _refuse(event.request, refusal)
    submission = event.submission
    partition = partition_of(submission.key, state._partition_count)
    message = SubmitJob(event.request, partition, submission, event.wait)
    waiting = _Waiting(message, submission.key, now, submission.deadline)
    return _accept(state, event.request, waiting, now)


@_on.register
def _on_query(event: QueryArrived, state: EntryState, now: datetime) -> list[Effect]:
    partition = partition_of(event.key, state._partition_count)
    message = QueryJob(event.request, partition, event.key)
    return _ask(state, message, now)


@_on.register
def _on_cancel(event: CancelArrived, state: EntryState, now: datetime) -> list[Effect]:
    partition = partition_of(event.key, state._partition_count)
    message = CancelJob(event.request, partition, event.key)
    return _ask(state, message, now)


@_on.register
def _on_caller_left(
    event: CallerLeft, state: EntryState, now: datetime
) -> list[Effect]:
    # The copy still goes to the home: a caller that lost its connection comes back
    # for the answer, and must find the job there.
    waiting = state._waiting.get(event.request)
    if waiting is not None:
        waiting.caller_left = True
    return []


def _ask(
    state: EntryState, message: QueryJob | CancelJob, now: datetime
) -> list[Effect]:
    refusal = _entry_refusal(state)
    if refusal is None and message.key.team not in state._teams:
        refusal = refusal_of(ErrorKind.UNKNOWN_TEAM)
    if refusal is not None:
        return _refuse(message.request, refusal)
    waiting = _Waiting(message, message.key, now, now + QUERY_PATIENCE)
    return _accept(state, message.request, waiting, now)


def _accept(
    state: EntryState, request: str, waiting: _Waiting, now: datetime
) -> list[Effect]:
    state._waiting[request] = waiting
    state._waiting_bytes += waiting.size
    return _pass_on(state, waiting, now)


def _refusal(state: EntryState, submission: Submission, now: datetime) -> Answer | None:
    """Return why a submission is turned away, the cheapest checks first."""
    refusal = _entry_refusal(state) or _request_refusal(state, submission, now)
    if refusal is not None:
        return refusal
    team = submission.key.team
    wait = quota.admit(state._quota, team, len(submission.tasks), now)
    if wait is not None:
        return refusal_of(ErrorKind.QUOTA_EXCEEDED, retry_after=wait)
    return None


def _entry_refusal(state: EntryState) -> Answer | None:
    """Return why this entry takes nothing at all now."""
    if state._draining:
        return refusal_of(ErrorKind.ENTRY_DRAINING)
    if state._manifest is None:
        return refusal_of(ErrorKind.ENTRY_NOT_READY)
    is_full = len(state._waiting) >= WAITING_LIMIT
    if is_full or state._waiting_bytes >= WAITING_BYTES_LIMIT:
        return refusal_of(ErrorKind.ENTRY_OVERLOADED)
    return None


def _request_refusal(
    state: EntryState, submission: Submission, now: datetime
) -> Answer | None:
    """Return what is wrong with a submission as seen from here.

    The births are checked here and again at the home: a birth from the future would
    outlive the retention, and after the retention nobody remembers whether the key
    ran, so an expired key must not run.
    """
    policy = state.policy
    if state._clock_off:
        return refusal_of(ErrorKind.CLOCK_OFF)
    if submission.key.team not in state._teams:
        return refusal_of(ErrorKind.UNKNOWN_TEAM, submission.key.team)
    if submission.service not in state._services:
        return refusal_of(ErrorKind.UNKNOWN_SERVICE, submission.service)
    if submission.deadline <= now:
        return refusal_of(ErrorKind.DEADLINE_IN_PAST)
    if submission.birth > now + policy.clock_skew:
        return refusal_of(ErrorKind.BIRTH_IN_FUTURE)
    if submission.birth < now - policy.retention:
        return refusal_of(ErrorKind.KEY_EXPIRED)
    return None


def _refuse(request: str, answer: Answer) -> list[Effect]:
    return [Count(answer.kind), Deliver(request, answer)]


# ---------------------------------------------------------------------------
# The way to the home


def _owner(state: EntryState, partition: int) -> str:
    """Return the owner that can be reached now, or an empty string."""
    row = state._partitions.get(partition)
    if row is None or row.owner not in state._reachable:
        return ""
    return row.owner


def _pass_on(state: EntryState, waiting: _Waiting, now: datetime) -> list[Effect]:
    """Send the copy to the current owner, or hold it until there is one.

    A copy is sent only over a connection that is known to be up. So a copy that was
    never sent certainly reached nobody, and may be answered "not passed on".
    """
    waiting.home = _owner(state, waiting.message.partition)
    if not waiting.home:
        waiting.without_home_since = waiting.without_home_since or now
        waiting.send_again_at = None
        return []
    effects: list[Effect] = []
    if waiting.ever_sent and waiting.reason is not None:
        effects.append(Count(waiting.reason))
    waiting.reason = None
    waiting.ever_sent = True
    waiting.without_home_since = None
    waiting.send_again_at = None
    effects.append(Send(waiting.home, waiting.message))
    return effects


def _lose_home(
    state: EntryState, waiting: _Waiting, reason: RetryReason, now: datetime
) -> list[Effect]:
    """The home can't answer any more; go on with whoever owns the partition now."""
    waiting.reason = reason
    waiting.turned_away_since = None
    return _pass_on(state, waiting, now)


@_on.register
def _on_peer_lost(event: PeerLost, state: EntryState, now: datetime) -> list[Effect]:
    # An answer under way on the lost connection will never come. The same home may be
    # back in a moment on a new connection: PeerConnected sends the copy again.
    state._reachable -= {event.incarnation}
    effects: list[Effect] = []
    for waiting in list(state._waiting.values()):
        if waiting.home == event.incarnation:
            effects += _lose_home(state, waiting, RetryReason.CONNECTION_LOST, now)
    return effects


@_on.register
def _on_peer_connected(
    event: PeerConnected, state: EntryState, now: datetime
) -> list[Effect]:
    state._reachable |= {event.incarnation}
    return _pass_on_held(state, now)


@_on.register
def _on_reachability(
    event: ReachabilityChanged, state: EntryState, now: datetime
) -> list[Effect]:
    state._reachable = event.reachable
    effects: list[Effect] = []
    for waiting in list(state._waiting.values()):
        if waiting.home and waiting.home not in state._reachable:
            effects += _lose_home(state, waiting, RetryReason.SILENT_HOME, now)
    return effects + _pass_on_held(state, now)


@_on.register
def _on_partitions(
    event: PartitionsChanged, state: EntryState, now: datetime
) -> list[Effect]:
    moved = set()
    for row in event.rows:
        known = state._partitions.get(row.partition)
        if known is None or row.version > known.version:
            state._partitions[row.partition] = row
            moved.add(row.partition)
    effects: list[Effect] = []
    for waiting in list(state._waiting.values()):
        partition = waiting.message.partition
        if partition not in moved:
            continue
        if waiting.home != state._partitions[partition].owner:
            effects += _lose_home(state, waiting, RetryReason.HOME_MOVED, now)
    return effects


def _pass_on_held(state: EntryState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for waiting in list(state._waiting.values()):
        if not waiting.home:
            effects += _pass_on(state, waiting, now)
    return effects


@_on.register
def _on_members(
    event: MembersChanged, state: EntryState, now: datetime
) -> list[Effect]:
    state._entries = frozenset(_live_entries(event.members))
    quota.set_entries(state._quota, state._entries, now)
    return []


def _live_entries(members: Iterable[Member]) -> list[str]:
    return [
        member.incarnation
        for member in members
        if member.role is Role.ENTRY and member.ended is None
    ]


@_on.register
def _on_manifest(
    event: ManifestChanged, state: EntryState, now: datetime
) -> list[Effect]:
    state._manifest = event.manifest
    state._teams = frozenset(team.name for team in event.manifest.teams)
    state._services = frozenset(service.name for service in event.manifest.services)
    quota.set_teams(state._quota, event.manifest.teams, now)
    return []


# ---------------------------------------------------------------------------
# Answers


@_on.register
def _on_received(event: Received, state: EntryState, now: datetime) -> list[Effect]:
    return _on_message(event.message, state, event.sender, now)


@singledispatch
def _on_message(message, state: EntryState, sender: str, now: datetime) -> list[Effect]:
    return []


@_on_message.register
def _on_usage(
    message: TeamUsage, state: EntryState, sender: str, now: datetime
) -> list[Effect]:
    quota.note_report(state._quota, message, now)
    return []


@_on_message.register
def _on_answer(
    message: JobAnswer, state: EntryState, sender: str, now: datetime
) -> list[Effect]:
    waiting = state._waiting.get(message.request)
    if waiting is None or waiting.key != message.key:
        # Late, or crossed with another request: handing it out would give a caller
        # the answer to somebody else's job.
        return [Count(Counter.LATE_ANSWER_DROPPED)]
    if sender != waiting.home and message.answer.kind is not None:
        # A former home no longer speaks for the key unless the job is complete; the
        # copy is with the next home already.
        return [Count(Counter.LATE_ANSWER_DROPPED)]
    if message.answer.kind in _TURNED_AWAY:
        return _turned_away(state, waiting, message.answer, now)
    return _deliver(state, message.request, message.answer, now)


_TURNED_AWAY = {
    ErrorKind.NOT_OWNER: RetryReason.HOME_MOVED,
    ErrorKind.TAKEOVER_IN_PROGRESS: RetryReason.HOME_MOVED,
}


def _turned_away(
    state: EntryState, waiting: _Waiting, answer: Answer, now: datetime
) -> list[Effect]:
    """Try again soon: the home is not the owner, or not yet."""
    waiting.last_refusal = answer
    waiting.turned_away_since = waiting.turned_away_since or now
    if now - waiting.turned_away_since >= TURNED_AWAY_PATIENCE:
        return _give_up(state, waiting.message.request, now, "the partition moves")
    waiting.reason = _TURNED_AWAY[answer.kind]
    spread = 0.5 + state._random.random()
    waiting.send_again_at = now + SEND_AGAIN_AFTER * spread
    if answer.kind is ErrorKind.NOT_OWNER:
        return [Local(ViewDoubted())]
    return []


def _deliver(
    state: EntryState, request: str, answer: Answer, now: datetime
) -> list[Effect]:
    waiting = state._waiting.pop(request)
    state._waiting_bytes -= waiting.size
    effects: list[Effect] = []
    if answer.kind is not None:
        effects.append(Count(answer.kind))
    if isinstance(waiting.message, SubmitJob) and waiting.message.wait:
        seconds = (now - waiting.arrived).total_seconds()
        effects.append(Observe("response_seconds", seconds, waiting.key.team))
    if not waiting.caller_left:
        effects.append(Deliver(request, answer))
    return effects


def _give_up(
    state: EntryState, request: str, now: datetime, detail: str
) -> list[Effect]:
    """Answer for a home that doesn't; claim no more than whether the copy was sent."""
    waiting = state._waiting[request]
    answer = _given_up_answer(waiting, detail)
    log = Log(
        logging.WARNING,
        "request given up",
        key=waiting.key,
        fields=(("request", request), ("kind", answer.kind.value), ("why", detail)),
    )
    return [log, *_deliver(state, request, answer, now)]


def _given_up_answer(waiting: _Waiting, detail: str) -> Answer:
    if not waiting.ever_sent:
        return refusal_of(ErrorKind.HOME_UNREACHABLE, detail)
    last = waiting.last_refusal
    if last is not None and last.kind is ErrorKind.TAKEOVER_IN_PROGRESS:
        return last._replace(work=Work.UNKNOWN)
    return refusal_of(ErrorKind.HOME_SILENT, detail)


# ---------------------------------------------------------------------------
# Time


@_on.register
def _on_tick(event: Tick, state: EntryState, now: datetime) -> list[Effect]:
    effects = _report_usage(state, now)
    for request, waiting in list(state._waiting.items()):
        effects += _look_after(state, request, waiting, now)
    return effects


@_on.register
def _on_drain(event: Drain, state: EntryState, now: datetime) -> list[Effect]:
    state._draining = True
    return []


def _look_after(
    state: EntryState, request: str, waiting: _Waiting, now: datetime
) -> list[Effect]:
    grace = DEADLINE_GRACE if waiting.home else timedelta(0)
    if now >= waiting.deadline + grace:
        return _give_up(state, request, now, "the deadline passed")
    without_home = waiting.without_home_since
    patience = state.policy.takeover_after + TAKEOVER_TAKES
    if without_home is not None and now - without_home >= patience:
        return _give_up(state, request, now, "no home could be reached")
    if waiting.send_again_at is not None and now >= waiting.send_again_at:
        return _pass_on(state, waiting, now)
    return []


def _report_usage(state: EntryState, now: datetime) -> list[Effect]:
    report = quota.due_report(state._quota, now)
    if report is None:
        return []
    others = sorted(state._entries - {state._member.incarnation})
    return [Send(other, report) for other in others]
