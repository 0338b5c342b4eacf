"""Target weights for services whose objective is an even load.

A target with more open flows than the mean loses a few buckets, and one with
fewer gets some. Only new flows move; the cost is the pinned flows of the moved
buckets. The current weight of a target is read from the epoch's table, so that
every new coordinator continues from the same weights.
"""

from collections import Counter
from collections.abc import Mapping

from bluebelltide import _types
from bluebelltide.flows import _epoch

EVEN_LOAD_INTERVAL_MS = 10_000
"""The time between two corrections of the weights."""
CORRECTION_GAIN = 0.5
"""The part of a target's relative error that one correction removes."""
MAXIMUM_STEP = 0.1
"""Upper bound of one correction, relative to an equal share."""
LOWEST_WEIGHT = 0.5
"""Lower bound of a weight, relative to an equal share."""
HIGHEST_WEIGHT = 1.5
"""Upper bound of a weight, relative to an equal share."""
DEAD_BAND = 0.02
"""A relative error up to this bound is not corrected."""
MINIMUM_MEAN_FLOWS = 50
"""With fewer flows per target than this, differences are random."""


def even_load_weights(
    epoch: _epoch.Epoch | None,
    service: _types.ServiceName,
    connections: Mapping[_types.TargetId, int],
) -> dict[_types.TargetId, float]:
    """Corrects the weights of a service's targets.

    Args:
        epoch: The current epoch, or None.
        service: The service.
        connections: The open flows of each target that accepts new flows.

    Returns:
        The weight of each target; 1 is an equal share.
    """
    if not connections:
        return {}
    current_weights = _current_weights(epoch, service, connections)
    mean = sum(connections.values()) / len(connections)
    if mean < MINIMUM_MEAN_FLOWS:
        return dict.fromkeys(connections, 1.0)
    weights = {}
    for name, count in connections.items():
        error = (mean - count) / mean
        step = CORRECTION_GAIN * error if abs(error) > DEAD_BAND else 0.0
        step = max(-MAXIMUM_STEP, min(MAXIMUM_STEP, step))
        weight = current_weights[name] + step
        weights[name] = max(LOWEST_WEIGHT, min(HIGHEST_WEIGHT, weight))
    return weights


def _current_weights(
    epoch: _epoch.Epoch | None,
    service: _types.ServiceName,
    connections: Mapping[_types.TargetId, int],
) -> dict[_types.TargetId, float]:
    counts: Counter[str] = Counter()
    for table in epoch.tables if epoch else ():
        if table.service == service:
            counts.update(table.assignment)
    bucket_counts = {name: counts[name] for name in connections}
    mean = sum(bucket_counts.values()) / len(bucket_counts)
    if mean == 0:
        return dict.fromkeys(connections, 1.0)
    return {
        name: count / mean if count else 1.0
        for name, count in bucket_counts.items()
    }
