"""Forwards callers' requests to the home of their key and returns the answers.

An entry keeps no durable state. The same submission may arrive through any other entry,
so this one never answers that work has not run: it knows only whether it forwarded
*this* request. A request may be sent again unchanged, because the home attaches it to
the running job or answers from its ledger; so when a home is lost or moves, the entry
sends the request to the next owner instead of refusing it. It never changes the attempt
number, which is the caller's consent to run after a "not run".
"""

from collections.abc import Iterable
from datetime import datetime, timedelta
from functools import singledispatch
from typing import NamedTuple

from gypsumspoke.core import quota
from gypsumspoke.core.admission import entry_refusal, submission_refusal
from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.effects import Count, Deliver, Effect, Send
from gypsumspoke.core.entry_state import EntryState, PendingRequest
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.events import (
    Drain,
    ManifestChanged,
    MembersChanged,
    PartitionsChanged,
    PeerConnected,
    PeerLost,
    ReachabilityChanged,
    Received,
    Tick,
)
from gypsumspoke.core.forwarding import (
    fail_request,
    forward,
    forward_held,
    handle_answer,
    handle_home_lost,
    resend_or_expire,
)
from gypsumspoke.core.messages import (
    CancelJob,
    JobAnswer,
    QueryJob,
    SubmitJob,
    TeamUsage,
)
from gypsumspoke.core.partitions import partition_of
from gypsumspoke.core.refusals import refusal_answer
from gypsumspoke.core.values import Answer, JobKey, Member, Role, Submission

QUERY_TIMEOUT = timedelta(seconds=5)


class CallerArrived(NamedTuple):
    """A caller submits a job.

    Attributes:
      request: identity of the request in this process, never reused.
      submission: the validated job.
      wait: False requests JOB_RUNNING instead of the final answer.
    """

    request: str
    submission: Submission
    wait: bool = True


class QueryArrived(NamedTuple):
    """A caller requests the state of a job."""

    request: str
    key: JobKey


class CancelArrived(NamedTuple):
    """A caller cancels a job."""

    request: str
    key: JobKey


class CallerLeft(NamedTuple):
    """The caller of a request disconnected, which does not cancel its job."""

    request: str


def new_entry(member: Member, partition_count: int, seed: int) -> EntryState:
    """Return the state of an entry that knows no home and no manifest yet.

    Args:
      member: this process.
      partition_count: number of partitions, the same in every process.
      seed: for the jitter of resend delays.
    """
    return EntryState(member, partition_count, seed)


def reduce(state: EntryState, event, now: datetime) -> list[Effect]:
    """Apply one event; an entry ignores events that don't concern it.

    Args:
      state: changed in place.
      event: an event of this module or of ``core.events``.
      now: the time of the event.

    Returns:
      What the shell must do, in order.
    """
    return _on(event, state, now)


def set_clock_off(state: EntryState, off: bool) -> None:
    """Set whether this process's clock differs from most peers' clocks."""
    state.clock_off = off


def is_ready(state: EntryState) -> bool:
    """Return whether the entry accepts new requests."""
    return not (state.draining or state.clock_off or state.manifest is None)


def is_draining(state: EntryState) -> bool:
    """Return whether new requests are refused for a graceful stop."""
    return state.draining


def waiting_count(state: EntryState) -> int:
    """Return the number of requests without an answer."""
    return len(state.waiting)


def give_up_all(state: EntryState, now: datetime) -> list[Effect]:
    """Answer every waiting request because the process stops now."""
    effects: list[Effect] = []
    for request in list(state.waiting):
        effects += fail_request(state, request, now, "the entry stops")
    return effects


# ---------------------------------------------------------------------------
# Callers


@singledispatch
def _on(event, state: EntryState, now: datetime) -> list[Effect]:
    return []


@_on.register
def _on_caller(event: CallerArrived, state: EntryState, now: datetime) -> list[Effect]:
    refusal = submission_refusal(state, event.submission, now)
    if refusal is not None:
        return _refuse(event.request, refusal)
    submission = event.submission
    partition = partition_of(submission.key, state.partition_count)
    message = SubmitJob(event.request, partition, submission, event.wait)
    waiting = PendingRequest(message, submission.key, now, submission.deadline)
    return _accept(state, event.request, waiting, now)


@_on.register
def _on_query(event: QueryArrived, state: EntryState, now: datetime) -> list[Effect]:
    partition = partition_of(event.key, state.partition_count)
    message = QueryJob(event.request, partition, event.key)
    return _forward_request(state, message, now)


@_on.register
def _on_cancel(event: CancelArrived, state: EntryState, now: datetime) -> list[Effect]:
    partition = partition_of(event.key, state.partition_count)
    message = CancelJob(event.request, partition, event.key)
    return _forward_request(state, message, now)


