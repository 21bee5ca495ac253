"""Runs at the worker that nobody here placed.

An earlier process of this sidecar started them, and nobody knows what room they take.
They are stopped, and nothing is started or called clean until all of them are gone.

A run that is being stopped is at work and in neither of the worker's lists. Taken for
gone as soon as a list lacked it, its task was placed again and ran beside it. So it
counts until its end is listed, or until a list is younger than its disappearance by
what a stop may take.
"""

import logging
from datetime import timedelta

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.worker_commands import RenewalAnswered, StopCommand


def stop_orphans(
    state: SupervisorState, event: RenewalAnswered, is_first: bool
) -> list[Effect]:
    """Have the unknown runs of a list stopped, and forget those that are gone.

    Args:
      state: the guard's state, changed in place.
      event: the worker's list.
      is_first: whether it is the first of this process.
    """
    unknown = {listed.run for listed in event.running if listed.run not in state.runs}
    fresh = unknown - state.orphans.keys()
    if state.lists_complete_from is None:
        state.lists_complete_from = _lists_complete_from(state, event)
    # Answers on different connections overtake each other.
    if event.clock >= state.list_clock:
        state.list_clock = event.clock
        _forget_ended_orphans(state, event)
    state.orphans.update(dict.fromkeys(unknown))
    effects: list[Effect] = [
        StopCommand(run, state.worker_id, state.token) for run in sorted(unknown)
    ]
    if fresh:
        fields = (("runs", len(fresh)), ("at_start", is_first))
        effects.append(Log(logging.WARNING, "unknown runs stopped", fields=fields))
    return effects


def _lists_complete_from(state: SupervisorState, event: RenewalAnswered) -> timedelta:
    """Return from when on, by the worker's clock, no list hides an unknown run.

    A run may have been in the middle of its stop when the first list was made. A worker
    that takes an order without a token has obeyed no process in this life.
    """
    if event.token == 0:
        return event.clock
    return event.clock + state.budget.stop_settle_time


def _forget_ended_orphans(state: SupervisorState, event: RenewalAnswered) -> None:
    listed = {running.run for running in event.running}
    ended = {end.run for end in event.ended}
    for run, vanished in list(state.orphans.items()):
        if run in listed:
            continue
        if vanished is None:
            state.orphans[run] = vanished = event.clock
        if run in ended or event.clock > vanished + state.budget.stop_settle_time:
            del state.orphans[run]
