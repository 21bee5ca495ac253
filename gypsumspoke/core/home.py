"""The home reducer: the sole authority for the submissions of its partitions.

For each request it decides whether the submission is new, running, answered or refused,
so that any number of resubmissions through any entries run as one job. Keys born before
this home took over need an attempt number that no earlier home issued; where records
were lost they are answered "unknown". See docs/DESIGN.md for the cases.
"""

from datetime import datetime, timedelta
from functools import singledispatch

from gypsumspoke.core import (
    adoption,
    claims,
    dispatch,
    endings,
    fences,
    handoffs,
    inquiries,
    intake,
    takeover,
    takeover_state,
)
from gypsumspoke.core.counters import RetryReason
from gypsumspoke.core.effects import Effect
from gypsumspoke.core.events import (
    Drain,
    ManifestChanged,
    MembersChanged,
    PartitionsChanged,
    PeerConnected,
    PeerLost,
    ReachabilityChanged,
    Received,
    RowsRead,
    RowsWritten,
    Tick,
)
from gypsumspoke.core.home_state import HomeState
from gypsumspoke.core.messages import (
    CancelJob,
    CloseAck,
    FenceAck,
    FenceRefused,
    Handoff,
    HandoffAck,
    Heartbeat,
    QueryJob,
    RememberAck,
    SubmitJob,
    TaskOutcome,
    TaskRunning,
)
from gypsumspoke.core.ownership import HandoffDue, PartitionLost, PartitionServed
from gypsumspoke.core.placement import (
    set_members,
    set_policy,
    update_load,
)
from gypsumspoke.core.takeover_state import REQUEST_PREFIX, pop_notices
from gypsumspoke.core.values import Member

DRAIN_TIMEOUT = timedelta(seconds=10)


def new_home(member: Member, partition_count: int, seed: int) -> HomeState:
    """Return the state of a home that owns no partition yet.

    Args:
      member: this process.
      partition_count: number of partitions, the same in every process.
      seed: for the random choice of executors.
    """
    return HomeState(member, partition_count, seed)


def reduce(state: HomeState, event: object, now: datetime) -> list[Effect]:
    """Apply one event.

    Args:
      state: changed in place.
      event: a Received message or another event of ``core.events``.
      now: the current time.

    Returns:
      The effects for the shell to perform, in order.
    """
    effects = _on(event, state, now)
    effects += _handle_notices(state, now)
    effects += dispatch.place_waiting(state, now)
    effects += endings.send_confirmations(state, now)
    return effects


def is_departed(state: HomeState, now: datetime) -> bool:
    """Return whether a draining home may stop.

    It owns no partition, or it has no jobs left and handing over took too long.
    """
    if state.draining_since is None:
        return False
    if not state.takeover.owned:
        return True
    return not state.job_count and now - state.draining_since >= DRAIN_TIMEOUT


def set_clock_is_off(state: HomeState, is_off: bool) -> None:
    """Set whether the clock is wrong; submissions are refused while it is.

    The birth of a submission can't be checked against a wrong clock.
    """
    state.clock_is_off = is_off


@singledispatch
def _on(event: object, state: HomeState, now: datetime) -> list[Effect]:
    return []


@_on.register
def _(event: Received, state: HomeState, now: datetime) -> list[Effect]:
    return _on_message(event.message, event.sender, state, now)


