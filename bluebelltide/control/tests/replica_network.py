"""A network of deployment replicas that call each other in memory."""

from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import pathlib

import anyio
import anyio.abc
import pytest

from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _store
from bluebelltide.control import _deployment_replica
from bluebelltide.control import _voters
from bluebelltide.messaging import _calls

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
KEY = _deployment.DEPLOYMENT_KEY
EVACUATIONS_KEY = _evacuations.EVACUATIONS_KEY


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
                for key in (KEY, EVACUATIONS_KEY, _voters.VOTERS_KEY):
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


RunInNetwork = Callable[[Callable[[Network], Awaitable[None]]], None]
"""Runs a test of replicas that are connected by a network."""
