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

from gypsumspoke.core.data import (
    Count,
    Drain,
    Effect,
    Exit,
    Log,
    Observe,
    PeerConnected,
    PeerLost,
    Received,
    Send,
    Tick,
)
from gypsumspoke.runs.admission import (
    DEFAULT_RETRY_AFTER,
    Refusal,
    refuse_late,
    refuse_unservable,
)
from gypsumspoke.runs.coordinator_state import (
    AnswerJob,
    CancelJobArrived,
    ConfigurationChanged,
    CoordinatorState,
    JobArrived,
    JobCallerLeft,
    JobProgress,
    TaskProgress,
)
from gypsumspoke.runs.directory import EntriesRead
from gypsumspoke.runs.fleet import (
    SidecarView,
    note_ended,
    note_placed,
    restart_connection,
    take_report,
)
from gypsumspoke.runs.messages import (
    AskRun,
    ConfigurationOffer,
    ConfigurationRequest,
    ConfigurationText,
    KnownEntries,
    PlaceRun,
    Pulse,
    RunEnded,
    RunMessage,
    WithdrawRun,
    WorkerReport,
)
from gypsumspoke.runs.placement import Choice, choose
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.values import (
    EndReason,
    JobEnd,
    RefusalReason,
    RunEnd,
    RunId,
)

# A stopping entry goes on taking requests on open connections until the platform's
# balancer has missed two checks, a second apart, and sends nothing new.
DRAIN_AT_LEAST = timedelta(seconds=2.6)
# It ends at the latest then: before the platform kills it, some seconds after SIGTERM.
DRAIN_AT_MOST = timedelta(seconds=5.4)
# A sidecar that is gone is forgotten after this; its runs are long dead.
FORGET_AFTER = timedelta(seconds=30)


def reduce(state: CoordinatorState, event: Any, now: datetime) -> list[Effect]:
    """Take one event.

    Args:
      state: the coordinator's state, changed in place.
      event: an event of ``coordinator_state.py`` or ``core/data.py``.
      now: the current time of a steady clock.

    Returns:
      What is to be done.
    """
    return _take(event, state, now)


def is_ready(state: CoordinatorState) -> bool:
    """Return whether new connections should come to this entry."""
    return state.table is not None and state.draining is None


@singledispatch
def _take(event: Any, state: CoordinatorState, now: datetime) -> list[Effect]:
    return []


# ---------------------------------------------------------------------------
# Jobs


@_take.register
def _(event: JobArrived, state: CoordinatorState, now: datetime) -> list[Effect]:
    effects = _replace_earlier_copy(state, event.job.id, now)
    refusal = refuse_unservable(state, event, now)
    if refusal is not None:
        return [*effects, *_refuse(event.request, event.job.id, refusal)]
    progress = JobProgress(event, now)
    state.jobs[event.request] = progress
    state.by_id[event.job.id] = event.request
    choices = _plan_open_steps(state, progress, now)
    if choices:
        latest = max(choice.seconds for _, choice in choices)
        refusal = refuse_late(latest, event, now)
        if refusal is not None:
            _undo_plan(choices)
            _forget(state, progress)
            return [*effects, *_refuse(event.request, event.job.id, refusal)]
    effects.append(_log_accepted(progress, choices))
    return [*effects, *_send_planned(state, progress, choices, now)]


def _replace_earlier_copy(
    state: CoordinatorState, job_id: str, now: datetime
) -> list[Effect]:
    """Give up an earlier copy of the same job: its caller has gone or come back."""
    request = state.by_id.get(job_id)
    if request is None or request not in state.jobs:
        return []
    progress = state.jobs[request]
    return _give_up(state, progress, RefusalReason.CALLER_LEFT, now)


