"""Which configuration is in force at an entry: the newest that it has heard of.

It comes from the store, or from another entry where the store turns this one away. A
lower version than the one in force is ignored, so that nothing ever goes back.
"""

import logging
from datetime import datetime

from returns.pipeline import is_successful

from gypsumspoke.core.effects import Effect, Log, Send
from gypsumspoke.runs.coordinator_state import (
    ConfigurationChanged,
    CoordinatorState,
    FirstConfiguration,
)
from gypsumspoke.runs.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    ConfigurationText,
)
from gypsumspoke.runs.routing import RoutingTable


def handle_changed(
    event: ConfigurationChanged, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Take what the store holds."""
    return _apply(state, event, "store", now)


def _apply(
    state: CoordinatorState, event: ConfigurationChanged, source: str, now: datetime
) -> list[Effect]:
    """Put a configuration in force if it is newer than the one that is."""
    version = event.table.configuration.version
    known = state.version
    if version <= known:
        return []
    state.table = event.table
    state.text = event.text
    fields = (("version", version), ("replaced", known), ("source", source))
    effects: list[Effect] = [Log(logging.INFO, "configuration in force", fields=fields)]
    if known == 0:
        effects.append(FirstConfiguration())
    for entry in sorted(state.entries):
        effects.append(Send(entry, ConfigurationOffer(version)))
    return effects


def handle_offer(
    message: ConfigurationOffer, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Ask another entry for its configuration if that is newer."""
    state.entries.add(sender)
    if message.version <= state.version:
        return []
    return [Send(sender, ConfigurationRequest())]


def handle_request(
    message: ConfigurationRequest, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Send the configuration in force, if there is one."""
    if state.table is None:
        return []
    return [Send(sender, ConfigurationText(state.version, state.text))]


def handle_text(
    message: ConfigurationText, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Take the configuration of another entry."""
    parsed = state.parse_configuration(message.text)
    if not is_successful(parsed):
        fields = (("from", sender), ("error", parsed.failure()))
        return [Log(logging.ERROR, "unreadable configuration", fields=fields)]
    event = ConfigurationChanged(RoutingTable(parsed.unwrap()), message.text)
    return _apply(state, event, sender, now)
