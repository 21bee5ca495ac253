"""Prometheus metrics of one process, in a registry of their own.

Counters exist at zero for every label value from the start: a rate over a counter that
appears with its first event would miss that event.
"""

from collections.abc import Callable
from enum import Enum
from functools import singledispatch
from typing import NamedTuple

from prometheus_client import (
    CollectorRegistry,
    Counter as CounterMetric,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from gypsumspoke import __version__
from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.effects import Count, Log, Observe
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.runs.values import (
    DisplacementReason,
    EndReason,
    IgnoredHeartbeat,
    LeaseEvent,
    LeavingRun,
    RefusalReason,
    SidecarRetry,
    WorkerFailure,
    WorkerRecordEvent,
)
from gypsumspoke.shell.logs import log

NAMESPACE = "gypsumspoke"
MAX_LABEL_VALUES = 256
OTHER_LABEL = "other"


class HistogramSpec(NamedTuple):
    """The histogram for one observation name.

    Attributes:
      help: description of the measured value.
      label: name of the label whose value is ``Observe.label``.
      buckets: upper bounds of the buckets.
    """

    help: str
    label: str
    buckets: tuple[float, ...]


_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)
_RATIO = (1.05, 1.1, 1.25, 1.5, 2, 3, 5, 10, 25, 100)
_MESSAGES = (2, 3, 4, 5, 6, 8, 12, 20)
_WASTED = (0, 1, 2, 5, 10, 20, 50, 130)

HISTOGRAMS = {
    "response_seconds": HistogramSpec(
        "Time from a submission to its answer.", "team", _SECONDS
    ),
    "response_over_ideal": HistogramSpec(
        "Response time over that of an idle system.", "team", _RATIO
    ),
    "queue_wait_seconds": HistogramSpec(
        "Time that a task waited before it was placed or started.", "team", _SECONDS
    ),
    "messages_per_task": HistogramSpec(
        "Messages between processes for each task of a job.", "team", _MESSAGES
    ),
    "wasted_messages": HistogramSpec(
        "Messages of a job that did not bring its answer nearer.", "reason", _WASTED
    ),
    "job_seconds": HistogramSpec(
        "Time from a best-effort job to its answer.", "route", _SECONDS
    ),
    "loop_lag_seconds": HistogramSpec(
        "Worst lag of an event in each tick, until it is read and until it is handled.",
        "part",
        _SECONDS,
    ),
    "takeover_seconds": HistogramSpec(
        "Time from the loss of a partition's owner to service.", "result", _SECONDS
    ),
}


