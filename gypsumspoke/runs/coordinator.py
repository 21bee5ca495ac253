"""The entry's reducer: coordinates best-effort jobs over the connected sidecars.

The entry that takes a job keeps it until it is answered. It needs no store for that: if
the entry is lost, so is the job, its runs end by the time budget (``runs/budget.py``),
and the caller sends it again through another entry.
"""

import logging
from datetime import datetime, timedelta
from functools import singledispatch
from typing import Any

from returns.pipeline import is_successful

from gypsumspoke.core.effects import Effect, Exit, Log, Send
from gypsumspoke.core.events import Drain, PeerConnected, PeerLost, Received, Tick
from gypsumspoke.runs.admission import (
    DEFAULT_RETRY_AFTER,
    SETTLING,
    Refusal,
    knows_a_worker,
    refuse_hopeless,
    refuse_late,
    refuse_unservable,
)
from gypsumspoke.runs.assignment import open_steps, place_waiting
from gypsumspoke.runs.conclusion import finish, give_up, may_have_run, refuse
from gypsumspoke.runs.coordinator_state import (
    CancelJobArrived,
    ConfigurationChanged,
    CoordinatorState,
    FirstConfiguration,
    JobArrived,
    JobCallerLeft,
    JobProgress,
)
from gypsumspoke.runs.directory import EntriesRead, SettingsRead
from gypsumspoke.runs.fleet import (
    SidecarView,
    note_ended,
    restart_connection,
    take_report,
)
from gypsumspoke.runs.isolation import check_isolation, note_heard
from gypsumspoke.runs.messages import (
    AskRun,
    ConfigurationOffer,
    ConfigurationRequest,
    ConfigurationText,
    KnownEntries,
    Pulse,
    RunEnded,
    RunMessage,
    WithdrawRun,
    WorkerReport,
)
from gypsumspoke.runs.patience import PatienceRead
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.run_ends import take_run_end
from gypsumspoke.runs.values import EndReason, JobEnd, RefusalReason, RunEnd

# A stopping entry goes on taking requests on open connections until the platform's
# balancer has missed two checks, a second apart, and sends nothing new.
DRAIN_AT_LEAST = timedelta(seconds=2.6)
# It ends at the latest then: before the platform kills it, some seconds after SIGTERM.
DRAIN_AT_MOST = timedelta(seconds=5.4)
_MILLISECOND = timedelta(milliseconds=1)
# A sidecar that is gone is forgotten after this; its runs are long dead.
FORGET_AFTER = timedelta(seconds=30)


def reduce(state: CoordinatorState, event: Any, now: datetime) -> list[Effect]:
    """Take one event.

    Args:
      state: the coordinator's state, changed in place.
      event: an event of ``coordinator_state.py`` or ``core/events.py``.
      now: the current time of a steady clock.

    Returns:
      What is to be done.
    """
    return _take(event, state, now)


def is_ready(state: CoordinatorState, now: datetime) -> bool:
    """Return whether new connections should come to this entry.

    A new one waits for its first worker, so that callers go to entries that have some;
    but not for ever, since it can also tell callers that there is none.
    """
    if state.table is None or state.draining is not None or state.isolated:
        return False
    return knows_a_worker(state) or now - state.started >= SETTLING


@singledispatch
def _take(event: Any, state: CoordinatorState, now: datetime) -> list[Effect]:
    return []


# ---------------------------------------------------------------------------
# Jobs


@_take.register
def _(event: JobArrived, state: CoordinatorState, now: datetime) -> list[Effect]:
    known = state.jobs.get(event.job.id)
    if known is not None:
        return _attach(state, known, event)
    if state.isolated:
        refusal = Refusal(RefusalReason.ISOLATED, DEFAULT_RETRY_AFTER)
        return refuse(event.request, event.job.id, refusal, JobEnd.GIVEN_UP)
    refusal = refuse_unservable(state, event, now)
    refusal = refusal or refuse_hopeless(state, event, now)
    if refusal is not None:
        return refuse(event.request, event.job.id, refusal)
    progress = JobProgress(event, now, _waited_elsewhere(state, event, now))
    state.jobs[progress.id] = progress
    state.by_request[event.request] = progress.id
    open_steps(state, progress)
    effects = place_waiting(state, now)
    return [_log_accepted(state, progress), *effects]


def _waited_elsewhere(
    state: CoordinatorState, event: JobArrived, now: datetime
) -> timedelta:
    patience = event.deadline - now
    waited = state.patience.waited(event.route.name, patience, now)
    state.patience.note(event.route.name, patience)
    return waited


