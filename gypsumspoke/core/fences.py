"""Fencing: excludes former homes of a partition and collects what they started.

By acknowledging a fence an executor refuses lower epochs from then on, and returns its
records. Once all have acknowledged, the new home knows every start. The executor beside
the former owner is not required, because a home never places its own jobs' tasks there;
the records that it held from earlier owners were replicated to another executor, which
lists it among its covers. If records may be lost the partition is *lossy*: unknown keys
with an earlier birth are answered "unknown" and never run.

An executor that leaves during the fencing may replicate its records to one that has
acknowledged already. So if one departs without an acknowledgement, the others are
fenced once more; it has ended its registration only after its records were replicated.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta

from gypsumspoke.core.counters import Counter
from gypsumspoke.core.effects import Count, Effect, Observe, ReadRows, Send
from gypsumspoke.core.ledger import Floor, floor_birth
from gypsumspoke.core.messages import Fence, FenceAck, FenceRefused, RememberAck
from gypsumspoke.core.ownership import AdoptedJob, Ownership, PartitionServed, Phase
from gypsumspoke.core.partitions import partition_of
from gypsumspoke.core.rows import MEMBERS_PREFIX
from gypsumspoke.core.start_records import expiry_bound, remember_messages, supersedes
from gypsumspoke.core.takeover_state import (
    REQUEST_PREFIX,
    TakeoverState,
    drop_ownership,
    is_silent,
    ownership_log,
    request_id,
)
from gypsumspoke.core.values import (
    NOTHING_FORGOTTEN,
    AttemptId,
    ClosedRecord,
    JobKey,
    Member,
    Role,
    StartRecord,
)

FENCE_RESEND_DELAY = timedelta(milliseconds=500)
# After it missing second acknowledgements are not awaited; they only add records.
SECOND_FENCE_TIMEOUT = timedelta(seconds=1)
MEMBERS_REQUEST = REQUEST_PREFIX + "members"


def read_members(ownership: Ownership, now: datetime) -> list[Effect]:
    """Read the registrations, which must follow the write of the claim."""
    ownership.phase = Phase.READING
    ownership.last_request = now
    return [ReadRows(request_id(MEMBERS_REQUEST, ownership), MEMBERS_PREFIX)]


def start_fencing(
    state: TakeoverState,
    ownership: Ownership,
    members: list[Member],
    now: datetime,
) -> list[Effect]:
    """Fence all executors that may hold records of the partition."""
    ownership.phase = Phase.FENCING
    # The read may hold rows that the view lacks; ended members are needed to determine
    # which records may be lost.
    for member in members:
        state.members[member.incarnation] = member
    state.preferred.clear()
    ownership.required = {
        member.incarnation
        for member in members
        if member.role is Role.SIDECAR and member.ended is None
    }
    if ownership.replaced_row is not None and ownership.handed is None:
        ownership.required.discard(ownership.replaced_row.owner)
    # This process's executor must refuse lower epochs, too.
    ownership.required.add(state.incarnation)
    return _send_fences(state, ownership, now)


def _send_fences(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> list[Effect]:
    ownership.last_request = now
    effects: list[Effect] = []
    fence = Fence(ownership.partition, ownership.epoch)
    due = ownership.required - (ownership.acknowledged - ownership.awaiting_second_ack)
    # Chunks of a second acknowledgement would mix with those of one in progress.
    for name in sorted(due - set(ownership.partial_acks)):
        effects += [Count(Counter.FENCE_SENT), Send(name, fence)]
    return effects


def continue_fencing(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> list[Effect]:
    """Resend fences that are due, and finish when nothing more is required."""
    former = ownership.replaced_row
    if former is not None and is_silent(state, former.owner, now):
        # After a handoff the former owner is required until it falls silent.
        stop_waiting_for(ownership, {former.owner})
    finished = finish_if_fenced(state, ownership, now)
    if finished:
        return finished
    if now - ownership.last_request >= FENCE_RESEND_DELAY:
        return _send_fences(state, ownership, now)
    return []


def stop_waiting_for(ownership: Ownership, names: Iterable[str]) -> None:
    """Stop waiting for executors that have ended or are not needed."""
    dropped = ownership.required.intersection(names)
    ownership.required -= dropped
    ownership.departed |= dropped - (
        ownership.acknowledged - ownership.awaiting_second_ack
    )


def handle_fence_ack(
    state: TakeoverState, message: FenceAck, now: datetime
) -> list[Effect]:
    """Apply one chunk of an executor's records."""
    ownership = state.owned.get(message.partition)
    if ownership is None or ownership.epoch != message.epoch:
        return []
    if ownership.phase is not Phase.FENCING:
        return []
    name = message.incarnation
    parts = ownership.partial_acks.setdefault(name, [])
    parts.append(message)
    answer = complete_ack(parts, message)
    if answer:
        del ownership.partial_acks[name]
        ownership.acks.setdefault(name, []).extend(answer)
        ownership.acknowledged.add(name)
        ownership.awaiting_second_ack.discard(name)
    return finish_if_fenced(state, ownership, now)


