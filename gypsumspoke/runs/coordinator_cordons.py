"""The cordons that an entry knows, and how it hands them on.

Each change is sent to all peers, and the current state to each new one. A change passes
each entry once, since only a higher revision replaces a lower one.
"""

import logging
from datetime import datetime

from gypsumspoke.core.effects import Effect, Log, Send
from gypsumspoke.runs.coordinator_state import CoordinatorState
from gypsumspoke.runs.cordons import Cordons, CordonsRead, may_have_changed
from gypsumspoke.runs.messages import ConfigurationOffer


def handle_read(
    event: CordonsRead, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Apply the cordons read from the store."""
    known = state.cordons
    is_unchanged = event.is_unchanged and event.domains == known.domains
    since = known.since if is_unchanged else event.revision
    return update_cordons(state, Cordons(event.revision, since, event.domains), "store")


def update_cordons(
    state: CoordinatorState, cordons: Cordons, source: str
) -> list[Effect]:
    """Apply newer cordons and send a change to all peers.

    Args:
      state: the entry's state, changed in place.
      cordons: the cordons, which may be older than the known ones.
      source: the peer that sent them, or "store".
    """
    known = state.cordons
    if cordons.revision <= known.revision:
        return []
    if not may_have_changed(known, cordons):
        state.cordons = cordons._replace(since=min(known.since, cordons.since))
        return []
    state.cordons = cordons
    offer = ConfigurationOffer(state.version, cordons)
    effects: list[Effect] = [Send(peer, offer) for peer in sorted(state.peers)]
    if cordons.domains != known.domains:
        effects.append(_log_changed(known, cordons, source))
    return effects


def _log_changed(known: Cordons, cordons: Cordons, source: str) -> Log:
    fields = (
        ("revision", cordons.revision),
        ("cordoned", ",".join(cordons.domains)),
        ("lifted", ",".join(sorted(set(known.domains) - set(cordons.domains)))),
        ("source", source),
    )
    return Log(logging.INFO, "cordons changed", fields=fields)
