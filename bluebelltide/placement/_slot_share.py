"""Estimates which part of a service's slots one instance may use.

In a large deployment an instance knows the flows of a few instances only, so
nearly every target seems to have a free slot to it. The other instances are
taken to have as many flows each as those that it knows.
"""

from typing import NamedTuple

SHORT_QUEUE_SHARE = 0.5
"""The shortest queue that is expected, as a share of the mean queue.

It is below 1 because the mean is estimated from a few instances: too high a
value would hold callers that can be in time.
"""


class SlotShare(NamedTuple):
    """What one instance may use of a service's slots."""

    slots: float
    """Its share of the slots."""
    free_slots: float
    """How many more flows it may place on them."""
    queued_rounds: float
    """How long a flow queues in the shortest queue, in rounds."""


def estimate_share(
    slots: int,
    own_flows: int,
    known_flows: int,
    instances: int,
    reporting_instances: int,
) -> SlotShare:
    """Estimates the share of one instance.

    Args:
        slots: The slots of the targets that take new flows.
        own_flows: The open flows of this instance on these targets.
        known_flows: The same of all instances that report to it, and its own.
        instances: How many instances share the targets.
        reporting_instances: How many instances the known flows come from.

    Returns:
        The share. An instance with fewer flows than its share of the slots may
        use them, even if others use more than theirs.
    """
    flows = known_flows * instances / reporting_instances
    own_slots = slots / instances
    return SlotShare(
        own_slots,
        max(0.0, own_slots - own_flows, (slots - flows) / instances),
        SHORT_QUEUE_SHARE * max(0.0, flows - slots) / max(1, slots),
    )
