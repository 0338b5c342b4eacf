"""Tests of the updates that a control replica creates for its pollers."""

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
        update = publisher.answer_poll(poller.make_poll("10.0.0.1"), STATUS, 0)
        assert len(update.records) <= _datagrams.RECORDS_PER_UPDATE
        for record in update.records:
            received.merge(record, 0)
        if not poller.receive(update, 0):
            break
    assert sorted(received.records()) == sorted(directory.records())


def test_a_change_is_in_the_next_updates_only() -> None:
    publisher, directory = make_publisher(3)
    publisher.record_poll(poll_from("10.0.0.9"), now_ms=0)
    assert len(publisher.make_updates(STATUS, 10)[0].update.records) == 3
    directory.mark_as_left("i-1", 10)
    (outgoing,) = publisher.make_updates(STATUS, 10)
    assert [r.target.target_id for r in outgoing.update.records] == ["i-1"]
    assert outgoing.update.first_index == 3


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
    poller.receive(outgoing.update, 0)
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


def test_updates_list_other_entry_instances_by_data_centre() -> None:
    publisher, _ = make_publisher(0)
    for host, data_centre in (
        ("10.0.0.7", "north"),
        ("10.0.0.8", "north"),
        ("10.0.0.9", "south"),
    ):
        publisher.record_poll(poll_from(host, data_centre), now_ms=0)
    update = publisher.answer_poll(poll_from("10.0.0.7"), STATUS, 0)
    assert update.local_entry_hosts == ("10.0.0.8",)
    assert update.remote_entry_hosts == ("10.0.0.9",)


def test_a_poll_with_an_index_of_another_run_gets_all_records() -> None:
    publisher, _ = make_publisher(2)
    poll = poll_from("10.0.0.9")._replace(run_id=6, known_index=2)
    assert len(publisher.answer_poll(poll, STATUS, 0).records) == 2
    same_run = poll._replace(run_id=7)
    assert publisher.answer_poll(same_run, STATUS, 0).records == ()
