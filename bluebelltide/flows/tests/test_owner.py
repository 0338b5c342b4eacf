"""Tests of an owner's routing decisions for one bucket."""

from bluebelltide.flows import _epoch
from bluebelltide.flows import _owner

IDLE_MS = 1000
ALL = frozenset({"a", "b", "c"})


def owned_bucket(*history: str) -> _owner.OwnedBucket:
    state = _owner.BucketState(history, 5, False, ())
    return _owner.OwnedBucket(state, IDLE_MS)


def test_pending_bucket_opens_flows_on_the_previous_target() -> None:
    bucket = owned_bucket("a", "b")
    assert bucket.decide(1, True, ALL, 0) == _owner.OwnerDecision("a", False)


def test_observed_bucket_pins_new_flows_and_keeps_old_ones() -> None:
    bucket = owned_bucket("a", "b")
    bucket.activate()
    assert bucket.decide(1, False, ALL, 0) == _owner.OwnerDecision("a", False)
    assert bucket.decide(2, True, ALL, 0) == _owner.OwnerDecision("b", True)
    assert bucket.decide(2, True, ALL, 1) == _owner.OwnerDecision("b", True)
    assert bucket.decide(2, False, ALL, 2) == _owner.OwnerDecision("b", False)


def test_cutover_pins_only_old_flows_that_are_alive() -> None:
    bucket = owned_bucket("a", "b")
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
    bucket = owned_bucket("a", "b")
    bucket.activate()
    bucket.decide(2, True, ALL, 0)
    transition = _epoch.BucketTransition(0, ("a", "b", "a"), 6, 5)
    bucket.move(transition)
    assert bucket.history == ("a", "b", "a")
    assert bucket.decide(1, False, ALL, 1).target_id == "a"
    assert bucket.decide(2, False, ALL, 1).target_id == "b"


def test_next_owner_keeps_a_cutover_that_the_epoch_does_not_contain() -> None:
    """A transfer after a cutover must not restore the oldest target.

    The epoch's history still starts with the oldest target, which unpinned
    flows no longer belong to.
    """
    bucket = owned_bucket("a", "b")
    bucket.activate()
    bucket.decide(1, False, ALL, 0)
    bucket.cut_over(IDLE_MS)
    transition = _epoch.BucketTransition(0, ("a", "b", "c"), 6, 5)
    bucket.move(transition)
    next_owner = _owner.OwnedBucket(bucket.state(), IDLE_MS)
    next_owner.move(transition)
    assert next_owner.history == ("b", "c")
    assert next_owner.decide(9, False, ALL, IDLE_MS).target_id == "b"
    assert next_owner.decide(1, False, ALL, IDLE_MS).target_id == "a"


def test_idle_pinned_flows_expire() -> None:
    bucket = owned_bucket("a", "b")
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
    bucket = owned_bucket("a", "b")
    bucket.activate()
    bucket.decide(1, False, ALL, 0)
    assert bucket.decide(1, True, ALL, 5).target_id == "a"
    without_a = frozenset({"b", "c"})
    assert bucket.decide(1, True, without_a, 6).target_id == "b"
