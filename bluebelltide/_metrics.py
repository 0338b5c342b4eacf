"""Counters, sent to statsd and kept for the status endpoint."""

import bisect
from collections import Counter
from enum import StrEnum
import itertools

import statsd

from bluebelltide import _types

PREFIX = "bluebelltide"
BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
"""The upper bounds of a histogram's buckets, in milliseconds."""


class Histogram:
    """Counts values by size.

    Attributes:
        count: How many values were seen.
        total: Their sum.
    """

    def __init__(self) -> None:
        """Creates an empty histogram."""
        self.count = 0
        self.sum = 0.0
        self._counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)

    def add(self, value: float) -> None:
        """Counts a value."""
        self.count += 1
        self.sum += value
        self._counts[bisect.bisect_left(BUCKET_BOUNDS_MS, value)] += 1

    def cumulative_counts(self) -> list[tuple[int, int]]:
        """Returns each bucket's bound with the count of values up to it."""
        sums = itertools.accumulate(self._counts)
        return list(zip(BUCKET_BOUNDS_MS, sums, strict=False))


class Metrics:
    """Counts events by name; classes hold state, so this is one.

    Attributes:
        counts: Totals since the process started, by counter name.
        histograms: Latencies since the process started, by name.
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        """Creates the counters; use `create_metrics` instead."""
        self._client = client
        self.counts: Counter[str] = Counter()
        self.histograms: dict[str, Histogram] = {}

    def count(self, kind: str, code: StrEnum | str, amount: int = 1) -> None:
        """Adds to the counter `kind.code`.

        Args:
            kind: The family, for example `refused`.
            code: The member of the family.
            amount: How much to add.
        """
        name = f"{kind}.{code}"
        self.counts[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Adds a latency to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.add(value_ms)
        if self._client is not None:
            self._client.timing(name, value_ms)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge to a value."""
        if self._client is not None:
            self._client.gauge(name, value)

    def close(self) -> None:
        """Closes the socket to statsd."""
        if self._client is not None:
            self._client.close()


def create_metrics(address: _types.Address | None, program: str) -> Metrics:
    """Creates counters that go to a statsd address.

    Args:
        address: Where statsd listens on UDP, or None to keep counters only.
        program: The program's name, part of each counter's prefix.

    Returns:
        The counters.
    """
    if address is None:
        return Metrics(None)
    client = statsd.StatsClient(
        address.host,
        address.port,
        prefix=f"{PREFIX}.{program}",
        ipv6=":" in address.host,
    )
    return Metrics(client)
