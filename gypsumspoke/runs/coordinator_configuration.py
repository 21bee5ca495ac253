"""The configuration in force at an entry: the newest version that it has received.

It comes from the store, or from another entry if the store is out of reach. Versions
below the one in force are ignored.
"""

import logging
from datetime import datetime

from returns.pipeline import is_successful

from gypsumspoke.core.effects import Effect, Log, Send
from gypsumspoke.runs.coordinator_cordons import update_cordons
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
    """Apply the configuration read from the store."""
    return _apply(state, event, "store", now)


def _apply(
    state: CoordinatorState, event: ConfigurationChanged, source: str, now: datetime
) -> list[Effect]:
    """Put a configuration in force if it is newer than the current one."""
    version = event.table.configuration.version
    current = state.version
    if version <= current:
        return []
    state.table = event.table
    state.configuration_text = event.text
    fields = (("version", version), ("replaced", current), ("source", source))
    effects: list[Effect] = [Log(logging.INFO, "configuration in force", fields=fields)]
    if current == 0:
        effects.append(FirstConfiguration())
    for entry in sorted(state.entries):
        effects.append(Send(entry, ConfigurationOffer(version, state.cordons)))
    return effects


def handle_offer(
    message: ConfigurationOffer, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Apply newer cordons of another entry; request a newer configuration."""
    state.entries.add(sender)
    effects = update_cordons(state, message.cordons, sender)
    if message.version <= state.version:
        return effects
    return [*effects, Send(sender, ConfigurationRequest())]


def handle_request(
    message: ConfigurationRequest, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Send the configuration in force to another entry."""
    if state.table is None:
        return []
    return [Send(sender, ConfigurationText(state.version, state.configuration_text))]


def handle_text(
    message: ConfigurationText, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Apply the configuration of another entry."""
    parsed = state.parse_configuration(message.text)
    if not is_successful(parsed):
        fields = (("from", sender), ("error", parsed.failure()))
        return [Log(logging.ERROR, "unreadable configuration", fields=fields)]
    event = ConfigurationChanged(RoutingTable(parsed.unwrap()), message.text)
    return _apply(state, event, sender, now)
