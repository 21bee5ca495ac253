"""The entry's reducer: coordinates best-effort jobs over the connected sidecars.

An entry holds a job in memory until it is answered. If the entry is lost, the runs of
its jobs end within the time budget (``runs/budget.py``), and the callers send the jobs
again through another entry.
"""

import logging
from datetime import datetime, timedelta
from functools import singledispatch
from typing import Any

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.core.events import (
    TURN_ENDED,
    Arrival,
    Drain,
    PeerConnected,
    PeerLost,
    Received,
    Tick,
    Timed,
    TurnEnded,
)
from gypsumspoke.runs import (
    coordinator_cancellations,
    coordinator_configuration,
    coordinator_cordons,
)
from gypsumspoke.runs.admission import (
    DEFAULT_RETRY_AFTER,
    WORKER_DISCOVERY_TIMEOUT,
    Refusal,
    has_worker,
    refuse_long_queue,
    refuse_unfit,
    refuse_unreachable_deadline,
    refuse_unservable,
)
from gypsumspoke.runs.assignment import (
    enqueue_ready_steps,
    place_at_turn_end,
    place_waiting,
)
from gypsumspoke.runs.caller_timeouts import CallerTimeoutsRead
from gypsumspoke.runs.cancellations import CancelledJobsRead, CancelledJobsStored
from gypsumspoke.runs.coordinator_sidecars import (
    check_silent_sidecars,
    count_sidecars,
    handle_connected,
    handle_connection_lost,
    handle_run_ended,
    handle_worker_report,
)
from gypsumspoke.runs.coordinator_state import (
    CancelJobArrived,
    ConfigurationChanged,
    CoordinatorState,
    JobArrived,
    JobCallerLeft,
    JobProgress,
)
from gypsumspoke.runs.coordinator_stop import begin_stop, continue_stop
from gypsumspoke.runs.cordons import CordonsRead
from gypsumspoke.runs.directory import EntriesRead, SettingsRead
from gypsumspoke.runs.isolation import check_isolation
from gypsumspoke.runs.job_ends import (
    end_of_refusal,
    give_up,
    has_open_run,
    may_have_run,
    refuse,
)
from gypsumspoke.runs.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    ConfigurationText,
    KnownEntries,
    RunEnded,
    RunMessage,
    WorkerReport,
)
from gypsumspoke.runs.values import JobEnd, RefusalReason

# One log line covers all refusals of an interval: a line costs more than a refusal.
REFUSED_LOG_INTERVAL = timedelta(seconds=1)

_CORDONED = (RefusalReason.DOMAINS_CORDONED, RefusalReason.NO_WORKER_IN_GROUP)

_MILLISECOND = timedelta(milliseconds=1)


def reduce(state: CoordinatorState, event: Any, now: datetime) -> list[Effect]:
    """Handle one event and end the turn.

    Args:
      state: the coordinator's state, changed in place.
      event: an event of ``coordinator_state.py`` or ``core/events.py``, wrapped in
        ``Timed`` unless it arrives now.
      now: the current time of a steady clock.

    Returns:
      The effects to be carried out.
    """
    effects = handle_event(state, event, now)
    return [*effects, *handle_event(state, TURN_ENDED, now)]


def handle_event(state: CoordinatorState, event: Any, now: datetime) -> list[Effect]:
    """Handle one event without ending the turn, which ``TurnEnded`` does later.

    Reports and run ends only mark the state; tasks are placed once at the end of the
    turn, since a placing round is far more expensive than an event.

    Args:
      state: the coordinator's state, changed in place.
      event: as in ``reduce``.
      now: the current time of a steady clock.

    Returns:
      The effects to be carried out.
    """
    if isinstance(event, Timed):
        state.arrival, event = event
        state.load_shedder.record_lag(now - state.arrival.earliest, now)
    else:
        state.arrival = Arrival(now, now, now)
    return _handle(event, state, now)


