"""Tests of following control replicas."""

from bluebelltide.membership import _replica_poller
from bluebelltide.news import _messages

REPLICA = _messages.Replica("10.0.0.1~0", "north")


def make_update(
    first: int, last: int, run_id: int = 7, has_more: bool = False
) -> _messages.Update:
    return _messages.Update(
        REPLICA,
        run_id,
        first,
        last,
        has_more,
        is_warm=True,
        document_version=1,
        voters_version=1,
        replicas=(_messages.Replica("10.0.0.2~0", "south"),),
        near_entries=(),
        far_entries=(),
        records=(),
    )


def make_follower() -> _replica_poller.ReplicaPoller:
    follower = _replica_poller.ReplicaPoller("10.0.0.9", "north", None)
    follower.use_seeds(("10.0.0.1", "10.0.0.9"), now_ms=0)
    return follower


def test_replicas_that_others_name_are_polled_in_turn() -> None:
    follower = make_follower()
    assert follower.hosts(0) == ["10.0.0.1"]
    follower.receive(make_update(0, 3), now_ms=10)
    turns = {follower.next_host(20) for _ in range(2)}
    assert turns == {"10.0.0.1", "10.0.0.2"}


def test_a_gap_leads_to_another_poll_from_the_last_known_change() -> None:
    follower = make_follower()
    assert not follower.receive(make_update(0, 3), 0)
    assert follower.receive(make_update(5, 6), 0)
    assert follower.make_poll("10.0.0.1").known_index == 3
    assert not follower.receive(make_update(3, 6), 0)
    assert follower.make_poll("10.0.0.1").known_index == 6


def test_a_restarted_replica_is_followed_from_the_start() -> None:
    follower = make_follower()
    follower.receive(make_update(0, 30), 0)
    follower.receive(make_update(0, 2, run_id=8), 0)
    poll = follower.make_poll("10.0.0.1")
    assert (poll.run_id, poll.known_index) == (8, 2)


def test_silent_replicas_are_forgotten_but_not_the_seeds() -> None:
    follower = make_follower()
    follower.receive(make_update(0, 3), 0)
    later_ms = _replica_poller.FORGET_MS + 1
    assert follower.hosts(later_ms) == ["10.0.0.1"]
    follower.use_seeds(("10.0.0.3",), later_ms)
    assert "10.0.0.3" in follower.hosts(later_ms)


def test_more_to_come_asks_for_another_poll() -> None:
    assert make_follower().receive(make_update(0, 3, has_more=True), 0)
