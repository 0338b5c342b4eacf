"""Flow affinity by a token that each packet of a flow carries.

Instances need no flow state if the packets have a field that both ends echo.
The opening packet that reaches the target carries the target's token, the
caller returns the token in all its later packets, and any instance finds the
target from the token alone. The token is a hash of the target's incarnation,
so all instances compute the same token without exchanging messages.
"""

from collections.abc import Iterable

import xxhash

from bluebelltide import _types

NO_TOKEN = 0
"""The value of the field before a target is chosen."""
ZERO_HASH_TOKEN = 1
"""The token of an incarnation whose hash equals `NO_TOKEN`."""


def compute_token(target: _types.Target) -> int:
    """Returns the token of a target's incarnation, 1 to 2**32 - 1."""
    incarnation = f"{target.target_id}|{target.generation}".encode()
    return xxhash.xxh32_intdigest(incarnation) or ZERO_HASH_TOKEN


def assign_tokens(targets: Iterable[_types.Target]) -> dict[int, _types.Target]:
    """Maps tokens to targets.

    If two incarnations have the same token, the older one keeps it. The newer
    one is left out and gets no flows; all instances decide the same.

    Args:
        targets: The incarnations that an instance knows.

    Returns:
        The target of each token.
    """
    by_token: dict[int, _types.Target] = {}
    for target in sorted(targets, key=age_order):
        by_token.setdefault(compute_token(target), target)
    return by_token


def age_order(target: _types.Target) -> tuple[int, str]:
    """Returns what incarnations with the same token are ordered by."""
    return target.generation, target.target_id
