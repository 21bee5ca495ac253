"""The measuring command, on runs of a few virtual seconds."""

import json

import pytest
from click.testing import CliRunner

from gypsumspoke.core.placement import Rank
from gypsumspoke.tools.measure import measure, parse_setting
from gypsumspoke.tools.measure_model import ModelSettings, run_model
from gypsumspoke.tools.measure_report import Tally, figures, jain
from gypsumspoke.tools.measure_workload import Shape, generate


def test_settings_name_fields_of_the_model_and_of_the_strategy():
    name, settings = parse_setting("x:strategy=two_choices,choices=3,fair=false")
    assert name == "x"
    assert settings.strategy.rank is Rank.COUNT
    assert settings.strategy.choices == 3
    assert not settings.fair


def test_an_unknown_setting_is_refused_by_name():
    result = CliRunner().invoke(measure, ["model", "--setting", "x:speed=3"])
    assert result.exit_code == 2
    assert "speed=3" in result.output


def test_every_job_is_answered_and_equal_seeds_give_equal_figures():
    workload = generate(Shape(0.7, 10.0, failing=True), 1)
    tallies = [run_model(workload, ModelSettings(), 1) for _ in range(2)]
    assert figures(tallies[0]) == figures(tallies[1])
    complete = sum(
        len(job.tasks) for job in workload.jobs if job.team in tallies[0].teams
    )
    assert 0 < tallies[0].tasks <= complete
    assert sum(tallies[0].refused.values()) < len(workload.jobs)


def test_the_command_prints_a_table_and_writes_json(tmp_path):
    path = tmp_path / "figures.json"
    arguments = ["model", "--load", "0.5", "--rounds", "1", "--seconds", "3"]
    arguments += ["--setting", "a:", "--setting", "b:strategy=random"]
    result = CliRunner().invoke(measure, [*arguments, "--json", str(path)])
    assert result.exit_code == 0, result.output
    assert "p99" in result.output
    assert set(json.loads(path.read_text())) == {"0.5 a", "0.5 b"}


def test_figures_of_a_small_tally():
    tally = Tally()
    tally.seconds = 2.0
    tally.in_length = 8
    for team, response in (("a", 1.0), ("b", 3.0)):
        tally.offer(team, 4)
        tally.complete(team, 4, response, 1.0)
    tally.offer("b", 4)
    tally.refuse("queue_full")
    tally.waste("executor_queue_full", 4)
    tally.messages = 20
    result = figures(tally)
    assert result.p999 == pytest.approx(3.0, rel=0.01)
    assert result.goodput == 4.0
    assert result.messages_per_task == 2.5
    assert result.wasted_per_task == 0.5
    assert result.complete == pytest.approx(2 / 3)
    assert result.fairness == pytest.approx(jain([1.0, 0.5]))


def test_jain_is_one_when_equal_and_one_over_n_when_one_has_all():
    assert jain([2.0, 2.0, 2.0]) == 1.0
    assert jain([1.0, 0.0, 0.0, 0.0]) == 0.25