def complete_ack(parts: list[FenceAck], last: FenceAck) -> list[FenceAck]:
    """Return the chunks of the acknowledgement with ``last``, or none if incomplete.

    Chunks of two acknowledgements with different covers must not mix, because a cover
    is valid only with all of the records that came with it.
    """
    kind = (last.chunks, last.covers)
    ack = [part for part in parts if (part.chunks, part.covers) == kind]
    is_complete = {part.chunk for part in ack} == set(range(last.chunks))
    return ack if is_complete else []


def handle_peer_lost(state: TakeoverState, incarnation: str) -> None:
    """Drop incomplete acknowledgements; their rest was lost with the connection."""
    for ownership in state.owned.values():
        ownership.partial_acks.pop(incarnation, None)


def handle_fence_refused(state: TakeoverState, message: FenceRefused) -> list[Effect]:
    """Give up a partition that is owned under a higher epoch."""
    ownership = state.owned.get(message.partition)
    if ownership is None or message.highest <= ownership.epoch:
        return []
    drop_ownership(state, ownership)
    return [ownership_log("partition lost to a higher epoch", ownership)]


def handle_stale_epoch(state: TakeoverState, attempt: AttemptId) -> None:
    """Give up the partition of an attempt that was refused for its stale epoch."""
    partition = partition_of(attempt.key, state.partition_count)
    ownership = state.owned.get(partition)
    if ownership is not None and ownership.epoch == attempt.epoch:
        drop_ownership(state, ownership)


