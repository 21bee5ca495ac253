"""Who owns which partition: claims, fences and handoffs.

A home claims a partition by compare-and-set in the platform's table and then fences
every registered executor except the former owner's. An acknowledged fence is a
promise to refuse lower epochs and brings the executor's records, so when all have
answered, the new home knows every start. The former owner's executor is left out,
since a home never places its own jobs' tasks there; what it held from earlier owners
was told to another executor, which then says that it covers it. Where a record may be
lost the partition is *lossy*: unknown keys born before are answered "unknown" and never
run.

The order in the store closes the last gap: the claim is written first and the members
are read second, while a joining executor registers first and reads the map second, so
one of the two always sees the other (docs/DESIGN.md, "Takeover").
"""

import logging
from collections.abc import Iterable
from datetime import datetime, timedelta
from enum import Enum
from typing import NamedTuple

from gypsumspoke.core.data import (
    DEFAULT_POLICY,
    NOTHING_FORGOTTEN,
    AttemptId,
    ClosedRecord,
    Count,
    Counter,
    Effect,
    Fence,
    FenceAck,
    FenceRefused,
    FinishedRecord,
    Handoff,
    HandoffAck,
    JobKey,
    Local,
    Log,
    Member,
    Observe,
    PartitionRow,
    PartitionsChanged,
    Policy,
    ReadRows,
    RefusedRecord,
    RememberAck,
    RetryReason,
    Role,
    RowsRead,
    RowsWritten,
    Send,
    StartRecord,
    WriteOutcome,
    WriteRows,
)
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.ledger import Floor, floor_birth
from gypsumspoke.core.partitions import partition_of, preferred_owner
from gypsumspoke.core.rows import (
    MEMBERS_PREFIX,
    member_from_row,
    partition_from_row,
    partition_key,
    partition_value,
)
from gypsumspoke.core.start_records import (
    expiry_bound,
    knows_more,
    remember_messages,
)

CLAIM_INTERVAL = timedelta(milliseconds=500)
FENCE_RESEND = timedelta(milliseconds=500)
READ_RETRY = timedelta(seconds=1)
HANDOFF_LIMIT = timedelta(seconds=3)
HANDOFFS_AT_ONCE = 8

REQUEST_PREFIX = "home:"
_CLAIM = REQUEST_PREFIX + "claim"
_CHECK = REQUEST_PREFIX + "check"
_MEMBERS = REQUEST_PREFIX + "members"
_PROBE = REQUEST_PREFIX + "probe"


class Phase(Enum):
    """How far an ownership is."""

    CLAIMING = "claiming"
    READING = "reading"
    FENCING = "fencing"
    SERVING = "serving"
    HANDING = "handing"


class HandedLedger(NamedTuple):
    """The ledger of a partition as its former owner handed it over, in full."""

    born_before: datetime
    lossy_before: datetime | None
    forgotten_before: datetime
    refused: tuple[RefusedRecord, ...]
    finished: tuple[FinishedRecord, ...]

    @property
    def running(self) -> list[FinishedRecord]:
        """Jobs that had no final answer yet."""
        return [record for record in self.finished if is_running(record)]


def is_running(record: FinishedRecord) -> bool:
    """Return whether a handed record stands for a job without a final answer."""
    return record.answer.kind is ErrorKind.JOB_RUNNING


class AdoptedJob(NamedTuple):
    """A job that a former owner accepted and that no copy has reached here yet.

    Attributes:
      birth, submission_attempt, digest: as in the records.
      started: (record, incarnation of the executor that holds it) by task.
      complete: False when records may be missing, so that nothing more may start.
    """

    birth: datetime
    submission_attempt: int
    digest: bytes
    started: dict[int, tuple[StartRecord, str]]
    complete: bool


