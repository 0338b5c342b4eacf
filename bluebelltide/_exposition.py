"""Counters and histograms in the Prometheus text format.

The Prometheus library is imported at the first scrape, because importing it
would slow down the start of programs that are never scraped.
"""

from collections.abc import Iterator
from typing import Any

from bluebelltide import _metrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""The content type of the text format."""
COUNTER_NAME = "bluebelltide_events"
"""The metric family of all counters; its labels are `kind` and `code`."""


class _Collector:
    """Collects the current values at each scrape."""

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        """Yields one metric family for all counters and one per histogram."""
        from prometheus_client import core

        counters = core.CounterMetricFamily(
            COUNTER_NAME, "Decisions by kind and code.", labels=["kind", "code"]
        )
        for name, count in sorted(self._metrics.counts.items()):
            kind, _, code = name.partition(".")
            counters.add_metric([kind, code], count)
        yield counters
        for name, histogram in sorted(self._metrics.histograms.items()):
            family = core.HistogramMetricFamily(
                f"bluebelltide_{name}", "In milliseconds."
            )
            buckets = [
                (str(float(bound)), count)
                for bound, count in histogram.cumulative_counts()
            ]
            buckets.append(("+Inf", histogram.count))
            family.add_metric([], buckets, histogram.sum)
            yield family


def render_metrics(metrics: _metrics.Metrics) -> bytes:
    """Returns a process's metrics in the Prometheus text format."""
    import prometheus_client

    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(metrics))
    return prometheus_client.generate_latest(registry)