def finish_if_fenced(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> list[Effect]:
    """Serve the partition once all required acknowledgements are complete."""
    if ownership.required - ownership.acknowledged:
        return []
    has_timed_out = now - ownership.second_fence_sent >= SECOND_FENCE_TIMEOUT
    if ownership.required & ownership.awaiting_second_ack and not has_timed_out:
        return []
    parts = [part for acks in ownership.acks.values() for part in acks]
    ownership.uncovered = frozenset(_find_uncovered(state, ownership, parts, now))
    if ownership.uncovered and ownership.departed:
        return _fence_again(state, ownership, now)
    lossy = bool(ownership.uncovered)
    ownership.floor = _floor(state, ownership, lossy, now)
    ownership.forgotten_before = _forgotten_before(ownership, parts)
    adopted = _adopt(state, ownership, parts, complete=not lossy)
    closed = tuple(record for part in parts for record in part.closed)
    return start_serving(state, ownership, adopted, closed, now)


def _fence_again(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> list[Effect]:
    """Fence all executors again to get the records of those that departed."""
    departed = ",".join(sorted(ownership.departed))
    ownership.departed.clear()
    ownership.awaiting_second_ack = set(ownership.required)
    ownership.second_fence_sent = now
    return [
        Count(Counter.FENCED_AGAIN),
        ownership_log("fences sent again", ownership, went=departed),
        *_send_fences(state, ownership, now),
    ]


def _forgotten_before(ownership: Ownership, parts: list[FenceAck]) -> datetime:
    bounds = [part.forgotten_before for part in parts]
    if ownership.handed is not None:
        bounds.append(ownership.handed.forgotten_before)
    return max(bounds, default=NOTHING_FORGOTTEN)


def _floor(
    state: TakeoverState, ownership: Ownership, lossy: bool, now: datetime
) -> Floor:
    handed = ownership.handed
    if handed is not None:
        # The former owner answered nothing after it handed its ledger over, so unknown
        # keys are new.
        return Floor(ownership.epoch, 0, handed.born_before, handed.lossy_before)
    born_before = floor_birth(now, state.policy.clock_skew)
    lossy_before = born_before if lossy else None
    return Floor(ownership.epoch, 0, born_before, lossy_before)


def _find_uncovered(
    state: TakeoverState,
    ownership: Ownership,
    parts: list[FenceAck],
    now: datetime,
) -> set[str]:
    """Return incarnations whose records of the partition may be lost."""
    policy = state.policy
    bound = expiry_bound(now, policy.retention, policy.clock_skew)
    suspects = {
        member.incarnation
        for member in state.members.values()
        if member.role is Role.SIDECAR
        and member.ended is not None
        and member.ended > bound
    }
    former = ownership.replaced_row
    if former is not None and former.epoch > 1 and former.since > bound:
        # It may hold starts that an earlier owner placed there.
        suspects.add(former.owner)
    covered = {name for part in parts for name in part.covers}
    if former is not None and owner_cover(former.owner, former.epoch) in covered:
        suspects.discard(former.owner)
    return suspects - covered - ownership.acknowledged


def owner_cover(incarnation: str, epoch: int) -> str:
    """Return the cover for an executor whose process owns the partition.

    An executor starts no task of partitions that its own process owns, so the records
    that it replicated on the takeover are complete until another home owns them.
    """
    return f"{incarnation}@{epoch}"


def _adopt(
    state: TakeoverState,
    ownership: Ownership,
    parts: list[FenceAck],
    complete: bool,
) -> dict[JobKey, AdoptedJob]:
    """Collect the started tasks of each job from all executors' records."""
    adopted: dict[JobKey, AdoptedJob] = {}
    handed = ownership.handed.running if ownership.handed is not None else ()
    for running in handed:
        adopted[running.key] = AdoptedJob(
            running.birth, running.submission_attempt, running.digest, {}, complete
        )
    for part in parts:
        for record in part.started:
            _adopt_record(adopted, record, part.incarnation, complete)
    return adopted


def _adopt_record(
    adopted: dict[JobKey, AdoptedJob], record: StartRecord, holder: str, complete: bool
) -> None:
    key = record.attempt.key
    job = adopted.get(key)
    started = job.started if job is not None else {}
    attempt = record.submission_attempt
    if job is not None:
        attempt = max(attempt, job.submission_attempt)
    adopted[key] = AdoptedJob(record.birth, attempt, record.digest, started, complete)
    known = started.get(record.attempt.task)
    if known is None or supersedes(record, known[0]):
        started[record.attempt.task] = (record, holder)


def start_serving(
    state: TakeoverState,
    ownership: Ownership,
    adopted: dict[JobKey, AdoptedJob],
    closed: tuple[ClosedRecord, ...],
    now: datetime,
) -> list[Effect]:
    """Serve the partition with the adopted and closed jobs."""
    ownership.phase = Phase.SERVING
    state.notices.append(
        PartitionServed(ownership.partition, adopted, closed, ownership.handed)
    )
    ownership.handed = None
    own = ownership.acks.get(state.incarnation, [])
    ownership.acks = {state.incarnation: own}
    ownership.partial_acks.clear()
    seconds = (now - ownership.started).total_seconds()
    effects: list[Effect] = [
        Count(Counter.TAKEOVER_FINISHED),
        Observe("takeover_seconds", seconds),
        # The uncovered executors explain later answers of "unknown".
        ownership_log(
            "partition served",
            ownership,
            unheard=",".join(sorted(ownership.uncovered)),
            running=len(adopted),
        ),
    ]
    if not ownership.remembered:
        effects += replicate_own_records(state, ownership, now)
    return effects


def replicate_own_records(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> list[Effect]:
    """Replicate this process's records of the partition to another executor.

    Former owners placed these tasks here. If this process were lost now, both home and
    records would be lost, and the next owner could not know of the starts.
    """
    if ownership.records_target and now - ownership.last_request < FENCE_RESEND_DELAY:
        return []
    others = state.available_peers()
    if not others:
        return []
    ownership.last_request = now
    ownership.records_target = others[ownership.partition % len(others)]
    parts = ownership.acks.get(state.incarnation, [])
    started = [record for part in parts for record in part.started]
    closed = [record for part in parts for record in part.closed]
    covers = {name for part in parts for name in part.covers}
    covers.discard(state.incarnation)
    covers.add(owner_cover(state.incarnation, ownership.epoch))
    messages = remember_messages(
        ownership.partition,
        ownership.epoch,
        owner_cover(state.incarnation, ownership.epoch),
        started,
        closed,
        tuple(sorted(covers)),
        ownership.forgotten_before,
    )
    return [Send(ownership.records_target, message) for message in messages]


def handle_remember_ack(state: TakeoverState, message: RememberAck) -> list[Effect]:
    """Record that another executor holds this process's records."""
    ownership = state.owned.get(message.partition)
    if ownership is None:
        return []
    if message.source == owner_cover(state.incarnation, ownership.epoch):
        ownership.remembered = True
        ownership.acks.clear()
    return []
