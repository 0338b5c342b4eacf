"""Tests of targets that a replica recovers after a restart."""

from bluebelltide.control import _recovered_targets
from bluebelltide.membership import _directory
from bluebelltide.membership.tests import test_directory

LEASE_MS = test_directory.LEASE_MS
SOON_MS = 100
LATER_MS = 5000


def restart_with(
    *names: str,
) -> tuple[_directory.TargetDirectory, _recovered_targets.RecoveredTargets]:
    records = [
        _directory.TargetRecord(test_directory.make_target(name, port=port))
        for port, name in enumerate(names, start=1)
    ]
    directory = _directory.TargetDirectory()
    for record in records:
        directory.merge(record, 0)
    return directory, _recovered_targets.RecoveredTargets(records)


def test_a_target_that_left_while_the_replica_was_down_is_dropped() -> None:
    directory, recovered = restart_with("alive", "gone")
    directory.renew("alive", sequence=7, now_ms=1000)
    assert recovered.take_unconfirmed(directory, LEASE_MS, SOON_MS) == []
    dropped = recovered.take_unconfirmed(directory, LEASE_MS, LATER_MS)
    assert dropped == ["gone"]
    # It is decided once; later silence is a matter of the lease.
    assert recovered.take_unconfirmed(directory, LEASE_MS, LATER_MS) == []


def test_a_target_that_started_again_is_kept() -> None:
    directory, recovered = restart_with("i-1")
    again = test_directory.make_target("i-1", generation=200, port=1)
    directory.merge(_directory.TargetRecord(again), 1000)
    assert recovered.take_unconfirmed(directory, LEASE_MS, LATER_MS) == []


def test_a_recovered_tombstone_is_no_target_to_confirm() -> None:
    record = _directory.TargetRecord(test_directory.make_target("i-1"), True)
    directory = _directory.TargetDirectory()
    directory.merge(record, 0)
    recovered = _recovered_targets.RecoveredTargets([record])
    assert recovered.take_unconfirmed(directory, LEASE_MS, LATER_MS) == []
