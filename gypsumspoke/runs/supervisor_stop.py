"""The graceful stop of a sidecar: nothing new starts, running runs may finish."""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Exit, Log
from gypsumspoke.core.events import Drain
from gypsumspoke.runs import supervisor_commands, supervisor_report
from gypsumspoke.runs.supervisor_queue import cancel_waiting_runs
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.values import EndReason

# A stopping sidecar stops the remaining runs this long after the signal, so that their
# ends are reported before the platform kills the process.
DRAIN_TIMEOUT = timedelta(seconds=4.5)


def begin_stop(event: Drain, state: SupervisorState, now: datetime) -> list[Effect]:
    """Begin the graceful stop, once."""
    if state.draining_since is not None:
        return []
    state.draining_since = now
    log = Log(logging.INFO, "stopping", fields=(("runs", len(state.runs)),))
    effects = [log, *cancel_waiting_runs(state, EndReason.SIDECAR_STOPPING, now)]
    for peer in sorted(state.peers):
        effects += supervisor_report.report_to(state, peer, now)
    return effects


def continue_stop(state: SupervisorState, now: datetime) -> list[Effect]:
    """Exit once nothing runs; after ``DRAIN_TIMEOUT`` stop the remaining runs."""
    if state.draining_since is None or state.has_stopped:
        return []
    if not state.runs and not state.orphans:
        state.has_stopped = True
        return [Log(logging.INFO, "stopped"), Exit()]
    if now < state.draining_since + DRAIN_TIMEOUT:
        return []
    effects: list[Effect] = []
    for local in list(state.runs.values()):
        effects += supervisor_commands.cancel_run(
            state, local, EndReason.SIDECAR_STOPPING, now
        )
    return effects