def _attach(
    state: CoordinatorState, progress: JobProgress, event: JobArrived
) -> list[Effect]:
    """Let another copy of a job wait for the answer to the first.

    Run apart, both copies would have runs of one task at work at once.
    """
    progress.requests.append(event.request)
    progress.deadline = max(progress.deadline, event.deadline)
    state.by_request[event.request] = progress.id
    fields = (("job", progress.id), ("request", event.request))
    return [Log(logging.INFO, "copy attached", fields=fields)]


@_take.register
def _(event: JobCallerLeft, state: CoordinatorState, now: datetime) -> list[Effect]:
    progress = state.jobs.get(state.by_request.pop(event.request, ""))
    if progress is None:
        return []
    progress.requests.remove(event.request)
    if progress.requests:
        return []
    effects = give_up(state, progress, RefusalReason.CALLER_LEFT, now)
    return [*effects, *place_waiting(state, now)]


@_take.register
def _(event: CancelJobArrived, state: CoordinatorState, now: datetime) -> list[Effect]:
    progress = state.jobs.get(event.job_id)
    if progress is None:
        return []
    return finish(state, progress, JobEnd.FAILED, RefusalReason.CANCELLED, now)


def _log_accepted(state: CoordinatorState, progress: JobProgress) -> Log:
    hosts = {
        task.view.host
        for tasks in progress.tasks
        for task in tasks
        if task.view is not None
    }
    fields = (
        ("job", progress.id),
        ("request", progress.requests[0]),
        ("route", progress.route.name),
        ("version", state.version),
        ("tasks", sum(step.count for step in progress.job.steps)),
        ("placed", progress.placed),
        ("patience_ms", (progress.deadline - progress.arrived) // _MILLISECOND),
        ("waited_ms", progress.waited // _MILLISECOND),
        ("jobs_waiting", len(state.waiting)),
        ("hosts", ",".join(sorted(hosts))),
    )
    return Log(logging.INFO, "job accepted", fields=fields)


# ---------------------------------------------------------------------------
# Sidecars and other entries


@_take.register
def _(event: PeerConnected, state: CoordinatorState, now: datetime) -> list[Effect]:
    effects: list[Effect] = [
        Send(event.incarnation, KnownEntries(state.directory.known)),
        Send(event.incarnation, ConfigurationOffer(state.version)),
    ]
    view = state.views.get(event.incarnation)
    if view is not None:
        restart_connection(view, now)
        state.lost.discard(event.incarnation)
        # Ends may have been lost with the earlier connection, and so may placements.
        for run in view.open_runs:
            ask = AskRun(run) if run in state.by_run else WithdrawRun(run)
            effects.append(Send(event.incarnation, ask))
    return effects


@_take.register
def _(event: PeerLost, state: CoordinatorState, now: datetime) -> list[Effect]:
    state.entries.discard(event.incarnation)
    view = state.views.get(event.incarnation)
    if view is None:
        return []
    view.connected = False
    state.lost.add(event.incarnation)
    fields = (("sidecar", event.incarnation), ("open_runs", len(view.open_runs)))
    return [Log(logging.WARNING, "sidecar lost", fields=fields)]


@_take.register
def _(event: Received, state: CoordinatorState, now: datetime) -> list[Effect]:
    return _take_message(event.message, event.sender, state, now)


@singledispatch
def _take_message(
    message: RunMessage, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    return []


@_take_message.register
def _(
    message: WorkerReport, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    view = state.views.get(sender)
    effects = note_heard(state)
    if view is None:
        view = SidecarView(sender, host_of(sender), now, state.budget)
        state.views[sender] = view
        fields = (("sidecar", sender), ("worker", message.worker))
        effects.append(Log(logging.INFO, "sidecar found", fields=fields))
    was_taking = view.report is not None and view.report.takes_work
    take_report(view, message, now)
    if now - view.last_sent >= state.budget.pulse_interval:
        view.last_sent = now
        effects.append(Send(sender, Pulse(message.stamp)))
    if was_taking is not message.takes_work:
        effects.append(_log_taking(view))
    if message.clean:
        effects += _end_replaced(state, view, now)
    return [*effects, *place_waiting(state, now)]


def _log_taking(view: SidecarView) -> Log:
    fields = (
        ("sidecar", view.incarnation),
        ("worker", view.report.worker),
        ("takes_work", view.report.takes_work),
        ("failing", view.report.failing),
    )
    return Log(logging.INFO, "sidecar changed", fields=fields)


@_take_message.register
def _(
    message: RunEnded, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    view = state.views.get(sender)
    if view is not None:
        note_ended(view, message.run, ran=message.took is not None)
    effects = take_run_end(state, message, now)
    return [*effects, *place_waiting(state, now)]


def host_of(incarnation: str) -> str:
    """Return the name of the instance that a process runs on."""
    return incarnation.rpartition("-")[0]


def _end_replaced(
    state: CoordinatorState, view: SidecarView, now: datetime
) -> list[Effect]:
    """Give up what was placed on earlier processes of the same instance.

    The new process says that nothing they started runs any more.
    """
    effects: list[Effect] = []
    # Few are lost at any time; to look at all sidecars at each report of each would
    # cost an entry processor time that grows with the square of their number.
    for incarnation in sorted(state.lost):
        other = state.views[incarnation]
        if other.host == view.host and other is not view:
            effects += _take_lost(state, other, now)
            _forget(state, other)
    return effects


def _forget(state: CoordinatorState, view: SidecarView) -> None:
    del state.views[view.incarnation]
    state.lost.discard(view.incarnation)


def _take_lost(
    state: CoordinatorState, view: SidecarView, now: datetime
) -> list[Effect]:
    """Place again what was placed on a sidecar whose runs are all dead."""
    effects: list[Effect] = []
    for run in list(view.open_runs):
        note_ended(view, run, ran=False)
        lost = RunEnded(run, RunEnd.LOST, EndReason.SIDECAR_SILENT)
        effects += take_run_end(state, lost, now)
    return effects


# ---------------------------------------------------------------------------
# Configuration


@_take.register
def _(
    event: ConfigurationChanged, state: CoordinatorState, now: datetime
) -> list[Effect]:
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


@_take_message.register
def _(
    message: ConfigurationOffer, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    state.entries.add(sender)
    if message.version <= state.version:
        return []
    return [Send(sender, ConfigurationRequest())]


@_take_message.register
def _(
    message: ConfigurationRequest, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    if state.table is None:
        return []
    return [Send(sender, ConfigurationText(state.version, state.text))]


@_take_message.register
def _(
    message: ConfigurationText, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    parsed = state.parse_configuration(message.text)
    if not is_successful(parsed):
        fields = (("from", sender), ("error", parsed.failure()))
        return [Log(logging.ERROR, "unreadable configuration", fields=fields)]
    event = ConfigurationChanged(RoutingTable(parsed.unwrap()), message.text)
    return _apply(state, event, sender, now)


# ---------------------------------------------------------------------------
# Whom to connect to


@_take.register
def _(event: EntriesRead, state: CoordinatorState, now: datetime) -> list[Effect]:
    return state.directory.take_stored(event.addresses)


@_take.register
def _(event: PatienceRead, state: CoordinatorState, now: datetime) -> list[Effect]:
    state.patience.take_stored(event)
    fields = (("entries", len(event.kept)),)
    return [Log(logging.INFO, "usual patience read", fields=fields)]


@_take.register
def _(event: SettingsRead, state: CoordinatorState, now: datetime) -> list[Effect]:
    return state.directory.take_given(event.known_entries)


@_take_message.register
def _(
    message: KnownEntries, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    return state.directory.take_told(message.addresses)


# ---------------------------------------------------------------------------
# Time


@_take.register
def _(event: Tick, state: CoordinatorState, now: datetime) -> list[Effect]:
    effects = check_isolation(state, now)
    for view in list(state.views.values()):
        if view.open_runs and now >= view.runs_dead_at:
            effects += _take_lost(state, view, now)
        if not view.connected and now >= view.reported + FORGET_AFTER:
            _forget(state, view)
    effects += _give_up_hopeless(state, now)
    keep = state.patience.to_keep(now)
    if keep is not None:
        effects.append(keep)
    effects += place_waiting(state, now)
    return [*effects, *_continue_drain(state, now)]


def _give_up_hopeless(state: CoordinatorState, now: datetime) -> list[Effect]:
    """Answer jobs that can't end before their deadline any more."""
    effects: list[Effect] = []
    for progress in list(state.jobs.values()):
        if now >= progress.deadline:
            reason = RefusalReason.DEADLINE_EXCEEDED
            effects += give_up(state, progress, reason, now)
        elif not may_have_run(progress):
            refusal = refuse_late(state, progress, now)
            if refusal is not None:
                wait = refusal.retry_after
                effects += give_up(state, progress, refusal.reason, now, wait)
    return effects


@_take.register
def _(event: Drain, state: CoordinatorState, now: datetime) -> list[Effect]:
    if state.draining is not None:
        return []
    state.draining = now
    return [Log(logging.INFO, "stopping", fields=(("jobs", len(state.jobs)),))]


def _continue_drain(state: CoordinatorState, now: datetime) -> list[Effect]:
    if state.draining is None or state.left:
        return []
    since = now - state.draining
    if since < DRAIN_AT_LEAST or (state.jobs and since < DRAIN_AT_MOST):
        return []
    effects: list[Effect] = []
    for progress in list(state.jobs.values()):
        effects += give_up(state, progress, RefusalReason.STOPPING, now)
    state.left = True
    return [*effects, Log(logging.INFO, "stopped"), Exit()]
