"""A sidecar whose failure domain operators cordon: nothing new starts on its worker.

Runs that are at work go on. Runs that wait here are refused, so that their entries
place them in other failure domains.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.runs.messages import ConfigurationOffer
from gypsumspoke.runs.supervisor_queue import cancel_waiting_runs
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.values import EndReason


def handle_offer(
    message: ConfigurationOffer, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    """Apply the cordons of an entry if they are newer than the known ones."""
    cordons = message.cordons
    if cordons.revision <= state.cordons.revision:
        return []
    was_cordoned = state.is_cordoned
    state.cordons = cordons
    if state.is_cordoned is was_cordoned:
        return []
    fields = (
        ("failure_domain", state.failure_domain),
        ("revision", cordons.revision),
        ("entry", sender),
        ("runs", len(state.runs)),
    )
    state.is_empty = False
    if was_cordoned:
        state.cordoned_at = None
        return [Log(logging.INFO, "cordon lifted", fields=fields)]
    state.cordoned_at = now
    log = Log(logging.INFO, "failure domain cordoned", fields=fields)
    return [log, *cancel_waiting_runs(state, EndReason.DOMAIN_CORDONED, now)]


def note_empty(state: SupervisorState, now: datetime) -> list[Effect]:
    """Log once that no run is left on a cordoned worker. Called at each tick."""
    if state.cordoned_at is None or state.is_empty or state.runs or state.orphans:
        return []
    state.is_empty = True
    fields = (
        ("failure_domain", state.failure_domain),
        ("cordoned_ms", (now - state.cordoned_at) // timedelta(milliseconds=1)),
    )
    return [Log(logging.INFO, "cordoned worker empty", fields=fields)]
