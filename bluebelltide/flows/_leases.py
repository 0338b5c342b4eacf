"""Routing leases: their lengths, and what a coordinator knows of members.

With more instances heartbeats are rarer and leases longer, so that the
coordinator's traffic does not grow with them.
"""

HEARTBEAT_MS = 250
"""Time between two heartbeats of an instance, at least."""
HEARTBEAT_PER_INSTANCE_MS = 22
"""With many instances heartbeats are rarer, so that their coordinator's
traffic stays bounded: this time for each instance of the epoch."""
HEARTBEATS_PER_LEASE = 4
"""How many heartbeats fit into a lease."""
EXCLUDE_MARGIN_MS = 200
"""Added to twice the lease before an instance is left out."""


def heartbeat_ms(instances: int) -> int:
    """Returns the time between two heartbeats of one instance."""
    return max(HEARTBEAT_MS, HEARTBEAT_PER_INSTANCE_MS * instances)


def lease_ms(instances: int) -> int:
    """Returns how long a lease lasts in an epoch of so many instances."""
    return HEARTBEATS_PER_LEASE * heartbeat_ms(instances)


def exclude_after_ms(instances: int) -> int:
    """Returns the silence after which an instance is left out."""
    return 2 * lease_ms(instances) + EXCLUDE_MARGIN_MS


class Member:
    """What a coordinator knows of one instance."""

    def __init__(self, now_ms: int) -> None:
        """Creates the record of an instance that was just taken in."""
        self.last_heartbeat_ms: int | None = None
        self.lease_missing_since_ms: int | None = None
        self.last_grant_ms = now_ms
        self.prepared_number = 0
        self.announced_number = 0
        self.next_send_ms = now_ms
        self.resend_interval_ms = 0
        self.is_leaving = False
        self.needs_whole_epoch = False
