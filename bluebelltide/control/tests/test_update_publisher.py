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


def test_a_change_from_another_replica_is_repeated_where_it_is_needed() -> None:
    publisher, directory = make_publisher(1)
    publisher.record_replica(_datagrams.Replica("10.0.0.2~0", "south"), 0)
    for host, data_centre in (
        ("10.0.0.7", "north"),
        ("10.0.0.8", "south"),
        ("10.0.0.9", "west"),
    ):
        publisher.record_poll(poll_from(host, data_centre), now_ms=0)
    publisher.make_updates(STATUS, 0)
    directory.mark_as_left("i-0", 1)
    repeated = publisher.make_updates(STATUS, 1, is_first_hand=False)
    # South has a replica of its own, west has none.
    assert {one.host for one in repeated} == {"10.0.0.7", "10.0.0.9"}
    # The next update to south begins where its last one ended.
    directory.merge(
        _directory.TargetRecord(test_directory.make_target("new", port=9)), 2
    )
    updates = {one.host: one for one in publisher.make_updates(STATUS, 2)}
    assert updates["10.0.0.8"].encoded.update.first_index == 1
    assert updates["10.0.0.7"].encoded.update.first_index == 2


def test_a_poll_with_an_index_of_another_run_gets_all_records() -> None:
    publisher, _ = make_publisher(2)
    poll = poll_from("10.0.0.9")._replace(run_id=6, known_index=2)
    assert len(publisher.answer_poll(poll, STATUS, 0).update.records) == 2
    same_run = poll._replace(run_id=7)
    assert publisher.answer_poll(same_run, STATUS, 0).update.records == ()
