"""Schedules membership's reads of the platform's table.

There is at most one read per key prefix at a time. Reads that peers' heartbeats cause
are rate-limited, and retries back off exponentially, so that neither a change nor an
outage causes a burst of reads.
"""

from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, ReadRows
from gypsumspoke.core.membership_state import MembershipState, Pending
from gypsumspoke.core.rows import MEMBERS_PREFIX
from gypsumspoke.core.values import Role

REQUEST_PREFIX = "membership"
ENTRY_READ_INTERVAL = timedelta(seconds=3)
MIN_RETRY_DELAY = timedelta(milliseconds=500)
MAX_RETRY_DELAY = timedelta(seconds=8)
MIN_READ_INTERVAL = timedelta(milliseconds=500)


def new_request(state: MembershipState, purpose: str, now: datetime) -> Pending:
    """Return a request to the table with a unique id that includes its purpose."""
    state.sequence += 1
    return Pending(f"{REQUEST_PREFIX}:{purpose}:{state.sequence}", now)


def schedule_read(state: MembershipState, prefix: str, at: datetime) -> None:
    """Schedule a read of a prefix at a time, unless an earlier one is scheduled."""
    known = state.due.get(prefix)
    state.due[prefix] = min(at, known) if known else at


def schedule_spaced_read(state: MembershipState, prefix: str, now: datetime) -> None:
    """Schedule a read, at least ``MIN_READ_INTERVAL`` after the previous one."""
    last = state.last_read.get(prefix)
    schedule_read(state, prefix, max(now, last + MIN_READ_INTERVAL) if last else now)


def schedule_retry(state: MembershipState, prefix: str, now: datetime) -> None:
    """Schedule a read after a failure, with exponential backoff and jitter."""
    state.failures += 1
    ceiling = min(MIN_RETRY_DELAY * 2 ** min(state.failures, 10), MAX_RETRY_DELAY)
    schedule_read(state, prefix, now + ceiling * (0.5 + 0.5 * state.random.random()))


def issue_reads(state: MembershipState, now: datetime) -> list[Effect]:
    """Return the reads that are due; all but members wait until ``map_readable``."""
    effects: list[Effect] = []
    for prefix, due in sorted(state.due.items()):
        if due > now or prefix in state.reads:
            continue
        if prefix != MEMBERS_PREFIX and not state.map_readable:
            continue
        del state.due[prefix]
        pending = new_request(state, "read", now)
        state.reads[prefix] = pending
        state.last_read[prefix] = now
        effects.append(ReadRows(pending.request, prefix))
    return effects


def schedule_periodic_read(state: MembershipState, prefix: str, now: datetime) -> None:
    """Schedule the next periodic read of an entry.

    Sidecars don't read periodically: they learn of changes from heartbeats.
    """
    if state.member.role is Role.ENTRY:
        spread = 0.75 + 0.5 * state.random.random()
        schedule_read(state, prefix, now + ENTRY_READ_INTERVAL * spread)
