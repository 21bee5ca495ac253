"""The reducer of an entry process, composed of membership and entry.

Each event goes to both, and they communicate through local events. A graceful stop
refuses new requests, answers the waiting ones, ends the registration and exits.
"""

from collections import deque
from datetime import datetime, timedelta

from gypsumspoke.core import entry, membership
from gypsumspoke.core.effects import Effect, Exit, Local
from gypsumspoke.core.events import Drain
from gypsumspoke.core.values import Member

# The load balancer sends callers until its next readiness check.
MIN_DRAIN_DURATION = timedelta(seconds=1)


class EntryRoleState:
    """State of an entry process; created by ``new_entry_role``."""

    def __init__(
        self,
        members: membership.MembershipState,
        requests: entry.EntryState,
        drain_timeout: timedelta,
    ) -> None:
        self._members = members
        self._requests = requests
        self._drain_timeout = drain_timeout
        self._drain_started: datetime | None = None
        self._leaving = False
        self._exited = False

    @property
    def members(self) -> membership.MembershipState:
        """The membership view, read-only."""
        return self._members

    @property
    def requests(self) -> entry.EntryState:
        """The state of the entry, read-only."""
        return self._requests


def new_entry_role(
    member: Member,
    partition_count: int,
    seed: int,
    parse_manifest: membership.ParseManifest,
    drain_timeout: timedelta,
) -> EntryRoleState:
    """Return the state of an entry process at its start.

    Args:
      member: this process.
      partition_count: number of partitions, the same in every process.
      seed: seed of random choices.
      parse_manifest: parses and validates the text of a manifest.
      drain_timeout: maximum duration of a graceful stop.
    """
    members = membership.new_membership(member, partition_count, seed, parse_manifest)
    requests = entry.new_entry(member, partition_count, seed)
    return EntryRoleState(members, requests, drain_timeout)


def reduce(state: EntryRoleState, event, now: datetime) -> list[Effect]:
    """Apply one event.

    Args:
      state: changed in place.
      event: any event of the core.
      now: the time of the event.

    Returns:
      What the shell must do, in order; local events have been applied already.
    """
    effects = _reduce_both(state, event, now)
    if isinstance(event, Drain) or entry.is_draining(state.requests):
        effects += _continue_drain(state, now)
    return effects


def is_ready(state: EntryRoleState) -> bool:
    """Return whether the entry is registered and accepts requests."""
    registered = membership.is_registered(state.members)
    return registered and entry.is_ready(state.requests)


def is_draining(state: EntryRoleState) -> bool:
    """Return whether a graceful stop has begun."""
    return entry.is_draining(state.requests)


def _reduce_both(state: EntryRoleState, event, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    events = deque([event])
    while events:
        current = events.popleft()
        produced = membership.reduce(state.members, current, now)
        entry.set_clock_off(state.requests, membership.clock_is_off(state.members))
        produced += entry.reduce(state.requests, current, now)
        for effect in produced:
            if isinstance(effect, Local):
                events.append(effect.event)
            else:
                effects.append(effect)
    return effects


def _continue_drain(state: EntryRoleState, now: datetime) -> list[Effect]:
    if state._exited:
        return []
    if state._drain_started is None:
        state._drain_started = now
    effects: list[Effect] = []
    elapsed = now - state._drain_started
    if elapsed >= state._drain_timeout:
        effects += entry.give_up_all(state.requests, now)
    is_done = entry.waiting_count(state.requests) == 0 and elapsed >= MIN_DRAIN_DURATION
    if is_done and not state._leaving:
        state._leaving = True
        effects += membership.reduce(state.members, membership.Leave(), now)
    if state._leaving and membership.has_left(state.members):
        state._exited = True
        effects.append(Exit())
    return effects
