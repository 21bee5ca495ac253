"""Forwards requests to the home of their key, and answers back to the callers.

A request is resent unchanged to the next owner of the partition until it is answered or
times out. The answer after a timeout claims only whether the request was ever sent.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import Count, Deliver, Effect, Local, Log, Observe, Send
from gypsumspoke.core.entry_state import EntryState, PendingRequest
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.membership import ViewOutdated
from gypsumspoke.core.messages import SubmitJob
from gypsumspoke.core.refusals import refusal_answer
from gypsumspoke.core.values import Answer

RESEND_DELAY = timedelta(milliseconds=200)
NOT_SERVED_TIMEOUT = timedelta(seconds=2)
# Beyond ``takeover_after``: detecting a silent home, taking the partition over and
# fencing all executors.
MAX_TAKEOVER_TIME = timedelta(seconds=4)
# The home answers at the deadline too, with the outcome of each task.
DEADLINE_GRACE = timedelta(milliseconds=300)

# Answers of a home that does not serve the partition.
_NOT_SERVED = {
    ErrorKind.NOT_OWNER: RetryReason.HOME_MOVED,
    ErrorKind.TAKEOVER_IN_PROGRESS: RetryReason.TAKEOVER_IN_PROGRESS,
}


def _owner(state: EntryState, partition: int) -> str:
    """Return the partition's owner if it is reachable, else an empty string."""
    row = state.partitions.get(partition)
    if row is None or row.owner not in state.reachable:
        return ""
    return row.owner


def forward(state: EntryState, waiting: PendingRequest, now: datetime) -> list[Effect]:
    """Send the request to the current owner, or hold it until there is one.

    A request is sent only over a connection that is known to be up, so one that was
    never sent reached no home and may be answered "not passed on".
    """
    waiting.home = _owner(state, waiting.message.partition)
    if not waiting.home:
        waiting.without_home_since = waiting.without_home_since or now
        waiting.resend_at = None
        return []
    effects: list[Effect] = []
    if waiting.was_sent and waiting.reason is not None:
        effects.append(Count(waiting.reason))
    waiting.reason = None
    waiting.was_sent = True
    waiting.without_home_since = None
    waiting.resend_at = None
    effects.append(Send(waiting.home, waiting.message))
    return effects


def handle_home_lost(
    state: EntryState, waiting: PendingRequest, reason: RetryReason, now: datetime
) -> list[Effect]:
    """Forward to the current owner, as the former home can't answer any more."""
    waiting.reason = reason
    waiting.not_served_since = None
    return forward(state, waiting, now)


def forward_held(state: EntryState, now: datetime) -> list[Effect]:
    """Forward the requests that wait for a reachable home."""
    effects: list[Effect] = []
    for waiting in list(state.waiting.values()):
        if not waiting.home:
            effects += forward(state, waiting, now)
    return effects


def handle_answer(
    state: EntryState, waiting: PendingRequest, answer: Answer, now: datetime
) -> list[Effect]:
    """Deliver the home's answer, or resend later if it doesn't serve the partition."""
    if answer.kind in _NOT_SERVED:
        return _handle_not_served(state, waiting, answer, now)
    return _deliver(state, waiting.message.request, answer, now)


def _handle_not_served(
    state: EntryState, waiting: PendingRequest, answer: Answer, now: datetime
) -> list[Effect]:
    """Schedule a resend, or fail the request after ``NOT_SERVED_TIMEOUT``."""
    waiting.last_refusal = answer
    waiting.not_served_since = waiting.not_served_since or now
    if now - waiting.not_served_since >= NOT_SERVED_TIMEOUT:
        return fail_request(state, waiting.message.request, now, "the partition moves")
    waiting.reason = _NOT_SERVED[answer.kind]
    spread = 0.5 + state.random.random()
    waiting.resend_at = now + RESEND_DELAY * spread
    if answer.kind is ErrorKind.NOT_OWNER:
        return [Local(ViewOutdated())]
    return []


def _deliver(
    state: EntryState, request: str, answer: Answer, now: datetime
) -> list[Effect]:
    waiting = state.waiting.pop(request)
    state.waiting_bytes -= waiting.size
    effects: list[Effect] = []
    if answer.kind is not None:
        effects.append(Count(answer.kind))
    if isinstance(waiting.message, SubmitJob) and waiting.message.wait:
        seconds = (now - waiting.arrived).total_seconds()
        effects.append(Observe("response_seconds", seconds, waiting.key.team))
    if not waiting.caller_left:
        effects.append(Deliver(request, answer))
    return effects


def fail_request(
    state: EntryState, request: str, now: datetime, detail: str
) -> list[Effect]:
    """Answer without a home, claiming only whether the request was ever sent."""
    waiting = state.waiting[request]
    answer = _failure_answer(waiting, detail)
    log = Log(
        logging.WARNING,
        "request given up",
        key=waiting.key,
        fields=(("request", request), ("kind", answer.kind.value), ("why", detail)),
    )
    return [log, *_deliver(state, request, answer, now)]


def _failure_answer(waiting: PendingRequest, detail: str) -> Answer:
    if not waiting.was_sent:
        return refusal_answer(ErrorKind.HOME_UNREACHABLE, detail)
    last = waiting.last_refusal
    if last is not None and last.kind is ErrorKind.TAKEOVER_IN_PROGRESS:
        return last._replace(work=Work.UNKNOWN)
    return refusal_answer(ErrorKind.HOME_SILENT, detail)


def resend_or_expire(
    state: EntryState, request: str, waiting: PendingRequest, now: datetime
) -> list[Effect]:
    """Resend a request that is due; fail it after its deadline or without a home."""
    grace = DEADLINE_GRACE if waiting.home else timedelta(0)
    if now >= waiting.deadline + grace:
        return fail_request(state, request, now, "the deadline passed")
    without_home = waiting.without_home_since
    timeout = state.policy.takeover_after + MAX_TAKEOVER_TIME
    if without_home is not None and now - without_home >= timeout:
        return fail_request(state, request, now, "no home could be reached")
    if waiting.resend_at is not None and now >= waiting.resend_at:
        return forward(state, waiting, now)
    return []