def is_ready(state: CoordinatorState, now: datetime) -> bool:
    """Return whether the load balancer should send new connections to this entry.

    An entry that has just started is ready with its first worker, or without one after
    ``WORKER_DISCOVERY_TIMEOUT``, when it can refuse jobs for lack of workers.
    """
    if state.table is None or state.draining is not None:
        return False
    if not state.hears_sidecars:
        return False
    return has_worker(state) or now - state.started >= WORKER_DISCOVERY_TIMEOUT


@singledispatch
def _handle(event: Any, state: CoordinatorState, now: datetime) -> list[Effect]:
    return []


# ---------------------------------------------------------------------------
# Jobs


@_handle.register
def _(event: JobArrived, state: CoordinatorState, now: datetime) -> list[Effect]:
    existing = state.jobs.get(event.job.id)
    if existing is not None:
        return _attach_request(state, existing, event)
    cancelled = coordinator_cancellations.refuse_cancelled(state, event)
    if cancelled is not None:
        return cancelled
    if state.isolated:
        refusal = Refusal(RefusalReason.ISOLATED, DEFAULT_RETRY_AFTER)
        return refuse(event.request, event.job.id, refusal, JobEnd.GIVEN_UP)
    refusal = refuse_unservable(state, event, now)
    refusal = refusal or refuse_long_queue(state, event, now)
    if refusal is not None:
        end = end_of_refusal(refusal.reason)
        return refuse(event.request, event.job.id, refusal, end)
    progress = JobProgress(event, now, _waited_elsewhere(state, event, now))
    state.add_job(progress)
    state.by_request[event.request] = progress.id
    enqueue_ready_steps(state, progress)
    effects = place_waiting(state, now)
    return [_log_accepted(state, progress), *effects]


def _waited_elsewhere(
    state: CoordinatorState, event: JobArrived, now: datetime
) -> timedelta:
    timeout = event.deadline - now
    waited = state.caller_timeouts.waited_elsewhere(event.route.name, timeout, now)
    state.caller_timeouts.record(event.route.name, timeout)
    return waited


def _attach_request(
    state: CoordinatorState, progress: JobProgress, event: JobArrived
) -> list[Effect]:
    """Attach a resubmission to the job in progress; both get the same answer.

    Coordinated separately, the two would run the same task twice at once.
    """
    progress.requests.append(event.request)
    progress.deadline = max(progress.deadline, event.deadline)
    state.by_request[event.request] = progress.id
    fields = (("job", progress.id), ("request", event.request))
    return [Log(logging.INFO, "resubmission attached", fields=fields)]


@_handle.register
def _(event: JobCallerLeft, state: CoordinatorState, now: datetime) -> list[Effect]:
    progress = state.jobs.get(state.by_request.pop(event.request, ""))
    if progress is None:
        return []
    progress.requests.remove(event.request)
    if progress.requests:
        return []
    effects = give_up(state, progress, RefusalReason.CALLER_LEFT, now)
    return [*effects, *place_waiting(state, now)]


