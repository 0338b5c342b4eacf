"""Tests of polling control replicas."""

import pytest

from bluebelltide.membership import _replica_poller
from bluebelltide.messaging import _datagrams

REPLICA = _datagrams.Replica("10.0.0.1~0", "north")


def make_update(
    first: int, last: int, run_id: int = 7, has_more: bool = False
) -> _datagrams.Update:
    return _datagrams.Update(
        REPLICA,
        run_id,
        first,
        last,
        has_more,
        has_complete_view=True,
        encoded_deployment_version=1,
        voters_version=1,
        replicas=(_datagrams.Replica("10.0.0.2~0", "south"),),
        records=(),
    )


def make_poller() -> _replica_poller.ReplicaPoller:
    poller = _replica_poller.ReplicaPoller("10.0.0.9", "north", None)
    poller.set_seed_hosts(("10.0.0.1", "10.0.0.9"), now_ms=0)
    return poller


def test_replicas_listed_in_updates_are_polled_in_turn() -> None:
    poller = make_poller()
    assert poller.hosts(0) == ["10.0.0.1"]
    poller.receive(make_update(0, 3), now_ms=10)
    hosts = {poller.next_host(20) for _ in range(2)}
    assert hosts == {"10.0.0.1", "10.0.0.2"}


def test_a_gap_causes_another_poll_from_the_last_known_change() -> None:
    poller = make_poller()
    assert not poller.receive(make_update(0, 3), 0)
    assert poller.receive(make_update(5, 6), 0)
    assert poller.make_poll("10.0.0.1").known_index == 3
    assert not poller.receive(make_update(3, 6), 0)
    assert poller.make_poll("10.0.0.1").known_index == 6


def test_the_known_index_of_a_restarted_replica_starts_anew() -> None:
    poller = make_poller()
    poller.receive(make_update(0, 30), 0)
    poller.receive(make_update(0, 2, run_id=8), 0)
    poll = poller.make_poll("10.0.0.1")
    assert (poll.run_id, poll.known_index) == (8, 2)


def hear_alone(
    poller: _replica_poller.ReplicaPoller, from_ms: int, until_ms: int
) -> None:
    """Receives updates of one replica that lists no other one."""
    for now_ms in range(from_ms, until_ms + 1, 400):
        poller.receive(make_update(0, 3)._replace(replicas=()), now_ms)
        poller.hosts(now_ms)


def test_silent_replicas_are_removed_but_seeds_are_kept() -> None:
    poller = make_poller()
    poller.receive(make_update(0, 3), 0)
    retention_ms = _replica_poller.REPLICA_RETENTION_MS
    hear_alone(poller, 0, retention_ms)
    assert "10.0.0.2" in poller.hosts(retention_ms)
    hear_alone(poller, retention_ms + 400, retention_ms + 400)
    later_ms = retention_ms + 401
    assert poller.hosts(later_ms) == ["10.0.0.1"]
    poller.set_seed_hosts(("10.0.0.3",), later_ms)
    assert "10.0.0.3" in poller.hosts(later_ms)


@pytest.mark.parametrize("is_paused", [False, True])
def test_a_process_that_was_cut_off_for_long_polls_whom_it_knew(
    is_paused: bool,
) -> None:
    """Guards against a process that polls nobody who lives, for good.

    It was cut off for longer than replicas are kept, and the seeds of its
    settings had been replaced before.
    """
    poller = make_poller()
    poller.receive(make_update(0, 3), 0)
    cut_ms = 3 * _replica_poller.REPLICA_RETENTION_MS
    if not is_paused:
        for now_ms in range(0, cut_ms, 400):
            assert "10.0.0.2" in poller.hosts(now_ms)
    assert "10.0.0.2" in poller.hosts(cut_ms)
    # One replica is heard again before the others.
    hear_alone(poller, cut_ms + 400, cut_ms + 4000)
    assert "10.0.0.2" in poller.hosts(cut_ms + 4000)
    retention_ms = _replica_poller.REPLICA_RETENTION_MS
    hear_alone(poller, cut_ms + 4400, cut_ms + 1200 + retention_ms)
    assert "10.0.0.2" not in poller.hosts(cut_ms + 1200 + retention_ms)


def test_an_incomplete_update_causes_another_poll() -> None:
    assert make_poller().receive(make_update(0, 3, has_more=True), 0)


def test_many_changes_are_taken_from_one_replica_until_it_is_silent() -> None:
    poller = make_poller()
    poller.receive(make_update(0, 0), now_ms=0)
    other = make_update(0, 16, has_more=True)._replace(
        replica=_datagrams.Replica("10.0.0.2~0", "south")
    )
    assert poller.receive(make_update(0, 16, has_more=True), now_ms=1)
    assert not poller.receive(other, now_ms=2)
    assert poller.receive(make_update(16, 32, has_more=True), now_ms=3)
    silent_ms = 3 + _replica_poller.SOURCE_TIMEOUT_MS
    assert poller.receive(other, now_ms=silent_ms)
    # The first replica answers again, but the second one goes on.
    assert not poller.receive(make_update(32, 48, has_more=True), silent_ms)
    # Once the second one has no more, any replica may continue.
    done = other._replace(first_index=16, last_index=20, has_more=False)
    assert not poller.receive(done, silent_ms)
    assert poller.receive(make_update(32, 48, has_more=True), silent_ms)


def test_updates_that_bring_nothing_new_start_no_further_polls() -> None:
    """Guards against chains of polls that ask for the same changes.

    Pushed updates arrive beside the answers while many targets start.
    """
    poller = make_poller()
    first = make_update(0, 16, has_more=True)
    assert poller.receive(first, now_ms=1)
    # The answer to an earlier poll, and a push that follows a lost one.
    assert not poller.receive(first, now_ms=2)
    assert not poller.receive(make_update(32, 48), now_ms=3)
    assert poller.receive(make_update(16, 32, has_more=True), now_ms=4)
    # The answer to the last poll is lost.
    late_ms = 4 + _replica_poller.SOURCE_TIMEOUT_MS
    assert poller.receive(make_update(48, 64), now_ms=late_ms)


@pytest.mark.parametrize("replicas", [1, 3, 4, 6, 7, 20])
def test_a_replica_gets_as_many_polls_however_many_replicas_there_are(
    replicas: int,
) -> None:
    poller = _replica_poller.ReplicaPoller("10.0.1.1", "north", None)
    hosts = tuple(f"10.0.0.{number}" for number in range(replicas))
    poller.set_seed_hosts(hosts, now_ms=0)
    assert 200 <= poller.interval_ms <= 400
    if 5 <= replicas <= 10:
        assert poller.interval_ms * replicas == pytest.approx(2000, abs=20)
