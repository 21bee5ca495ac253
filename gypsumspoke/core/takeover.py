"""Takeover of partitions: the home's entry points for ticks, members and table reads.

A home claims a partition by compare-and-set in the platform's table (``claims``) and
then fences every registered executor except the former owner's (``fences``). It hands a
partition over to another home that is preferred for it (``handoffs``).

The home writes the claim before it reads the members, and a joining executor registers
before it reads the partition map, so one of the two always sees the other
(docs/DESIGN.md, "Takeover").
"""

from collections.abc import Iterable
from datetime import datetime, timedelta

from gypsumspoke.core.claims import (
    CHECK,
    claim_unserved,
    handle_claim_read,
    read_back_claim,
)
from gypsumspoke.core.effects import Effect
from gypsumspoke.core.events import RowsRead
from gypsumspoke.core.fences import (
    continue_fencing,
    finish_if_fenced,
    read_members,
    replicate_own_records,
    start_fencing,
    stop_waiting_for,
)
from gypsumspoke.core.handoffs import (
    PROBE,
    handle_probe_read,
    probe_for_handoffs,
    reclaim,
)
from gypsumspoke.core.ownership import Ownership, Phase
from gypsumspoke.core.rows import member_from_row
from gypsumspoke.core.takeover_state import (
    TakeoverState,
    ownership_of_request,
    update_unreachable,
)
from gypsumspoke.core.values import Member

CLAIM_INTERVAL = timedelta(milliseconds=500)
READ_RETRY_DELAY = timedelta(seconds=1)
HANDOFF_TIMEOUT = timedelta(seconds=3)


def tick(state: TakeoverState, now: datetime) -> list[Effect]:
    """Repeat unanswered requests and start due claims and handoffs."""
    effects: list[Effect] = []
    for ownership in list(state.owned.values()):
        effects += _advance(state, ownership, now)
    last = state.last_claim
    if last is None or now - last >= CLAIM_INTERVAL:
        state.last_claim = now
        effects += claim_unserved(state, now)
        effects += probe_for_handoffs(state)
    return effects


def _advance(state: TakeoverState, ownership: Ownership, now: datetime) -> list[Effect]:
    if ownership.phase is Phase.HANDING_OVER:
        if now - ownership.last_request >= HANDOFF_TIMEOUT:
            return reclaim(state, ownership.partition, now)
        return []
    if ownership.phase is Phase.FENCING:
        return continue_fencing(state, ownership, now)
    if (
        ownership.phase is Phase.READING
        and now - ownership.last_request >= READ_RETRY_DELAY
    ):
        return read_members(ownership, now)
    if (
        ownership.phase is Phase.CLAIMING
        and now - ownership.last_request >= READ_RETRY_DELAY
    ):
        return read_back_claim(ownership, now)
    if ownership.phase is Phase.SERVING and not ownership.remembered:
        return replicate_own_records(state, ownership, now)
    return []


def set_members(
    state: TakeoverState, members: Iterable[Member], now: datetime
) -> list[Effect]:
    """Apply a new view of the members; ended executors need not acknowledge fences."""
    state.members = {member.incarnation: member for member in members}
    state.preferred.clear()
    update_unreachable(state, now)
    effects: list[Effect] = []
    for ownership in list(state.owned.values()):
        if ownership.phase is Phase.FENCING:
            ended = {name for name in ownership.required if state.has_ended(name)}
            stop_waiting_for(ownership, ended)
            effects += finish_if_fenced(state, ownership, now)
    return effects


def handle_rows_read(
    state: TakeoverState, event: RowsRead, now: datetime
) -> list[Effect]:
    """Apply the result of a table read of this module, ``claims`` or ``handoffs``."""
    if event.request.startswith(PROBE):
        return handle_probe_read(state, event)
    ownership = ownership_of_request(state, event.request)
    if ownership is None:
        return []
    if event.request.startswith(CHECK):
        return handle_claim_read(state, ownership, event, now)
    if event.rows is None or ownership.phase is not Phase.READING:
        return []
    members = [member_from_row(row) for row in event.rows]
    return start_fencing(state, ownership, members, now)
