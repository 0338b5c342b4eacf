"""Tests of the owner's decisions for one bucket."""

from bluebelltide.flows import _epoch
from bluebelltide.flows import _owner

IDLE_MS = 1000
ALL = frozenset({"a", "b", "c"})


def owned(*history: str) -> _owner.OwnedBucket:
    state = _owner.BucketState(history, 5, False, ())
    return _owner.OwnedBucket(state, IDLE_MS)


def test_pending_bucket_opens_on_the_target_before() -> None:
    bucket = owned("a", "b")
    assert bucket.decide(1, True, ALL, 0) == _owner.OwnerDecision("a", False)


def test_open_bucket_records_new_flows_and_keeps_old_ones() -> None:
    bucket = owned("a", "b")
    bucket.activate()
    assert bucket.decide(1, False, ALL, 0) == _owner.OwnerDecision("a", False)
    assert bucket.decide(2, True, ALL, 0) == _owner.OwnerDecision("b", True)
    assert bucket.decide(2, True, ALL, 1) == _owner.OwnerDecision("b", True)
    assert bucket.decide(2, False, ALL, 2) == _owner.OwnerDecision("b", False)


def test_flip_keeps_only_surviving_old_flows() -> None:
    bucket = owned("a", "b")
    bucket.activate()
    bucket.decide(1, False, ALL, 0)
    bucket.decide(2, True, ALL, 0)
    assert not bucket.is_cutover_due(IDLE_MS - 1)
    assert bucket.is_cutover_due(IDLE_MS)
    bucket.cut_over(IDLE_MS)
    assert bucket.pinned_flows == {1: "a"}
    assert bucket.decide(2, False, ALL, IDLE_MS).target_id == "b"
    assert bucket.decide(1, False, ALL, IDLE_MS).target_id == "a"


def test_bucket_that_moves_back_keeps_flows_of_both_targets() -> None:
    bucket = owned("a", "b")
    bucket.activate()
    bucket.decide(2, True, ALL, 0)
    item = _epoch.BucketTransition(0, ("a", "b", "a"), 6, 5)
    bucket.move(item)
    assert bucket.history == ("a", "b", "a")
    assert bucket.decide(1, False, ALL, 1).target_id == "a"
    assert bucket.decide(2, False, ALL, 1).target_id == "b"


def test_next_owner_keeps_the_flip_that_the_epoch_does_not_know() -> None:
    """A hand-over after a flip once revived the oldest target."""
    bucket = owned("a", "b")
    bucket.activate()
    bucket.decide(1, False, ALL, 0)
    bucket.cut_over(IDLE_MS)
    item = _epoch.BucketTransition(0, ("a", "b", "c"), 6, 5)
    bucket.move(item)
    heir = _owner.OwnedBucket(bucket.state(), IDLE_MS)
    heir.move(item)
    assert heir.history == ("b", "c")
    assert heir.decide(9, False, ALL, IDLE_MS).target_id == "b"
    assert heir.decide(1, False, ALL, IDLE_MS).target_id == "a"


def test_relearn_drops_exceptions_that_nobody_uses() -> None:
    bucket = owned("a", "b")
    bucket.activate()
    bucket.decide(1, False, ALL, 0)
    bucket.decide(2, False, ALL, 0)
    bucket.cut_over(IDLE_MS)
    assert bucket.route_hints_valid_ms(IDLE_MS) == 9 * IDLE_MS
    bucket.decide(1, False, ALL, 11 * IDLE_MS - 10)
    assert bucket.expire_pinned_flows(11 * IDLE_MS)
    assert bucket.pinned_flows == {1: "a"}
    assert not bucket.is_stable()


def test_reused_port_stays_on_its_old_target_while_it_accepts() -> None:
    bucket = owned("a", "b")
    bucket.activate()
    bucket.decide(1, False, ALL, 0)
    assert bucket.decide(1, True, ALL, 5).target_id == "a"
    without_a = frozenset({"b", "c"})
    assert bucket.decide(1, True, without_a, 6).target_id == "b"
