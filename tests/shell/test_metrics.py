"""Counters, histograms and gauges."""

import pytest

from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.effects import Count, Observe
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.shell.metrics import HISTOGRAMS, MAX_LABEL_VALUES, Metrics


@pytest.mark.parametrize(
    "what, sample, label",
    [
        (ErrorKind.QUEUE_FULL, "gypsumspoke_refusals_total", "kind"),
        (RetryReason.NEVER_SEEN, "gypsumspoke_retries_total", "reason"),
        (Counter.FENCE_SENT, "gypsumspoke_events_total", "event"),
    ],
)
def test_a_count_increments_the_counter_of_its_kind(what, sample, label):
    metrics = Metrics()
    assert metrics.registry.get_sample_value(sample, {label: what.value}) == 0
    metrics.count(Count(what, 2))
    assert metrics.registry.get_sample_value(sample, {label: what.value}) == 2


@pytest.mark.parametrize("name", HISTOGRAMS)
def test_an_observation_is_added_to_its_histogram(name):
    metrics = Metrics()
    metrics.observe(Observe(name, 1.5, "x"))
    labels = {HISTOGRAMS[name].label: "x"}
    value = metrics.registry.get_sample_value(f"gypsumspoke_{name}_sum", labels)
    assert value == 1.5


def test_label_values_are_bounded():
    metrics = Metrics()
    for number in range(MAX_LABEL_VALUES + 5):
        metrics.observe(Observe("response_seconds", 1, f"team{number}"))
    sample = "gypsumspoke_response_seconds_count"
    assert metrics.registry.get_sample_value(sample, {"team": "other"}) == 5


def test_gauges_are_read_when_the_metrics_are_rendered():
    metrics = Metrics(role="sidecar", worker="w1")
    metrics.gauge("running_tasks", "Tasks at the upstream.", lambda: 3)
    text = metrics.render().decode()
    assert "gypsumspoke_running_tasks 3.0" in text
    assert 'worker="w1"' in text
