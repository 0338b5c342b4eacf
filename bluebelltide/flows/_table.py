"""Assignment of buckets to targets: exact balance with the fewest moves.

Epochs are agreed, so a table may depend on the one before it. That gives what
a stateless table cannot: every target holds its quota of buckets exactly, and
no bucket moves that need not.
"""

import collections
from collections.abc import Mapping, Sequence
import functools

import xxhash

from bluebelltide import _types

UNASSIGNED = ""
"""The target of a bucket that has none."""


def quotas(
    weights: Mapping[_types.TargetId, float], buckets: int
) -> dict[_types.TargetId, int]:
    """Splits buckets over targets by weight, by largest remainder.

    Args:
        weights: The weight of each target, above 0.
        buckets: How many buckets there are.

    Returns:
        How many buckets each target holds; they add up to `buckets`.
    """
    total = sum(weights.values())
    exact = {name: buckets * w / total for name, w in weights.items()}
    whole = {name: int(share) for name, share in exact.items()}
    rest = buckets - sum(whole.values())
    by_remainder = sorted(
        exact, key=lambda name: (whole[name] - exact[name], name)
    )
    for name in by_remainder[:rest]:
        whole[name] += 1
    return whole


def rebalance(
    assignment: Sequence[_types.TargetId],
    weights: Mapping[_types.TargetId, float],
) -> tuple[_types.TargetId, ...]:
    """Moves the fewest buckets so that each target holds its quota.

    Args:
        assignment: The present target of each bucket.
        weights: The weight of each target that accepts new work.

    Returns:
        The next target of each bucket.
    """
    if not weights:
        return tuple(assignment)
    room = quotas(weights, len(assignment))
    if collections.Counter(assignment) == collections.Counter(room):
        return tuple(assignment)
    kept: list[_types.TargetId] = [UNASSIGNED] * len(assignment)
    # Which of its buckets an overfull target gives up is decided by a hash,
    # so that moves do not pile up on neighbouring buckets.
    for bucket in _hashed_order(len(assignment)):
        target = assignment[bucket]
        if room.get(target, 0) > 0:
            room[target] -= 1
            kept[bucket] = target
    free = iter(
        [name for name, count in sorted(room.items()) for _ in range(count)]
    )
    return tuple(
        target if target != UNASSIGNED else next(free) for target in kept
    )


@functools.lru_cache
def _hashed_order(buckets: int) -> tuple[int, ...]:
    def mix(bucket: int) -> int:
        return xxhash.xxh3_64_intdigest(bucket.to_bytes(4, "big"))

    return tuple(sorted(range(buckets), key=mix))
