"""Membership: entry instances by gossip, targets by their announcements."""