@_on.register
def _on_caller_left(
    event: CallerLeft, state: EntryState, now: datetime
) -> list[Effect]:
    # The request still goes to the home: a caller that lost its connection may return
    # for the answer, and must find the job there.
    waiting = state.waiting.get(event.request)
    if waiting is not None:
        waiting.caller_left = True
    return []


def _forward_request(
    state: EntryState, message: QueryJob | CancelJob, now: datetime
) -> list[Effect]:
    refusal = entry_refusal(state)
    if refusal is None and message.key.team not in state.teams:
        refusal = refusal_answer(ErrorKind.UNKNOWN_TEAM)
    if refusal is not None:
        return _refuse(message.request, refusal)
    waiting = PendingRequest(message, message.key, now, now + QUERY_TIMEOUT)
    return _accept(state, message.request, waiting, now)


def _accept(
    state: EntryState, request: str, waiting: PendingRequest, now: datetime
) -> list[Effect]:
    state.waiting[request] = waiting
    state.waiting_bytes += waiting.size
    return forward(state, waiting, now)


def _refuse(request: str, answer: Answer) -> list[Effect]:
    return [Count(answer.kind), Deliver(request, answer)]


# ---------------------------------------------------------------------------
# Homes, members and configuration


@_on.register
def _on_peer_lost(event: PeerLost, state: EntryState, now: datetime) -> list[Effect]:
    # Answers on the lost connection never arrive. If the same home reconnects,
    # PeerConnected sends the requests again.
    state.reachable -= {event.incarnation}
    effects: list[Effect] = []
    for waiting in list(state.waiting.values()):
        if waiting.home == event.incarnation:
            effects += handle_home_lost(
                state, waiting, RetryReason.CONNECTION_LOST, now
            )
    return effects


@_on.register
def _on_peer_connected(
    event: PeerConnected, state: EntryState, now: datetime
) -> list[Effect]:
    state.reachable |= {event.incarnation}
    return forward_held(state, now)


@_on.register
def _on_reachability(
    event: ReachabilityChanged, state: EntryState, now: datetime
) -> list[Effect]:
    state.reachable = event.reachable
    effects: list[Effect] = []
    for waiting in list(state.waiting.values()):
        if waiting.home and waiting.home not in state.reachable:
            effects += handle_home_lost(state, waiting, RetryReason.SILENT_HOME, now)
    return effects + forward_held(state, now)


@_on.register
def _on_partitions(
    event: PartitionsChanged, state: EntryState, now: datetime
) -> list[Effect]:
    moved = set()
    for row in event.rows:
        known = state.partitions.get(row.partition)
        if known is None or row.version > known.version:
            state.partitions[row.partition] = row
            moved.add(row.partition)
    effects: list[Effect] = []
    for waiting in list(state.waiting.values()):
        partition = waiting.message.partition
        if partition not in moved:
            continue
        if waiting.home != state.partitions[partition].owner:
            effects += handle_home_lost(state, waiting, RetryReason.HOME_MOVED, now)
    return effects


@_on.register
def _on_members(
    event: MembersChanged, state: EntryState, now: datetime
) -> list[Effect]:
    state.entries = frozenset(_live_entries(event.members))
    quota.set_entries(state.quota, state.entries, now)
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
    state.manifest = event.manifest
    state.teams = frozenset(team.name for team in event.manifest.teams)
    state.services = frozenset(service.name for service in event.manifest.services)
    quota.set_teams(state.quota, event.manifest.teams, now)
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
    quota.handle_report(state.quota, message, now)
    return []


@_on_message.register
def _on_answer(
    message: JobAnswer, state: EntryState, sender: str, now: datetime
) -> list[Effect]:
    waiting = state.waiting.get(message.request)
    if waiting is None or waiting.key != message.key:
        # Late, or for another request: it must not reach the wrong caller.
        return [Count(Counter.LATE_ANSWER_DROPPED)]
    if sender != waiting.home and message.answer.kind is not None:
        # From a former home only the result of a complete job is valid; the request
        # has been sent to the next home already.
        return [Count(Counter.LATE_ANSWER_DROPPED)]
    return handle_answer(state, waiting, message.answer, now)


# ---------------------------------------------------------------------------
# Time


@_on.register
def _on_tick(event: Tick, state: EntryState, now: datetime) -> list[Effect]:
    effects = _report_usage(state, now)
    for request, waiting in list(state.waiting.items()):
        effects += resend_or_expire(state, request, waiting, now)
    return effects


@_on.register
def _on_drain(event: Drain, state: EntryState, now: datetime) -> list[Effect]:
    state.draining = True
    return []


def _report_usage(state: EntryState, now: datetime) -> list[Effect]:
    report = quota.due_report(state.quota, now)
    if report is None:
        return []
    others = sorted(state.entries - {state.member.incarnation})
    return [Send(other, report) for other in others]
