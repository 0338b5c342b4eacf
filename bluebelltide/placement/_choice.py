"""Choice of the least utilised target, with a preference for local ones.

A target's utilisation is its open flows divided by its slots. A remote target
adds two trips between data centres, which costs less than waiting for a slot.
So a remote target is chosen only if the local ones are clearly busier.
"""

from collections.abc import Iterable
from typing import NamedTuple

REMOTE_PENALTY = 1.0
"""Utilisation by which local targets may exceed a remote one."""
COLD_SLOWDOWN_FACTOR = 1.6
"""How much longer a request takes on a target that has just started."""


class Candidate(NamedTuple):
    """A target that may take a new flow, with its estimated load."""

    token: int
    """The target's token."""
    open_flows: float
    """Estimate of the target's open flows, over all instances."""
    slots: int
    """How many requests the target runs at once; at least 1."""
    is_local: bool
    """Whether the target is in the data centre of this instance."""
    is_cold: bool = False
    """Whether the target has just started and is still slow."""
    pace: float = 1.0
    """The share of its slots that the target may use for now."""


def selection_cost(candidate: Candidate) -> float:
    """Returns the cost of giving a candidate one more flow.

    The cost is the utilisation with that flow, plus a penalty if the target
    is remote.
    """
    factor = COLD_SLOWDOWN_FACTOR if candidate.is_cold else 1.0
    cost = (candidate.open_flows + 1) * factor / max(1, candidate.slots)
    cost /= candidate.pace
    return cost if candidate.is_local else cost + REMOTE_PENALTY


def has_free_slot(candidate: Candidate) -> bool:
    """Returns whether one more flow would find a free slot."""
    return candidate.open_flows + 1 <= candidate.slots


def queued_rounds(candidate: Candidate) -> float:
    """Returns how long one more flow would queue, in rounds.

    In one round each slot of the target serves one flow.
    """
    queued = candidate.open_flows + 1 - candidate.slots
    return max(0.0, queued / max(1, candidate.slots))


def choose_target(
    candidates: Iterable[Candidate], tie_breaker: float
) -> int | None:
    """Chooses the target of a new flow.

    Args:
        candidates: The targets that may take it.
        tie_breaker: A random number, 0 to below 1, that breaks ties.

    Returns:
        The token of the candidate with the lowest cost, or None if there is
        no candidate.
    """
    best: list[int] = []
    lowest = float("inf")
    for candidate in candidates:
        cost = selection_cost(candidate)
        if cost < lowest:
            lowest = cost
            best = [candidate.token]
        elif cost == lowest:
            best.append(candidate.token)
    return best[int(tie_breaker * len(best))] if best else None
