"""When a sidecar replaces the connection to an entry that carries nothing any more.

The load that this answers: open connections go silent without being closed, many at
once and perhaps again a second later, while new ones work. An entry's runs are stopped
once it has been silent for too long, so its connection is replaced before that: a new
one is made beside the old one, and the old one is given up only when the entry has
answered on the new one. An entry that is down or cut off loses nothing by that, and one
that is only slow gets few new connections.

An entry is silent while its acks stay out. They prove that both directions work, which
data that still arrives does not.
"""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs.directory import ReplaceConnection
from gypsumspoke.runs.supervisor_state import SupervisorState, has_runs_of
from gypsumspoke.runs.values import SidecarRetry

# Until then a replacement has succeeded, or its packets were lost.
RETRY_TICKS = 2.0
# Bounds what entries have to bear: each new connection costs several messages.
MIN_INTERVAL_TICKS = 8.0
# An entry that doesn't answer within a tick on a new connection is slow, and new
# connections make it slower.
SLOW_INTERVAL_TICKS = 30.0
# Once one connection was found silent, others are suspected after this silence.
SUSPICION_TICKS = 2.0
# After a longer time between two ticks this process was paused; acks may be unread.
MAX_TICK_GAP_TICKS = 2.0

_MILLISECOND = timedelta(milliseconds=1)


def replace_silent(state: SupervisorState, now: datetime) -> list[Effect]:
    """Replace the connections to silent entries. Called at each tick."""
    was_paused = now - state.ticked_at > state.budget.tick * MAX_TICK_GAP_TICKS
    state.ticked_at = now
    for entry, due in list(state.replacements.items()):
        if now >= due:
            del state.replacements[entry]
        elif _is_slow(state, entry, now):
            state.replacements[entry] = now + state.budget.tick * SLOW_INTERVAL_TICKS
    if was_paused:
        return []
    effects: list[Effect] = []
    for entry in sorted(state.peers):
        effects += _replace_after(state, entry, _max_silence(state, entry), now)
    return effects


def handle_connected(state: SupervisorState, entry: str, now: datetime) -> None:
    """Bound the interval to the next replacement of a connection just replaced."""
    if entry in state.replacements:
        state.replacements[entry] = now + state.budget.tick * MIN_INTERVAL_TICKS


def handle_ack(state: SupervisorState, entry: str, now: datetime) -> list[Effect]:
    """Suspect the other connections once one was replaced and its entry is alive."""
    if entry not in state.replacements or now - state.peers[entry] > state.budget.tick:
        return []
    effects: list[Effect] = []
    suspicious = state.budget.tick * SUSPICION_TICKS
    for other in sorted(state.peers):
        effects += _replace_after(state, other, suspicious, now)
    return effects


def _is_slow(state: SupervisorState, entry: str, now: datetime) -> bool:
    """Return whether an entry leaves reports on a new connection unanswered."""
    connected = state.peers.get(entry)
    if connected is None or now - connected < state.budget.tick:
        return False
    return state.heard.get(entry, state.origin) < connected


def _max_silence(state: SupervisorState, entry: str) -> timedelta:
    if has_runs_of(state, entry):
        return state.budget.link_silence
    return state.budget.idle_link_silence


def _replace_after(
    state: SupervisorState, entry: str, max_silence: timedelta, now: datetime
) -> list[Effect]:
    """Replace the connection to an entry that has been silent for this long."""
    heard = state.heard.get(entry, state.origin)
    silence = now - max(heard, state.peers[entry])
    if silence < max_silence or now < state.replacements.get(entry, now):
        return []
    state.replacements[entry] = now + state.budget.tick * RETRY_TICKS
    fields = (
        ("entry", entry),
        ("silence_ms", silence // _MILLISECOND),
        ("has_runs", has_runs_of(state, entry)),
    )
    log = Log(logging.WARNING, "silent connection", fields=fields)
    return [ReplaceConnection(entry), Count(SidecarRetry.CONNECTION_SILENT), log]
