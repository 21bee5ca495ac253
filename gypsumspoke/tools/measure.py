"""The measuring command: ``gypsumspoke measure …``.

It compares settings side by side in one run, because the machines it runs on are
noisy: for each round the same jobs go through each setting in turn. Settings are
written ``NAME:key=value,key=value``; a key is a field of ``ModelSettings`` or of
``Strategy``, and ``strategy=NAME`` starts from a named one.
"""

import json
import os
import statistics
from pathlib import Path
from typing import Any

import click

from gypsumspoke.core.placement import STRATEGIES, Rank, Strategy
from gypsumspoke.tools.measure_model import ModelSettings, run_model
from gypsumspoke.tools.measure_reducers import (
    change_slopes,
    idle_slopes,
    ledger_bytes,
    task_slopes,
)
from gypsumspoke.tools.measure_report import (
    Tally,
    as_json,
    as_table,
    reasons_table,
    teams_table,
)
from gypsumspoke.tools.measure_workload import Shape, generate

_FIRST_SEED = 100
_JOB_SIZES = (1, 26, 130)
_WARM_UP = 5.0
_LOAD = click.FloatRange(0.01, 2)
_DEFAULT_LOADS = (0.3, 0.7, 0.95, 1.3)


@click.group()
def measure() -> None:
    """Measure the policy, the reducers and the processes."""


@measure.command()
@click.option("--setting", "settings", multiple=True, help="NAME:key=value,…")
@click.option("--load", "loads", multiple=True, type=float, default=_DEFAULT_LOADS)
@click.option("--rounds", default=5, show_default=True)
@click.option("--seconds", default=60.0, show_default=True, help="Virtual time.")
@click.option("--loud", is_flag=True, help="One team at ten times its quota.")
@click.option("--failing", is_flag=True, help="One worker fails everything.")
@click.option("--straggler/--no-straggler", default=True, show_default=True)
@click.option("--teams", "by_team", is_flag=True, help="Also print each team.")
@click.option("--json", "json_path", type=click.Path(path_type=Path))
def model(
    settings: tuple[str, ...],
    loads: tuple[float, ...],
    rounds: int,
    seconds: float,
    loud: bool,
    failing: bool,
    straggler: bool,
    by_team: bool,
    json_path: Path | None,
) -> None:
    """Compare settings of the policy in virtual time with modelled executors."""
    texts = settings or tuple(f"{name}:strategy={name}" for name in STRATEGIES)
    chosen = dict(parse_setting(text) for text in texts)
    every: dict[str, list[Tally]] = {}
    for load in loads:
        shape = Shape(load, seconds, loud=loud, failing=failing, straggler=straggler)
        tallies: dict[str, list[Tally]] = {name: [] for name in chosen}
        for seed in range(_FIRST_SEED, _FIRST_SEED + rounds):
            workload = generate(shape, seed)
            for name, setting in chosen.items():
                tallies[name].append(run_model(workload, setting, seed))
        click.echo(f"model figures, load {load}")
        click.echo(as_table(tallies))
        click.echo(reasons_table(tallies))
        if by_team:
            click.echo(teams_table(tallies))
        every.update({f"{load} {name}": tallies[name] for name in tallies})
    if json_path:
        json_path.write_text(as_json(every))


@measure.command()
@click.option("--rounds", default=3, show_default=True)
@click.option("--workers", multiple=True, type=int, default=(11, 44))
@click.option("--partitions", default=64, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=Path))
def reducers(
    rounds: int, workers: tuple[int, ...], partitions: int, json_path: Path | None
) -> None:
    """Time the reducers event by event, for the slopes of docs/CAPACITY.md."""
    runs = [_slopes(workers, partitions) for _ in range(rounds)]
    for name in runs[0]:
        values = [run[name] for run in runs]
        middle, least, most = statistics.median(values), min(values), max(values)
        click.echo(f"{name:55} {middle:12.4g}  ({least:.4g} to {most:.4g})")
    if json_path:
        json_path.write_text(json.dumps(runs, indent=1))