_handle.register(CancelJobArrived, coordinator_cancellations.handle_cancel)
_handle.register(CancelledJobsStored, coordinator_cancellations.handle_stored)
_handle.register(CancelledJobsRead, coordinator_cancellations.handle_read)


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
        ("tasks", progress.task_count),
        ("placed", progress.placed),
        ("patience_ms", (progress.deadline - progress.arrived) // _MILLISECOND),
        ("waited_ms", progress.waited_elsewhere // _MILLISECOND),
        ("jobs_waiting", len(state.waiting)),
        ("hosts", ",".join(sorted(hosts))),
    )
    return Log(logging.INFO, "job accepted", fields=fields)


# ---------------------------------------------------------------------------
# Messages of sidecars and other entries


@_handle.register
def _(event: Received, state: CoordinatorState, now: datetime) -> list[Effect]:
    return _handle_message(event.message, event.sender, state, now)


@singledispatch
def _handle_message(
    message: RunMessage, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    return []


_handle.register(PeerConnected, handle_connected)
_handle.register(PeerLost, handle_connection_lost)
_handle.register(ConfigurationChanged, coordinator_configuration.handle_changed)
_handle.register(CordonsRead, coordinator_cordons.handle_read)
_handle.register(Drain, begin_stop)
_handle_message.register(WorkerReport, handle_worker_report)
_handle_message.register(RunEnded, handle_run_ended)
_handle_message.register(ConfigurationOffer, coordinator_configuration.handle_offer)
_handle_message.register(ConfigurationRequest, coordinator_configuration.handle_request)
_handle_message.register(ConfigurationText, coordinator_configuration.handle_text)


# ---------------------------------------------------------------------------
# Directory of entries and stored caller timeouts


@_handle.register
def _(event: EntriesRead, state: CoordinatorState, now: datetime) -> list[Effect]:
    return state.directory.update_from_store(event.addresses)


@_handle.register
def _(
    event: CallerTimeoutsRead, state: CoordinatorState, now: datetime
) -> list[Effect]:
    state.caller_timeouts.update_stored(event)
    fields = (("entries", len(event.stored)),)
    return [Log(logging.INFO, "caller timeouts read", fields=fields)]


@_handle.register
def _(event: SettingsRead, state: CoordinatorState, now: datetime) -> list[Effect]:
    return state.directory.update_from_settings(event.known_entries)


@_handle_message.register
def _(
    message: KnownEntries, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    return state.directory.update_from_peer(message.addresses)


# ---------------------------------------------------------------------------
# Time


@_handle.register
def _(event: TurnEnded, state: CoordinatorState, now: datetime) -> list[Effect]:
    return place_at_turn_end(state, now) if state.needs_placing_round else []


@_handle.register
def _(event: Tick, state: CoordinatorState, now: datetime) -> list[Effect]:
    count_sidecars(state)
    effects = check_isolation(state, now)
    effects += check_silent_sidecars(state, now)
    effects += _log_refused_unread(state, now)
    effects += _end_overdue_jobs(state, now)
    store = state.caller_timeouts.to_store(now)
    if store is not None:
        effects.append(store)
    effects += state.cancellations.to_store(now)
    effects += state.cancellations.to_remove(now)
    effects += place_waiting(state, now)
    return [*effects, *continue_stop(state, now)]


def _log_refused_unread(state: CoordinatorState, now: datetime) -> list[Effect]:
    """Return the log line of the jobs that were refused before they were read."""
    since = now - state.refused_unread_logged_at
    if not state.refused_unread or since < REFUSED_LOG_INTERVAL:
        return []
    fields = (
        ("reason", RefusalReason.ENTRY_BEHIND.value),
        ("jobs", state.refused_unread),
        ("standing_lag_ms", state.load_shedder.standing_lag // _MILLISECOND),
    )
    state.refused_unread = 0
    state.refused_unread_logged_at = now
    return [Log(logging.WARNING, "jobs refused unread", fields=fields)]


def _end_overdue_jobs(state: CoordinatorState, now: datetime) -> list[Effect]:
    """End jobs that are past their deadline or can't meet it any more."""
    effects: list[Effect] = []
    for progress in list(state.jobs.values()):
        if now >= progress.deadline:
            reason = RefusalReason.DEADLINE_EXCEEDED
            effects += give_up(state, progress, reason, now)
        else:
            refusal = _refuse_waiting(state, progress, now)
            if refusal is not None:
                wait = refusal.retry_after
                effects += give_up(state, progress, refusal.reason, now, wait)
    return effects


def _refuse_waiting(
    state: CoordinatorState, progress: JobProgress, now: datetime
) -> Refusal | None:
    """Return a refusal if a job in progress can't be completed any more, or None."""
    if state.cordons.domains and not has_open_run(progress):
        queued = state.waiting.get(progress.id)
        steps = queued.steps if queued else ()
        refusal = refuse_unfit(state, progress.route.service, steps)
        if refusal is not None and refusal.reason in _CORDONED:
            return refusal
    if may_have_run(progress):
        return None
    return refuse_unreachable_deadline(state, progress, now)
