"""Tests of the updates that a control replica creates for its pollers."""

import pytest

from bluebelltide.control import _update_publisher
from bluebelltide.membership import _directory
from bluebelltide.membership import _replica_poller
from bluebelltide.membership.tests import test_directory
from bluebelltide.messaging import _datagrams

OWN_REPLICA = _datagrams.Replica("10.0.0.1~0", "north")
STATUS = _update_publisher.ReplicaStatus(
    deployment_version=4, voters_version=1, has_complete_view=True
)


def make_publisher(
    targets: int,
) -> tuple[_update_publisher.UpdatePublisher, _directory.TargetDirectory]:
    directory = _directory.TargetDirectory()
    for number in range(targets):
        target = test_directory.make_target(f"i-{number}", port=100 + number)
        directory.merge(_directory.TargetRecord(target), 0)
    return _update_publisher.UpdatePublisher(
        OWN_REPLICA, 7, directory
    ), directory


def poll_from(host: str, data_centre: str = "north") -> _datagrams.Poll:
    return _datagrams.Poll(host, data_centre, None, 0, 0)


def test_a_new_poller_gets_all_records_in_batches() -> None:
    publisher, directory = make_publisher(40)
    poller = _replica_poller.ReplicaPoller("10.0.0.9", "north", None)
    poller.set_seed_hosts(("10.0.0.1",), 0)
    received = _directory.TargetDirectory()
    for _ in range(10):
        update = publisher.answer_poll(
            poller.make_poll("10.0.0.1"), STATUS, 0
        ).update
        assert len(update.records) <= _datagrams.RECORDS_PER_UPDATE
        for record in update.records:
            received.merge(record, 0)
        if not poller.receive(update, 0):
            break
    assert sorted(received.records()) == sorted(directory.records())


def test_a_change_is_in_the_next_updates_only() -> None:
    publisher, directory = make_publisher(3)
    publisher.record_poll(poll_from("10.0.0.9"), now_ms=0)
    assert (
        len(publisher.make_updates(STATUS, 10)[0].encoded.update.records) == 3
    )
    directory.mark_as_left("i-1", 10)
    (outgoing,) = publisher.make_updates(STATUS, 10)
    assert [r.target.target_id for r in outgoing.encoded.update.records] == [
        "i-1"
    ]
    assert outgoing.encoded.update.first_index == 3


def test_instances_of_the_previous_run_get_notices_until_they_poll() -> None:
    previous, _ = make_publisher(1)
    previous.record_poll(poll_from("10.0.0.9"), now_ms=0)
    other = _datagrams.Replica("10.0.0.2~0", "north")
    previous.record_poll(
        poll_from("10.0.0.2")._replace(replica=other), now_ms=0
    )
    hosts = previous.entry_hosts()
    assert hosts == ("10.0.0.9",)

    publisher, _ = make_publisher(1)
    (outgoing,) = publisher.make_restart_notices(hosts, STATUS, now_ms=0)
    assert outgoing.host == "10.0.0.9"
    # The instance's seeds do not include the replica; it polls the replica
    # after it has received the notice.
    poller = _replica_poller.ReplicaPoller("10.0.0.9", "north", None)
    poller.set_seed_hosts(("10.0.0.2",), 0)
    poller.receive(outgoing.encoded.update, 0)
    assert "10.0.0.1" in poller.hosts(0)
    publisher.record_poll(poller.make_poll("10.0.0.1"), now_ms=5)
    assert publisher.make_restart_notices(hosts, STATUS, now_ms=10) == []


def test_a_process_that_stops_polling_gets_no_updates() -> None:
    publisher, _ = make_publisher(1)
    publisher.record_poll(poll_from("10.0.0.9"), now_ms=0)
    assert (
        publisher.make_updates(STATUS, _update_publisher.POLLER_TIMEOUT_MS + 1)
        == []
    )


def test_instances_learn_other_instances_by_data_centre() -> None:
    publisher, _ = make_publisher(0)
    for host, data_centre in (
        ("10.0.0.7", "north"),
        ("10.0.0.8", "north"),
        ("10.0.0.9", "south"),
    ):
        publisher.record_poll(poll_from(host, data_centre), now_ms=0)
    data = publisher.answer_with_peers(poll_from("10.0.0.7"), 0)
    assert data is not None
    peers = _datagrams.decode_datagram(data, "test")
    assert isinstance(peers, _datagrams.PeerList)
    assert peers.local_hosts == ("10.0.0.8",)
    assert peers.remote_hosts == ("10.0.0.9",)
    assert peers.instance_count == 3
    assert peers.rank in (0, 1, 2)
    same = poll_from("10.0.0.7")._replace(peers_version=peers.version)
    assert publisher.answer_with_peers(same, 0) is None


def test_an_instance_gets_another_peer_list_once_its_peers_change() -> None:
    publisher, _ = make_publisher(0)
    publisher.record_poll(poll_from("10.0.0.7"), now_ms=0)
    data = publisher.answer_with_peers(poll_from("10.0.0.7"), 0)
    assert data is not None
    peers = _datagrams.decode_datagram(data, "test")
    assert isinstance(peers, _datagrams.PeerList)
    poll = poll_from("10.0.0.7")._replace(peers_version=peers.version)
    publisher.record_poll(poll_from("10.0.0.8"), now_ms=10)
    later_ms = _update_publisher.RING_INTERVAL_MS
    assert publisher.answer_with_peers(poll, later_ms) is not None


