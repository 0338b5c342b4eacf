"""Counters and histograms as text for a scraper.

The library is imported with the first scrape: a program that is never
scraped must not pay for it when it starts.
"""

from collections.abc import Iterator
from typing import Any

from bluebelltide import _metrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""The type of the text."""
COUNTER_NAME = "bluebelltide_events"
"""The family of all counters; the labels hold kind and code."""


class _Collector:
    """Hands the values over at the moment of a scrape."""

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        """Yields one family of counters and one for each histogram."""
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
    """Returns the exposition of a process's metrics."""
    import prometheus_client

    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(metrics))
    return prometheus_client.generate_latest(registry)
