"""Tests of parsing manifests: defaults, units and errors."""

import json
from datetime import timedelta
from pathlib import Path

import pytest

from gypsumspoke.core.policy import DEFAULT_POLICY
from gypsumspoke.parser.manifest import parse_manifest

SERVICE = {"name": "estimate"}
TEAM = {"name": "tax", "tasks_per_second": 10, "burst_tasks": 20}


def parse(services=(SERVICE,), teams=(TEAM,), **more):
    document = {"services": list(services), "teams": list(teams), **more}
    return parse_manifest(json.dumps(document))


def test_the_example_is_valid():
    manifest = parse_manifest(Path("examples/manifest.json").read_text()).unwrap()
    assert manifest.policy == DEFAULT_POLICY
    assert manifest.teams[0].weight == 2


def test_every_policy_key_is_optional():
    assert parse(policy={}).unwrap().policy == DEFAULT_POLICY
    policy = parse(policy={"retention_seconds": 90, "retry_budget_share": 0.5})
    expected = DEFAULT_POLICY._replace(
        retention=timedelta(seconds=90), retry_budget=0.5
    )
    assert policy.unwrap().policy == expected


def test_all_errors_are_reported_at_once():
    errors = parse(teams=[{"name": "tax", "burst_tasks": 0, "quota": 1}]).failure()
    assert errors == (
        "teams[0].burst_tasks: expected int >= 1",
        "teams[0].quota: unknown key",
        "teams[0].tasks_per_second: missing",
    )


@pytest.mark.parametrize(
    "document, error",
    [
        ({"services": []}, "services: must not be empty"),
        ({"teams": [TEAM, TEAM]}, "teams[1].name: tax is named twice"),
        ({"policy": {"retention_seconds": 1}}, "policy.retention_seconds: must be"),
        (
            {"policy": {"retention_seconds": 20}},
            "services[0].answer_timeout_seconds: must be less than",
        ),
        ({"policy": {"message_weight_share": 1.5}}, "policy.message_weight_share: "),
        ({"policy": {"placement": "guess"}}, "policy.placement: invalid enum value"),
        ({"policy": 3}, "policy: expected an object"),
    ],
)
def test_an_invalid_value_is_refused_with_its_path(document, error):
    assert any(found.startswith(error) for found in parse(**document).failure())


def test_a_lone_surrogate_is_refused():
    """UTF-8 can't encode a lone surrogate, so it would raise an exception later."""
    errors = parse(teams=[{**TEAM, "name": "\ud800"}]).failure()
    assert "surrogates not allowed" in errors[0]
