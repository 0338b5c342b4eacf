"""Tests of deployment replicas that call each other in memory."""

import pathlib

import anyio
import pytest

from bluebelltide import _types
from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _register
from bluebelltide.control import _voters
from bluebelltide.control.tests import replica_network
from bluebelltide.messaging import _calls

RunInNetwork = replica_network.RunInNetwork


def test_every_replica_reads_the_newest_accepted_version(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first, second, third = network.replicas.values()
        assert (await first.put(3, b"three")).is_certain
        assert (await second.put(2, b"two")).state.version == 3
        # Other content under the current version never takes effect.
        assert (await third.put(3, b"other")).is_certain
        for replica in (first, second, third):
            outcome = await replica.read()
            assert outcome.is_certain
            assert outcome.state.value == b"three"

    run_in_network(run)


def test_one_lost_voter_is_tolerated_and_two_give_an_uncertain_outcome(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first = network.replicas[replica_network.SEEDS[0]]
        network.cut_off_hosts = {replica_network.SEEDS[2]}
        assert (await first.put(1, b"one")).is_certain
        network.cut_off_hosts = {
            replica_network.SEEDS[1],
            replica_network.SEEDS[2],
        }
        assert not (await first.put(2, b"two")).is_certain
        assert not (await first.read()).is_certain
        network.cut_off_hosts = set()
        # A change with an uncertain outcome may be sent again.
        assert (await first.put(2, b"two")).state.value == b"two"

    run_in_network(run)


def test_a_restarted_replica_serves_its_last_state_as_unconfirmed(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first = network.replicas[replica_network.SEEDS[0]]
        standby = network.start("10.0.0.4", is_first_start=False)
        assert (await first.put(5, b"five")).is_certain
        network.exchange_committed_states()
        state = standby.unsaved_states()[replica_network.KEY]
        standby.save_state(replica_network.KEY, state)
        assert not standby.unsaved_states()
        # Voters find the state in their logs.
        voters = [
            host
            for host in replica_network.SEEDS
            if not network.replicas[host].unsaved_states()
        ]
        assert len(voters) >= 2

        network.cut_off_hosts = {*replica_network.SEEDS, "10.0.0.4"}
        for host in (voters[0], "10.0.0.4"):
            network.replicas[host].close()
            restarted = network.start(host, is_first_start=False)
            request = _calls.Fetch(replica_network.KEY, may_be_unconfirmed=True)
            answer = await restarted.handle_call("", request)
            assert isinstance(answer, _calls.Fetched)
            assert answer.state.value == b"five"
            # The answer does not claim that the state is committed.
            assert not answer.is_committed
            committed = await restarted.handle_call(
                "", _calls.Fetch(replica_network.KEY)
            )
            assert isinstance(committed, _calls.Fetched)
            assert committed.state.version is None
            assert not (await restarted.read()).is_certain

    run_in_network(run)


def test_a_damaged_deployment_file_is_ignored(
    run_in_network: RunInNetwork,
    tmp_path: pathlib.Path,
) -> None:
    async def run(network: replica_network.Network) -> None:
        standby = network.start("10.0.0.4", is_first_start=False)
        standby.close()
        (tmp_path / "10.0.0.4" / "deployment").write_bytes(b"\xff")
        restarted = network.start("10.0.0.4", is_first_start=False)
        assert restarted.newest_state(replica_network.KEY).version is None

    run_in_network(run)


def test_a_wiped_voter_gets_a_new_identity_without_a_vote(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first = network.replicas[replica_network.SEEDS[0]]
        network.cut_off_hosts = {replica_network.SEEDS[2]}
        await first.put(1, b"one")
        old_identity = network.replicas[replica_network.SEEDS[1]].identity
        wiped = network.start(
            replica_network.SEEDS[1], disk="empty", is_first_start=False
        )
        assert wiped.identity != old_identity
        assert wiped.voters is None
        # The wiped machine must not help to form a quorum.
        assert not (await first.put(2, b"two")).is_certain
        assert not (await wiped.read()).is_certain

    run_in_network(run)


def test_replacing_a_wiped_voter_loses_no_accepted_document(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first, second, _ = network.replicas.values()
        network.cut_off_hosts = {replica_network.SEEDS[2]}
        await first.put(5, b"five")
        network.cut_off_hosts = set()
        wiped = network.start(
            replica_network.SEEDS[1], disk="empty", is_first_start=False
        )
        network.exchange_committed_states()
        desired_voters = tuple(
            sorted(replica.identity for replica in network.replicas.values())
        )
        third = network.replicas[replica_network.SEEDS[2]]
        assert await third.change_voters(desired_voters)
        network.exchange_committed_states()
        assert third.voters == _register.Voters(3, desired_voters)
        # The first voter is lost, too, after the new voter has caught up.
        network.cut_off_hosts = {replica_network.SEEDS[0]}
        for replica in (wiped, third):
            assert (await replica.read()).state.value == b"five"
        assert second.identity not in desired_voters

    run_in_network(run)


def test_an_interrupted_change_of_voters_is_continued(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first, second, third = network.replicas.values()
        await first.put(1, b"one")
        fourth = network.start("10.0.0.4", is_first_start=False)
        network.exchange_committed_states()
        desired_voters = (
            first.identity,
            second.identity,
            fourth.identity,
        )
        joint = _voters.VoterLists(first.voters.voters, desired_voters)  # type: ignore[union-attr]
        await first._set_voters(
            first.committed_state(_voters.VOTERS_KEY), joint
        )
        # During the joint step a quorum of both sets is needed.
        network.cut_off_hosts = {replica_network.SEEDS[1], "10.0.0.4"}
        assert not (await first.put(2, b"two")).is_certain
        network.cut_off_hosts = set()
        assert not await second.change_voters((third.identity,))
        assert await second.change_voters(desired_voters)
        assert (await second.put(2, b"two")).is_certain

    run_in_network(run)


@pytest.mark.parametrize(
    "key", [replica_network.KEY, replica_network.EVACUATIONS_KEY]
)
def test_each_register_is_copied_once_the_joint_voters_are_in_force(
    run_in_network: RunInNetwork,
    monkeypatch: pytest.MonkeyPatch,
    key: str,
) -> None:
    """A copy that began earlier could miss a change by the old voters."""
    known_at_copies: list[list[int]] = []

    async def run(network: replica_network.Network) -> None:
        first, second, _ = network.replicas.values()
        await first.put(1, b"one")
        await first.order_evacuation(_evacuations.Order("south", True))
        fourth = network.start("10.0.0.4", is_first_start=False)
        network.exchange_committed_states()
        old_voters = [network.replicas[host] for host in replica_network.SEEDS]

        async def call(
            address: _types.Address,
            receiver: str,
            request: _calls.Request,
            timeout_ms: int,
            local_host: str = "",
        ) -> _calls.Answer | None:
            if isinstance(request, _register.Prepare) and (request.key == key):
                known_at_copies.append(
                    [
                        replica.voters.version
                        for replica in old_voters
                        if replica.voters is not None
                    ]
                )
            return await network.call(
                address, receiver, request, timeout_ms, local_host
            )

        monkeypatch.setattr(_calls, "call", call)
        desired_voters = (
            first.identity,
            second.identity,
            fourth.identity,
        )
        assert await first.change_voters(desired_voters)

    run_in_network(run)
    assert known_at_copies
    joint_version = 2
    for versions in known_at_copies:
        knowing = [one for one in versions if one >= joint_version]
        assert 2 * len(knowing) > len(versions)


def test_a_voter_added_while_it_is_cut_off_helps_to_read_after_a_lost_disk(
    run_in_network: RunInNetwork,
) -> None:
    """Guards against voters that never answer again after a full stop.

    A replica became a voter while it was cut off, so it only heard of the voter
    set and had none on its disk. After all replicas had stopped and one disk
    was lost, the others needed its vote, and it waited for a voter set.
    """

    async def run(network: replica_network.Network) -> None:
        first, second, third = network.replicas.values()
        fourth = network.start("10.0.0.4", is_first_start=False)
        network.exchange_committed_states()
        network.cut_off_hosts = {"10.0.0.4"}
        desired_voters = (second.identity, third.identity, fourth.identity)
        assert await second.change_voters(desired_voters)
        first.close()
        del network.replicas["10.0.0.1"]
        network.cut_off_hosts = set()
        network.exchange_committed_states()
        assert (await fourth.put(9, b"nine")).is_certain
        for replica in (second, third, fourth):
            replica.close()
        second = network.start("10.0.0.2", is_first_start=False)
        network.start("10.0.0.3", disk="empty", is_first_start=False)
        network.start("10.0.0.4", is_first_start=False)
        for key in second.unconfirmed_keys():
            assert (await second.confirm(key)).is_certain
        network.exchange_committed_states()
        outcome = await second.read()
        assert (outcome.is_certain, outcome.state.value) == (True, b"nine")

    run_in_network(run)


def test_an_accepted_document_survives_a_restart_of_all_replicas(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        await network.replicas[replica_network.SEEDS[0]].put(4, b"four")
        for host in replica_network.SEEDS:
            # The last voter may accept after the proposal has ended.
            while (
                replica_network.KEY
                not in network.replicas[host].accepted_keys()
            ):
                await anyio.sleep(0.001)
            network.replicas[host].close()
        for host in replica_network.SEEDS:
            network.start(host, is_first_start=False)
        third = network.replicas[replica_network.SEEDS[2]]
        assert third.committed_state(replica_network.KEY).version is None
        assert replica_network.KEY in third.unconfirmed_keys()
        assert (await third.confirm(replica_network.KEY)).state.value == b"four"

    run_in_network(run)


def test_a_voter_that_cannot_write_does_not_answer(
    run_in_network: RunInNetwork,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first, second, third = network.replicas.values()

        def fail_with_full_disk(writes: object) -> None:
            raise OSError(28, "no space left")

        monkeypatch.setattr(second._store, "write", fail_with_full_disk)
        assert (await first.put(1, b"one")).is_certain
        monkeypatch.setattr(third._store, "write", fail_with_full_disk)
        assert not (await first.put(2, b"two")).is_certain
        assert second._acceptor_states.get(replica_network.KEY) is None

    run_in_network(run)
