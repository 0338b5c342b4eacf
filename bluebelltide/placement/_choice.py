"""The choice among targets: least busy, preferably near.

A target's busy share is its open flows over its slots. A remote target costs
two trips between data centres, which matters less than a wait for a slot, so
it is taken only when the local ones are clearly busier.
"""

from collections.abc import Iterable
from typing import NamedTuple

REMOTE_PENALTY = 1.0
"""Busy share by which a local target may exceed a remote one."""
COLD_SLOWDOWN_FACTOR = 1.6
"""How much longer a request takes on a target that has just started."""


class Candidate(NamedTuple):
    """A target that may take a new flow, with its estimated load."""

    token: int
    """The target's token."""
    open_flows: float
    """Flows that are believed to be open there, of all instances."""
    slots: int
    """How many requests the target runs at once; at least 1."""
    is_local: bool
    """Whether it is in the data centre of this instance."""
    is_cold: bool = False
    """Whether it started lately and is still slow."""


def selection_cost(candidate: Candidate) -> float:
    """Returns the load with one more flow, in shares of the slots."""
    factor = COLD_SLOWDOWN_FACTOR if candidate.is_cold else 1.0
    share = (candidate.open_flows + 1) * factor / max(1, candidate.slots)
    return share if candidate.is_local else share + REMOTE_PENALTY


def has_free_slot(candidate: Candidate) -> bool:
    """Returns whether one more flow would find a free slot."""
    return candidate.open_flows + 1 <= candidate.slots


def queued_rounds(candidate: Candidate) -> float:
    """Returns how many rounds of all slots come before one more flow."""
    waiting = candidate.open_flows + 1 - candidate.slots
    return max(0.0, waiting / max(1, candidate.slots))


def choose_target(
    candidates: Iterable[Candidate], tie_breaker: float
) -> int | None:
    """Chooses the target of a new flow.

    Args:
        candidates: The targets that may take it.
        tie_breaker: A random number, 0 to below 1, that breaks ties.

    Returns:
        The token of the least busy candidate, or None if there is none.
    """
    best: list[int] = []
    least = float("inf")
    for candidate in candidates:
        share = selection_cost(candidate)
        if share < least:
            least = share
            best = [candidate.token]
        elif share == least:
            best.append(candidate.token)
    return best[int(tie_breaker * len(best))] if best else None