@measure.command()
@click.option(
    "--strategy",
    "strategies",
    multiple=True,
    type=click.Choice(list(STRATEGIES)),
    default=("expected_wait", "two_choices"),
)
@click.option("--load", "loads", multiple=True, type=_LOAD, default=(0.7, 0.95))
@click.option("--rounds", type=click.IntRange(1, 20), default=2, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 300), default=20.0)
@click.option("--straggler/--no-straggler", default=True, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=Path))
def load(
    strategies: tuple[str, ...],
    loads: tuple[float, ...],
    rounds: int,
    seconds: float,
    straggler: bool,
    json_path: Path | None,
) -> None:
    """Compare placement strategies on real processes on this machine."""
    from gypsumspoke.tools.measure_load import LoadError

    try:
        every = _load_rounds(strategies, loads, rounds, seconds, straggler)
    except LoadError as error:
        raise click.ClickException(str(error)) from error
    if json_path:
        json_path.write_text(as_json(every))


def _load_rounds(
    strategies: tuple[str, ...],
    loads: tuple[float, ...],
    rounds: int,
    seconds: float,
    straggler: bool,
) -> dict[str, list[Tally]]:
    """Return the tallies of all rounds by load and strategy; print them as they come.

    Raises:
      LoadError: the system can't be started or put into the state that is measured.
    """
    from gypsumspoke.tools.measure_load import manifest_text, start_system

    every: dict[str, list[Tally]] = {}
    with start_system(straggler) as system:
        # Otherwise the first setting alone would pay for what homes still learn.
        warm_up = generate(Shape(loads[0], _WARM_UP, straggler=straggler), 0)
        system.put_in_force(manifest_text(strategies[0], list(warm_up.quotas)))
        system.drive(warm_up)
        for offered in loads:
            tallies: dict[str, list[Tally]] = {name: [] for name in strategies}
            shape = Shape(offered, seconds, straggler=straggler)
            for number in range(rounds):
                workload = generate(shape, _FIRST_SEED + number)
                first = number % len(strategies)
                for name in strategies[first:] + strategies[:first]:
                    system.put_in_force(manifest_text(name, list(workload.quotas)))
                    tallies[name].append(system.drive(workload))
                click.echo(f"machine load {os.getloadavg()[0]:.1f}")
            click.echo(f"process figures, load {offered}")
            click.echo(as_table(tallies))
            click.echo(reasons_table(tallies))
            every.update({f"{offered} {name}": tallies[name] for name in tallies})
    return every


def _slopes(workers: tuple[int, ...], partitions: int) -> dict[str, float]:
    """Return all slopes of one round under flat names."""
    slopes: dict[str, float] = {}
    fewest = min(workers)
    for tasks in _JOB_SIZES:
        for name, value in task_slopes(fewest, partitions, tasks).items():
            slopes[f"jobs of {tasks}: {name}"] = value
        for name, value in ledger_bytes(fewest, partitions, tasks).items():
            slopes[f"jobs of {tasks}: {name}"] = value
    for count in workers:
        for name, value in idle_slopes(count, partitions).items():
            slopes[f"{count} workers, idle: {name}"] = value
        for change, costs in change_slopes(count, partitions).items():
            for name, value in costs.items():
                slopes[f"{count} workers, {change}: {name}"] = value
    return slopes


def parse_setting(text: str) -> tuple[str, ModelSettings]:
    """Return name and settings of ``NAME:key=value,key=value``.

    Raises:
      click.BadParameter: an unknown key or a value of another type.
    """
    name, _, rest = text.partition(":")
    settings = ModelSettings()
    for pair in filter(None, rest.split(",")):
        key, _, value = pair.partition("=")
        try:
            settings = _changed(settings, key, value)
        except (KeyError, ValueError) as error:
            raise click.BadParameter(f"{pair}: {error}") from error
    return name, settings


def _changed(settings: ModelSettings, key: str, value: str) -> ModelSettings:
    """Return the settings with one field, or one of its strategy's, replaced."""
    if key == "strategy":
        return settings._replace(strategy=STRATEGIES[value])
    if key in Strategy._fields:
        strategy = settings.strategy._replace(**{key: _value(key, value)})
        return settings._replace(strategy=strategy)
    return settings._replace(**{key: _value(key, value)})


def _value(key: str, text: str) -> Any:
    if key == "rank":
        return Rank(text)
    if text in ("true", "false", "none"):
        return {"true": True, "false": False, "none": None}[text]
    return float(text) if "." in text else int(text)
