"""The pure parts of the load on real processes; no process is started."""

import json

from click.testing import CliRunner
from returns.result import Success

from gypsumspoke.core.placement import STRATEGIES
from gypsumspoke.parser.manifest import parse_manifest
from gypsumspoke.tools.command_line import main
from gypsumspoke.tools.measure_load import (
    add_counts,
    job_body,
    manifest_text,
    read_counts,
    version_everywhere,
)
from gypsumspoke.tools.measure_report import Tally, figures
from gypsumspoke.tools.measure_workload import Shape, generate

PAGE = """
gypsumspoke_messages_per_task_count{team="a"} 3.0
gypsumspoke_messages_per_task_sum{team="a"} 9.0
gypsumspoke_messages_per_task_count{team="b"} 1.0
gypsumspoke_messages_per_task_sum{team="b"} 2.0
gypsumspoke_wasted_messages_sum{reason="late"} 5.0
gypsumspoke_retries_total{reason="late"} 70.0
"""


def test_the_command_line_passes_options_on_to_measuring():
    result = CliRunner().invoke(main, ["measure", "load", "--help"])
    assert result.exit_code == 0
    assert "--strategy" in result.output


def test_each_strategy_makes_a_valid_manifest():
    for name in STRATEGIES:
        parsed = parse_manifest(manifest_text(name, ["a", "b"]))
        assert isinstance(parsed, Success)
        assert parsed.unwrap().policy.placement == name


def test_a_planned_job_is_submitted_with_its_run_and_declared_times():
    job = generate(Shape(0.7, 5.0), 1).jobs[0]
    body = job_body(job, "key")
    assert body["team"] == job.team
    assert [task["body"]["sleep_seconds"] for task in body["tasks"]] == [
        task.run for task in job.tasks
    ]
    assert body["tasks"][0]["declared_seconds"] == job.tasks[0].declared


def test_counts_are_sums_over_sidecars_teams_and_nothing_else():
    counts = read_counts([PAGE, PAGE])
    assert (counts.jobs, counts.per_task) == (8, 22)
    assert counts.wasted == {"late": 10}


def test_a_tally_gets_the_difference_of_two_readings():
    tally = Tally()
    tally.offer("a", 10)
    tally.complete("a", 10, 2.0, 1.0)
    add_counts(tally, read_counts([PAGE]), read_counts([PAGE, PAGE]))
    assert figures(tally).messages_per_task == 11 / 4
    assert figures(tally).wasted_per_task == 0.5


def test_a_version_is_everywhere_once_all_processes_show_it():
    def status(*versions):
        return json.dumps({"processes": [{"manifest_version": v} for v in versions]})

    assert version_everywhere(status(3, 3), 3, 2)
    assert not version_everywhere(status(3, 2), 3, 2)
    assert not version_everywhere(status(3), 3, 2)
