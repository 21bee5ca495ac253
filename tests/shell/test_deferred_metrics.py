"""Updates made before the metrics library is imported."""

from gypsumspoke.core.effects import Count, Observe
from gypsumspoke.runs.values import RefusalReason
from gypsumspoke.shell import deferred_metrics
from gypsumspoke.shell.deferred_metrics import DeferredMetrics

REFUSED = 'gypsumspoke_job_refusals_total{reason="too_late"}'


def test_updates_before_the_import_are_applied():
    metrics = DeferredMetrics("entry", "front-1")
    metrics.gauge("open_things", "Things.", lambda: 3.0)
    metrics.count(Count(RefusalReason.TOO_LATE, 2))
    metrics.observe(Observe("job_seconds", 0.2, "checks"))
    first = metrics.render().decode()
    metrics.count(Count(RefusalReason.TOO_LATE))
    second = metrics.render().decode()
    assert f"{REFUSED} 2.0" in first
    assert "gypsumspoke_open_things 3.0" in first
    assert 'gypsumspoke_job_seconds_count{route="checks"} 1.0' in first
    assert f"{REFUSED} 3.0" in second


def test_queued_updates_are_bounded(monkeypatch):
    """Thousands of refusals and jobs must not grow the queue without bound: when it is
    full, the library is imported and they are counted.
    """
    monkeypatch.setattr(deferred_metrics, "MAX_PENDING", 3)
    metrics = DeferredMetrics("entry", "front-1")
    for _ in range(5):
        metrics.count(Count(RefusalReason.TOO_LATE))
        metrics.observe(Observe("job_seconds", 0.2, "checks"))
        assert len(metrics._observed) < 3
        assert len(metrics._counts) <= 1
    text = metrics.render().decode()
    assert f"{REFUSED} 5.0" in text
    assert 'gypsumspoke_job_seconds_count{route="checks"} 5.0' in text
