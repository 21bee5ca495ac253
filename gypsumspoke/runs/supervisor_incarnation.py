"""The worker's life, clock and lease, as a sidecar knows them."""

import logging
from datetime import datetime, timedelta

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.runs.budget import WORKER_CLOCK_ERROR
from gypsumspoke.runs.supervisor_state import Lease, Phase, SupervisorState
from gypsumspoke.runs.values import Registration


def handle_registration(
    state: SupervisorState, registration: Registration, now: datetime
) -> list[Effect]:
    """Take what the worker says of itself, unless it is old or another service's."""
    if state.service and registration.service != state.service:
        fields = (("service", registration.service), ("worker", registration.id))
        return [Log(logging.WARNING, "heartbeat of another service", fields=fields)]
    known = state.worker
    if known is not None and _is_older(registration, known):
        return []
    if (
        state.worker_incarnation is not None
        and registration.incarnation < state.worker_incarnation
    ):
        # A list of the worker has shown a later life already.
        return []
    effects: list[Effect] = []
    if known is None or registration.incarnation != known.incarnation:
        effects += _log_registration(registration)
        handle_new_incarnation(state, registration.incarnation, now)
    elif registration.state is not known.state:
        effects += _log_registration(registration)
    state.worker = registration
    return effects


def _is_older(registration: Registration, known: Registration) -> bool:
    """Return whether a heartbeat was overtaken by another.

    One that a cut held up may arrive after its sender has crashed and started again.
    """
    if registration.incarnation != known.incarnation:
        return registration.incarnation < known.incarnation
    return registration.sequence <= known.sequence


def _log_registration(registration: Registration) -> list[Effect]:
    fields = (
        ("worker", registration.id),
        ("born", registration.incarnation),
        ("sequence", registration.sequence),
        ("state", registration.state.value),
        ("cpu", registration.capacity.cpu),
    )
    return [Log(logging.INFO, "worker registered", fields=fields)]


def handle_new_incarnation(state: SupervisorState, born: int, now: datetime) -> None:
    """Go over to a new life of the worker, which knows and runs nothing of before.

    Its ends count from 1 again. Compared with the old count they would all seem taken
    note of, and the worker would look full for good. Runs are not given up here: one
    may have been started on the new life before it showed. The next list tells.
    """
    if state.worker_incarnation == born:
        return
    is_first = state.worker_incarnation is None
    state.worker_incarnation = born
    state.incarnation_seen_at = now
    if is_first:
        return
    if state.token > 0:
        # Orders of the life before, which the new one may still carry out, are refused
        # once it has seen this.
        state.token += 1
        state.is_fenced = False
    state.last_seen = 0
    state.orphans.clear()
    state.list_clock = timedelta()
    state.lists_complete_from = timedelta()
    state.failing = 0.0
    state.pace = 0.0
    for local in state.runs.values():
        # Times of the old life's clock say nothing on the new one.
        local.start_clock = None
        local.stop_clock = None
        local.worker_restarted = local.phase is not Phase.WAITING
    # A start that was meant for the old life named a time of the old clock, which may
    # be far ahead on the new one; the worker shortens such a lease to its maximum.
    ends_by = max(state.lease.ends_by, now + state.budget.max_lease_on_slow_clock)
    state.lease = Lease(None, now, ends_by)


def is_from_current_incarnation(state: SupervisorState, sent: datetime | None) -> bool:
    """Return whether an answer must be one of the worker's newest life.

    An order that was sent before that life showed may have been answered by the one
    before, whose clock says nothing on this one.
    """
    if sent is None or state.incarnation_seen_at is None:
        return True
    return sent > state.incarnation_seen_at


def record_worker_clock(
    state: SupervisorState, clock: timedelta | None, now: datetime
) -> None:
    """Learn the worker's clock; what the answer took makes it too low, if at all."""
    if clock is not None:
        state.lease = state.lease._replace(clock=clock, read_at=now)


def worker_clock(state: SupervisorState, now: datetime) -> timedelta:
    """Return the worker's clock, at most its true value: it may be slow."""
    since = now - state.lease.read_at
    return state.lease.clock + since / (1 + WORKER_CLOCK_ERROR)


def raise_token(state: SupervisorState, now: datetime) -> None:
    """Take a fencing token above those of earlier processes of this sidecar.

    The worker's own clock only rises within its life, and its memory of tokens ends
    with that life too. So orders of an earlier process that are still under way are
    refused, whatever the clocks of machines do.
    """
    if state.lease.clock is not None:
        clock = worker_clock(state, now) // timedelta(milliseconds=1)
        state.token = max(state.token, clock, 1)


def raise_refused_token(state: SupervisorState, refused: int, now: datetime) -> None:
    """Take a higher token after the worker refused an order for its token.

    The clock is not enough on a young life: an earlier process of this sidecar may have
    brought its token along from the life before.
    """
    if refused == state.token:
        state.token *= 2
    raise_token(state, now)
