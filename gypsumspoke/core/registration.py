"""The registration of one process: written at its start, ended when it leaves.

A write whose answer was lost is never guessed about: the members are read back, and
the own row tells whether it took effect.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import Count, Effect, Log, WriteRows
from gypsumspoke.core.events import WriteOutcome
from gypsumspoke.core.membership_state import MembershipState, Phase
from gypsumspoke.core.rows import MEMBERS_PREFIX, member_key, member_value
from gypsumspoke.core.table_reads import issue_reads, new_request, retry_later, want
from gypsumspoke.core.values import MAX_RETENTION

TABLE_ANSWER_WITHIN = timedelta(seconds=15)
CLEANING_INTERVAL = timedelta(seconds=10)
SKEWS_BEFORE_CLEANING = 10
LEAVE_WITHIN = timedelta(seconds=3)


def abandon_overdue(state: MembershipState, now: datetime) -> list[Effect]:
    """Give up on table requests that nobody answers any more."""
    limit = now - TABLE_ANSWER_WITHIN
    for prefix, pending in list(state.reads.items()):
        if pending.sent < limit:
            del state.reads[prefix]
            retry_later(state, prefix, now)
    if state.cleaning and state.cleaning.sent < limit:
        state.cleaning = None
    if state.write and state.write.sent < limit:
        state.write = None
        return not_written(state, WriteOutcome.LOST, now)
    return []


def write_registration(state: MembershipState, now: datetime) -> list[Effect]:
    """Register, and end every earlier incarnation of this worker, at once."""
    state.phase = Phase.REGISTERING
    state.member = state.member._replace(registered=now)
    own_key = member_key(state.member.incarnation)
    checks = [(own_key, 0)]
    writes: list[tuple[str, str | None]] = [(own_key, member_value(state.member))]
    for incarnation, member in sorted(state.members.items()):
        if member.worker == state.member.worker and member.ended is None:
            row = state.member_rows[incarnation]
            checks.append((row.key, row.version))
            writes.append((row.key, member_value(member._replace(ended=now))))
    state.write = new_request(state, "register", now)
    return [WriteRows(state.write.request, tuple(checks), tuple(writes))]


def begin_leaving(state: MembershipState, now: datetime) -> list[Effect]:
    """End the own registration, if there is one, within ``LEAVE_WITHIN``."""
    if state.phase in (Phase.LEAVING, Phase.LEFT):
        return []
    if state.phase is Phase.NEW or state.own_ended:
        state.phase = Phase.LEFT
        return []
    state.phase = Phase.LEAVING
    state.write = None
    state.leave_deadline = now + LEAVE_WITHIN
    if state.own_row is None:
        want(state, MEMBERS_PREFIX, now)
        return issue_reads(state, now)
    return _write_leave(state, now)


def _write_leave(state: MembershipState, now: datetime) -> list[Effect]:
    row = state.own_row
    ended = state.members[state.member.incarnation]._replace(ended=now)
    state.write = new_request(state, "leave", now)
    return [
        WriteRows(
            state.write.request,
            ((row.key, row.version),),
            ((row.key, member_value(ended)),),
        )
    ]


def written(state: MembershipState, now: datetime) -> list[Effect]:
    """Go on after the registration, or its end, was written."""
    if state.phase is Phase.LEAVING:
        state.phase = Phase.LEFT
        return []
    return _registered(state, now)


def not_written(
    state: MembershipState, outcome: WriteOutcome, now: datetime
) -> list[Effect]:
    """Read back: a lost answer may hide a write that took effect.

    The next read of the members shows the own row if it did, and the versions to
    check if it did not.
    """
    if state.phase is Phase.REGISTERING:
        state.phase = Phase.NEW
    lost = outcome is WriteOutcome.LOST
    retry_later(state, MEMBERS_PREFIX, now)
    reason = RetryReason.TABLE_ANSWER_LOST if lost else RetryReason.TABLE_CONFLICT
    return [Count(reason)]


def _registered(state: MembershipState, now: datetime) -> list[Effect]:
    state.phase = Phase.REGISTERED
    want(state, MEMBERS_PREFIX, now)
    log = Log(
        logging.INFO,
        "registered",
        fields=(("incarnation", state.member.incarnation),),
    )
    return [log, *issue_reads(state, now)]


def leave_in_time(state: MembershipState, now: datetime) -> list[Effect]:
    """Leave unregistered when the table is down, so that it can't hold the stop up."""
    if state.phase is not Phase.LEAVING or now < state.leave_deadline:
        return []
    state.phase = Phase.LEFT
    return [Log(logging.WARNING, "left without ending the registration")]


def clean(state: MembershipState, now: datetime) -> list[Effect]:
    """Delete one row that ended so long ago that nothing refers to it any more.

    Each process tries with a chance of one in the number of processes, so that about
    one of them does it in each interval, whatever their number.
    """
    if state.phase is not Phase.REGISTERED or state.cleaning:
        return []
    if state.next_cleaning is None:
        state.next_cleaning = now + CLEANING_INTERVAL
    if now < state.next_cleaning:
        return []
    state.next_cleaning = now + CLEANING_INTERVAL
    # The longest retention that a manifest may set, not the one in force: a longer one
    # set later would make rows matter again that a shorter one let go.
    limit = now - MAX_RETENTION - SKEWS_BEFORE_CLEANING * state.policy.clock_skew
    old = [
        state.member_rows[incarnation]
        for incarnation, member in sorted(state.members.items())
        if member.ended and member.ended < limit
    ]
    live = sum(member.ended is None for member in state.members.values())
    if not old or state.random.random() * max(live, 1) >= 1:
        return []
    row = state.random.choice(old)
    state.cleaning = new_request(state, "clean", now)
    want(state, MEMBERS_PREFIX, now + CLEANING_INTERVAL / 2)
    return [
        WriteRows(state.cleaning.request, ((row.key, row.version),), ((row.key, None),))
    ]


def registered_by_read_back(state: MembershipState, now: datetime) -> list[Effect]:
    """The answer to the registration was lost but the write took effect."""
    state.phase = Phase.REGISTERED
    return [Log(logging.INFO, "registration found by reading back")]


def continue_leaving(state: MembershipState, now: datetime) -> list[Effect]:
    """Write the end again, with the version just read, unless it stands there."""
    own = state.members.get(state.member.incarnation)
    if own is None or own.ended:
        state.phase = Phase.LEFT
        return []
    return _write_leave(state, now) if state.write is None else []
