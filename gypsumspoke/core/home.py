"""The home: sole authority for the submissions of its partitions.

It decides for each copy whether the submission is new, running, answered or refused,
so that any number of copies through any entries make one job. What may be said about
a key depends on what this home can know: keys born before it took over need an attempt
number that no predecessor handed out, and where records were lost they are answered
"unknown". See docs/DESIGN.md for the cases.
"""

import heapq
from datetime import datetime, timedelta
from functools import singledispatch
from typing import NamedTuple

from gypsumspoke.core import (
    adoption,
    claims,
    dispatch,
    endings,
    fences,
    handoffs,
    takeover,
    takeover_view,
)
from gypsumspoke.core.data import (
    Answer,
    CancelJob,
    CloseAck,
    Count,
    Counter,
    Drain,
    Effect,
    FenceAck,
    FenceRefused,
    Handoff,
    HandoffAck,
    Heartbeat,
    JobKey,
    ManifestChanged,
    Member,
    MembersChanged,
    PartitionsChanged,
    PeerConnected,
    PeerLost,
    QueryJob,
    ReachabilityChanged,
    Received,
    RememberAck,
    RetryReason,
    RowsRead,
    RowsWritten,
    Submission,
    SubmitJob,
    TaskOutcome,
    TaskRunning,
    Tick,
)
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.home_state import HomeState, Parked, answer_of, reply
from gypsumspoke.core.jobs import Job, Waiter
from gypsumspoke.core.ownership import HandoffWanted, Lost, Ownership, Serving
from gypsumspoke.core.placement import (
    STRATEGIES,
    expected_run,
    expected_wait,
    new_placement,
    note_load,
    serves,
    set_members,
    set_policy,
)
from gypsumspoke.core.takeover_view import REQUEST_PREFIX, take_notices

PARK_LIMIT = timedelta(seconds=2)
PARKED_LIMIT = 1_000
DRAIN_LIMIT = timedelta(seconds=10)
REFUSE_NEW_AFTER = timedelta(seconds=5)


def new_home(member: Member, partition_count: int, seed: int) -> HomeState:
    """Return the state of a home that owns nothing yet.

    Args:
      member: this process.
      partition_count: number of partitions, the same in every process.
      seed: for the choice of executors.
    """
    return HomeState(member, partition_count, seed)


def reduce(state: HomeState, event: object, now: datetime) -> list[Effect]:
    """Apply one event.

    Args:
      state: changed in place.
      event: a Received message or another event of ``core.data``.
      now: the current time.

    Returns:
      What the shell must do, in order.
    """
    effects = _on(event, state, now)
    effects += _act_on_notices(state, now)
    effects += dispatch.place_waiting(state, now)
    effects += endings.send_confirmations(state, now)
    return effects


def is_departed(state: HomeState, now: datetime) -> bool:
    """Return whether a draining home owns nothing, or can't hand over any more."""
    if state.draining_since is None:
        return False
    if not state.takeover.owned:
        return True
    return not state.job_count and now - state.draining_since >= DRAIN_LIMIT


def set_clock_is_off(state: HomeState, is_off: bool) -> None:
    """Stop or resume taking keys: births can't be judged with a wrong clock."""
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
# Copies of submissions


