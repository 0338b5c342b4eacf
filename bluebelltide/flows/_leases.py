"""Durations of routing leases, and the coordinator's view of a member.

The more instances an epoch has, the longer are its heartbeat intervals and
leases, so that the coordinator's traffic stays bounded.
"""

HEARTBEAT_MS = 250
"""The shortest time between two heartbeats of an instance."""
HEARTBEAT_PER_INSTANCE_MS = 22
"""The heartbeat interval is at least this long per instance of the epoch.

It bounds the coordinator's traffic in an epoch of many instances.
"""
HEARTBEATS_PER_LEASE = 4
"""The duration of a lease, in heartbeat intervals."""
EXCLUDE_MARGIN_MS = 200
"""Added to twice the lease duration before an instance is excluded."""


def heartbeat_ms(instance_count: int) -> int:
    """Returns the time between two heartbeats of one instance."""
    return max(HEARTBEAT_MS, HEARTBEAT_PER_INSTANCE_MS * instance_count)


def lease_ms(instance_count: int) -> int:
    """Returns the duration of a lease."""
    return HEARTBEATS_PER_LEASE * heartbeat_ms(instance_count)


def exclude_after_ms(instance_count: int) -> int:
    """Returns how long after its last lease grant an instance is excluded."""
    return 2 * lease_ms(instance_count) + EXCLUDE_MARGIN_MS


class Member:
    """What the coordinator knows of one instance of its epoch."""

    def __init__(self, now_ms: int) -> None:
        """Creates the state of an instance that has just joined."""
        self.last_heartbeat_ms: int | None = None
        self.lease_missing_since_ms: int | None = None
        self.last_grant_ms = now_ms
        self.prepared_number = 0
        self.announced_number = 0
        self.next_send_ms = now_ms
        self.resend_interval_ms = 0
        self.is_leaving = False
        self.needs_whole_epoch = False
