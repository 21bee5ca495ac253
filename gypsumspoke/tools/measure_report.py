"""What the measuring command counts, and its table.

Response over ideal goes into an HdrHistogram for each team, so that rounds can be
added up and the far percentiles stay exact to three digits. Settings are compared by
the median over the rounds, with the least and the greatest beside it: a difference
smaller than that spread says nothing.
"""

import json
import statistics
from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

_SCALE = 1000
_MOST = 10_000_000
_DIGITS = 3
PERCENTILES = (50.0, 99.0, 99.9)


class Tally:
    """Counts of one run of one setting."""

    def __init__(self) -> None:
        self._ratios: dict[str, HdrHistogram] = {}
        self.offered: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.wasted: Counter[str] = Counter()
        self.messages = 0
        self.tasks = 0
        self.in_length = 0
        self.jobs = 0
        self.seconds = 0.0

    def offer(self, team: str, tasks: int) -> None:
        """Count a submitted job."""
        self.jobs += 1
        self.offered[team] += tasks

    def complete(self, team: str, tasks: int, response: float, ideal: float) -> None:
        """Count a job whose whole answer came in time; times in seconds."""
        histogram = self._ratios.setdefault(team, _histogram())
        histogram.record_value(max(1, round(_SCALE * response / ideal)))
        self.served[team] += tasks
        self.tasks += tasks

    def refuse(self, reason: str) -> None:
        """Count a job that got another answer."""
        self.refused[reason] += 1

    def waste(self, reason: str, messages: int) -> None:
        """Count messages that brought no task forward."""
        self.wasted[reason] += messages

    @property
    def teams(self) -> list[str]:
        """Teams with complete jobs, sorted."""
        return sorted(self._ratios)

    def percentiles(self, team: str | None = None) -> list[float]:
        """Return response over ideal at ``PERCENTILES``, of a team or of all."""
        merged = _histogram()
        for name, histogram in self._ratios.items():
            if team in (None, name):
                merged.add(histogram)
        return [
            merged.get_value_at_percentile(percentile) / _SCALE
            for percentile in PERCENTILES
        ]


class Figures(NamedTuple):
    """The figures of one run.

    Attributes:
      p50, p99, p999: response over ideal of complete jobs.
      goodput: tasks per second of jobs that were complete before arrivals ended.
      complete: share of jobs that were complete in time.
      messages_per_task: messages between processes per task of a complete job.
      wasted_per_task: messages that brought nothing, per task of a complete job.
      fairness: Jain's index of the teams' served share of what they offered.
      failed: share of jobs that failed because a task did.
    """

    p50: float
    p99: float
    p999: float
    goodput: float
    complete: float
    messages_per_task: float
    wasted_per_task: float
    fairness: float
    failed: float


def figures(tally: Tally) -> Figures:
    """Return the figures of a tally."""
    tasks = max(1, tally.tasks)
    jobs = max(1, tally.jobs)
    refused = sum(tally.refused.values())
    return Figures(
        *tally.percentiles(),
        goodput=tally.in_length / max(tally.seconds, 1e-9),
        complete=1 - refused / jobs,
        messages_per_task=tally.messages / tasks,
        wasted_per_task=sum(tally.wasted.values()) / tasks,
        fairness=jain(
            [tally.served[team] / tally.offered[team] for team in tally.offered]
        ),
        failed=tally.refused["task_failed"] / jobs,
    )


def jain(values: list[float]) -> float:
    """Return Jain's index: 1 when all are equal, 1/n when one has everything."""
    squares = sum(value * value for value in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)


def as_json(settings: dict[str, list[Tally]]) -> str:
    """Return all rounds of all settings as JSON."""
    return json.dumps(
        {
            name: [_plain(tally) for tally in rounds]
            for name, rounds in settings.items()
        },
        indent=1,
        sort_keys=True,
    )


def as_table(settings: dict[str, list[Tally]]) -> str:
    """Return one line per setting: medians, and least to greatest over the rounds."""
    width = max(len(name) for name in settings) + 1
    header = "setting".ljust(width) + "".join(
        field.replace("_per_", "/").rjust(20) for field in Figures._fields
    )
    lines = [header]
    for name, rounds in settings.items():
        columns = zip(*(figures(tally) for tally in rounds))
        lines.append(name.ljust(width) + "".join(_cell(column) for column in columns))
    return "\n".join(lines)


def reasons_table(settings: dict[str, list[Tally]]) -> str:
    """Return refusals and wasted messages by reason, summed over the rounds."""
    lines = []
    for name, rounds in settings.items():
        refused = sum((tally.refused for tally in rounds), Counter())
        wasted = sum((tally.wasted for tally in rounds), Counter())
        lines.append(f"{name}: refused {dict(refused)}, wasted {dict(wasted)}")
    return "\n".join(lines)


def teams_table(settings: dict[str, list[Tally]]) -> str:
    """Return p50, p99 and p99.9 of each team, medians over the rounds."""
    lines = []
    for name, rounds in settings.items():
        for team in sorted({team for tally in rounds for team in tally.teams}):
            rows = [tally.percentiles(team) for tally in rounds if team in tally.teams]
            medians = [statistics.median(column) for column in zip(*rows)]
            served = statistics.median(
                tally.served[team] / tally.offered[team] for tally in rounds
            )
            text = " ".join(f"{value:8.2f}" for value in medians)
            lines.append(f"{name} {team}: {text} served {served:.2f}")
    return "\n".join(lines)


def _cell(column: tuple[float, ...]) -> str:
    middle = statistics.median(column)
    return f"{middle:.2f} ({min(column):.2f}-{max(column):.2f})".rjust(20)


def _plain(tally: Tally) -> dict:
    return {
        "figures": figures(tally)._asdict(),
        "teams": {team: tally.percentiles(team) for team in tally.teams},
        "refused": dict(tally.refused),
        "wasted": dict(tally.wasted),
        "offered": dict(tally.offered),
        "served": dict(tally.served),
    }


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _MOST, _DIGITS)
