"""Tests of the registry of targets that entry instances gossip."""

from bluebelltide import _types
from bluebelltide.membership import _registry
from bluebelltide.membership.tests import test_directory

DRAINING = test_directory.make_target(
    sequence=51, state=_types.TargetState.DRAINING
)


def make_renewal(sequence: int) -> _registry.Renewal:
    return _registry.Renewal("dues", "i-1", 100, sequence, 7, 50)


def make_registry() -> _registry.TargetRegistry:
    registry = _registry.TargetRegistry()
    registry.merge([test_directory.make_target(sequence=1)], 0)
    return registry


def test_a_renewal_does_not_hide_the_announcement_that_it_renews() -> None:
    """Guards against an instance that misses a drain for good.

    It had stored the sequence of the draining announcement with the state
    before, and took the announcement for known when it came.
    """
    registry = make_registry()
    registry.renew([make_renewal(51)], now_ms=100)
    assert registry.targets()[0].connections == 7
    assert registry.merge([DRAINING], 200)
    assert registry.targets() == [DRAINING]


def test_a_missed_drain_shows_in_the_summary_and_is_sent_again() -> None:
    """Guards against two instances that never notice that they differ."""
    behind, ahead = make_registry(), make_registry()
    ahead.merge([DRAINING], 100)
    behind.renew([make_renewal(51)], now_ms=100)
    assert behind.summary() != ahead.summary()
    assert ahead.newer_than(behind.digest()) == (DRAINING,)


def test_a_renewal_extends_the_lease_and_makes_older_announcements_late() -> (
    None
):
    registry = make_registry()
    lease_ms = test_directory.LEASE_MS
    registry.renew([make_renewal(51)], now_ms=lease_ms)
    assert registry.remove_expired(2 * lease_ms + 1) == []
    late = test_directory.make_target(sequence=20)
    assert registry.announce(late, lease_ms + 1) is not None
    newer = test_directory.make_target(sequence=52)
    assert registry.announce(newer, lease_ms + 1) is None
