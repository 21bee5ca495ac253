"""The report on lost time, from lines as the processes write them."""

import json
from datetime import datetime, timedelta, timezone

from click.testing import CliRunner

from gypsumspoke.tools.command_line import main
from gypsumspoke.tools.losses import IN_TIME, Loss, count_losses, render

START = datetime(2030, 1, 1, 12, tzinfo=timezone.utc)
SPAN = timedelta(seconds=2)


def line(ms: float, message: str, worker: str = "front-1", **details) -> str:
    at = START + timedelta(milliseconds=ms)
    entry = {"message": message, "worker": worker, "time": at.isoformat()}
    return json.dumps({**entry, "details": details})


def job(name: str, runs: list[tuple], late: bool = True, **more) -> list[str]:
    """Return the lines of a job taken at 0; a run is its start, end and reason."""
    lines = [line(0, "job accepted", job=name, route="checks", **more)]
    for began, took, reason in runs:
        end = "done" if reason == "completed" else "lost"
        lines.append(
            line(
                began + took,
                "run ended",
                "side-1",
                job=name,
                end=end,
                reason=reason,
                took_ms=took,
            )
        )
    answer = {"job": name, "route": "checks", "end": "completed", "reason": ""}
    return [*lines, line(900, "job answered", late=late, **answer)]


def causes(lines: list[str]) -> dict[str, int]:
    return {loss.cause: count for loss, count in count_losses(lines, SPAN).items()}


def test_each_late_job_has_one_cause():
    lines = [
        *job("j1", [(5, 100, "completed")], late=False),
        *job("j2", [(300, 100, "completed")]),
        *job("j3", [(5, 800, "completed")]),
        *job("j4", [(5, 100, "worker_gone"), (200, 100, "completed")]),
        *job("j5", [(5, 100, "completed")], waited_ms=1300),
    ]
    assert causes(lines) == {
        IN_TIME: 1,
        "late: waited": 1,
        "late: slow run": 1,
        "late: run again after worker_gone": 1,
        "late: came again": 1,
    }


def test_refused_and_given_up_jobs_are_told_by_reason():
    answer = {"job": "j2", "route": "checks", "late": True}
    lines = [
        line(100, "job refused", job="j1", reason="too_late"),
        line(4100, "job answered", end="given_up", reason="caller_left", **answer),
    ]
    assert count_losses(lines, SPAN) == {
        Loss(START, "", "refused: too_late"): 1,
        Loss(START + 2 * SPAN, "checks", "given_up: caller_left"): 1,
    }


def test_other_lines_are_left_out():
    assert count_losses(["", "no JSON", "{}", "[1]", '{"time": 3}'], SPAN) == {}


def test_the_command_prints_a_row_for_each_cause(tmp_path):
    path = tmp_path / "front-1.log"
    path.write_text("\n".join(job("j2", [(300, 100, "completed")])))
    result = CliRunner().invoke(main, ["losses", str(path)])
    assert result.exit_code == 0
    assert result.output.split() == ["12:00:00.00", "checks", "1", "late:", "waited"]


def test_a_missing_file_is_named():
    result = CliRunner().invoke(main, ["losses", "no-such-file"])
    assert result.exit_code != 0
    assert "no-such-file" in result.output


def test_no_jobs_give_an_empty_report():
    assert render(count_losses([], SPAN)) == ""


def test_jobs_that_were_refused_unread_count_by_their_number():
    details = {"reason": "entry_behind", "jobs": 7}
    assert causes([line(100, "jobs refused unread", **details)]) == {
        "refused: entry_behind": 7
    }
