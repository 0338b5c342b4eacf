"""Tests of epoch agreement: lease grants and the exclusion of instances."""

from bluebelltide.flows import _coordinator
from bluebelltide.flows import _epoch
from bluebelltide.flows import _hashing
from bluebelltide.flows import _leases
from bluebelltide.flows import _messages

NAMES = ("a", "b", "c")
LIVE = frozenset(NAMES)


def epoch_prepared(name: str, number: int) -> _messages.EpochPrepared:
    return _messages.EpochPrepared(name, "l", number, 0, ())


class CoordinatorHarness:
    """A coordinator that receives heartbeats of the other instances."""

    def __init__(self) -> None:
        """Creates a coordinator of three prepared instances."""
        self.coordinator = _coordinator.Coordinator("a", 1)
        self.epoch = _epoch.Epoch(5, "l", NAMES, ())
        self.coordinator.adopt(self.epoch, 0)
        self.now_ms = 0
        self.coordinator.tick(LIVE, {}, 0)
        for name in NAMES:
            self.coordinator.on_prepared(epoch_prepared(name, 5), 0)

    def send_heartbeat(self, name: str, has_lease: bool = True) -> bool:
        """Sends a heartbeat; returns whether a lease was granted."""
        message = _messages.Heartbeat(name, self.now_ms, has_lease, False)
        sends = self.coordinator.receive(name, message, self.now_ms)
        return any(isinstance(s.message, _messages.LeaseGranted) for s in sends)

    def run(self, until_ms: int, names: str) -> list[int]:
        """Advances time with heartbeats of some instances.

        Args:
            until_ms: The time to stop at.
            names: The names of the instances that send heartbeats.

        Returns:
            The times at which the coordinator sent a proposal.
        """
        proposed = []
        while self.now_ms < until_ms:
            self.now_ms += 50
            for name in names:
                self.send_heartbeat(name)
            for send in self.coordinator.tick(LIVE, {}, self.now_ms):
                if type(send.message).__name__ == "Prepare":
                    proposed.append(self.now_ms)
        return proposed


def test_no_lease_without_a_majority() -> None:
    harness = CoordinatorHarness()
    assert not harness.send_heartbeat("b")
    harness.run(100, "ab")
    assert harness.send_heartbeat("b")
    harness.run(1500, "")
    assert not harness.send_heartbeat("c")


def test_instance_outside_of_the_epoch_gets_no_lease() -> None:
    """An excluded instance must not get leases after later epochs."""
    harness = CoordinatorHarness()
    harness.run(100, "abc")
    assert harness.send_heartbeat("c")
    harness.coordinator.adopt(
        harness.epoch._replace(number=6, instances=("a", "b")), 100
    )
    harness.run(200, "ab")
    assert not harness.send_heartbeat("c")


def test_only_the_current_owner_reports_a_bucket_stable() -> None:
    """A former owner must not end the bucket's transition.

    An instance that returned from a partition reported buckets stable that it
    had owned in an earlier epoch.
    """
    harness = CoordinatorHarness()
    harness.run(100, "abc")
    key = _epoch.BucketKey("s", 5)
    owner = _hashing.rank_instances(NAMES, "s", 5)[0]
    other = next(name for name in NAMES if name != owner)
    transition = _epoch.BucketTransition(5, ("x", "y"), 6, 6)
    table = _epoch.ServiceTable("s", ("y",) * _hashing.BUCKETS, (transition,))
    harness.coordinator.adopt(
        harness.epoch._replace(number=6, tables=(table,)), 100
    )
    for name, number, is_accepted in [
        (owner, 5, False),
        (other, 6, False),
        (owner, 6, True),
    ]:
        stable_buckets = ((key, 6),)
        report = _messages.EpochPrepared(name, "l", number, 0, stable_buckets)
        harness.coordinator.on_prepared(report, 200)
        assert (key in harness.coordinator._stable_buckets) == is_accepted


def test_coordinator_gets_a_lease_again_after_a_partition() -> None:
    """A coordinator that lost its majority must be able to route again.

    Its heartbeats without a lease, sent while it had no majority, must not
    count as a sign that no grant reaches it.
    """
    harness = CoordinatorHarness()
    harness.run(500, "abc")
    for _ in range(100):
        harness.now_ms += 50
        harness.send_heartbeat("a", has_lease=False)
        harness.coordinator.tick(LIVE, {}, harness.now_ms)
    harness.run(harness.now_ms + 300, "bc")
    assert harness.send_heartbeat("a", has_lease=False)


def test_returning_instance_prepares_an_epoch_before_it_routes() -> None:
    """An instance must not get a lease while it routes by an old epoch.

    It returns from a partition and has not prepared a recent epoch yet.
    """
    harness = CoordinatorHarness()
    harness.run(100, "abc")
    harness.coordinator.adopt(
        harness.epoch._replace(number=6, instances=("a", "b")), 100
    )
    harness.run(150, "ab")
    for name in ("a", "b"):
        harness.coordinator.on_prepared(epoch_prepared(name, 6), 150)
    harness.coordinator.adopt(harness.epoch._replace(number=7), 150)
    harness.run(200, "ab")
    harness.coordinator.on_prepared(epoch_prepared("c", 5), 200)
    assert not harness.send_heartbeat("c", has_lease=False)
    harness.coordinator.on_prepared(epoch_prepared("c", 7), 200)
    assert harness.send_heartbeat("c", has_lease=False)


def test_silent_instance_is_excluded_only_after_its_last_lease() -> None:
    harness = CoordinatorHarness()
    harness.run(1000, "abc")
    proposed = harness.run(5000, "ab")
    last_lease_ends_ms = 1000 + _leases.lease_ms(3)
    assert proposed
    assert proposed[0] > last_lease_ends_ms


def test_instance_that_no_grant_reaches_is_excluded() -> None:
    harness = CoordinatorHarness()
    harness.run(500, "abc")
    granted = []
    proposed: list[int] = []
    while harness.now_ms < 8000:
        proposed += harness.run(harness.now_ms + 250, "ab")
        if harness.send_heartbeat("c", has_lease=False):
            granted.append(harness.now_ms)
    assert max(granted) < 3500
    assert proposed
