"""Counters and histograms, kept in the process and sent to statsd."""

import bisect
from collections import Counter
from enum import StrEnum
import itertools
from typing import TYPE_CHECKING

from bluebelltide import _types

if TYPE_CHECKING:
    import statsd

PREFIX = "bluebelltide"
BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
"""The upper bounds of a histogram's buckets, in milliseconds."""


class Histogram:
    """Counts values in buckets of increasing size.

    Attributes:
        count: The number of values.
        sum: The sum of the values.
    """

    def __init__(self) -> None:
        """Creates an empty histogram."""
        self.count = 0
        self.sum = 0.0
        self._counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)

    def add(self, value: float) -> None:
        """Adds a value."""
        self.count += 1
        self.sum += value
        self._counts[bisect.bisect_left(BUCKET_BOUNDS_MS, value)] += 1

    def cumulative_counts(self) -> list[tuple[int, int]]:
        """Returns each bucket's bound with the number of values up to it."""
        counts = itertools.accumulate(self._counts)
        return list(zip(BUCKET_BOUNDS_MS, counts, strict=False))


class Metrics:
    """Counts events by name and records latencies.

    Attributes:
        counts: The counters since the start of the process, by name.
        histograms: The latencies since the start of the process, by name.
    """

    def __init__(self, client: "statsd.StatsClient | None") -> None:
        """Creates empty metrics; use `create_metrics` instead."""
        self._client = client
        self.counts: Counter[str] = Counter()
        self.histograms: dict[str, Histogram] = {}

    def count(self, kind: str, code: StrEnum | str, amount: int = 1) -> None:
        """Adds to the counter `kind.code`.

        Args:
            kind: The family, for example `refused`.
            code: The code within the family.
            amount: The number to add.
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
        """Sends the value of a gauge to statsd; it is not stored here."""
        if self._client is not None:
            self._client.gauge(name, value)

    def close(self) -> None:
        """Closes the socket to statsd."""
        if self._client is not None:
            self._client.close()


def create_metrics(address: _types.Address | None, program: str) -> Metrics:
    """Creates the metrics of a process.

    Args:
        address: The UDP address of statsd, or None to send nothing.
        program: The program's name, part of the prefix of each metric.

    Returns:
        The metrics.
    """
    if address is None:
        return Metrics(None)
    # Processes that send nothing start sooner without the library.
    import statsd

    client = statsd.StatsClient(
        address.host,
        address.port,
        prefix=f"{PREFIX}.{program}",
        ipv6=":" in address.host,
    )
    return Metrics(client)
