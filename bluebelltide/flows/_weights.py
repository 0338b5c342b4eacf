"""Weights that even out the open flows of a service's targets.

A target with more flows than the mean gives up a few buckets of new flows,
one with fewer takes some. Established flows stay; the cost is the exceptions
of the moved buckets. The weight that a target has now is read from the agreed
table, so that any instance that coordinates goes on from the same place.
"""

from collections import Counter
from collections.abc import Mapping

from bluebelltide import _types
from bluebelltide.flows import _epoch

EVEN_LOAD_INTERVAL_MS = 10_000
"""Time between two corrections."""
CORRECTION_GAIN = 0.5
"""Part of a target's relative error that one correction takes back."""
MAXIMUM_STEP = 0.1
"""Upper bound of one correction, as a part of a full share."""
LOWEST_WEIGHT = 0.5
"""Lower bound of a weight, relative to the mean."""
HIGHEST_WEIGHT = 1.5
"""Upper bound of a weight, relative to the mean."""
DEAD_BAND = 0.02
"""A smaller relative error is left alone."""
MINIMUM_MEAN_FLOWS = 50
"""With fewer flows a target, differences are chance."""


def even_load_weights(
    epoch: _epoch.Epoch | None,
    service: _types.ServiceName,
    connections: Mapping[_types.TargetId, int],
) -> dict[_types.TargetId, float]:
    """Corrects the weights of a service's targets.

    Args:
        epoch: The present epoch, or None.
        service: The service.
        connections: Open flows of each target that accepts new work.

    Returns:
        The weight of each target, 1 for an equal share.
    """
    if not connections:
        return {}
    present = _present_weights(epoch, service, connections)
    mean = sum(connections.values()) / len(connections)
    if mean < MINIMUM_MEAN_FLOWS:
        return dict.fromkeys(connections, 1.0)
    weights = {}
    for name, count in connections.items():
        error = (mean - count) / mean
        step = CORRECTION_GAIN * error if abs(error) > DEAD_BAND else 0.0
        step = max(-MAXIMUM_STEP, min(MAXIMUM_STEP, step))
        weight = present[name] + step
        weights[name] = max(LOWEST_WEIGHT, min(HIGHEST_WEIGHT, weight))
    return weights


def _present_weights(
    epoch: _epoch.Epoch | None,
    service: _types.ServiceName,
    connections: Mapping[_types.TargetId, int],
) -> dict[_types.TargetId, float]:
    counts: Counter[str] = Counter()
    for table in epoch.tables if epoch else ():
        if table.service == service:
            counts.update(table.assignment)
    held = {name: counts[name] for name in connections}
    mean = sum(held.values()) / len(held)
    if mean == 0:
        return dict.fromkeys(connections, 1.0)
    return {
        name: count / mean if count else 1.0 for name, count in held.items()
    }
