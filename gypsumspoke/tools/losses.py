"""Where best-effort jobs lost time or their answer, from the processes' own logs.

On-call engineers have only logs. This reads the JSON lines of any number of processes
and tells for each route and span of time how many jobs were late, refused or given up,
and for which reason, so that the worst seconds of an hour can be explained.
"""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import Any, NamedTuple

IN_TIME = "in time"


class Loss(NamedTuple):
    """One row of the report.

    Attributes:
      since: start of the span.
      route: name of the route; empty where a request never got one.
      cause: why, or ``IN_TIME``.
    """

    since: datetime
    route: str
    cause: str


class _Accepted(NamedTuple):
    """A job as it was taken by an entry."""

    at: datetime
    route: str
    waited_ms: float


class _Run(NamedTuple):
    """The end of one run of a job."""

    began: datetime
    took_ms: float
    end: str
    reason: str


def count_losses(lines: Iterable[str], span: timedelta) -> Counter[Loss]:
    """Count answered and refused jobs by span, route and cause.

    Args:
      lines: log lines of all processes, in any order; what is no JSON is left out.
      span: length of a span of time, by when an entry took the job.
    """
    entries = list(_entries(lines))
    accepted = dict(_accepted(entries))
    runs = _runs(entries)
    counts: Counter[Loss] = Counter()
    for at, message, worker, details in entries:
        if message == "job refused":
            cause = f"refused: {details['reason']}"
            counts[Loss(_floor(at, span), "", cause)] += 1
        if message == "jobs refused unread":
            cause = f"refused: {details['reason']}"
            counts[Loss(_floor(at, span), "", cause)] += details["jobs"]
        if message == "job answered":
            job = accepted.get((worker, details["job"]))
            taken = job.at if job else at
            cause = _cause(details, job, runs.get(details["job"], []))
            counts[Loss(_floor(taken, span), details["route"], cause)] += 1
    return counts


def render(counts: Counter[Loss]) -> str:
    """Return the counts as a table, a line for each span, route and cause."""
    rows = [
        f"{loss.since:%H:%M:%S.%f}"[:-4] + f"  {loss.route:16} {number:6}  {loss.cause}"
        for loss, number in sorted(counts.items())
    ]
    return "\n".join(rows)


def _entries(
    lines: Iterable[str],
) -> Iterator[tuple[datetime, str, str, dict[str, Any]]]:
    for line in lines:
        try:
            entry = json.loads(line[line.index("{") :])
            at = datetime.fromisoformat(entry["time"])
            details = entry.get("details") or {}
            yield at, entry["message"], entry.get("worker", ""), details
        except (ValueError, KeyError, TypeError):
            # Other programs' lines may stand between.
            continue


def _accepted(entries) -> Iterator[tuple[tuple[str, str], _Accepted]]:
    for at, message, worker, details in entries:
        if message == "job accepted":
            waited = float(details.get("waited_ms", 0))
            yield (worker, details["job"]), _Accepted(at, details["route"], waited)


def _runs(entries) -> dict[str, list[_Run]]:
    runs: dict[str, list[_Run]] = {}
    for at, message, _, details in entries:
        if message == "run ended":
            took = max(float(details["took_ms"]), 0.0)
            began = at - timedelta(milliseconds=took)
            run = _Run(began, took, details["end"], details["reason"])
            runs.setdefault(details["job"], []).append(run)
    return runs


def _cause(answer: dict[str, Any], job: _Accepted | None, runs: list[_Run]) -> str:
    if answer["end"] != "completed":
        return f"{answer['end']}: {answer['reason']}"
    if not answer["late"]:
        return IN_TIME
    if job is not None and job.waited_ms:
        return "late: came again"
    lost = [run.reason for run in runs if run.end not in ("done", "not_run")]
    if lost:
        return f"late: run again after {lost[0]}"
    last = max(runs, key=lambda run: run.began, default=None)
    if job is None or last is None:
        return "late: unknown"
    waited_ms = (last.began - job.at) / timedelta(milliseconds=1)
    return "late: waited" if waited_ms > last.took_ms else "late: slow run"


def _floor(at: datetime, span: timedelta) -> datetime:
    midnight = at.replace(hour=0, minute=0, second=0, microsecond=0)
    return midnight + (at - midnight) // span * span