def _refuse(request: str, job_id: str, refusal: Refusal) -> list[Effect]:
    fields = (
        ("job", job_id),
        ("request", request),
        ("reason", refusal.reason.value),
        ("retry_after_ms", refusal.retry_after // timedelta(milliseconds=1)),
    )
    return [
        Count(refusal.reason),
        Log(logging.INFO, "job refused", fields=fields),
        AnswerJob(request, JobEnd.NOT_RUN, refusal.reason, refusal.retry_after),
    ]


@_take.register
def _(event: JobCallerLeft, state: CoordinatorState, now: datetime) -> list[Effect]:
    progress = state.jobs.get(event.request)
    if progress is None:
        return []
    return _give_up(state, progress, RefusalReason.CALLER_LEFT, now)


@_take.register
def _(event: CancelJobArrived, state: CoordinatorState, now: datetime) -> list[Effect]:
    return _replace_earlier_copy(state, event.job_id, now)


def _plan_open_steps(
    state: CoordinatorState, progress: JobProgress, now: datetime
) -> list[tuple[TaskProgress, Choice]]:
    """Choose places for the tasks of all steps that may begin."""
    choices = []
    for number, step in enumerate(progress.job.steps):
        if progress.opened[number] or any(progress.left[i] for i in step.after):
            continue
        progress.opened[number] = True
        for task in progress.tasks[number]:
            choices += _plan_task(state, progress, task, now)
    return choices


def _plan_task(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress, now: datetime
) -> list[tuple[TaskProgress, Choice]]:
    """Choose a place for one task, or let it wait for one."""
    step = progress.job.steps[task.id.step]
    run = RunId(task.id, task.number + 1)
    views = list(_allowed_views(state, progress, task))
    fresh = [view for view in views if view.host not in task.avoided]
    choice = choose(
        fresh, progress.route.service, step, run, progress.route.priority, now
    )
    if choice is None:
        # Every worker that answers was tried; a second try beats none.
        choice = choose(
            views, progress.route.service, step, run, progress.route.priority, now
        )
    if choice is None:
        state.waiting.setdefault(progress.request, []).append(task)
        return []
    task.number = run.number
    task.run = run
    task.view = choice.view
    note_placed(choice.view, choice.placement)
    return [(task, choice)]


def _allowed_views(state: CoordinatorState, progress: JobProgress, task: TaskProgress):
    """Yield the sidecars that the step's bound per worker allows."""
    step = progress.job.steps[task.id.step]
    if not step.per_worker:
        yield from state.views.values()
        return
    placed: dict[str, int] = {}
    for other in progress.tasks[task.id.step]:
        if other.view is not None and other is not task:
            placed[other.view.host] = placed.get(other.view.host, 0) + 1
    for view in state.views.values():
        if placed.get(view.host, 0) < step.per_worker:
            yield view


def _undo_plan(choices: list[tuple[TaskProgress, Choice]]) -> None:
    for task, choice in choices:
        note_ended(choice.view, task.run, ran=False)
        choice.view.sent -= 1


def _send_planned(
    state: CoordinatorState,
    progress: JobProgress,
    choices: list[tuple[TaskProgress, Choice]],
    now: datetime,
) -> list[Effect]:
    effects: list[Effect] = []
    for task, choice in choices:
        step = progress.job.steps[task.id.step]
        state.by_run[task.run] = progress.request
        choice.view.last_sent = now
        message = PlaceRun(
            choice.view.report.stamp,
            task.run,
            step.room,
            progress.route.priority,
            step.estimate,
            progress.deadline - now,
            progress.job.spec,
        )
        effects.append(Send(choice.view.incarnation, message))
    return effects


def _log_accepted(
    progress: JobProgress, choices: list[tuple[TaskProgress, Choice]]
) -> Log:
    hosts = sorted({choice.view.host for _, choice in choices})
    seconds = max((choice.seconds for _, choice in choices), default=-1.0)
    fields = (
        ("job", progress.job.id),
        ("request", progress.request),
        ("route", progress.route.name),
        ("tasks", sum(step.count for step in progress.job.steps)),
        ("placed", len(choices)),
        ("expected_ms", round(seconds * 1000)),
        ("hosts", ",".join(hosts)),
    )
    return Log(logging.INFO, "job accepted", fields=fields)


# ---------------------------------------------------------------------------
# Ends of runs

# Ends after which the same worker may well be the best place again.
_MAY_RETRY_THERE = frozenset(
    {
        EndReason.NUMBER_TOO_LOW,
        EndReason.ORDER_STALE,
        EndReason.NEVER_SEEN,
        EndReason.COORDINATOR_SILENT,
    }
)


def _take_run_end(
    state: CoordinatorState, message: RunEnded, now: datetime
) -> list[Effect]:
    """Go on with the task whose run ended."""
    progress = state.jobs.get(state.by_run.pop(message.run, ""))
    if progress is None:
        return []
    name = message.run.task
    task = progress.tasks[name.step][name.index]
    if task.done:
        return []
    if message.end is RunEnd.DONE:
        return _take_done(state, progress, task, now)
    if task.run != message.run:
        return []
    return _take_not_done(state, progress, task, message, now)


def _take_done(
    state: CoordinatorState, progress: JobProgress, task: TaskProgress, now: datetime
) -> list[Effect]:
    task.done = True
    effects = _withdraw(state, task)
    progress.left[task.id.step] -= 1
    if not any(progress.left):
        return [*effects, *_finish(state, progress, JobEnd.COMPLETED, None, now)]
    choices = _plan_open_steps(state, progress, now)
    return [*effects, *_send_planned(state, progress, choices, now)]


def _take_not_done(
    state: CoordinatorState,
    progress: JobProgress,
    task: TaskProgress,
    message: RunEnded,
    now: datetime,
) -> list[Effect]:
    host = task.view.host
    task.run = None
    task.view = None
    if message.end is not RunEnd.NOT_RUN:
        task.has_started = True
    if message.reason is EndReason.NUMBER_TOO_LOW:
        task.number = max(task.number, message.highest)
    if message.end is RunEnd.FAILED:
        task.failed += 1
        if task.failed >= progress.route.attempts:
            return _fail(state, progress, now)
    if message.reason not in _MAY_RETRY_THERE:
        task.avoided.add(host)
    return [Count(message.reason), *_place_again(state, progress, [task], now)]


def _place_again(
    state: CoordinatorState,
    progress: JobProgress,
    tasks: list[TaskProgress],
    now: datetime,
) -> list[Effect]:
    choices = []
    for task in tasks:
        choices += _plan_task(state, progress, task, now)
    effects: list[Effect] = [
        _log_placed(progress, task, choice) for task, choice in choices
    ]
    return [*effects, *_send_planned(state, progress, choices, now)]


def _log_placed(progress: JobProgress, task: TaskProgress, choice: Choice) -> Log:
    fields = (
        ("job", progress.job.id),
        ("step", task.id.step),
        ("run", task.number),
        ("host", choice.view.host),
        ("expected_ms", round(choice.seconds * 1000)),
        ("avoided", ",".join(sorted(task.avoided))),
    )
    return Log(logging.INFO, "task placed again", task=task.id.index, fields=fields)


def _withdraw(state: CoordinatorState, task: TaskProgress) -> list[Effect]:
    """Have the open run of a task stopped or not started."""
    if task.run is None or state.by_run.pop(task.run, None) is None:
        return []
    return [Send(task.view.incarnation, WithdrawRun(task.run))]


def _fail(
    state: CoordinatorState, progress: JobProgress, now: datetime
) -> list[Effect]:
    """Answer that the job failed: a task used up its attempts."""
    return _finish(
        state, progress, JobEnd.FAILED, RefusalReason.ATTEMPTS_EXHAUSTED, now
    )


def _give_up(
    state: CoordinatorState,
    progress: JobProgress,
    reason: RefusalReason,
    now: datetime,
) -> list[Effect]:
    """Answer at once; "not run" only if no run of the job can have started."""
    end = JobEnd.GIVEN_UP if _may_have_run(progress) else JobEnd.NOT_RUN
    return _finish(state, progress, end, reason, now)


def _may_have_run(progress: JobProgress) -> bool:
    return any(
        task.done or task.has_started or task.run is not None
        for tasks in progress.tasks
        for task in tasks
    )


def _finish(
    state: CoordinatorState,
    progress: JobProgress,
    end: JobEnd,
    reason: RefusalReason | None,
    now: datetime,
) -> list[Effect]:
    """Answer the caller and withdraw what is left of the job."""
    effects: list[Effect] = []
    for tasks in progress.tasks:
        for task in tasks:
            if not task.done:
                effects += _withdraw(state, task)
    _forget(state, progress)
    retry_after = None if end in _FINAL_ENDS else DEFAULT_RETRY_AFTER
    took = (now - progress.arrived) / timedelta(milliseconds=1)
    fields = (
        ("job", progress.job.id),
        ("request", progress.request),
        ("route", progress.route.name),
        ("end", end.value),
        ("reason", reason.value if reason else ""),
        ("took_ms", round(took, 1)),
    )
    effects.append(Log(logging.INFO, "job answered", fields=fields))
    if reason is not None:
        effects.append(Count(reason))
    effects.append(Observe("job_seconds", took / 1000, progress.route.name))
    return [*effects, AnswerJob(progress.request, end, reason, retry_after)]


_FINAL_ENDS = frozenset({JobEnd.COMPLETED, JobEnd.FAILED})


def _forget(state: CoordinatorState, progress: JobProgress) -> None:
    del state.jobs[progress.request]
    state.waiting.pop(progress.request, None)
    if state.by_id.get(progress.job.id) == progress.request:
        del state.by_id[progress.job.id]


# ---------------------------------------------------------------------------
# Sidecars and other entries


@_take.register
def _(event: PeerConnected, state: CoordinatorState, now: datetime) -> list[Effect]:
    version = state.table.configuration.version if state.table else 0
    effects: list[Effect] = [
        Send(event.incarnation, KnownEntries(state.directory.known)),
        Send(event.incarnation, ConfigurationOffer(version)),
    ]
    view = state.views.get(event.incarnation)
    if view is not None:
        restart_connection(view, now)
        # Ends may have been lost with the earlier connection, and so may placements.
        for run in view.open_runs:
            effects.append(Send(event.incarnation, AskRun(run)))
    return effects


@_take.register
def _(event: PeerLost, state: CoordinatorState, now: datetime) -> list[Effect]:
    state.entries.discard(event.incarnation)
    view = state.views.get(event.incarnation)
    if view is None:
        return []
    view.connected = False
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
    effects: list[Effect] = []
    if view is None:
        view = SidecarView(sender, host_of(sender), now)
        state.views[sender] = view
        fields = (("sidecar", sender), ("worker", message.worker))
        effects.append(Log(logging.INFO, "sidecar found", fields=fields))
    was_taking = view.report is not None and view.report.takes_work
    take_report(view, message, now)
    view.last_sent = now
    effects.append(Send(sender, Pulse(message.stamp)))
    if was_taking is not message.takes_work:
        effects.append(_log_taking(view))
    if message.clean:
        effects += _end_replaced(state, view, now)
    return [*effects, *_place_waiting(state, now)]


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
    effects = _take_run_end(state, message, now)
    return [*effects, *_place_waiting(state, now)]


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
    for other in list(state.views.values()):
        if other.host == view.host and other is not view and not other.connected:
            effects += _take_lost(state, other, now)
            del state.views[other.incarnation]
    return effects


def _take_lost(
    state: CoordinatorState, view: SidecarView, now: datetime
) -> list[Effect]:
    """Place again what was placed on a sidecar whose runs are all dead."""
    effects: list[Effect] = []
    for run in list(view.open_runs):
        note_ended(view, run, ran=False)
        lost = RunEnded(run, RunEnd.LOST, EndReason.SIDECAR_SILENT)
        effects += _take_run_end(state, lost, now)
    return effects


def _place_waiting(state: CoordinatorState, now: datetime) -> list[Effect]:
    """Try again to place tasks that found no sidecar."""
    if not state.waiting:
        return []
    waiting = state.waiting
    state.waiting = {}
    requests = sorted(waiting, key=lambda request: _urgency(state.jobs[request]))
    effects: list[Effect] = []
    for request in requests:
        effects += _place_again(state, state.jobs[request], waiting[request], now)
    return effects


def _urgency(progress: JobProgress) -> tuple[int, datetime]:
    return (progress.route.priority, progress.arrived)


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
    known = state.table.configuration.version if state.table else 0
    if version <= known:
        return []
    state.table = event.table
    state.text = event.text
    fields = (("version", version), ("replaced", known), ("source", source))
    effects: list[Effect] = [Log(logging.INFO, "configuration in force", fields=fields)]
    for entry in sorted(state.entries):
        effects.append(Send(entry, ConfigurationOffer(version)))
    return effects


@_take_message.register
def _(
    message: ConfigurationOffer, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    state.entries.add(sender)
    known = state.table.configuration.version if state.table else 0
    if message.version <= known:
        return []
    return [Send(sender, ConfigurationRequest())]


@_take_message.register
def _(
    message: ConfigurationRequest, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    if state.table is None:
        return []
    version = state.table.configuration.version
    return [Send(sender, ConfigurationText(version, state.text))]


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


@_take_message.register
def _(
    message: KnownEntries, sender: str, state: CoordinatorState, now: datetime
) -> list[Effect]:
    return state.directory.take_told(message.addresses)


# ---------------------------------------------------------------------------
# Time


@_take.register
def _(event: Tick, state: CoordinatorState, now: datetime) -> list[Effect]:
    effects: list[Effect] = []
    for view in list(state.views.values()):
        if view.open_runs and now >= view.runs_dead_at:
            effects += _take_lost(state, view, now)
        if not view.connected and now >= view.reported + FORGET_AFTER:
            del state.views[view.incarnation]
    for progress in list(state.jobs.values()):
        if now >= progress.deadline:
            effects += _give_up(state, progress, RefusalReason.DEADLINE_EXCEEDED, now)
    effects += _place_waiting(state, now)
    return [*effects, *_continue_drain(state, now)]


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
        effects += _give_up(state, progress, RefusalReason.STOPPING, now)
    state.left = True
    return [*effects, Log(logging.INFO, "stopped"), Exit()]
