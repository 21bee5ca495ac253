"""How an entry handles connections, reports and silence of its sidecars."""

import logging
from collections import Counter
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Log, Send
from gypsumspoke.core.events import PeerConnected, PeerLost
from gypsumspoke.runs.coordinator_state import CoordinatorState, PlacedRun
from gypsumspoke.runs.isolation import end_isolation
from gypsumspoke.runs.leaving_workers import leaves_sooner, withdraw_endangered_runs
from gypsumspoke.runs.messages import (
    AskRun,
    ConfigurationOffer,
    KnownEntries,
    ReportAck,
    RunEnded,
    WithdrawRun,
    WorkerReport,
)
from gypsumspoke.runs.run_ends import handle_run_end
from gypsumspoke.runs.sidecar_views import (
    SidecarView,
    make_offer,
    may_allow_placement,
    record_proof,
    record_run_end,
    restart_connection,
    update_report,
)
from gypsumspoke.runs.values import EndReason, RunEnd, fits

# Time after which a disconnected sidecar is dropped from the state. Its runs have ended
# long before.
FORGET_DELAY = timedelta(seconds=30)


def handle_connected(
    event: PeerConnected, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Send a new peer the known entries; ask a known sidecar about its open runs."""
    state.peers.add(event.incarnation)
    effects: list[Effect] = [
        Send(
            event.incarnation,
            KnownEntries(state.directory.known, state.directory.own),
        ),
        Send(event.incarnation, ConfigurationOffer(state.version, state.cordons)),
    ]
    view = state.views.get(event.incarnation)
    if view is not None:
        restart_connection(view, state.arrival.read)
        state.disconnected.discard(event.incarnation)
        # Placements and run ends may have been lost with the earlier connection.
        for run in view.open_runs:
            is_wanted = PlacedRun(event.incarnation, run) in state.by_run
            ask = AskRun(run) if is_wanted else WithdrawRun(run)
            effects.append(Send(event.incarnation, ask))
    return effects


def handle_connection_lost(
    event: PeerLost, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Mark a sidecar as disconnected; its runs count until they must have ended."""
    state.peers.discard(event.incarnation)
    state.entries.discard(event.incarnation)
    view = state.views.get(event.incarnation)
    if view is None:
        return []
    view.connected = False
    state.disconnected.add(event.incarnation)
    fields = (("sidecar", event.incarnation), ("open_runs", len(view.open_runs)))
    return [Log(logging.WARNING, "sidecar lost", fields=fields)]


def handle_worker_report(
    message: WorkerReport, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Update the view of a sidecar and decide whether to answer with an ack."""
    view = state.views.get(sender)
    effects = end_isolation(state)
    if view is None:
        view = SidecarView(sender, instance_name(sender), now, state.budget)
        state.views[sender] = view
        fields = (("sidecar", sender), ("worker", message.worker))
        effects.append(Log(logging.INFO, "sidecar found", fields=fields))
    took_work = view.report is not None and view.report.takes_work
    previous = make_offer(view, now) if state.waiting else None
    is_leaving_sooner = leaves_sooner(message, view.report)
    update_report(view, message, state.arrival.read)
    if is_leaving_sooner:
        effects += withdraw_endangered_runs(state, view, now)
    if state.waiting and may_allow_placement(
        make_offer(view, now), previous, state.least_queued
    ):
        state.needs_placing_round = True
    if _is_ack_due(state, view):
        record_proof(view, now)
        count = state.sidecar_counts.get(message.service, 0)
        effects.append(Send(sender, ReportAck(message.stamp, count)))
    if took_work is not message.takes_work:
        effects.append(_log_changed(view))
    if message.clean:
        effects += _end_runs_of_replaced(state, view, now)
    return effects


def _is_ack_due(state: CoordinatorState, view: SidecarView) -> bool:
    """Return whether a sidecar needs a new proof that this entry is alive.

    The latest proof is as old as the report whose stamp it carried; a placement carries
    the stamp of a report that may be old already.
    """
    if view.proof_read_at is None:
        return True
    budget = state.budget
    interval = budget.ack_interval if view.open_runs else budget.idle_ack_interval
    return view.reported_at - view.proof_read_at >= interval


def _log_changed(view: SidecarView) -> Log:
    fields = (
        ("sidecar", view.incarnation),
        ("worker", view.report.worker),
        ("takes_work", view.report.takes_work),
        ("failing", view.report.failing),
    )
    return Log(logging.INFO, "sidecar changed", fields=fields)


def handle_run_ended(
    message: RunEnded, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    """Free the room of an ended run and continue its task."""
    view = state.views.get(sender)
    if view is not None and view.report is not None:
        record_run_end(view, message.run, ran=message.took is not None)
        if fits(state.least_queued, view.free):
            state.needs_placing_round = True
    return handle_run_end(state, message, sender, now)


def instance_name(incarnation: str) -> str:
    """Return the name of the instance that runs a process."""
    return incarnation.rpartition("-")[0]


def _end_runs_of_replaced(
    state: CoordinatorState, view: SidecarView, now: datetime
) -> list[Effect]:
    """Mark the runs on earlier incarnations of a sidecar as lost.

    Called when the new incarnation reports that none of those runs is left.
    """
    effects: list[Effect] = []
    # Scans only disconnected sidecars: scanning all of them at each report would take
    # time quadratic in their number.
    for incarnation in sorted(state.disconnected):
        other = state.views[incarnation]
        if other.host == view.host and other.first_seen < view.first_seen:
            effects += _end_lost_runs(state, other, now)
            _forget(state, other)
    return effects


def check_silent_sidecars(state: CoordinatorState, now: datetime) -> list[Effect]:
    """Mark the runs of silent sidecars as lost, and forget disconnected sidecars.

    Silence is measured up to the last time at which all received data had been read,
    so that an overloaded entry doesn't take its own delay for silence.
    """
    effects: list[Effect] = []
    read_until = state.arrival.heard
    for view in list(state.views.values()):
        if view.open_runs and read_until >= view.runs_expire_at:
            effects += _end_lost_runs(state, view, now)
        if not view.connected and read_until >= view.reported_at + FORGET_DELAY:
            _forget(state, view)
    return effects


def count_sidecars(state: CoordinatorState) -> None:
    """Count the connected sidecars of each service. Called at each tick."""
    state.sidecar_counts = Counter(
        view.report.service
        for view in state.views.values()
        if view.connected and view.report is not None
    )


def _forget(state: CoordinatorState, view: SidecarView) -> None:
    del state.views[view.incarnation]
    state.disconnected.discard(view.incarnation)


def _end_lost_runs(
    state: CoordinatorState, view: SidecarView, now: datetime
) -> list[Effect]:
    """End the open runs of a sidecar as lost, so that their tasks run again."""
    state.needs_placing_round = True
    effects: list[Effect] = []
    for run in list(view.open_runs):
        record_run_end(view, run, ran=False)
        lost = RunEnded(run, RunEnd.LOST, EndReason.SIDECAR_SILENT)
        effects += handle_run_end(state, lost, view.incarnation, now)
    return effects