class Metrics:
    """All metrics of one process.

    Args:
      role, worker: identity, exported as labels of ``gypsumspoke_build_info``.
    """

    def __init__(self, role: str = "", worker: str = "") -> None:
        self._registry = CollectorRegistry()
        self._refusals = self._counter("refusals", "Answers by error kind.", "kind")
        self._retries = self._counter("retries", "Retries by reason.", "reason")
        self._events = self._counter("events", "Acts of safeguards.", "event")
        self._run_ends = self._counter("run_ends", "Ends of runs by reason.", "reason")
        self._job_refusals = self._counter(
            "job_refusals", "Best-effort jobs refused or given up.", "reason"
        )
        self._lease_events = self._counter(
            "lease_events", "What happened to the worker's lease.", "event"
        )
        self._sidecar_retries = self._counter(
            "sidecar_retries", "Starts and connections repeated.", "reason"
        )
        self._worker_failures = self._counter(
            "worker_failures", "Lease renewals that the worker left open.", "reason"
        )
        self._ignored_heartbeats = self._counter(
            "ignored_heartbeats", "Heartbeats of the worker not used.", "reason"
        )
        self._worker_records = self._counter(
            "worker_records", "What became of the worker's stored record.", "event"
        )
        self._leaving_runs = self._counter(
            "leaving_runs", "Decisions on runs whose worker leaves.", "decision"
        )
        self._displaced_runs = self._counter(
            "displaced_runs", "Waiting runs sent back for another.", "reason"
        )
        for metric, values in self._families():
            for value in values:
                metric.labels(value.value)
        self._histograms = {
            name: self._histogram(name, spec) for name, spec in HISTOGRAMS.items()
        }
        self._labels: dict[str, set[str]] = {name: set() for name in HISTOGRAMS}
        self._add_process_metrics(role, worker)

    @property
    def registry(self) -> CollectorRegistry:
        """The registry, to which roles can add collectors."""
        return self._registry

    def count(self, effect: Count) -> None:
        """Count one event, refusal or retry."""
        _family(effect.what, self).labels(effect.what.value).inc(effect.amount)

    def observe(self, effect: Observe) -> None:
        """Record one measured value; names without a histogram are ignored."""
        histogram = self._histograms.get(effect.name)
        if histogram is not None:
            label = self._bounded_label(effect.name, effect.label)
            histogram.labels(label).observe(effect.value)

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when the metrics are rendered.

        Args:
          name: name with its unit, without the namespace.
          description: description of the measured value.
          read: returns the current value.
        """
        gauge = Gauge(name, description, namespace=NAMESPACE, registry=self._registry)
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, description: str, label: str) -> CounterMetric:
        return CounterMetric(
            name, description, (label,), namespace=NAMESPACE, registry=self._registry
        )

    def _histogram(self, name: str, spec: HistogramSpec) -> Histogram:
        return Histogram(
            name,
            spec.help,
            (spec.label,),
            namespace=NAMESPACE,
            registry=self._registry,
            buckets=spec.buckets,
        )

    def _families(self) -> list[tuple[CounterMetric, type[Enum]]]:
        return [
            (self._refusals, ErrorKind),
            (self._retries, RetryReason),
            (self._events, Counter),
            (self._run_ends, EndReason),
            (self._job_refusals, RefusalReason),
            (self._lease_events, LeaseEvent),
            (self._sidecar_retries, SidecarRetry),
            (self._worker_failures, WorkerFailure),
            (self._ignored_heartbeats, IgnoredHeartbeat),
            (self._worker_records, WorkerRecordEvent),
            (self._leaving_runs, LeavingRun),
            (self._displaced_runs, DisplacementReason),
        ]

    def _add_process_metrics(self, role: str, worker: str) -> None:
        ProcessCollector(registry=self._registry)
        info = Gauge(
            "build_info",
            "1, with the version and identity as labels.",
            ("version", "role", "worker"),
            namespace=NAMESPACE,
            registry=self._registry,
        )
        info.labels(__version__, role, worker).set(1)

    def _bounded_label(self, name: str, label: str) -> str:
        # Each label value occupies buckets until the process ends, so an unbounded
        # number of values would exhaust the memory.
        known = self._labels[name]
        if label in known:
            return label
        if len(known) >= MAX_LABEL_VALUES:
            return OTHER_LABEL
        known.add(label)
        return label


@singledispatch
def _family(what: Enum, metrics: Metrics) -> CounterMetric:
    raise TypeError(f"no counter for {what!r}")


@_family.register
def _(what: ErrorKind, metrics: Metrics) -> CounterMetric:
    return metrics._refusals


@_family.register
def _(what: RetryReason, metrics: Metrics) -> CounterMetric:
    return metrics._retries


@_family.register
def _(what: Counter, metrics: Metrics) -> CounterMetric:
    return metrics._events


@_family.register
def _(what: EndReason, metrics: Metrics) -> CounterMetric:
    return metrics._run_ends


@_family.register
def _(what: RefusalReason, metrics: Metrics) -> CounterMetric:
    return metrics._job_refusals


@_family.register
def _(what: LeaseEvent, metrics: Metrics) -> CounterMetric:
    return metrics._lease_events


@_family.register
def _(what: SidecarRetry, metrics: Metrics) -> CounterMetric:
    return metrics._sidecar_retries


@_family.register
def _(what: WorkerFailure, metrics: Metrics) -> CounterMetric:
    return metrics._worker_failures


@_family.register
def _(what: IgnoredHeartbeat, metrics: Metrics) -> CounterMetric:
    return metrics._ignored_heartbeats


@_family.register
def _(what: WorkerRecordEvent, metrics: Metrics) -> CounterMetric:
    return metrics._worker_records


@_family.register
def _(what: LeavingRun, metrics: Metrics) -> CounterMetric:
    return metrics._leaving_runs


@_family.register
def _(what: DisplacementReason, metrics: Metrics) -> CounterMetric:
    return metrics._displaced_runs


def install(runtime, metrics: Metrics) -> None:
    """Register the handlers of ``Count``, ``Observe`` and ``Log`` effects.

    Args:
      runtime: has ``add_handler(effect_type, handler)``.
      metrics: receives counts and observations.
    """
    runtime.add_handler(Count, metrics.count)
    runtime.add_handler(Observe, metrics.observe)
    runtime.add_handler(Log, log)
