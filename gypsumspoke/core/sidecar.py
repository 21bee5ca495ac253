"""The sidecar's reducer: membership, home and executor on one loop.

An event goes to each of them in this order; a message that one sends to its own
incarnation is handled at once without a connection. Leaving has an order too: the home
hands its partitions over, the executor finishes and gives its records to another, and
only then does membership end the registration, since from there on others count this
process as gone with its memory.

Without a service in its settings it waits until the upstream announces itself. It
registers only then: others read from its registration what it offers.
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
    """All that one sidecar knows.

    Args:
      member: this process.
      partition_count: number of partitions.
      seed: for the choice of peers and executors.
      parse_manifest: turns a manifest's text into a checked one.
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
        """Whether it is on its way out."""
        return self._draining_since is not None

    @property
    def member(self) -> Member:
        """This process as it registers; service and slots as first announced."""
        return self._member

    @property
    def knows_upstream(self) -> bool:
        """Whether settings or an announcement told the upstream's service."""
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
      seed: for the choice of peers and executors.
      parse_manifest: turns a manifest's text into a checked one.
    """
    return SidecarState(member, partition_count, seed, parse_manifest)


def is_ready(state: SidecarState) -> bool:
    """Return whether it is registered and takes work."""
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
        # A Drain may also come from within: the own row was marked or ended.
        if isinstance(current, Drain) and state._draining_since is None:
            state._draining_since = now
        for effect in _reduce_one(state, current, now):
            inner = _local_event(state, effect)
            if inner is None:
                effects.append(effect)
            else:
                events.append(inner)
    if isinstance(event, Tick):
        effects += _continue_drain(state, now)
    return effects


def _await_upstream(state: SidecarState, event: object) -> list[Effect]:
    """Begin with the first announcement; until then there is nothing to finish."""
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
    # The executor first: it must know of a higher epoch before the home acts on it.
    effects += executor.reduce(state.executor, event, now)
    effects += home.reduce(state.home, event, now)
    return effects


def _local_event(state: SidecarState, effect: Effect) -> object | None:
    """Return the event that an effect is for this same process, or None."""
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
    # Without any other executor the records can't be told; don't stay for ever.
    late = now - state._draining_since >= REPLICATION_TIMEOUT
    return state.executor.departed or late
