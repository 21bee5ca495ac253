"""When membership reads which rows of the platform's table.

One read for each prefix at a time, spaced when peers cause it, and later after each
failure, so that neither a change nor an outage brings a burst of reads.
"""

from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, ReadRows
from gypsumspoke.core.membership_state import MembershipState, Pending
from gypsumspoke.core.rows import MEMBERS_PREFIX
from gypsumspoke.core.values import Role

NAME = "membership"
ENTRY_READ_INTERVAL = timedelta(seconds=3)
MIN_RETRY_DELAY = timedelta(milliseconds=500)
MAX_RETRY_DELAY = timedelta(seconds=8)
MIN_READ_INTERVAL = timedelta(milliseconds=500)


def new_request(state: MembershipState, purpose: str, now: datetime) -> Pending:
    """Return a request to the table; its id tells the purpose and is never reused."""
    state.sequence += 1
    return Pending(f"{NAME}:{purpose}:{state.sequence}", now)


def schedule_read(state: MembershipState, prefix: str, at: datetime) -> None:
    """Read the rows of a prefix at a time, or earlier if that is planned already."""
    known = state.due.get(prefix)
    state.due[prefix] = min(at, known) if known else at


def schedule_spaced_read(state: MembershipState, prefix: str, now: datetime) -> None:
    """Read because a peer knows more, but not at once for each of many peers."""
    last = state.last_read.get(prefix)
    schedule_read(state, prefix, max(now, last + MIN_READ_INTERVAL) if last else now)


def schedule_retry(state: MembershipState, prefix: str, now: datetime) -> None:
    """Wait longer after each failure, spread so that processes don't come at once."""
    state.failures += 1
    ceiling = min(MIN_RETRY_DELAY * 2 ** min(state.failures, 10), MAX_RETRY_DELAY)
    schedule_read(state, prefix, now + ceiling * (0.5 + 0.5 * state.random.random()))


def issue_reads(state: MembershipState, now: datetime) -> list[Effect]:
    """Return the reads that are due; the map waits for the own registration."""
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
    """Entries look at the table now and then, so that changes reach the heartbeats."""
    if state.member.role is Role.ENTRY:
        spread = 0.75 + 0.5 * state.random.random()
        schedule_read(state, prefix, now + ENTRY_READ_INTERVAL * spread)