@singledispatch
def _on_message(
    message: object, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    return []


# ---------------------------------------------------------------------------
# Callers


@_on_message.register
def _(message: SubmitJob, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    return intake.submit(state, message, sender, now)


@_on_message.register
def _(message: QueryJob, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    return intake.query(state, message, sender, now)


@_on_message.register
def _(message: CancelJob, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    return intake.cancel(state, message, sender, now)


# ---------------------------------------------------------------------------
# Executors


@_on_message.register
def _(
    message: TaskOutcome, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    effects = dispatch.handle_task_outcome(state, message, sender, now)
    if message.reason == RetryReason.STALE_EPOCH.value:
        fences.handle_stale_epoch(state.takeover, message.attempt)
    return effects


@_on_message.register
def _(
    message: TaskRunning, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    return dispatch.handle_task_running(state, message, sender, now)


@_on_message.register
def _(message: CloseAck, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    return endings.handle_close_ack(state, message, now)


@_on_message.register
def _(message: FenceAck, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    effects = inquiries.handle_fence_ack(state, message, now)
    return effects + fences.handle_fence_ack(state.takeover, message, now)


@_on_message.register
def _(
    message: FenceRefused, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    return fences.handle_fence_refused(state.takeover, message)


@_on_message.register
def _(
    message: RememberAck, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    adoption.handle_remember_ack(state, message)
    return fences.handle_remember_ack(state.takeover, message)


@_on_message.register
def _(message: Heartbeat, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    takeover_state.record_leaving(state.takeover, sender, message.leaving)
    if message.load is not None:
        update_load(state.placement, sender, message.load, now)
    return []


# ---------------------------------------------------------------------------
# Ownership


@_on_message.register
def _(message: Handoff, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    return handoffs.handle_handoff(state.takeover, message, sender, now)


@_on_message.register
def _(
    message: HandoffAck, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    return handoffs.handle_handoff_ack(state.takeover, message, now)


@_on.register
def _(event: RowsRead, state: HomeState, now: datetime) -> list[Effect]:
    if not event.request.startswith(REQUEST_PREFIX):
        return []
    return takeover.handle_rows_read(state.takeover, event, now)


@_on.register
def _(event: RowsWritten, state: HomeState, now: datetime) -> list[Effect]:
    if not event.request.startswith(REQUEST_PREFIX):
        return []
    return claims.handle_rows_written(state.takeover, event, now)


@_on.register
def _(event: PartitionsChanged, state: HomeState, now: datetime) -> list[Effect]:
    takeover_state.set_rows(state.takeover, event.rows, now)
    return []


def _handle_notices(state: HomeState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    while notices := pop_notices(state.takeover):
        for notice in notices:
            effects += _handle_notice(notice, state, now)
    return effects


@singledispatch
def _handle_notice(notice: object, state: HomeState, now: datetime) -> list[Effect]:
    raise TypeError(f"no action for {notice!r}")


@_handle_notice.register
def _(notice: PartitionServed, state: HomeState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for parked in adoption.begin_serving(state, notice):
        effects += _on_message(parked.message, parked.sender, state, now)
    return effects


@_handle_notice.register
def _(notice: PartitionLost, state: HomeState, now: datetime) -> list[Effect]:
    return adoption.drop_partition(state, notice, now)


@_handle_notice.register
def _(notice: HandoffDue, state: HomeState, now: datetime) -> list[Effect]:
    return adoption.hand_over(state, notice, now)


# ---------------------------------------------------------------------------
# Members, configuration and time


@_on.register
def _(event: MembersChanged, state: HomeState, now: datetime) -> list[Effect]:
    lost = [
        member.incarnation
        for member in event.members
        if member.ended is not None and _was_active(state, member.incarnation)
    ]
    effects = takeover.set_members(state.takeover, event.members, now)
    _update_placement(state)
    # The event may complete a takeover, whose records must be replicated as well.
    effects += _handle_notices(state, now)
    for incarnation in lost:
        effects += inquiries.handle_executor_ended(state, incarnation, now)
    return effects


def _was_active(state: HomeState, incarnation: str) -> bool:
    known = state.takeover.member(incarnation)
    return known is not None and known.ended is None and bool(known.service)


def _update_placement(state: HomeState) -> None:
    set_members(
        state.placement,
        state.takeover.sidecars,
        state.reachable,
        state.member.worker,
    )


@_on.register
def _(event: ReachabilityChanged, state: HomeState, now: datetime) -> list[Effect]:
    state.reachable = event.reachable
    takeover_state.set_reachable(state.takeover, event.reachable, now)
    _update_placement(state)
    silent = set(state.in_flight) - event.reachable
    state.silent_since = {
        name: state.silent_since.get(name, now) for name in sorted(silent)
    }
    return []


@_on.register
def _(event: PeerLost, state: HomeState, now: datetime) -> list[Effect]:
    state.lost_peers.add(event.incarnation)
    state.silent_since.setdefault(event.incarnation, now)
    fences.handle_peer_lost(state.takeover, event.incarnation)
    return []


@_on.register
def _(event: PeerConnected, state: HomeState, now: datetime) -> list[Effect]:
    state.silent_since.pop(event.incarnation, None)
    if event.incarnation not in state.lost_peers:
        return []
    state.lost_peers.discard(event.incarnation)
    return dispatch.query_attempts(state, event.incarnation, now)


@_on.register
def _(event: ManifestChanged, state: HomeState, now: datetime) -> list[Effect]:
    manifest = event.manifest
    state.policy = manifest.policy
    state.ledger.set_kept_bytes(manifest.policy.kept_bytes)
    state.team_weights = {team.name: team.weight for team in manifest.teams}
    takeover_state.set_policy(state.takeover, manifest.policy)
    set_policy(state.placement, manifest.policy)
    return []


@_on.register
def _(event: Drain, state: HomeState, now: datetime) -> list[Effect]:
    if state.draining_since is None:
        state.draining_since = now
        takeover_state.set_leaving(state.takeover)
    return []


@_on.register
def _(event: Tick, state: HomeState, now: datetime) -> list[Effect]:
    effects = takeover.tick(state.takeover, now)
    effects += endings.tick(state, now)
    effects += dispatch.expire_deadlines(state, now)
    effects += inquiries.tick(state, now)
    effects += dispatch.check_silent_executors(state, now)
    effects += intake.expire_parked(state, now)
    effects += adoption.resend_lost_records(state, now)
    adoption.expire(state, now)
    return effects
