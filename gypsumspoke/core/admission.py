"""Admission control of an entry: which submissions it refuses without forwarding.

The entry knows nothing of other requests with the same key, so a refusal claims only
that this request was not passed on.
"""

from datetime import datetime

from gypsumspoke.core import quota
from gypsumspoke.core.entry_state import EntryState
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.refusals import refusal_answer
from gypsumspoke.core.values import Answer, Submission

MAX_WAITING_REQUESTS = 2_000
MAX_WAITING_BYTES = 8_000_000


def submission_refusal(
    state: EntryState, submission: Submission, now: datetime
) -> Answer | None:
    """Return why a submission is refused, or None; the cheapest checks come first."""
    refusal = entry_refusal(state) or _request_refusal(state, submission, now)
    if refusal is not None:
        return refusal
    team = submission.key.team
    wait = quota.admit(state.quota, team, len(submission.tasks), now)
    if wait is not None:
        return refusal_answer(ErrorKind.QUOTA_EXCEEDED, retry_after=wait)
    return None


def entry_refusal(state: EntryState) -> Answer | None:
    """Return why this entry refuses all requests now, or None."""
    if state.draining:
        return refusal_answer(ErrorKind.ENTRY_DRAINING)
    if state.manifest is None:
        return refusal_answer(ErrorKind.ENTRY_NOT_READY)
    is_full = len(state.waiting) >= MAX_WAITING_REQUESTS
    if is_full or state.waiting_bytes >= MAX_WAITING_BYTES:
        return refusal_answer(ErrorKind.ENTRY_OVERLOADED)
    return None


def _request_refusal(
    state: EntryState, submission: Submission, now: datetime
) -> Answer | None:
    """Return what is wrong with a submission, or None.

    The birth is checked here and again at the home: records of a birth in the future
    would outlive the retention, and for an expired key no record shows whether it ran.
    """
    policy = state.policy
    if state.clock_off:
        return refusal_answer(ErrorKind.CLOCK_OFF)
    if submission.key.team not in state.teams:
        return refusal_answer(ErrorKind.UNKNOWN_TEAM, submission.key.team)
    if submission.service not in state.services:
        return refusal_answer(ErrorKind.UNKNOWN_SERVICE, submission.service)
    if submission.deadline <= now:
        return refusal_answer(ErrorKind.DEADLINE_IN_PAST)
    if submission.birth > now + policy.clock_skew:
        return refusal_answer(ErrorKind.BIRTH_IN_FUTURE)
    if submission.birth < now - policy.retention:
        return refusal_answer(ErrorKind.KEY_EXPIRED)
    return None
