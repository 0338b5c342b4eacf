"""Load against a running TCP front, compared with a direct connection."""

import time
from typing import Any

import anyio
from hdrh import histogram

from bluebelltide import _types
from bluebelltide.standins import _caller

MAXIMUM_LATENCY_US = 60_000_000
"""The longest latency that the histogram records; longer ones count as this."""


async def _generate_load(
    address: _types.Address, connections: int, seconds: float, prefix: str
) -> dict[str, Any]:
    latencies = histogram.HdrHistogram(1, MAXIMUM_LATENCY_US, 3)
    counts = {"flows": 0, "failed": 0}
    end_s = time.monotonic() + seconds

    async def run_caller(number: int) -> None:
        call_number = 0
        while time.monotonic() < end_s:
            call_number += 1
            start_ns = time.monotonic_ns()
            answer = await _caller.call(
                address, f"{prefix}-{number}-{call_number}"
            )
            latency_us = (time.monotonic_ns() - start_ns) // 1000
            latencies.record_value(min(MAXIMUM_LATENCY_US, latency_us))
            counts["flows"] += 1
            counts["failed"] += not answer.is_whole

    async with anyio.create_task_group() as tasks:
        for number in range(connections):
            tasks.start_soon(run_caller, number)
    return {
        **counts,
        "flows_per_s": round(counts["flows"] / seconds, 1),
        "p50_us": latencies.get_value_at_percentile(50),
        "p99_us": latencies.get_value_at_percentile(99),
    }


def run(
    front: _types.Address,
    direct: _types.Address,
    connections: int,
    seconds: float,
) -> dict[str, Any]:
    """Measures a target directly, then through the front, and compares both.

    Args:
        front: Address of the TCP front.
        direct: Address of the same target.
        connections: The number of flows that are open at once.
        seconds: How long each of the two is measured.

    Returns:
        Both measurements and their ratios.
    """
    report: dict[str, Any] = {}
    prefix = str(time.time_ns())
    for name, address in (("direct", direct), ("front", front)):
        report[name] = anyio.run(
            _generate_load, address, connections, seconds, f"{prefix}-{name}"
        )
    report["ratio"] = {
        key: round(report["front"][key] / max(1e-9, report["direct"][key]), 3)
        for key in ("flows_per_s", "p50_us", "p99_us")
    }
    return report