@_on_message.register
def _(message: SubmitJob, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    ownership = state.serving(message.partition)
    if ownership is None:
        return _park(state, sender, message, now)
    submission = message.submission
    waiter = Waiter(sender, message.request)
    kind = _unfit(state, ownership, submission, now)
    if kind is not None:
        return [Count(kind), reply(waiter, submission.key, answer_of(kind))]
    effects = _attach(state, ownership, submission, waiter, now)
    if effects is None:
        effects = _first_sight(state, ownership, submission, waiter, now)
    if message.wait or state.job(message.partition, submission.key) is None:
        return effects
    running = answer_of(ErrorKind.JOB_RUNNING)
    return effects + [reply(waiter, submission.key, running)]


def _unfit(
    state: HomeState, ownership: Ownership, submission: Submission, now: datetime
) -> ErrorKind | None:
    """Return why a copy can't be judged here, or None."""
    policy = state.policy
    if state.clock_is_off:
        return ErrorKind.CLOCK_OFF
    if submission.birth > now + policy.clock_skew:
        return ErrorKind.BIRTH_IN_FUTURE
    forgotten_before = adoption.forgotten_before(state, ownership)
    if submission.birth < max(now - policy.retention, forgotten_before):
        # Its record may be gone, so a start now could be the second one.
        return ErrorKind.KEY_EXPIRED
    if submission.attempt >= ownership.floor.ceiling:
        return ErrorKind.ATTEMPT_NOT_ISSUED
    return None


def _attach(
    state: HomeState,
    ownership: Ownership,
    submission: Submission,
    waiter: Waiter,
    now: datetime,
) -> list[Effect] | None:
    """Answer a copy of a known submission; None if the key may run."""
    partition, key = ownership.partition, submission.key
    finished = state.ledger.finished(partition, key)
    job = state.job(partition, key)
    adopted = state.adopted.get(partition, {}).get(key)
    known = finished or adopted or (job.submission if job is not None else None)
    if known is not None:
        if (known.birth, known.digest) != (submission.birth, submission.digest):
            kind = ErrorKind.KEY_REUSED
            return [Count(kind), reply(waiter, key, answer_of(kind))]
    if finished is not None:
        return [
            Count(Counter.ANSWERED_FROM_KEPT),
            reply(waiter, key, finished.answer),
        ]
    if job is not None:
        return _attach_to_running(state, job, submission, waiter)
    if adopted is not None:
        return adoption.resume(state, ownership, adopted, submission, waiter, now)
    return _attach_to_refused(state, ownership, submission, waiter, now)


def _attach_to_running(
    state: HomeState, job: Job, submission: Submission, waiter: Waiter
) -> list[Effect]:
    """Let a copy wait for the running job; its later deadline counts."""
    if waiter not in job.waiters:
        job.waiters.append(waiter)
    attempt = max(job.submission.attempt, submission.attempt)
    deadline = max(job.submission.deadline, submission.deadline)
    if deadline > job.submission.deadline:
        heapq.heappush(state.deadlines, (deadline, job.partition, submission.key))
    job.submission = job.submission._replace(attempt=attempt, deadline=deadline)
    return [Count(Counter.ATTACHED_TO_RUNNING)]


def _attach_to_refused(
    state: HomeState,
    ownership: Ownership,
    submission: Submission,
    waiter: Waiter,
    now: datetime,
) -> list[Effect] | None:
    known = state.ledger.refused(ownership.partition, submission.key)
    if known is None:
        return None
    if known.birth != submission.birth:
        kind = ErrorKind.KEY_REUSED
        return [Count(kind), reply(waiter, submission.key, answer_of(kind))]
    if submission.attempt > known.submission_attempt:
        return None
    return endings.refuse(
        state, ownership, waiter, submission, ErrorKind.ALREADY_REFUSED, now
    )


def _first_sight(
    state: HomeState,
    ownership: Ownership,
    submission: Submission,
    waiter: Waiter,
    now: datetime,
) -> list[Effect]:
    """Decide about a key of which this home has no start and no answer."""
    floor = ownership.floor
    lossy_before = floor.lossy_before
    if lossy_before is not None and submission.birth < lossy_before:
        kind = ErrorKind.RECORDS_LOST
        return [
            Count(kind),
            Count(Counter.UNKNOWN_BY_DOUBT),
            reply(waiter, submission.key, answer_of(kind)),
        ]
    if submission.birth < floor.born_before and submission.attempt < floor.attempt:
        return endings.refuse_below_floor(state, ownership, waiter, submission)
    shortage = _shortage(state, submission, now)
    if shortage is not None:
        return endings.refuse(
            state,
            ownership,
            waiter,
            submission,
            shortage.kind,
            now,
            shortage.retry_after,
        )
    state.ledger.forget_refused(ownership.partition, submission.key)
    job = Job(submission, ownership.partition, now)
    job.waiters.append(waiter)
    state.add_job(job)
    dispatch.enqueue(state, job)
    return []


class Shortage(NamedTuple):
    """Why a new job is not accepted now, and when to come back."""

    kind: ErrorKind
    retry_after: timedelta | None


def _shortage(
    state: HomeState, submission: Submission, now: datetime
) -> Shortage | None:
    if not serves(state.placement, submission.service):
        return Shortage(ErrorKind.NO_WORKER_FITS, None)
    known = state.ledger.finished_count + state.job_count
    if known >= state.policy.ledger_limit:
        return Shortage(ErrorKind.LEDGER_FULL, None)
    ahead = _tasks_ahead(state, submission)
    wait = expected_wait(state.placement, submission.service, ahead)
    if ahead > state.policy.home_queue_limit:
        return Shortage(ErrorKind.QUEUE_FULL, wait)
    run = expected_run(state.placement, submission.service)
    # With nothing queued the job is tried whatever the estimate says: an estimate from
    # a time of slow upstreams would else refuse all jobs and never be corrected.
    if state.queued and now + wait + run > submission.deadline:
        return Shortage(ErrorKind.DEADLINE_UNREACHABLE, wait)
    return None


def _tasks_ahead(state: HomeState, submission: Submission) -> int:
    """Return how many tasks fair queueing serves before the job's last one.

    While a team's own queue drains, each other team gets its share and no more, so a
    team within its share does not wait behind one that floods the queue.
    """
    team = submission.key.team
    weight = state.team_weights.get(team, dispatch.DEFAULT_WEIGHT)
    own = state.team_queued.get(team, 0) + len(submission.tasks)
    ahead = own
    for other, queued in state.team_queued.items():
        if other != team:
            share = state.team_weights.get(other, dispatch.DEFAULT_WEIGHT) / weight
            ahead += min(queued, int(own * share) + 1)
    return ahead


# ---------------------------------------------------------------------------
# Requests for partitions that are not served


def _park(state: HomeState, sender: str, message, now: datetime) -> list[Effect]:
    """Let a request wait for a takeover that is under way, not for long."""
    partition = message.partition
    if partition not in state.takeover.owned:
        return _turn_away(message, sender, ErrorKind.NOT_OWNER)
    parked = state.parked.setdefault(partition, [])
    if len(parked) >= PARKED_LIMIT:
        return _turn_away(message, sender, ErrorKind.TAKEOVER_IN_PROGRESS)
    parked.append(Parked(sender, message, now))
    return []


def _turn_away(message, sender: str, kind: ErrorKind) -> list[Effect]:
    key = message.submission.key if isinstance(message, SubmitJob) else message.key
    waiter = Waiter(sender, message.request)
    effects: list[Effect] = [Count(kind), reply(waiter, key, answer_of(kind))]
    if kind is ErrorKind.TAKEOVER_IN_PROGRESS:
        effects.append(Count(Counter.UNKNOWN_BY_DOUBT))
    return effects


def _expire_parked(state: HomeState, now: datetime) -> list[Effect]:
    """Give up on requests whose partition is not served soon, at once and for now."""
    effects: list[Effect] = []
    for partition, parked in list(state.parked.items()):
        late = [one for one in parked if now - one.since >= PARK_LIMIT]
        for one in late:
            parked.remove(one)
            kind = ErrorKind.TAKEOVER_IN_PROGRESS
            effects += _turn_away(one.message, one.sender, kind)
        if not parked:
            del state.parked[partition]
    return effects


# ---------------------------------------------------------------------------
# Questions and cancellations by callers


@_on_message.register
def _(message: QueryJob, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    return _known_or_parked(state, message, sender, now)


@_on_message.register
def _(message: CancelJob, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    job = state.job(message.partition, message.key)
    if job is None or state.serving(message.partition) is None:
        return _known_or_parked(state, message, sender, now)
    job.waiters.append(Waiter(sender, message.request))
    return endings.begin_ending(state, job, ErrorKind.CANCELLED, now)


def _known_or_parked(
    state: HomeState, message: QueryJob | CancelJob, sender: str, now: datetime
) -> list[Effect]:
    ownership = state.serving(message.partition)
    if ownership is None:
        return _park(state, sender, message, now)
    answer = _known_answer(state, ownership, message.key)
    return [reply(Waiter(sender, message.request), message.key, answer)]


def _known_answer(state: HomeState, ownership: Ownership, key: JobKey) -> Answer:
    """Return what is known of a key, without any claim that needs confirming."""
    partition = ownership.partition
    finished = state.ledger.finished(partition, key)
    if finished is not None:
        return finished.answer
    if state.job(partition, key) is not None:
        return answer_of(ErrorKind.JOB_RUNNING)
    if key in state.adopted.get(partition, {}):
        detail = "Accepted by a former home; resubmit it to get its answer."
        return answer_of(ErrorKind.JOB_RUNNING, detail=detail)
    refused = state.ledger.refused(partition, key)
    if refused is not None:
        number = max(refused.submission_attempt + 1, ownership.floor.attempt)
        detail = "Refused before; resubmit it with the next attempt number."
        return Answer(
            ErrorKind.ALREADY_REFUSED,
            Work.UNKNOWN,
            next_attempt=number,
            detail=detail,
        )
    return answer_of(ErrorKind.JOB_NOT_FOUND)


# ---------------------------------------------------------------------------
# Executors


@_on_message.register
def _(
    message: TaskOutcome, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    effects = dispatch.task_outcome(state, message, sender, now)
    if message.reason == RetryReason.STALE_EPOCH.value:
        fences.epoch_refused(state.takeover, message.attempt)
    return effects


@_on_message.register
def _(
    message: TaskRunning, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    return dispatch.task_running(state, message, sender, now)


@_on_message.register
def _(message: CloseAck, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    return endings.confirmed(state, message, now)


@_on_message.register
def _(message: FenceAck, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    return fences.fence_acknowledged(state.takeover, message, now)


@_on_message.register
def _(
    message: FenceRefused, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    return fences.fence_refused(state.takeover, message)


@_on_message.register
def _(
    message: RememberAck, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    adoption.retold(state, message)
    return fences.remember_acknowledged(state.takeover, message)


@_on_message.register
def _(message: Heartbeat, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    takeover_view.note_leaving(state.takeover, sender, message.leaving)
    if message.load is not None:
        note_load(state.placement, sender, message.load, now)
    return []


# ---------------------------------------------------------------------------
# Ownership


@_on_message.register
def _(message: Handoff, sender: str, state: HomeState, now: datetime) -> list[Effect]:
    return handoffs.handoff_received(state.takeover, message, sender, now)


@_on_message.register
def _(
    message: HandoffAck, sender: str, state: HomeState, now: datetime
) -> list[Effect]:
    return handoffs.handoff_acknowledged(state.takeover, message, now)


@_on.register
def _(event: RowsRead, state: HomeState, now: datetime) -> list[Effect]:
    if not event.request.startswith(REQUEST_PREFIX):
        return []
    return takeover.rows_read(state.takeover, event, now)


@_on.register
def _(event: RowsWritten, state: HomeState, now: datetime) -> list[Effect]:
    if not event.request.startswith(REQUEST_PREFIX):
        return []
    return claims.rows_written(state.takeover, event, now)


@_on.register
def _(event: PartitionsChanged, state: HomeState, now: datetime) -> list[Effect]:
    takeover_view.set_rows(state.takeover, event.rows, now)
    return []


def _act_on_notices(state: HomeState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    while notices := take_notices(state.takeover):
        for notice in notices:
            effects += _act(notice, state, now)
    return effects


@singledispatch
def _act(notice: object, state: HomeState, now: datetime) -> list[Effect]:
    raise TypeError(f"no action for {notice!r}")


@_act.register
def _(notice: Serving, state: HomeState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for parked in adoption.begin_serving(state, notice):
        effects += _on_message(parked.message, parked.sender, state, now)
    return effects


@_act.register
def _(notice: Lost, state: HomeState, now: datetime) -> list[Effect]:
    return adoption.drop_partition(state, notice, now)


@_act.register
def _(notice: HandoffWanted, state: HomeState, now: datetime) -> list[Effect]:
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
    # A takeover may have ended with this event; what it learned must be told too.
    effects += _act_on_notices(state, now)
    for incarnation in lost:
        effects += adoption.retell_lost(state, incarnation, now)
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
    takeover_view.set_reachable(state.takeover, event.reachable, now)
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
    fences.peer_lost(state.takeover, event.incarnation)
    return []


@_on.register
def _(event: PeerConnected, state: HomeState, now: datetime) -> list[Effect]:
    state.silent_since.pop(event.incarnation, None)
    if event.incarnation not in state.lost_peers:
        return []
    state.lost_peers.discard(event.incarnation)
    return dispatch.ask_again(state, event.incarnation, now)


@_on.register
def _(event: ManifestChanged, state: HomeState, now: datetime) -> list[Effect]:
    manifest = event.manifest
    state.policy = manifest.policy
    state.ledger.set_kept_bytes(manifest.policy.kept_bytes)
    state.team_weights = {team.name: team.weight for team in manifest.teams}
    takeover_view.set_policy(state.takeover, manifest.policy)
    if manifest.policy.placement != state.placement_name:
        state.placement_name = manifest.policy.placement
        strategy = STRATEGIES.get(manifest.policy.placement)
        state.placement = new_placement(state.seed, strategy)
        _update_placement(state)
    set_policy(state.placement, manifest.policy, manifest.services)
    return []


@_on.register
def _(event: Drain, state: HomeState, now: datetime) -> list[Effect]:
    if state.draining_since is None:
        state.draining_since = now
        takeover_view.set_leaving(state.takeover)
    return []


@_on.register
def _(event: Tick, state: HomeState, now: datetime) -> list[Effect]:
    effects = takeover.tick(state.takeover, now)
    effects += endings.tick(state, now)
    effects += dispatch.expire_deadlines(state, now)
    effects += dispatch.scan(state, now)
    effects += _expire_parked(state, now)
    effects += adoption.tell_again(state, now)
    adoption.expire(state, now)
    return effects
