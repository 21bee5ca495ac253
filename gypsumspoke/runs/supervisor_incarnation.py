"""The worker's incarnation, clock and fencing token, as known to its sidecar."""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Count, Effect, Log
from gypsumspoke.runs.budget import WORKER_CLOCK_ERROR
from gypsumspoke.runs.supervisor_state import Lease, Phase, SupervisorState
from gypsumspoke.runs.values import IgnoredHeartbeat, Registration


def handle_registration(
    state: SupervisorState, registration: Registration, now: datetime
) -> list[Effect]:
    """Update the worker from a heartbeat, if it is a new one of its incarnation."""
    if state.service and registration.service != state.service:
        fields = (("service", registration.service), ("worker", registration.id))
        return [Log(logging.WARNING, "heartbeat from another service", fields=fields)]
    reason = _reason_to_ignore(state, registration)
    if reason is None:
        return _use(state, registration, now)
    effects: list[Effect] = [Count(reason)]
    if reason is IgnoredHeartbeat.UNCONFIRMED:
        if state.heartbeats.hold(registration, now):
            effects.append(_log_held(state, registration))
    return effects


def _reason_to_ignore(
    state: SupervisorState, registration: Registration
) -> IgnoredHeartbeat | None:
    """Return why a heartbeat can't be used now, or None.

    A heartbeat delayed by a partition may arrive after its sender has restarted.
    """
    known = state.worker
    current = state.worker_incarnation
    if current is None or registration.incarnation == current:
        if known is None or known.incarnation != registration.incarnation:
            return None
        is_late = registration.sequence <= known.sequence
        return IgnoredHeartbeat.LATE if is_late else None
    if state.heartbeats.has_ended(registration.incarnation):
        return IgnoredHeartbeat.INCARNATION_ENDED
    if registration.incarnation < current:
        return IgnoredHeartbeat.UNCONFIRMED
    return None


def _use(
    state: SupervisorState, registration: Registration, now: datetime
) -> list[Effect]:
    """Take a heartbeat for the worker's latest."""
    effects: list[Effect] = []
    known = state.worker
    if known is None or registration.incarnation != known.incarnation:
        effects += _log_registration(registration)
        if known is not None and state.registered_at is not None:
            # An answer of the worker may show that this one is the delayed one.
            state.heartbeats.hold(known, state.registered_at)
        handle_new_incarnation(state, registration.incarnation, now)
    elif registration.state is not known.state:
        effects += _log_registration(registration)
    state.worker = registration
    state.records.record_heartbeat()
    state.registered_at = now
    return [*effects, *state.warm_up.record(registration, now)]


def follow_incarnation(
    state: SupervisorState, incarnation: int, now: datetime
) -> list[Effect]:
    """Follow the incarnation that an answer of the worker names."""
    if state.worker_incarnation is not None:
        state.heartbeats.record_end(state.worker_incarnation)
    held = state.heartbeats.confirm(incarnation)
    handle_new_incarnation(state, incarnation, now)
    return _use(state, held.registration, now) if held is not None else []


def follow_other_worker(state: SupervisorState, now: datetime) -> list[Effect]:
    """Use the held heartbeat of another worker, if any.

    Called when the known worker is not at its address any more. The one that is there
    answers no command for another id, so that its answers can't name its incarnation.
    """
    held = state.heartbeats.latest_of_other(state.worker_id, now)
    if held is None:
        return []
    state.heartbeats.record_end(state.worker_incarnation)
    state.heartbeats.confirm(held.registration.incarnation)
    return _use(state, held.registration, now)


def update_from_record(state: SupervisorState) -> list[Effect]:
    """Restore the worker from its record, or drop the record or what was restored.

    Called after each answer to a renewal, before anything is started. Without a
    registration the worker's incarnation is known from such answers only.
    """
    effects: list[Effect] = []
    if state.worker is not None:
        dropped = state.records.withdraw(state.worker, state.worker_incarnation)
        if dropped is not None:
            state.worker = None
            effects += dropped
    record, decided = state.records.restore(state.worker, state.worker_incarnation)
    if record is not None:
        state.worker = state.worker or record.registration()
        state.pace = state.pace or record.pace
    return [*effects, *decided]


