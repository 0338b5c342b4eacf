"""Tests of leases while a replica is paused or cut off."""

import pytest

from bluebelltide.control import _lease_watch
from bluebelltide.membership import _directory
from bluebelltide.membership.tests import test_directory

LEASE_MS = test_directory.LEASE_MS
CHECK_INTERVAL_MS = 300


class _Replica:
    """The targets of a replica and its watch."""

    def __init__(self) -> None:
        self.directory = _directory.TargetDirectory()
        self.watch = _lease_watch.LeaseWatch()
        self.sequence = 0

    def announce(self, now_ms: int) -> None:
        self.sequence += 1
        target = test_directory.make_target("i-1", sequence=self.sequence)
        self.directory.merge(_directory.TargetRecord(target), now_ms)

    def check(self, now_ms: int, has_quorum: bool = True) -> list[str]:
        since_ms = self.watch.check(has_quorum, now_ms)
        if since_ms is None:
            return []
        return self.directory.expire_leases(LEASE_MS, now_ms, since_ms)


@pytest.mark.parametrize("paused_ms", [2_000, 10_000, 60_000])
def test_a_pause_expires_no_target(paused_ms: int) -> None:
    replica = _Replica()
    for now_ms in range(0, 3000, CHECK_INTERVAL_MS):
        replica.announce(now_ms)
        assert replica.check(now_ms) == []
    woken_ms = 3000 + paused_ms
    # The others answer at once, the target announces itself later.
    for now_ms in range(woken_ms, woken_ms + LEASE_MS, CHECK_INTERVAL_MS):
        assert replica.check(now_ms) == []
    assert replica.check(woken_ms + LEASE_MS + CHECK_INTERVAL_MS) == ["i-1"]


def test_a_cut_off_replica_expires_no_target_when_it_is_back() -> None:
    replica = _Replica()
    replica.announce(0)
    for now_ms in range(0, 20_000, CHECK_INTERVAL_MS):
        assert replica.check(now_ms, has_quorum=False) == []
    for now_ms in range(20_100, 20_100 + LEASE_MS, CHECK_INTERVAL_MS):
        assert replica.check(now_ms) == []


def test_a_target_that_is_silent_expires() -> None:
    replica = _Replica()
    replica.announce(0)
    expired = [
        replica.check(now_ms)
        for now_ms in range(0, LEASE_MS + 1000, CHECK_INTERVAL_MS)
    ]
    assert ["i-1"] in expired
