"""Membership: entry instances by gossip, targets by their announcements."""

from bluebelltide.membership._registry import Renewal
from bluebelltide.membership._registry import TargetAvailability
from bluebelltide.membership._registry import TargetRegistry
from bluebelltide.membership._swim import Member
from bluebelltide.membership._swim import MemberStatus
from bluebelltide.membership._swim import Swim

__all__ = [
    "Member",
    "MemberStatus",
    "Renewal",
    "TargetAvailability",
    "Swim",
    "TargetRegistry",
]
