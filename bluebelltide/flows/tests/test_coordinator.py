"""Tests of leases: who may route, and when others may go on without it."""

from bluebelltide.flows import _coordinator
from bluebelltide.flows import _epoch
from bluebelltide.flows import _hashing
from bluebelltide.flows import _leases
from bluebelltide.flows import _messages

NAMES = ("a", "b", "c")
LIVE = frozenset(NAMES)


def prepared(name: str, number: int) -> _messages.EpochPrepared:
    return _messages.EpochPrepared(name, "l", number, 0, ())


class Leader:
    """A coordinator that hears heartbeats of others."""

    def __init__(self) -> None:
        """Starts with three prepared instances."""
        self.core = _coordinator.Coordinator("a", 1)
        self.epoch = _epoch.Epoch(5, "l", NAMES, ())
        self.core.adopt(self.epoch, 0)
        self.now_ms = 0
        self.core.tick(LIVE, {}, 0)
        for name in NAMES:
            self.core.on_prepared(prepared(name, 5), 0)

    def beat(self, name: str, has_lease: bool = True) -> bool:
        """Sends a heartbeat; returns whether a lease was granted."""
        message = _messages.Heartbeat(name, self.now_ms, has_lease, False)
        sends = self.core.receive(name, message, self.now_ms)
        return any(isinstance(s.message, _messages.LeaseGranted) for s in sends)

    def run(self, until_ms: int, names: str) -> list[int]:
        """Lets time pass; returns when a proposal without all was begun."""
        proposed = []
        while self.now_ms < until_ms:
            self.now_ms += 50
            for name in names:
                self.beat(name)
            for send in self.core.tick(LIVE, {}, self.now_ms):
                if type(send.message).__name__ == "Prepare":
                    proposed.append(self.now_ms)
        return proposed


def test_no_lease_without_a_majority() -> None:
    leader = Leader()
    assert not leader.beat("b")
    leader.run(100, "ab")
    assert leader.beat("b")
    leader.run(1500, "")
    assert not leader.beat("c")


def test_instance_outside_of_the_epoch_gets_no_lease() -> None:
    """One that was left out once got leases after each later epoch."""
    leader = Leader()
    leader.run(100, "abc")
    assert leader.beat("c")
    leader.core.adopt(
        leader.epoch._replace(number=6, instances=("a", "b")), 100
    )
    leader.run(200, "ab")
    assert not leader.beat("c")


def test_only_the_present_owner_settles_a_bucket() -> None:
    """One that came back from a cut once settled what it had owned before."""
    leader = Leader()
    leader.run(100, "abc")
    key = _epoch.BucketKey("s", 5)
    owner = _hashing.rank_instances(NAMES, "s", 5)[0]
    other = next(name for name in NAMES if name != owner)
    item = _epoch.BucketTransition(5, ("x", "y"), 6, 6)
    table = _epoch.ServiceTable("s", ("y",) * _hashing.BUCKETS, (item,))
    leader.core.adopt(leader.epoch._replace(number=6, tables=(table,)), 100)
    for name, number, accepted in [
        (owner, 5, False),
        (other, 6, False),
        (owner, 6, True),
    ]:
        settled = ((key, 6),)
        report = _messages.EpochPrepared(name, "l", number, 0, settled)
        leader.core.on_prepared(report, 200)
        assert (key in leader.core._stable_buckets) == accepted


def test_coordinator_leases_to_itself_again_after_a_cut() -> None:
    """One that had lost its majority once never routed again."""
    leader = Leader()
    leader.run(500, "abc")
    for _ in range(100):
        leader.now_ms += 50
        leader.beat("a", has_lease=False)
        leader.core.tick(LIVE, {}, leader.now_ms)
    leader.run(leader.now_ms + 300, "bc")
    assert leader.beat("a", has_lease=False)


def test_instance_that_comes_back_prepares_before_it_routes() -> None:
    """One got a lease while it still decided by the epoch before its cut."""
    leader = Leader()
    leader.run(100, "abc")
    leader.core.adopt(
        leader.epoch._replace(number=6, instances=("a", "b")), 100
    )
    leader.run(150, "ab")
    for name in ("a", "b"):
        leader.core.on_prepared(prepared(name, 6), 150)
    leader.core.adopt(leader.epoch._replace(number=7), 150)
    leader.run(200, "ab")
    leader.core.on_prepared(prepared("c", 5), 200)
    assert not leader.beat("c", has_lease=False)
    leader.core.on_prepared(prepared("c", 7), 200)
    assert leader.beat("c", has_lease=False)


def test_silent_instance_is_left_out_only_after_its_leases() -> None:
    leader = Leader()
    leader.run(1000, "abc")
    proposed = leader.run(5000, "ab")
    last_lease_ends_ms = 1000 + _leases.lease_ms(3)
    assert proposed
    assert proposed[0] > last_lease_ends_ms


def test_instance_that_no_grant_reaches_loses_its_place() -> None:
    leader = Leader()
    leader.run(500, "abc")
    granted = []
    proposed: list[int] = []
    while leader.now_ms < 8000:
        proposed += leader.run(leader.now_ms + 250, "ab")
        if leader.beat("c", has_lease=False):
            granted.append(leader.now_ms)
    assert max(granted) < 3500
    assert proposed
