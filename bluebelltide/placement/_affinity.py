"""Affinity by a token that travels in the packets of a flow.

A fabric whose packets carry a field that both ends echo needs no flow state
on the instances: the first packet that a target receives holds the target's
token, each answer returns it, and any instance finds the target again from
the token alone. The token is a hash of the target's incarnation, so that all
instances compute the same without agreeing on anything.
"""

from collections.abc import Iterable

import xxhash

from bluebelltide import _types

NO_TOKEN = 0
"""The value of the field before a target was chosen."""
ZERO_HASH_TOKEN = 1
"""Stands in for a hash that happens to equal `NO_TOKEN`."""


def compute_token(target: _types.Target) -> int:
    """Returns the token of a target's incarnation, 1 to 2**32 - 1."""
    name = f"{target.target_id}|{target.generation}".encode()
    return xxhash.xxh32_intdigest(name) or ZERO_HASH_TOKEN


def assign_tokens(targets: Iterable[_types.Target]) -> dict[int, _types.Target]:
    """Maps tokens to targets.

    Where two incarnations share a token, the older one keeps it. The other
    one is left out and gets no flows, on every instance alike.

    Args:
        targets: The incarnations that an instance knows.

    Returns:
        The target of each token.
    """
    by_token: dict[int, _types.Target] = {}
    for target in sorted(targets, key=_age_order):
        by_token.setdefault(compute_token(target), target)
    return by_token


def _age_order(target: _types.Target) -> tuple[int, str]:
    return target.generation, target.target_id