def test_an_instance_gets_another_peer_list_once_its_rank_changes() -> None:
    """With an old rank it would use cold targets that are others' by now."""
    publisher, _ = make_publisher(0)
    hosts = [f"10.0.0.{number}" for number in range(1, 41)]
    for host in hosts[:-1]:
        publisher.record_poll(poll_from(host), now_ms=0)
    versions = {}
    for host in hosts[:-1]:
        data = publisher.answer_with_peers(poll_from(host), 0)
        assert data is not None
        peers = _datagrams.decode_datagram(data, "test")
        assert isinstance(peers, _datagrams.PeerList)
        versions[host] = peers.version
    publisher.record_poll(poll_from(hosts[-1]), now_ms=10)
    later_ms = _update_publisher.RING_INTERVAL_MS
    for host, version in versions.items():
        poll = poll_from(host)._replace(peers_version=version)
        assert publisher.answer_with_peers(poll, later_ms) is not None


@pytest.mark.parametrize("instances", [30, 100, 300, 1000])
def test_a_change_is_encoded_once_for_all_instances(instances: int) -> None:
    publisher, directory = make_publisher(10)
    polls = [
        poll_from(f"10.1.{number // 250}.{number % 250}")
        for number in range(instances)
    ]
    for poll in polls:
        publisher.record_poll(poll, now_ms=0)
    publisher.make_updates(STATUS, 1)
    before = publisher.encoding_count
    directory.mark_as_left("i-1", 2)
    assert len(publisher.make_updates(STATUS, 2)) == instances
    known = polls[0]._replace(run_id=7, known_index=directory.last_index)
    for poll in polls:
        publisher.answer_poll(known._replace(sender=poll.sender), STATUS, 3)
    assert publisher.encoding_count - before <= 2


def make_publisher_with_pollers() -> tuple[
    _update_publisher.UpdatePublisher, _directory.TargetDirectory
]:
    """Makes a publisher that instances of three data centres poll.

    North is its own, south has a replica of its own, and west has none.
    """
    publisher, directory = make_publisher(1)
    publisher.record_replica(_datagrams.Replica("10.0.0.2~0", "south"), 0)
    for host, data_centre in (
        ("10.0.0.7", "north"),
        ("10.0.0.8", "south"),
        ("10.0.0.9", "west"),
    ):
        publisher.record_poll(poll_from(host, data_centre), now_ms=0)
    publisher.make_updates(STATUS, 0)
    return publisher, directory


def test_an_instance_gets_changes_from_the_replica_of_its_data_centre() -> None:
    publisher, directory = make_publisher_with_pollers()
    directory.merge(
        _directory.TargetRecord(test_directory.make_target("new", port=9)), 1
    )
    updates = publisher.make_updates(STATUS, 1)
    assert {one.host for one in updates} == {"10.0.0.7", "10.0.0.9"}


def test_what_is_urgent_goes_to_all_from_the_replica_that_heard_it() -> None:
    publisher, directory = make_publisher_with_pollers()
    directory.merge(
        _directory.TargetRecord(test_directory.make_target("new", port=9)), 1
    )
    directory.mark_as_left("i-0", 1)
    updates = {
        one.host: one.encoded.update
        for one in publisher.make_updates(STATUS, 1, ("i-0",))
    }
    assert set(updates) == {"10.0.0.7", "10.0.0.8", "10.0.0.9"}
    partial = updates["10.0.0.8"]
    assert partial.is_partial
    assert not partial.has_complete_view
    assert [one.target.target_id for one in partial.records] == ["i-0"]
    assert len(updates["10.0.0.7"].records) == 2
    # What the replica reports of itself is news to all, too.
    newer = STATUS._replace(deployment_version=5)
    hosts = {one.host for one in publisher.make_updates(newer, 2)}
    assert "10.0.0.8" in hosts
    hosts = {one.host for one in publisher.make_updates(newer, 3)}
    assert "10.0.0.8" not in hosts


def test_an_instance_that_knows_all_targets_gets_only_tombstones() -> None:
    publisher, directory = make_publisher(40)
    known = _directory.TargetDirectory()
    for record in directory.records():
        known.merge(record, 0)
    for number in range(20):
        directory.mark_as_left(f"i-{number}", 1)
        known.mark_as_left(f"i-{number}", 1)
    poll = poll_from("10.0.0.9")._replace(digest=known.digest)
    publisher.record_poll(poll, 2)
    first = publisher.answer_poll(poll, STATUS, 2).update
    assert len(first.records) == _datagrams.RECORDS_PER_UPDATE
    assert first.has_more
    poll = poll._replace(run_id=7, known_index=first.last_index)
    second = publisher.answer_poll(poll, STATUS, 3).update
    assert all(one.has_left for one in (*first.records, *second.records))
    assert len(second.records) == 20 - _datagrams.RECORDS_PER_UPDATE
    assert not second.has_more
    assert second.last_index == directory.last_index
    # The next update begins after all that.
    directory.merge(
        _directory.TargetRecord(test_directory.make_target("new", port=99)), 3
    )
    (outgoing,) = publisher.make_updates(STATUS, 4)
    assert len(outgoing.encoded.update.records) == 1
    # An instance with other targets gets them all.
    other = poll_from("10.0.0.8")._replace(digest=known.digest)
    assert publisher.answer_poll(other, STATUS, 5).update.has_more


def test_a_poll_with_an_index_of_another_run_gets_all_records() -> None:
    publisher, _ = make_publisher(2)
    poll = poll_from("10.0.0.9")._replace(run_id=6, known_index=2)
    assert len(publisher.answer_poll(poll, STATUS, 0).update.records) == 2
    same_run = poll._replace(run_id=7)
    assert publisher.answer_poll(same_run, STATUS, 0).update.records == ()