class Ownership:
    """One partition that this home owns or is about to own.

    Args:
      partition: its number.
      epoch: the epoch of the claim.
      former: the row that the claim replaces; None for a first claim.
      handed: the former owner's ledger, if it handed it over.
      giver: incarnation that waits for a HandoffAck; empty if none.
      now: the current time.

    ``unheard`` names incarnations whose records were lost before they were heard.
    Keys born before ``forgotten_before`` may have run without leaving a record.
    """

    def __init__(
        self,
        partition: int,
        epoch: int,
        former: PartitionRow | None,
        handed: HandedLedger | None,
        giver: str,
        now: datetime,
    ) -> None:
        self.partition = partition
        self.epoch = epoch
        self.former = former
        self.handed = handed
        self.giver = giver
        self.phase = Phase.CLAIMING
        self.started = now
        self.asked = now
        self.floor = Floor(epoch, 0, now, None)
        self.required: set[str] = set()
        self.parts: dict[str, dict[int, FenceAck]] = {}
        self.acknowledged: set[str] = set()
        self.unheard: frozenset[str] = frozenset()
        self.forgotten_before = NOTHING_FORGOTTEN
        self.remember_to = ""
        self.remembered = False


class Serving(NamedTuple):
    """Notice: a partition is served from now on."""

    partition: int
    adopted: dict[JobKey, AdoptedJob]
    closed: tuple[ClosedRecord, ...]
    handed: HandedLedger | None


class Lost(NamedTuple):
    """Notice: another home owns the partition, or the claim failed."""

    partition: int


class HandoffWanted(NamedTuple):
    """Notice: hand the partition to this incarnation."""

    partition: int
    target: str


Notice = Serving | Lost | HandoffWanted


class TakeoverState:
    """All that a home knows about owning partitions.

    Args:
      member: this process.
      partition_count: number of partitions.
    """

    def __init__(self, member: Member, partition_count: int) -> None:
        self._incarnation = member.incarnation
        self._partition_count = partition_count
        self._policy: Policy = DEFAULT_POLICY
        self._owned: dict[int, Ownership] = {}
        self._rows: dict[int, PartitionRow] = {}
        self._members: dict[str, Member] = {}
        self._map_known = False
        self._joined: datetime | None = None
        self._reachable: frozenset[str] = frozenset()
        self._unreachable_since: dict[str, datetime] = {}
        self._leaving_peers: set[str] = set()
        self._leaving = False
        self._preferred: dict[int, Member | None] = {}
        self._last_claim: datetime | None = None
        self._incoming: dict[tuple[str, int, int], dict[int, Handoff]] = {}
        self._notices: list[Notice] = []

    @property
    def owned(self) -> dict[int, Ownership]:
        """Ownerships by partition; read only for others."""
        return self._owned

    @property
    def sidecars(self) -> list[Member]:
        """Registered sidecars that have not ended, this one included."""
        return [
            member
            for member in self._members.values()
            if member.role is Role.SIDECAR and member.ended is None
        ]

    def member(self, incarnation: str) -> Member | None:
        """Return a known member, ended ones included, or None."""
        return self._members.get(incarnation)

    def is_gone(self, incarnation: str) -> bool:
        """Return whether a process is provably gone with its memory."""
        member = self._members.get(incarnation)
        return member is not None and member.ended is not None

    def helpers(self) -> list[str]:
        """Return other sidecars that answer and don't leave, in order."""
        return sorted(
            member.incarnation
            for member in self.sidecars
            if member.incarnation in self._reachable
            and member.incarnation != self._incarnation
            and member.incarnation not in self._leaving_peers
        )


def take_notices(state: TakeoverState) -> list[Notice]:
    """Return what the home has to act on, and forget it."""
    notices, state._notices = state._notices, []
    return notices


# ---------------------------------------------------------------------------
# What is known of members and rows


def set_policy(state: TakeoverState, policy: Policy) -> None:
    """Apply the manifest's policy."""
    state._policy = policy


def set_leaving(state: TakeoverState) -> None:
    """Stop claiming, and hand over all that is owned."""
    state._leaving = True
    state._preferred.clear()


