"""Registration of one process: written at its start, ended when it leaves.

After a write whose answer was lost the members are read back: this process's own row
shows whether the write took effect.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import Count, Effect, Log, WriteRows
from gypsumspoke.core.events import WriteOutcome
from gypsumspoke.core.membership_state import MembershipState, Phase
from gypsumspoke.core.rows import MEMBERS_PREFIX, member_key, member_value
from gypsumspoke.core.table_reads import (
    issue_reads,
    new_request,
    schedule_read,
    schedule_retry,
)
from gypsumspoke.core.values import MAX_RETENTION

TABLE_ANSWER_TIMEOUT = timedelta(seconds=15)
DELETION_INTERVAL = timedelta(seconds=10)
DELETION_MARGIN_SKEWS = 10
LEAVE_TIMEOUT = timedelta(seconds=3)


def expire_table_requests(state: MembershipState, now: datetime) -> list[Effect]:
    """Treat table requests without an answer for ``TABLE_ANSWER_TIMEOUT`` as failed."""
    limit = now - TABLE_ANSWER_TIMEOUT
    for prefix, pending in list(state.reads.items()):
        if pending.sent < limit:
            del state.reads[prefix]
            schedule_retry(state, prefix, now)
    if state.deletion and state.deletion.sent < limit:
        state.deletion = None
    if state.write and state.write.sent < limit:
        state.write = None
        return handle_write_failed(state, WriteOutcome.LOST, now)
    return []


def write_registration(state: MembershipState, now: datetime) -> list[Effect]:
    """Register and end all earlier incarnations of this worker in one transaction."""
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
    """End this process's registration, if any, within ``LEAVE_TIMEOUT``."""
    if state.phase in (Phase.LEAVING, Phase.LEFT):
        return []
    if state.phase is Phase.NEW or state.own_ended:
        state.phase = Phase.LEFT
        return []
    state.phase = Phase.LEAVING
    state.write = None
    state.leave_deadline = now + LEAVE_TIMEOUT
    if state.own_row is None:
        schedule_read(state, MEMBERS_PREFIX, now)
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


def handle_write_committed(state: MembershipState, now: datetime) -> list[Effect]:
    """Continue after the registration, or its end, was written."""
    if state.phase is Phase.LEAVING:
        state.phase = Phase.LEFT
        return []
    return _registered(state, now)


def handle_write_failed(
    state: MembershipState, outcome: WriteOutcome, now: datetime
) -> list[Effect]:
    """Schedule a read of the members after a conflict or a lost answer.

    A write whose answer was lost may have taken effect. The read shows whether it did,
    and if not, the row versions for another attempt.
    """
    if state.phase is Phase.REGISTERING:
        state.phase = Phase.NEW
    lost = outcome is WriteOutcome.LOST
    schedule_retry(state, MEMBERS_PREFIX, now)
    reason = RetryReason.TABLE_ANSWER_LOST if lost else RetryReason.TABLE_CONFLICT
    return [Count(reason)]


def _registered(state: MembershipState, now: datetime) -> list[Effect]:
    state.phase = Phase.REGISTERED
    schedule_read(state, MEMBERS_PREFIX, now)
    log = Log(
        logging.INFO,
        "registered",
        fields=(("incarnation", state.member.incarnation),),
    )
    return [log, *issue_reads(state, now)]


def leave_on_timeout(state: MembershipState, now: datetime) -> list[Effect]:
    """Leave without ending the registration when the table doesn't answer in time."""
    if state.phase is not Phase.LEAVING or now < state.leave_deadline:
        return []
    state.phase = Phase.LEFT
    return [Log(logging.WARNING, "left without ending the registration")]


def delete_ended_row(state: MembershipState, now: datetime) -> list[Effect]:
    """Delete one member row that ended too long ago for any record to refer to it.

    Each process does so with probability 1/n for n live processes, so that on average
    one row is deleted per interval.
    """
    if state.phase is not Phase.REGISTERED or state.deletion:
        return []
    if state.next_deletion is None:
        state.next_deletion = now + DELETION_INTERVAL
    if now < state.next_deletion:
        return []
    state.next_deletion = now + DELETION_INTERVAL
    # MAX_RETENTION rather than the retention in force: a later manifest may lengthen
    # the retention, and older rows would be needed again.
    limit = now - MAX_RETENTION - DELETION_MARGIN_SKEWS * state.policy.clock_skew
    old = [
        state.member_rows[incarnation]
        for incarnation, member in sorted(state.members.items())
        if member.ended and member.ended < limit
    ]
    live = sum(member.ended is None for member in state.members.values())
    if not old or state.random.random() * max(live, 1) >= 1:
        return []
    row = state.random.choice(old)
    state.deletion = new_request(state, "clean", now)
    schedule_read(state, MEMBERS_PREFIX, now + DELETION_INTERVAL / 2)
    return [
        WriteRows(state.deletion.request, ((row.key, row.version),), ((row.key, None),))
    ]


def confirm_registration(state: MembershipState, now: datetime) -> list[Effect]:
    """Continue as registered: the write's answer was lost, but it took effect."""
    state.phase = Phase.REGISTERED
    return [Log(logging.INFO, "registration found by reading back")]


def continue_leaving(state: MembershipState, now: datetime) -> list[Effect]:
    """Write the end again with the version just read, unless the row has ended."""
    own = state.members.get(state.member.incarnation)
    if own is None or own.ended:
        state.phase = Phase.LEFT
        return []
    return _write_leave(state, now) if state.write is None else []
