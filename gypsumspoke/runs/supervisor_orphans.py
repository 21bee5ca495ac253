"""Orphans: runs at the worker that this process did not place.

An earlier process of this sidecar started them, and their room is unknown. They are
stopped, and nothing is started or reported as clean until all of them have ended.

A run that is being stopped still runs but is in neither of the worker's lists. So an
orphan counts until its end is listed, or until a list is newer than the first one
without it by the time that a stop may take.
"""

import logging
from datetime import timedelta

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.worker_commands import RenewalAnswered, StopCommand


def stop_orphans(
    state: SupervisorState, event: RenewalAnswered, is_first: bool
) -> list[Effect]:
    """Stop the unknown runs of a list, and forget orphans that have ended.

    Args:
      state: the supervisor's state, changed in place.
      event: the worker's list.
      is_first: whether it is the first list of this process.
    """
    unknown = {listed.run for listed in event.running if listed.run not in state.runs}
    new = unknown - state.orphans.keys()
    if state.lists_complete_from is None:
        state.lists_complete_from = _lists_complete_from(state, event)
    # Answers on different connections can arrive out of order.
    if event.clock >= state.list_clock:
        state.list_clock = event.clock
        _forget_ended_orphans(state, event)
    state.orphans.update(dict.fromkeys(unknown))
    effects: list[Effect] = [
        StopCommand(run, state.worker_id, state.token) for run in sorted(unknown)
    ]
    if new:
        fields = (("runs", len(new)), ("at_start", is_first))
        effects.append(Log(logging.WARNING, "unknown runs stopped", fields=fields))
    return effects


def _lists_complete_from(state: SupervisorState, event: RenewalAnswered) -> timedelta:
    """Return the worker's clock from which on no list can miss an unknown run.

    A run may have been in the middle of its stop when the first list was made. A worker
    that accepts a command without a token has had no other process in this incarnation.
    """
    if event.token == 0:
        return event.clock
    return event.clock + state.budget.stop_settle_time


def _forget_ended_orphans(state: SupervisorState, event: RenewalAnswered) -> None:
    listed = {running.run for running in event.running}
    ended = {end.run for end in event.ended}
    for run, missing_since in list(state.orphans.items()):
        if run in listed:
            continue
        if missing_since is None:
            state.orphans[run] = missing_since = event.clock
        if run in ended or event.clock > missing_since + state.budget.stop_settle_time:
            del state.orphans[run]
