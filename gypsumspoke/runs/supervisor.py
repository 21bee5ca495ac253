"""The supervisor: a sidecar's reducer, and its worker's only client.

Entries place runs here; the supervisor starts them when there is room, extends the
worker's lease, and reports each run's end to its entry. A run's room is reserved from
before its start is sent until the worker lists its end, so that an unanswered start and
an unfinished stop still count.
"""

import logging
from datetime import datetime
from functools import singledispatch
from typing import Any

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.core.events import Drain, PeerConnected, PeerLost, Received, Tick
from gypsumspoke.runs import (
    silent_links,
    supervisor_commands,
    supervisor_cordons,
    supervisor_incarnation,
    supervisor_links,
    supervisor_renewals,
    supervisor_report,
    waiting_room,
)
from gypsumspoke.runs.directory import EntriesRead, SettingsRead
from gypsumspoke.runs.messages import (
    AskRun,
    ConfigurationOffer,
    KnownEntries,
    PlaceRun,
    ReportAck,
    RunMessage,
    WithdrawRun,
)
from gypsumspoke.runs.supervisor_placement import (
    handle_placement,
    handle_run_query,
    handle_withdrawal,
    record_heard,
)
from gypsumspoke.runs.supervisor_queue import cancel_waiting_runs, start_waiting_runs
from gypsumspoke.runs.supervisor_state import SupervisorState
from gypsumspoke.runs.supervisor_stop import begin_stop, continue_stop
from gypsumspoke.runs.values import EndReason, WorkerReady
from gypsumspoke.runs.worker_commands import (
    CommandAnswered,
    HeartbeatArrived,
    RenewalAnswered,
    RenewalFailed,
    WorkerLeft,
)
from gypsumspoke.runs.worker_record import WorkerRecordRead


def reduce(state: SupervisorState, event: Any, now: datetime) -> list[Effect]:
    """Handle one event.

    Args:
      state: the supervisor's state, changed in place.
      event: an event of ``runs/worker_commands.py`` or ``core/events.py``.
      now: the current time of a steady clock.

    Returns:
      The effects to carry out.
    """
    effects = _handle(event, state, now)
    return [*effects, *supervisor_report.send_change_reports(state, now)]


@singledispatch
def _handle(event: Any, state: SupervisorState, now: datetime) -> list[Effect]:
    return []


@_handle.register
def _(event: Received, state: SupervisorState, now: datetime) -> list[Effect]:
    return _handle_message(event.message, event.sender, state, now)


@_handle.register
def _(event: HeartbeatArrived, state: SupervisorState, now: datetime) -> list[Effect]:
    effects = supervisor_incarnation.handle_registration(state, event.registration, now)
    effects += _cancel_waiting_if_draining(state, now)
    return [*effects, *start_waiting_runs(state, now)]


@_handle.register
def _(event: WorkerLeft, state: SupervisorState, now: datetime) -> list[Effect]:
    if state.worker is None:
        state.records.record_left()
        return supervisor_incarnation.update_from_record(state)
    if state.worker.id != event.id:
        return []
    state.worker = state.worker._replace(state=WorkerReady.DRAINING)
    log = Log(logging.INFO, "worker left", fields=(("worker", event.id),))
    return [log, *cancel_waiting_runs(state, EndReason.WORKER_DRAINING, now)]


@_handle.register
def _(event: CommandAnswered, state: SupervisorState, now: datetime) -> list[Effect]:
    effects = supervisor_commands.handle_answer(state, event, now)
    return [*effects, *start_waiting_runs(state, now)]


@_handle.register
def _(event: RenewalAnswered, state: SupervisorState, now: datetime) -> list[Effect]:
    effects = supervisor_renewals.handle_renewal_answer(state, event, now)
    effects += supervisor_incarnation.update_from_record(state)
    effects += _cancel_waiting_if_draining(state, now)
    effects += start_waiting_runs(state, now)
    effects += waiting_room.send_back_overdue(state, now)
    return [*effects, *supervisor_renewals.next_renewal(state, now)]


@_handle.register
def _(event: RenewalFailed, state: SupervisorState, now: datetime) -> list[Effect]:
    effects = supervisor_renewals.handle_renewal_failure(state, event, now)
    return [*effects, *_cancel_waiting_if_draining(state, now)]


@_handle.register
def _(event: Tick, state: SupervisorState, now: datetime) -> list[Effect]:
    effects = _cancel_runs_of_silent_entries(state, now)
    effects += silent_links.replace_silent(state, now)
    effects += supervisor_links.update_links(state, now)
    effects += supervisor_renewals.expire_runs(state, now)
    effects += supervisor_commands.retry_stops(state, now)
    effects += supervisor_renewals.next_renewal(state, now)
    effects += start_waiting_runs(state, now)
    effects += waiting_room.send_back_overdue(state, now)
    effects += supervisor_report.send_regular_reports(state, now)
    effects += supervisor_cordons.note_empty(state, now)
    effects += state.records.to_store(
        state.worker, state.worker_incarnation, state.pace, now
    )
    return [*effects, *continue_stop(state, now)]


@_handle.register
def _(event: WorkerRecordRead, state: SupervisorState, now: datetime) -> list[Effect]:
    effects = state.records.record_read(event, state.service)
    return [*effects, *supervisor_incarnation.update_from_record(state)]


@_handle.register
def _(event: EntriesRead, state: SupervisorState, now: datetime) -> list[Effect]:
    state.group.record_domains(event.domains)
    return state.directory.update_from_store(event.addresses)


@_handle.register
def _(event: SettingsRead, state: SupervisorState, now: datetime) -> list[Effect]:
    return state.directory.update_from_settings(event.known_entries)


def _cancel_waiting_if_draining(state: SupervisorState, now: datetime) -> list[Effect]:
    if state.worker is None or state.worker.state is not WorkerReady.DRAINING:
        return []
    return cancel_waiting_runs(state, EndReason.WORKER_DRAINING, now)


# ---------------------------------------------------------------------------
# Messages from entries


@singledispatch
def _handle_message(
    message: RunMessage, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    return []


@_handle_message.register
def _(
    message: ReportAck, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    record_heard(state, sender, message.heard, now)
    if sender not in state.peers:
        return []
    state.group.record_sidecars(sender, message.sidecars)
    return silent_links.handle_ack(state, sender, now)


def _cancel_runs_of_silent_entries(
    state: SupervisorState, now: datetime
) -> list[Effect]:
    """Cancel the runs of entries that were not heard for ``entry_silence``.

    An entry that died can't stop them, and its caller will resubmit the job; the task
    would then run twice at once.
    """
    effects: list[Effect] = []
    limit = now - state.budget.entry_silence
    for local in list(state.runs.values()):
        if state.heard.get(local.coordinator, state.origin) < limit:
            effects += supervisor_commands.cancel_run(
                state, local, EndReason.COORDINATOR_SILENT, now
            )
    for entry, heard in list(state.heard.items()):
        if heard < limit and entry not in state.peers:
            del state.heard[entry]
    return effects


_handle.register(PeerConnected, supervisor_links.handle_connected)
_handle.register(PeerLost, supervisor_links.handle_connection_lost)
_handle.register(Drain, begin_stop)
_handle_message.register(KnownEntries, supervisor_links.handle_known_entries)
_handle_message.register(ConfigurationOffer, supervisor_cordons.handle_offer)
_handle_message.register(PlaceRun, handle_placement)
_handle_message.register(AskRun, handle_run_query)
_handle_message.register(WithdrawRun, handle_withdrawal)