def _log_registration(registration: Registration) -> list[Effect]:
    fields = (
        ("worker", registration.id),
        ("born", registration.incarnation),
        ("sequence", registration.sequence),
        ("state", registration.state.value),
        ("cpu", registration.capacity.cpu),
    )
    return [Log(logging.INFO, "worker registered", fields=fields)]


def _log_held(state: SupervisorState, registration: Registration) -> Log:
    fields = (
        ("worker", registration.id),
        ("born", registration.incarnation),
        ("sequence", registration.sequence),
        ("state", registration.state.value),
        ("known", state.worker_incarnation),
    )
    return Log(logging.INFO, "heartbeat held", fields=fields)


def handle_new_incarnation(
    state: SupervisorState, incarnation: int, now: datetime
) -> None:
    """Reset what depends on the worker's incarnation.

    The new incarnation runs nothing and numbers its ends from 1 again. Runs are kept:
    one may have been started on the new incarnation before it was seen here, and the
    next list shows which are running.
    """
    if state.worker_incarnation == incarnation:
        return
    is_first = state.worker_incarnation is None
    state.worker_incarnation = incarnation
    state.incarnation_seen_at = now
    state.retries.end_pause()
    if is_first:
        return
    if state.token > 0:
        # Delayed commands for the previous incarnation are refused once the new one has
        # seen this token.
        state.token += 1
        state.is_fenced = False
    state.last_seen = 0
    state.orphans.clear()
    state.list_clock = timedelta()
    state.lists_complete_from = timedelta()
    state.failing = 0.0
    state.pace = 0.0
    state.estimates.clear()
    for local in state.runs.values():
        # Each incarnation has its own clock.
        local.start_clock = None
        local.stop_clock = None
        local.worker_restarted = local.phase is not Phase.WAITING
    # A command with a lease end on the old clock may have reached the new incarnation,
    # which shortens such a lease to its maximum.
    ends_by = max(state.lease.ends_by, now + state.budget.max_lease_on_slow_clock)
    state.lease = Lease(None, now, ends_by)


def is_from_current_incarnation(state: SupervisorState, sent: datetime | None) -> bool:
    """Return whether an answer must come from the worker's current incarnation.

    A command sent before that incarnation was seen may have been answered by the
    previous one, whose clock differs.
    """
    if sent is None or state.incarnation_seen_at is None:
        return True
    return sent > state.incarnation_seen_at


def record_worker_clock(
    state: SupervisorState, clock: timedelta | None, now: datetime
) -> None:
    """Record the worker's clock; the delay of the answer can only make it too low."""
    if clock is not None:
        state.lease = state.lease._replace(clock=clock, read_at=now)


def worker_clock(state: SupervisorState, now: datetime) -> timedelta:
    """Return a lower bound of the worker's clock, which may run slow."""
    since = now - state.lease.read_at
    return state.lease.clock + since / (1 + WORKER_CLOCK_ERROR)


def raise_token(state: SupervisorState, now: datetime) -> None:
    """Raise the fencing token above those of earlier processes of this sidecar.

    Tokens come from the worker's clock. It only rises within an incarnation, and the
    worker remembers tokens for as long. So delayed commands of an earlier process are
    refused whatever the machines' clocks do.
    """
    if state.lease.clock is not None:
        clock = worker_clock(state, now) // timedelta(milliseconds=1)
        state.token = max(state.token, clock, 1)


def raise_refused_token(state: SupervisorState, refused: int, now: datetime) -> None:
    """Raise the token after the worker refused a command for its token.

    The clock of a new incarnation may be too low: an earlier process of this sidecar
    may have carried its token over from the previous incarnation.
    """
    if refused == state.token:
        state.token *= 2
    raise_token(state, now)