def set_members(
    state: TakeoverState, members: Iterable[Member], now: datetime
) -> list[Effect]:
    """Apply a new membership view; an ended executor need not acknowledge."""
    state._members = {member.incarnation: member for member in members}
    state._preferred.clear()
    _note_unreachable(state, now)
    effects: list[Effect] = []
    for ownership in list(state._owned.values()):
        if ownership.phase is Phase.FENCING:
            ended = {name for name in ownership.required if state.is_gone(name)}
            ownership.required -= ended
            effects += _finish_if_fenced(state, ownership, now)
    return effects


def set_reachable(
    state: TakeoverState, reachable: frozenset[str], now: datetime
) -> None:
    """Apply which incarnations answer now."""
    state._reachable = reachable
    state._preferred.clear()
    _note_unreachable(state, now)


def _note_unreachable(state: TakeoverState, now: datetime) -> None:
    names = {member.incarnation for member in state.sidecars}
    names |= {row.owner for row in state._rows.values()} - set(state._members)
    silent = names - state._reachable - {state._incarnation}
    state._unreachable_since = {
        name: state._unreachable_since.get(name, now) for name in silent
    }


def note_leaving(state: TakeoverState, incarnation: str, leaving: bool) -> None:
    """Apply what a heartbeat says: a leaving peer owns nothing new."""
    if leaving and incarnation not in state._leaving_peers:
        state._leaving_peers.add(incarnation)
        state._preferred.clear()


def set_rows(state: TakeoverState, rows: Iterable[PartitionRow], now: datetime) -> None:
    """Apply rows of the partition map; a higher epoch elsewhere ends an ownership."""
    if not state._map_known:
        state._map_known = True
        state._joined = now
    for row in rows:
        known = state._rows.get(row.partition)
        if known is not None and known.epoch >= row.epoch:
            continue
        state._rows[row.partition] = row
        ownership = state._owned.get(row.partition)
        if ownership is not None and row.epoch > ownership.epoch:
            _lose(state, ownership)
    _note_unreachable(state, now)


def _lose(state: TakeoverState, ownership: Ownership) -> None:
    state._owned.pop(ownership.partition, None)
    state._notices.append(Lost(ownership.partition))


# ---------------------------------------------------------------------------
# Claims


def tick(state: TakeoverState, now: datetime) -> list[Effect]:
    """Claim, fence again, retry and hand over as time passes."""
    effects: list[Effect] = []
    for ownership in list(state._owned.values()):
        effects += _pursue(state, ownership, now)
    last = state._last_claim
    if last is None or now - last >= CLAIM_INTERVAL:
        state._last_claim = now
        effects += _claim_due(state, now)
        effects += _probe_for_handoffs(state)
    return effects


def _pursue(state: TakeoverState, ownership: Ownership, now: datetime) -> list[Effect]:
    if ownership.phase is Phase.HANDING:
        if now - ownership.asked >= HANDOFF_LIMIT:
            return reclaim(state, ownership.partition, now)
        return []
    if ownership.phase is Phase.FENCING:
        return _pursue_fences(state, ownership, now)
    if ownership.phase is Phase.READING and now - ownership.asked >= READ_RETRY:
        return _read_members(ownership, now)
    if ownership.phase is Phase.CLAIMING and now - ownership.asked >= READ_RETRY:
        return _check_claim(ownership, now)
    if ownership.phase is Phase.SERVING and not ownership.remembered:
        return _tell_own_records(state, ownership, now)
    return []


