"""Tests of replicas that call each other in memory."""

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
from bluebelltide.news import _calls

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
KEY = _deployment.DEPLOYMENT_KEY


class Network:
    """Carries calls between replicas, except to machines that are cut off."""

    def __init__(
        self, folder: pathlib.Path, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Creates a network without replicas."""
        self.folder = folder
        self.tasks = tasks
        self.replicas: dict[str, _deployment_replica.DeploymentReplica] = {}
        self.cut: set[str] = set()

    def start(
        self, host: str, disk: str = "", first: bool = True
    ) -> _deployment_replica.DeploymentReplica:
        """Starts a replica's process, on the disk of that name."""
        folder = self.folder / (disk or host)
        settings = _deployment_replica.ReplicaSettings(
            host, 7000, "dc", SEEDS, folder, first, 3, 9600
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
        if address.host in self.cut or address.host not in self.replicas:
            return None
        return await self.replicas[address.host].handle_call(receiver, request)

    def spread(self) -> None:
        """Lets every replica learn what any other knows to be committed."""
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


def test_an_accepted_version_is_read_everywhere(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first, second, third = network.replicas.values()
            assert (await first.put(3, b"three")).is_certain
            assert (await second.put(2, b"two")).state.version == 3
            # Other content under the held version is never in force.
            assert (await third.put(3, b"other")).is_certain
            for replica in (first, second, third):
                outcome = await replica.read()
                assert outcome.is_certain
                assert outcome.state.value == b"three"

    anyio.run(run)


def test_one_loss_is_borne_and_two_are_said(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first = network.replicas[SEEDS[0]]
            network.cut = {SEEDS[2]}
            assert (await first.put(1, b"one")).is_certain
            network.cut = {SEEDS[1], SEEDS[2]}
            assert not (await first.put(2, b"two")).is_certain
            assert not (await first.read()).is_certain
            network.cut = set()
            # A change without a clear answer may be sent again.
            assert (await first.put(2, b"two")).state.value == b"two"

    anyio.run(run)


def test_a_restarted_replica_offers_what_it_last_knew(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first = network.replicas[SEEDS[0]]
            spare = network.start("10.0.0.4", first=False)
            assert (await first.put(5, b"five")).is_certain
            network.spread()
            state = spare.unsaved_deployment()
            assert state is not None
            spare.save_deployment(state)
            assert spare.unsaved_deployment() is None
            # Voters find the state in their logs.
            voters = [
                host
                for host in SEEDS
                if network.replicas[host].unsaved_deployment() is None
            ]
            assert len(voters) >= 2

            network.cut = {*SEEDS, "10.0.0.4"}
            for host in (voters[0], "10.0.0.4"):
                network.replicas[host].close()
                again = network.start(host, first=False)
                wanted = _calls.Fetch(KEY, may_be_unconfirmed=True)
                answer = await again.handle_call("", wanted)
                assert isinstance(answer, _calls.Fetched)
                assert answer.state.value == b"five"
                # Nobody is told that it is committed or the newest.
                assert not answer.is_committed
                plain = await again.handle_call("", _calls.Fetch(KEY))
                assert isinstance(plain, _calls.Fetched)
                assert plain.state.version == 0
                assert not (await again.read()).is_certain

    anyio.run(run)


def test_a_damaged_copy_of_the_deployment_is_no_harm(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            spare = network.start("10.0.0.4", first=False)
            spare.close()
            (tmp_path / "10.0.0.4" / "deployment").write_bytes(b"\xff")
            again = network.start("10.0.0.4", first=False)
            assert again.newest_state(KEY).version == 0

    anyio.run(run)


def test_a_wiped_voter_has_another_identity_and_no_vote(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first = network.replicas[SEEDS[0]]
            network.cut = {SEEDS[2]}
            await first.put(1, b"one")
            old_identity = network.replicas[SEEDS[1]].identity
            wiped = network.start(SEEDS[1], disk="empty", first=False)
            assert wiped.identity != old_identity
            assert wiped.voters is None
            # The wiped machine must not help to form a quorum.
            assert not (await first.put(2, b"two")).is_certain
            assert not (await wiped.read()).is_certain

    anyio.run(run)


def test_a_wiped_voter_is_replaced_and_nothing_accepted_is_lost(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first, second, _ = network.replicas.values()
            network.cut = {SEEDS[2]}
            await first.put(5, b"five")
            network.cut = set()
            wiped = network.start(SEEDS[1], disk="empty", first=False)
            network.spread()
            wanted = tuple(
                sorted(
                    replica.identity for replica in network.replicas.values()
                )
            )
            third = network.replicas[SEEDS[2]]
            assert await third.change_voters(wanted)
            network.spread()
            assert third.voters == _register.Voters(3, wanted)
            # The first voter's disk is lost, too, after the catch-up.
            network.cut = {SEEDS[0]}
            for replica in (wiped, third):
                assert (await replica.read()).state.value == b"five"
            assert second.identity not in wanted

    anyio.run(run)


def test_a_step_that_was_cut_short_is_continued(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first, second, third = network.replicas.values()
            await first.put(1, b"one")
            fourth = network.start("10.0.0.4", first=False)
            network.spread()
            wanted = (first.identity, second.identity, fourth.identity)
            joint = _voters.VoterLists(first.voters.voters, wanted)  # type: ignore[union-attr]
            await first._set_voters(
                first.committed_state(_voters.VOTERS_KEY), joint
            )
            # During the step a quorum of both sets is needed.
            network.cut = {SEEDS[1], "10.0.0.4"}
            assert not (await first.put(2, b"two")).is_certain
            network.cut = set()
            assert not await second.change_voters((third.identity,))
            assert await second.change_voters(wanted)
            assert (await second.put(2, b"two")).is_certain

    anyio.run(run)


def test_what_was_accepted_survives_a_restart_of_all(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            await network.replicas[SEEDS[0]].put(4, b"four")
            for host in SEEDS:
                # The last vote may come after the answer.
                while KEY not in network.replicas[host].accepted_keys():
                    await anyio.sleep(0.001)
                network.replicas[host].close()
            for host in SEEDS:
                network.start(host, first=False)
            third = network.replicas[SEEDS[2]]
            assert third.committed_state(KEY).version == 0
            assert KEY in third.unconfirmed_keys()
            assert (await third.confirm(KEY)).state.value == b"four"

    anyio.run(run)


def test_a_voter_whose_disk_refuses_does_not_answer(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with open_network(tmp_path, monkeypatch) as network:
            first, second, third = network.replicas.values()

            def refuse(writes: object) -> None:
                raise OSError(28, "no space left")

            monkeypatch.setattr(second._store, "write", refuse)
            assert (await first.put(1, b"one")).is_certain
            monkeypatch.setattr(third._store, "write", refuse)
            assert not (await first.put(2, b"two")).is_certain
            assert second._acceptor_states.get(KEY) is None

    anyio.run(run)
