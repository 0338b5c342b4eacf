"""Assignment of buckets to targets: exact balance with the fewest moves.

All instances agree on each epoch, so a table can be computed from the previous
one. Unlike a stateless hash table, it assigns every target its exact quota of
buckets and moves no bucket without need.
"""

import collections
from collections.abc import Mapping, Sequence
import functools

import xxhash

from bluebelltide import _types

UNASSIGNED = ""
"""Stands for the target of a bucket that has none."""


def quotas(
    weights: Mapping[_types.TargetId, float], buckets: int
) -> dict[_types.TargetId, int]:
    """Divides buckets among targets by weight, by the largest remainder.

    Args:
        weights: The weight of each target, above 0.
        buckets: The number of buckets.

    Returns:
        The number of buckets of each target; the sum is `buckets`.
    """
    total = sum(weights.values())
    exact_shares = {name: buckets * w / total for name, w in weights.items()}
    counts = {name: int(share) for name, share in exact_shares.items()}
    unassigned = buckets - sum(counts.values())
    by_remainder = sorted(
        exact_shares, key=lambda name: (counts[name] - exact_shares[name], name)
    )
    for name in by_remainder[:unassigned]:
        counts[name] += 1
    return counts


def rebalance(
    assignment: Sequence[_types.TargetId],
    weights: Mapping[_types.TargetId, float],
) -> tuple[_types.TargetId, ...]:
    """Moves the fewest buckets so that each target holds its quota.

    Args:
        assignment: The current target of each bucket.
        weights: The weight of each target that accepts new flows.

    Returns:
        The new target of each bucket.
    """
    if not weights:
        return tuple(assignment)
    free_quotas = quotas(weights, len(assignment))
    if collections.Counter(assignment) == collections.Counter(free_quotas):
        return tuple(assignment)
    new_assignment: list[_types.TargetId] = [UNASSIGNED] * len(assignment)
    # A target above its quota keeps its first buckets in hash order, so that
    # the moved buckets are not concentrated in one range.
    for bucket in _hashed_order(len(assignment)):
        target = assignment[bucket]
        if free_quotas.get(target, 0) > 0:
            free_quotas[target] -= 1
            new_assignment[bucket] = target
    replacements = iter(
        [
            name
            for name, count in sorted(free_quotas.items())
            for _ in range(count)
        ]
    )
    return tuple(
        target if target != UNASSIGNED else next(replacements)
        for target in new_assignment
    )


@functools.lru_cache
def _hashed_order(buckets: int) -> tuple[int, ...]:
    def bucket_hash(bucket: int) -> int:
        return xxhash.xxh3_64_intdigest(bucket.to_bytes(4, "big"))

    return tuple(sorted(range(buckets), key=bucket_hash))
