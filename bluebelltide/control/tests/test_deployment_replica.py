"""Tests of deployment replicas that call each other in memory."""

from collections.abc import AsyncIterator
import contextlib
import pathlib

import anyio
import pytest

from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store
from bluebelltide.control import _deployment_replica
from bluebelltide.control import _voters
from bluebelltide.messaging import _calls
from bluebelltide.tests import virtual_time

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
KEY = _deployment.DEPLOYMENT_KEY


class Network:
    """Delivers calls between replicas, except to machines that are cut off."""

    def __init__(
        self, folder: pathlib.Path, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Creates a network without replicas."""
        self.folder = folder
        self.tasks = tasks
        self.replicas: dict[str, _deployment_replica.DeploymentReplica] = {}
        self.cut_off_hosts: set[str] = set()

    def start(
        self, host: str, disk: str = "", is_first_start: bool = True
    ) -> _deployment_replica.DeploymentReplica:
        """Starts a replica's process; `disk` names its data folder."""
        folder = self.folder / (disk or host)
        settings = _deployment_replica.ReplicaSettings(
            host, 7000, "dc", SEEDS, folder, is_first_start, 3, 9600
        )
        replica = _deployment_replica.DeploymentReplica(
            settings,
            _store.Store(folder),
            lambda: None,
            _metrics.create_metrics(None, "control"),
        )
        replica.start(self.tasks)
        self.replicas[host] = replica
        return replica

    async def call(
        self,
        address: _types.Address,
        receiver: str,
        request: _calls.Request,
        timeout_ms: int,
        local_host: str = "",
    ) -> _calls.Answer | None:
        del timeout_ms, local_host
        if (
            address.host in self.cut_off_hosts
            or address.host not in self.replicas
        ):
            return None
        return await self.replicas[address.host].handle_call(receiver, request)

    def exchange_committed_states(self) -> None:
        """Lets every replica learn the committed states of all others."""
        for source in self.replicas.values():
            for replica in self.replicas.values():
                for key in (KEY, _voters.VOTERS_KEY):
                    replica.learn(key, source.committed_state(key))


@contextlib.asynccontextmanager
async def open_network(
    folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[Network]:
    async with anyio.create_task_group() as tasks:
        network = Network(folder, tasks)
        monkeypatch.setattr(_calls, "call", network.call)
        monkeypatch.setattr(_deployment_replica, "PROPOSAL_TIMEOUT_MS", 200)
        for host in SEEDS:
            network.start(host)
        yield network
        tasks.cancel_scope.cancel()


def test_every_replica_reads_the_newest_accepted_version(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first, second, third = network.replicas.values()
            assert (await first.put(3, b"three")).is_certain
            assert (await second.put(2, b"two")).state.version == 3
            # Other content under the current version never takes effect.
            assert (await third.put(3, b"other")).is_certain
            for replica in (first, second, third):
                outcome = await replica.read()
                assert outcome.is_certain
                assert outcome.state.value == b"three"

    virtual_time.run_in_virtual_time(run, monkeypatch)


def test_one_lost_voter_is_tolerated_and_two_give_an_uncertain_outcome(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first = network.replicas[SEEDS[0]]
            network.cut_off_hosts = {SEEDS[2]}
            assert (await first.put(1, b"one")).is_certain
            network.cut_off_hosts = {SEEDS[1], SEEDS[2]}
            assert not (await first.put(2, b"two")).is_certain
            assert not (await first.read()).is_certain
            network.cut_off_hosts = set()
            # A change with an uncertain outcome may be sent again.
            assert (await first.put(2, b"two")).state.value == b"two"

    virtual_time.run_in_virtual_time(run, monkeypatch)


def test_a_restarted_replica_serves_its_last_state_as_unconfirmed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first = network.replicas[SEEDS[0]]
            standby = network.start("10.0.0.4", is_first_start=False)
            assert (await first.put(5, b"five")).is_certain
            network.exchange_committed_states()
            state = standby.unsaved_deployment()
            assert state is not None
            standby.save_deployment(state)
            assert standby.unsaved_deployment() is None
            # Voters find the state in their logs.
            voters = [
                host
                for host in SEEDS
                if network.replicas[host].unsaved_deployment() is None
            ]
            assert len(voters) >= 2

            network.cut_off_hosts = {*SEEDS, "10.0.0.4"}
            for host in (voters[0], "10.0.0.4"):
                network.replicas[host].close()
                restarted = network.start(host, is_first_start=False)
                request = _calls.Fetch(KEY, may_be_unconfirmed=True)
                answer = await restarted.handle_call("", request)
                assert isinstance(answer, _calls.Fetched)
                assert answer.state.value == b"five"
                # The answer does not claim that the state is committed.
                assert not answer.is_committed
                committed = await restarted.handle_call("", _calls.Fetch(KEY))
                assert isinstance(committed, _calls.Fetched)
                assert committed.state.version == 0
                assert not (await restarted.read()).is_certain

    virtual_time.run_in_virtual_time(run, monkeypatch)


def test_a_damaged_deployment_file_is_ignored(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            standby = network.start("10.0.0.4", is_first_start=False)
            standby.close()
            (tmp_path / "10.0.0.4" / "deployment").write_bytes(b"\xff")
            restarted = network.start("10.0.0.4", is_first_start=False)
            assert restarted.newest_state(KEY).version == 0

    virtual_time.run_in_virtual_time(run, monkeypatch)


def test_a_wiped_voter_gets_a_new_identity_without_a_vote(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first = network.replicas[SEEDS[0]]
            network.cut_off_hosts = {SEEDS[2]}
            await first.put(1, b"one")
            old_identity = network.replicas[SEEDS[1]].identity
            wiped = network.start(SEEDS[1], disk="empty", is_first_start=False)
            assert wiped.identity != old_identity
            assert wiped.voters is None
            # The wiped machine must not help to form a quorum.
            assert not (await first.put(2, b"two")).is_certain
            assert not (await wiped.read()).is_certain

    virtual_time.run_in_virtual_time(run, monkeypatch)


def test_replacing_a_wiped_voter_loses_no_accepted_document(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first, second, _ = network.replicas.values()
            network.cut_off_hosts = {SEEDS[2]}
            await first.put(5, b"five")
            network.cut_off_hosts = set()
            wiped = network.start(SEEDS[1], disk="empty", is_first_start=False)
            network.exchange_committed_states()
            desired_voters = tuple(
                sorted(
                    replica.identity for replica in network.replicas.values()
                )
            )
            third = network.replicas[SEEDS[2]]
            assert await third.change_voters(desired_voters)
            network.exchange_committed_states()
            assert third.voters == _register.Voters(3, desired_voters)
            # The first voter is lost, too, after the new voter has caught up.
            network.cut_off_hosts = {SEEDS[0]}
            for replica in (wiped, third):
                assert (await replica.read()).state.value == b"five"
            assert second.identity not in desired_voters

    virtual_time.run_in_virtual_time(run, monkeypatch)


def test_an_interrupted_change_of_voters_is_continued(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
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
            network.cut_off_hosts = {SEEDS[1], "10.0.0.4"}
            assert not (await first.put(2, b"two")).is_certain
            network.cut_off_hosts = set()
            assert not await second.change_voters((third.identity,))
            assert await second.change_voters(desired_voters)
            assert (await second.put(2, b"two")).is_certain

    virtual_time.run_in_virtual_time(run, monkeypatch)


def test_an_accepted_document_survives_a_restart_of_all_replicas(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            await network.replicas[SEEDS[0]].put(4, b"four")
            for host in SEEDS:
                # The last voter may accept after the proposal has ended.
                while KEY not in network.replicas[host].accepted_keys():
                    await anyio.sleep(0.001)
                network.replicas[host].close()
            for host in SEEDS:
                network.start(host, is_first_start=False)
            third = network.replicas[SEEDS[2]]
            assert third.committed_state(KEY).version == 0
            assert KEY in third.unconfirmed_keys()
            assert (await third.confirm(KEY)).state.value == b"four"

    virtual_time.run_in_virtual_time(run, monkeypatch)


def test_a_voter_that_cannot_write_does_not_answer(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first, second, third = network.replicas.values()

            def fail_with_full_disk(writes: object) -> None:
                raise OSError(28, "no space left")

            monkeypatch.setattr(second._store, "write", fail_with_full_disk)
            assert (await first.put(1, b"one")).is_certain
            monkeypatch.setattr(third._store, "write", fail_with_full_disk)
            assert not (await first.put(2, b"two")).is_certain
            assert second._acceptor_states.get(KEY) is None

    virtual_time.run_in_virtual_time(run, monkeypatch)