def _pursue_fences(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> list[Effect]:
    former = ownership.former
    if former is not None and _is_silent(state, former.owner, now):
        # A giver that died after its handoff is left out like any former owner.
        ownership.required.discard(former.owner)
        finished = _finish_if_fenced(state, ownership, now)
        if finished:
            return finished
    if now - ownership.asked >= FENCE_RESEND:
        return _send_fences(state, ownership, now)
    return []


def _is_silent(state: TakeoverState, incarnation: str, now: datetime) -> bool:
    silent = state._unreachable_since.get(incarnation)
    return silent is not None and now - silent >= state._policy.takeover_after


def _claim_due(state: TakeoverState, now: datetime) -> list[Effect]:
    """Claim partitions that nobody serves and that prefer this home."""
    if not _may_claim(state, now):
        return []
    effects: list[Effect] = []
    for partition in range(state._partition_count):
        if partition in state._owned or not _prefers_me(state, partition):
            continue
        row = state._rows.get(partition)
        if row is None or _is_abandoned(state, row, now):
            effects += _claim(state, partition, row, None, "", now)
    return effects


def _may_claim(state: TakeoverState, now: datetime) -> bool:
    """Wait after joining until peers had time to connect, so as not to claim theirs."""
    if state._leaving or not state._map_known or state._joined is None:
        return False
    return now - state._joined >= state._policy.takeover_after


def _prefers_me(state: TakeoverState, partition: int) -> bool:
    owner = _preferred(state, partition)
    return owner is not None and owner.incarnation == state._incarnation


def _preferred(state: TakeoverState, partition: int) -> Member | None:
    if partition not in state._preferred:
        candidates = [
            member for member in state.sidecars if _is_candidate(state, member)
        ]
        state._preferred[partition] = preferred_owner(partition, candidates)
    return state._preferred[partition]


def _is_candidate(state: TakeoverState, member: Member) -> bool:
    if member.incarnation == state._incarnation:
        return not state._leaving
    return (
        member.incarnation in state._reachable
        and member.incarnation not in state._leaving_peers
    )


def _is_abandoned(state: TakeoverState, row: PartitionRow, now: datetime) -> bool:
    """Return whether an owner is gone or silent, seen from a majority.

    A process that was cut off from all others would otherwise claim every partition,
    fail to fence, and leave all of them unserved. Seeing most of the others, it is
    the owner that is cut off. Safety does not rest on this, only availability.
    """
    if row.owner == state._incarnation:
        return row.partition not in state._owned
    if state.is_gone(row.owner):
        return True
    if not _is_silent(state, row.owner, now):
        return False
    others = {member.incarnation for member in state.sidecars} - {row.owner}
    seen = others & (state._reachable | {state._incarnation})
    return 2 * len(seen) > len(others)


def _claim(
    state: TakeoverState,
    partition: int,
    row: PartitionRow | None,
    handed: HandedLedger | None,
    giver: str,
    now: datetime,
) -> list[Effect]:
    epoch = row.epoch + 1 if row is not None else 1
    ownership = Ownership(partition, epoch, row, handed, giver, now)
    state._owned[partition] = ownership
    return [
        Count(Counter.TAKEOVER_STARTED),
        _log("partition claim sent", ownership),
        _claim_write(state, ownership, now),
    ]


def _claim_write(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> WriteRows:
    key = partition_key(ownership.partition)
    version = ownership.former.version if ownership.former is not None else 0
    value = partition_value(state._incarnation, ownership.epoch, now)
    return WriteRows(_request(_CLAIM, ownership), ((key, version),), ((key, value),))


def _check_claim(ownership: Ownership, now: datetime) -> list[Effect]:
    """Read back a claim whose answer did not come: it may have taken effect."""
    ownership.asked = now
    key = partition_key(ownership.partition)
    return [
        Count(RetryReason.TABLE_ANSWER_LOST),
        ReadRows(_request(_CHECK, ownership), key),
    ]


def _request(kind: str, ownership: Ownership) -> str:
    return f"{kind}:{ownership.partition}:{ownership.epoch}"


def _of_request(state: TakeoverState, request: str) -> Ownership | None:
    """Return the ownership that a table request was about, if it still stands."""
    partition, epoch = request.rsplit(":", 2)[1:]
    ownership = state._owned.get(int(partition))
    if ownership is None or ownership.epoch != int(epoch):
        return None
    return ownership


def rows_written(
    state: TakeoverState, event: RowsWritten, now: datetime
) -> list[Effect]:
    """Apply the end of a claim's write."""
    ownership = _of_request(state, event.request)
    if ownership is None or ownership.phase is not Phase.CLAIMING:
        return []
    if event.outcome is WriteOutcome.COMMITTED:
        return _claimed(state, ownership, event.revision, now)
    if event.outcome is WriteOutcome.CONFLICT:
        return [Count(RetryReason.TABLE_CONFLICT)] + _check_claim(ownership, now)
    return _check_claim(ownership, now)


def _claim_read(
    state: TakeoverState, ownership: Ownership, event: RowsRead, now: datetime
) -> list[Effect]:
    """Apply a read back of the partition's row while the claim is in doubt."""
    if event.rows is None or ownership.phase is not Phase.CLAIMING:
        return []
    key = partition_key(ownership.partition)
    found = [partition_from_row(row) for row in event.rows if row.key == key]
    row = found[0] if found else None
    if row is not None and row.epoch == ownership.epoch:
        if row.owner == state._incarnation:
            return _claimed(state, ownership, row.version, now)
    if row is not None and row.epoch >= ownership.epoch:
        state._rows[row.partition] = row
        return _claim_failed(state, ownership)
    ownership.asked = now
    if _is_needless(state, ownership, now):
        return _claim_failed(state, ownership)
    return [_claim_write(state, ownership, now)]


def _is_needless(state: TakeoverState, ownership: Ownership, now: datetime) -> bool:
    """Return whether the owner came back while the table was down."""
    former = ownership.former
    if former is None or ownership.handed is not None:
        return False
    if former.owner == state._incarnation:
        return False
    return not _is_abandoned(state, former, now)


def _claim_failed(state: TakeoverState, ownership: Ownership) -> list[Effect]:
    _lose(state, ownership)
    if not ownership.giver:
        return []
    answer = HandoffAck(ownership.partition, ownership.epoch - 1, False)
    return [Send(ownership.giver, answer)]


def _claimed(
    state: TakeoverState, ownership: Ownership, version: int, now: datetime
) -> list[Effect]:
    row = PartitionRow(
        ownership.partition, state._incarnation, ownership.epoch, now, version
    )
    state._rows[ownership.partition] = row
    effects: list[Effect] = [
        _log("partition claimed", ownership),
        Local(PartitionsChanged((row,))),
    ]
    if ownership.giver:
        answer = HandoffAck(ownership.partition, ownership.epoch - 1, True)
        effects.append(Send(ownership.giver, answer))
    if ownership.former is None:
        # No home ever owned it, so nothing can have started or been refused.
        ownership.floor = Floor(ownership.epoch, 0, _never(now), None)
        ownership.remembered = True
        return effects + _serve(state, ownership, {}, (), now)
    return effects + _read_members(ownership, now)


def _never(now: datetime) -> datetime:
    """Return a time before every birth that is still accepted."""
    return datetime.min.replace(tzinfo=now.tzinfo)


def _read_members(ownership: Ownership, now: datetime) -> list[Effect]:
    """Read the registrations after the claim is written, never before."""
    ownership.phase = Phase.READING
    ownership.asked = now
    return [ReadRows(_request(_MEMBERS, ownership), MEMBERS_PREFIX)]


def rows_read(state: TakeoverState, event: RowsRead, now: datetime) -> list[Effect]:
    """Apply the end of one of this module's reads."""
    if event.request.startswith(_PROBE):
        return _probe_read(state, event)
    ownership = _of_request(state, event.request)
    if ownership is None:
        return []
    if event.request.startswith(_CHECK):
        return _claim_read(state, ownership, event, now)
    if event.rows is None or ownership.phase is not Phase.READING:
        return []
    members = [member_from_row(row) for row in event.rows]
    return _fence_all(state, ownership, members, now)


# ---------------------------------------------------------------------------
# Fences


def _fence_all(
    state: TakeoverState,
    ownership: Ownership,
    members: list[Member],
    now: datetime,
) -> list[Effect]:
    ownership.phase = Phase.FENCING
    # Rows that this process has not seen yet count too; ended ones are needed to
    # tell which records may be lost.
    for member in members:
        state._members[member.incarnation] = member
    state._preferred.clear()
    ownership.required = {
        member.incarnation
        for member in members
        if member.role is Role.SIDECAR and member.ended is None
    }
    if ownership.former is not None and ownership.handed is None:
        ownership.required.discard(ownership.former.owner)
    # The own executor is fenced like any other, so that it refuses lower epochs.
    ownership.required.add(state._incarnation)
    return _send_fences(state, ownership, now)


def _send_fences(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> list[Effect]:
    ownership.asked = now
    effects: list[Effect] = []
    fence = Fence(ownership.partition, ownership.epoch)
    # An answer of which a part has come is on its way; a second one would mix with it.
    for name in sorted(ownership.required - set(ownership.parts)):
        effects += [Count(Counter.FENCE_SENT), Send(name, fence)]
    return effects


def fence_acknowledged(
    state: TakeoverState, message: FenceAck, now: datetime
) -> list[Effect]:
    """Apply one chunk of an executor's records."""
    ownership = state._owned.get(message.partition)
    if ownership is None or ownership.epoch != message.epoch:
        return []
    if ownership.phase is not Phase.FENCING:
        return []
    parts = ownership.parts.setdefault(message.incarnation, {})
    parts[message.chunk] = message
    if len(parts) == message.chunks:
        ownership.acknowledged.add(message.incarnation)
    return _finish_if_fenced(state, ownership, now)


def peer_lost(state: TakeoverState, incarnation: str) -> None:
    """Forget the parts of an answer whose rest was lost with the connection."""
    for ownership in state._owned.values():
        if incarnation not in ownership.acknowledged:
            ownership.parts.pop(incarnation, None)


def fence_refused(state: TakeoverState, message: FenceRefused) -> list[Effect]:
    """Give up a partition that a higher epoch owns."""
    ownership = state._owned.get(message.partition)
    if ownership is None or message.highest <= ownership.epoch:
        return []
    _lose(state, ownership)
    return [_log("partition lost to a higher epoch", ownership)]


def epoch_refused(state: TakeoverState, attempt: AttemptId) -> None:
    """Give up the partition of a start that was refused for its epoch."""
    partition = partition_of(attempt.key, state._partition_count)
    ownership = state._owned.get(partition)
    if ownership is not None and ownership.epoch == attempt.epoch:
        _lose(state, ownership)


def _finish_if_fenced(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> list[Effect]:
    if ownership.required - ownership.acknowledged:
        return []
    parts = [
        part
        for name in ownership.acknowledged
        for part in ownership.parts[name].values()
    ]
    ownership.unheard = frozenset(_uncovered(state, ownership, parts, now))
    lossy = bool(ownership.unheard)
    ownership.floor = _floor(state, ownership, lossy, now)
    ownership.forgotten_before = _forgotten_before(ownership, parts)
    adopted = _adopt(state, ownership, parts, complete=not lossy)
    closed = tuple(record for part in parts for record in part.closed)
    return _serve(state, ownership, adopted, closed, now)


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
        # The former owner said nothing after it handed its ledger over, so unknown
        # keys are new ones.
        return Floor(ownership.epoch, 0, handed.born_before, handed.lossy_before)
    born_before = floor_birth(now, state._policy.clock_skew)
    lossy_before = born_before if lossy else None
    return Floor(ownership.epoch, 0, born_before, lossy_before)


def _uncovered(
    state: TakeoverState,
    ownership: Ownership,
    parts: list[FenceAck],
    now: datetime,
) -> set[str]:
    """Return incarnations whose records of the partition may be lost."""
    policy = state._policy
    bound = expiry_bound(now, policy.retention, policy.clock_skew)
    suspects = {
        member.incarnation
        for member in state._members.values()
        if member.role is Role.SIDECAR
        and member.ended is not None
        and member.ended > bound
    }
    former = ownership.former
    if former is not None and former.epoch > 1 and former.since > bound:
        # It may hold starts that an earlier owner placed there.
        suspects.add(former.owner)
    covered = {name for part in parts for name in part.covers}
    if former is not None and cover_as_owner(former.owner, former.epoch) in covered:
        suspects.discard(former.owner)
    return suspects - covered - ownership.acknowledged


def cover_as_owner(incarnation: str, epoch: int) -> str:
    """Return the cover for an executor whose process owns the partition.

    While it owns the partition it starts none of its tasks, so what it told on taking
    over stays all that it holds, but only until another home owns it.
    """
    return f"{incarnation}@{epoch}"


def _adopt(
    state: TakeoverState,
    ownership: Ownership,
    parts: list[FenceAck],
    complete: bool,
) -> dict[JobKey, AdoptedJob]:
    """Gather the started tasks of each job from all executors' records."""
    adopted: dict[JobKey, AdoptedJob] = {}
    handed = ownership.handed.running if ownership.handed is not None else ()
    for mark in handed:
        adopted[mark.key] = AdoptedJob(
            mark.birth, mark.submission_attempt, mark.digest, {}, complete
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
    if known is None or knows_more(record, known[0]):
        started[record.attempt.task] = (record, holder)


def _serve(
    state: TakeoverState,
    ownership: Ownership,
    adopted: dict[JobKey, AdoptedJob],
    closed: tuple[ClosedRecord, ...],
    now: datetime,
) -> list[Effect]:
    ownership.phase = Phase.SERVING
    state._notices.append(
        Serving(ownership.partition, adopted, closed, ownership.handed)
    )
    ownership.handed = None
    own = ownership.parts.get(state._incarnation, {})
    ownership.parts = {state._incarnation: own}
    seconds = (now - ownership.started).total_seconds()
    effects: list[Effect] = [
        Count(Counter.TAKEOVER_FINISHED),
        Observe("takeover_seconds", seconds),
        _log("partition served", ownership),
    ]
    if not ownership.remembered:
        effects += _tell_own_records(state, ownership, now)
    return effects


def _tell_own_records(
    state: TakeoverState, ownership: Ownership, now: datetime
) -> list[Effect]:
    """Give the own executor's records of the partition to another executor.

    They are starts that former owners placed here. If this process died now, home and
    record would go together, and the next owner could not know of those starts.
    """
    if ownership.remember_to and now - ownership.asked < FENCE_RESEND:
        return []
    helpers = state.helpers()
    if not helpers:
        return []
    ownership.asked = now
    ownership.remember_to = helpers[ownership.partition % len(helpers)]
    parts = ownership.parts.get(state._incarnation, {}).values()
    started = [record for part in parts for record in part.started]
    closed = [record for part in parts for record in part.closed]
    covers = {name for part in parts for name in part.covers}
    covers.discard(state._incarnation)
    covers.add(cover_as_owner(state._incarnation, ownership.epoch))
    messages = remember_messages(
        ownership.partition,
        cover_as_owner(state._incarnation, ownership.epoch),
        started,
        closed,
        tuple(sorted(covers)),
        ownership.forgotten_before,
    )
    return [Send(ownership.remember_to, message) for message in messages]


def remember_acknowledged(state: TakeoverState, message: RememberAck) -> list[Effect]:
    """Note that another executor holds the own executor's records."""
    ownership = state._owned.get(message.partition)
    if ownership is None:
        return []
    if message.source == cover_as_owner(state._incarnation, ownership.epoch):
        ownership.remembered = True
        ownership.parts.clear()
    return []


# ---------------------------------------------------------------------------
# Handoffs


def _probe_for_handoffs(state: TakeoverState) -> list[Effect]:
    """Hand over only while the table answers: the next home must write its claim."""
    wanted = _handoffs_wanted(state)
    if not wanted:
        return []
    return [ReadRows(f"{_PROBE}:0:0", partition_key(wanted[0].partition))]


def _probe_read(state: TakeoverState, event: RowsRead) -> list[Effect]:
    if event.rows is not None:
        state._notices += _handoffs_wanted(state)
    return []


def _handoffs_wanted(state: TakeoverState) -> list[HandoffWanted]:
    handing = sum(
        ownership.phase is Phase.HANDING for ownership in state._owned.values()
    )
    wanted: list[HandoffWanted] = []
    for partition, ownership in sorted(state._owned.items()):
        if len(wanted) + handing >= HANDOFFS_AT_ONCE:
            break
        target = _preferred(state, partition)
        if ownership.phase is not Phase.SERVING or target is None:
            continue
        if target.incarnation != state._incarnation:
            wanted.append(HandoffWanted(partition, target.incarnation))
    return wanted


def begin_handoff(
    state: TakeoverState, partition: int, handed: HandedLedger, now: datetime
) -> PartitionRow:
    """Stop serving a partition; ``handed`` is kept in case the handoff fails.

    Returns:
      The row that the next home must replace.
    """
    ownership = state._owned[partition]
    ownership.phase = Phase.HANDING
    ownership.asked = now
    ownership.handed = handed
    return state._rows[partition]


def reclaim(state: TakeoverState, partition: int, now: datetime) -> list[Effect]:
    """Take a partition back whose handoff failed, under a new epoch.

    The next home may still hold the ledger that was handed over; the new epoch makes
    its claim fail, so that it can't serve from what is out of date by then.
    """
    handed = state._owned[partition].handed
    row = state._rows[partition]
    return _claim(state, partition, row, handed, "", now)


def handoff_received(
    state: TakeoverState, message: Handoff, sender: str, now: datetime
) -> list[Effect]:
    """Apply one chunk of a ledger; with the last one the partition is claimed."""
    place = (sender, message.partition, message.epoch)
    if state._leaving or not state._map_known:
        refused = HandoffAck(message.partition, message.epoch, False)
        return [Send(sender, refused)]
    if message.partition in state._owned:
        return []
    parts = state._incoming.setdefault(place, {})
    parts[message.chunk] = message
    if len(parts) < message.chunks:
        return []
    del state._incoming[place]
    known = state._rows.get(message.partition)
    if known is not None and known.epoch > message.epoch:
        return [Send(sender, HandoffAck(message.partition, message.epoch, False))]
    row = PartitionRow(message.partition, sender, message.epoch, now, message.version)
    handed = _join_parts([parts[number] for number in sorted(parts)])
    return [Count(Counter.HANDOFF_TAKEN)] + _claim(
        state, message.partition, row, handed, sender, now
    )


def _join_parts(parts: list[Handoff]) -> HandedLedger:
    first = parts[0]
    return HandedLedger(
        first.floor,
        first.lossy_before,
        first.forgotten_before,
        tuple(record for part in parts for record in part.refused),
        tuple(record for part in parts for record in part.finished),
    )


def handoff_acknowledged(
    state: TakeoverState, message: HandoffAck, now: datetime
) -> list[Effect]:
    """End a handoff: the next home owns the partition, or it is taken back."""
    ownership = state._owned.get(message.partition)
    if ownership is None or ownership.phase is not Phase.HANDING:
        return []
    if ownership.epoch != message.epoch:
        return []
    if message.taken:
        _lose(state, ownership)
        return []
    return reclaim(state, message.partition, now)


def _log(event: str, ownership: Ownership) -> Log:
    fields = (("partition", ownership.partition), ("epoch", ownership.epoch))
    return Log(logging.INFO, event, fields=fields)
