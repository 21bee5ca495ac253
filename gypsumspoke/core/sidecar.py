"""The sidecar's reducer, composed of membership, home and executor.

Each event goes to all of them; a message to the process's own incarnation is handled at
once, without a connection. A graceful stop has an order: the home hands its partitions
over, the executor finishes its tasks and replicates its records, and only then does
membership end the registration, because other processes regard the memory of an ended
incarnation as lost.

Without a service in its settings the sidecar registers only after the upstream has
announced itself, because the registration contains its service and slots.
"""

from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta

from returns.result import Result

from gypsumspoke.core import executor, executor_state, home, membership
from gypsumspoke.core.effects import Effect, Exit, Local, Send
from gypsumspoke.core.events import Drain, Received, Tick, UpstreamAnnounced
from gypsumspoke.core.policy import Manifest
from gypsumspoke.core.values import Member

REPLICATION_TIMEOUT = timedelta(seconds=20)


class SidecarState:
    """State of one sidecar.

    Args:
      member: this process.
      partition_count: number of partitions.
      seed: seed of the choice of peers and executors.
      parse_manifest: parses and validates the text of a manifest.
    """

    def __init__(
        self,
        member: Member,
        partition_count: int,
        seed: int,
        parse_manifest: Callable[[str], Result[Manifest, tuple[str, ...]]],
    ) -> None:
        self._incarnation = member.incarnation
        self._partition_count = partition_count
        self._seed = seed
        self._parse_manifest = parse_manifest
        self._create_reducers(member)
        self._draining_since: datetime | None = None
        self._leaving = False
        self._exited = False

    @property
    def is_draining(self) -> bool:
        """Whether a graceful stop has begun."""
        return self._draining_since is not None

    @property
    def member(self) -> Member:
        """This process as registered; service and slots as first announced."""
        return self._member

    @property
    def knows_upstream(self) -> bool:
        """Whether the upstream's service is known from settings or an announcement."""
        return bool(self._member.service)

    def _create_reducers(self, member: Member) -> None:
        self._member = member
        self.membership = membership.new_membership(
            member, self._partition_count, self._seed, self._parse_manifest
        )
        self.home = home.new_home(member, self._partition_count, self._seed)
        self.executor = executor.new_executor(
            member.incarnation, member.service, member.slots
        )


def new_sidecar(
    member: Member,
    partition_count: int,
    seed: int,
    parse_manifest: Callable[[str], Result[Manifest, tuple[str, ...]]],
) -> SidecarState:
    """Return the state of a sidecar that has not registered yet.

    Args:
      member: this process.
      partition_count: number of partitions, the same in every process.
      seed: seed of the choice of peers and executors.
      parse_manifest: parses and validates the text of a manifest.
    """
    return SidecarState(member, partition_count, seed, parse_manifest)


def is_ready(state: SidecarState) -> bool:
    """Return whether it is registered and accepts work."""
    return membership.is_registered(state.membership) and not state.is_draining


def reduce(state: SidecarState, event: object, now: datetime) -> list[Effect]:
    """Apply one event.

    Args:
      state: changed in place.
      event: a Received message or another event of ``core.events``.
      now: the current time.

    Returns:
      What the shell must do, in order.
    """
    if not state.knows_upstream:
        return _await_upstream(state, event)
    effects: list[Effect] = []
    events = deque([event])
    while events:
        current = events.popleft()
        # A Drain may also come from membership: the member's row was marked or ended.
        if isinstance(current, Drain) and state._draining_since is None:
            state._draining_since = now
        for effect in _reduce_one(state, current, now):
            local = _local_event(state, effect)
            if local is None:
                effects.append(effect)
            else:
                events.append(local)
    if isinstance(event, Tick):
        effects += _continue_drain(state, now)
    return effects


def _await_upstream(state: SidecarState, event: object) -> list[Effect]:
    """Start at the first announcement; before it a Drain exits at once."""
    if isinstance(event, Drain):
        return [Exit()]
    if isinstance(event, UpstreamAnnounced) and not event.leaving:
        member = state.member._replace(service=event.service, slots=event.slots)
        state._create_reducers(member)
    return []


def _reduce_one(state: SidecarState, event: object, now: datetime) -> list[Effect]:
    membership.set_load(state.membership, executor_state.load(state.executor))
    home.set_clock_is_off(state.home, membership.clock_is_off(state.membership))
    effects = membership.reduce(state.membership, event, now)
    # The executor must know of a higher epoch before the home acts on it.
    effects += executor.reduce(state.executor, event, now)
    effects += home.reduce(state.home, event, now)
    return effects


def _local_event(state: SidecarState, effect: Effect) -> object | None:
    """Return the event that an effect causes in this process, or None."""
    if isinstance(effect, Local):
        return effect.event
    if isinstance(effect, Send) and effect.to == state._incarnation:
        return Received(state._incarnation, effect.message)
    return None


def _continue_drain(state: SidecarState, now: datetime) -> list[Effect]:
    if state._draining_since is None or state._exited:
        return []
    if not state._leaving:
        if not _has_departed(state, now):
            return []
        state._leaving = True
        return membership.reduce(state.membership, membership.Leave(), now)
    if not membership.has_left(state.membership):
        return []
    state._exited = True
    return [Exit()]


def _has_departed(state: SidecarState, now: datetime) -> bool:
    if not home.is_departed(state.home, now) or not state.executor.idle:
        return False
    # Without another executor the records can't be replicated.
    has_timed_out = now - state._draining_since >= REPLICATION_TIMEOUT
    return state.executor.departed or has_timed_out
