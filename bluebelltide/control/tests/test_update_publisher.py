"""Tests of what a control replica tells its followers."""

from bluebelltide.control import _update_publisher
from bluebelltide.membership import _directory
from bluebelltide.membership import _subscription
from bluebelltide.membership.tests import test_directory
from bluebelltide.news import _messages

OWN = _messages.Replica("10.0.0.1~0", "north")
KNOWN = _update_publisher.ReplicaStatus(
    deployment_version=4, voters_version=1, has_complete_view=True
)


def make_desk(
    targets: int,
) -> tuple[_update_publisher.UpdatePublisher, _directory.TargetDirectory]:
    directory = _directory.TargetDirectory()
    for number in range(targets):
        target = test_directory.make_target(f"i-{number}", port=100 + number)
        directory.merge(_directory.TargetRecord(target), 0)
    return _update_publisher.UpdatePublisher(OWN, 7, directory), directory


def poll_from(host: str, data_centre: str = "north") -> _messages.Poll:
    return _messages.Poll(host, data_centre, None, 0, 0)


def test_a_new_follower_gets_everything_in_parts() -> None:
    desk, directory = make_desk(40)
    follower = _subscription.Follower("10.0.0.9", "north", None)
    follower.use_seeds(("10.0.0.1",), 0)
    copy = _directory.TargetDirectory()
    for _ in range(10):
        update = desk.answer_poll(follower.poll("10.0.0.1"), KNOWN, 0)
        assert len(update.records) <= _messages.RECORDS_PER_UPDATE
        for record in update.records:
            copy.merge(record, 0)
        if not follower.receive(update, 0):
            break
    assert sorted(copy.records()) == sorted(directory.records())


def test_a_change_is_told_at_once_and_only_once() -> None:
    desk, directory = make_desk(3)
    desk.record_poll(poll_from("10.0.0.9"), now_ms=0)
    assert len(desk.make_updates(KNOWN, 10)[0].update.records) == 3
    directory.retire("i-1", 10)
    (told,) = desk.make_updates(KNOWN, 10)
    assert [r.target.target_id for r in told.update.records] == ["i-1"]
    assert told.update.first_index == 3


def test_instances_of_an_earlier_run_are_told_until_they_poll() -> None:
    before, _ = make_desk(1)
    before.record_poll(poll_from("10.0.0.9"), now_ms=0)
    other = _messages.Replica("10.0.0.2~0", "north")
    before.record_poll(poll_from("10.0.0.2")._replace(replica=other), now_ms=0)
    hosts = before.entry_hosts()
    assert hosts == ("10.0.0.9",)

    desk, _ = make_desk(1)
    (told,) = desk.make_restart_notices(hosts, KNOWN, now_ms=0)
    assert told.host == "10.0.0.9"
    # An instance whose seeds do not name the replica polls it from then on.
    follower = _subscription.Follower("10.0.0.9", "north", None)
    follower.use_seeds(("10.0.0.2",), 0)
    follower.receive(told.update, 0)
    assert "10.0.0.1" in follower.hosts(0)
    desk.record_poll(follower.poll("10.0.0.1"), now_ms=5)
    assert desk.make_restart_notices(hosts, KNOWN, now_ms=10) == []


def test_a_follower_that_fell_silent_is_not_told() -> None:
    desk, _ = make_desk(1)
    desk.record_poll(poll_from("10.0.0.9"), now_ms=0)
    assert (
        desk.make_updates(KNOWN, _update_publisher.POLLER_TIMEOUT_MS + 1) == []
    )


def test_entries_are_told_of_each_other_by_data_centre() -> None:
    desk, _ = make_desk(0)
    for host, data_centre in (
        ("10.0.0.7", "north"),
        ("10.0.0.8", "north"),
        ("10.0.0.9", "south"),
    ):
        desk.record_poll(poll_from(host, data_centre), now_ms=0)
    update = desk.answer_poll(poll_from("10.0.0.7"), KNOWN, 0)
    assert update.near_entries == ("10.0.0.8",)
    assert update.far_entries == ("10.0.0.9",)


def test_a_poll_for_another_run_starts_from_the_beginning() -> None:
    desk, _ = make_desk(2)
    poll = poll_from("10.0.0.9")._replace(run_id=6, known_index=2)
    assert len(desk.answer_poll(poll, KNOWN, 0).records) == 2
    same_run = poll._replace(run_id=7)
    assert desk.answer_poll(same_run, KNOWN, 0).records == ()
