"""Tests of the router's roles in an epoch."""

from bluebelltide.flows import _epoch
from bluebelltide.flows import _hashing
from bluebelltide.flows import _messages
from bluebelltide.flows import _owner
from bluebelltide.flows import _packets
from bluebelltide.flows import _router

TARGETS = {
    "s": _router.TargetSets(frozenset({"x", "y"}), frozenset({"y"})),
}


def test_new_owner_uses_the_newest_target_of_an_active_epoch() -> None:
    """A new owner must not open flows on a target that has drained.

    An instance that joins gets a bucket whose move is already active. It must
    not start the transition again in its first phase.
    """
    names = ("a", "b", "c")
    bucket = next(
        number
        for number in range(_hashing.BUCKETS)
        if _hashing.rank_instances(names, "s", number)[0] == "c"
    )
    transition = _epoch.BucketTransition(bucket, ("x", "y"), 9, 9)
    table = _epoch.ServiceTable("s", ("y",) * _hashing.BUCKETS, (transition,))
    epoch = _epoch.Epoch(
        16, "l", names, (table,), previous_instances=("a", "b")
    )
    router = _router.Router("c")
    router.update_targets(TARGETS, {"s": 1000})
    router.install(epoch, 0)
    key = _epoch.BucketKey("s", bucket)
    state = _owner.BucketState(("x", "y"), 9, False, ())
    router.receive(_messages.StateTransfer(key, 16, state), 0)
    packet = _packets.Packet("s", bucket, True, None)
    decision, _ = router.route(packet, 1)
    assert isinstance(decision, _packets.Relay)
    assert decision.record is not None
    assert decision.record.target_id == "y"
