"""Tests of catalogue replicas over real links: kills, lost disks, voters."""

from collections.abc import Awaitable, Callable, Coroutine
import contextlib
import os
import pathlib
from typing import Any

import anyio
import anyio.abc
import pytest

from bluebelltide import _exceptions
from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide import _types
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store
from bluebelltide.control import _catalogue_replica
from bluebelltide.control import _service
from bluebelltide.peers import _frames
from bluebelltide.peers import _links

ANYWHERE = _types.Address("127.0.0.1", 0)
KEY = "drain/instance/entry-1"
VALUE = b'{"operator":"o","reason":"r"}'


Dialer = Callable[[_types.Address], Coroutine[Any, Any, None]]


@pytest.fixture(autouse=True)
def use_fast_disk(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes syncs immediate, so that no timeout depends on the disk.

    The replicas of these tests run in one process that never loses power.
    """
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)


class Cluster:
    """Replicas in one task group, each in a separate cancel scope."""

    def __init__(
        self, folder: pathlib.Path, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Creates an empty cluster."""
        self.folder = folder
        self.tasks = tasks
        self.replicas: dict[str, _catalogue_replica.CatalogueReplica] = {}
        self.addresses: dict[str, _types.Address] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self._dialers: dict[str, tuple[anyio.abc.TaskGroup, Dialer]] = {}

    async def start(
        self, name: str, is_new_catalogue: bool = True
    ) -> _catalogue_replica.CatalogueReplica:
        """Starts a replica and links it to the others."""
        folder = self.folder / name
        settings = _settings.ControlSettings(
            ANYWHERE,
            ANYWHERE,
            str(folder),
            (),
            ("c1", "c2", "c3"),
            change_timeout_ms=1000,
        )
        identity = _service.load_or_create_identity(
            folder, name, is_new_catalogue
        )
        metrics = _metrics.create_metrics(None, "test")
        replica = _catalogue_replica.CatalogueReplica(
            settings, identity, _store.Store(folder), metrics
        )
        replica.start()
        self.replicas[name] = replica
        self.scopes[name] = anyio.CancelScope()
        await self.tasks.start(self._run, name, replica, metrics)
        await self.wait_for(lambda: self.is_meshed())
        return replica

    def is_meshed(self) -> bool:
        count = len(self.replicas) - 1
        return all(
            len(r.replica_links) >= count for r in self.replicas.values()
        )

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        with anyio.fail_after(10):
            while not condition():
                await anyio.sleep(0.02)

    async def _run(
        self,
        name: str,
        replica: _catalogue_replica.CatalogueReplica,
        metrics: _metrics.Metrics,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        hello = _frames.Hello("control", name, replica.identity, "dc")

        async def incoming(link: _links.Link) -> None:
            await replica.serve_replica(link, is_outgoing=False)

        async def outgoing(link: _links.Link) -> None:
            await replica.serve_replica(link, is_outgoing=True)

        async def dial(address: _types.Address) -> None:
            await _links.maintain_link(address, None, hello, metrics, outgoing)

        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(self.scopes[name])
            listening = _links.serve_links(
                ANYWHERE, None, hello, metrics, incoming
            )
            address = await stack.enter_async_context(listening)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            for other_name, other_address in self.addresses.items():
                tasks.start_soon(dial, other_address)
                self._dial_back(other_name, address)
            self.addresses[name] = address
            self._dialers[name] = (tasks, dial)
            task_status.started()
            await anyio.sleep_forever()
        self.addresses.pop(name, None)
        replica.close()

    def _dial_back(self, name: str, address: _types.Address) -> None:
        tasks, dial = self._dialers[name]
        tasks.start_soon(dial, address)

    async def kill(self, name: str) -> None:
        """Ends a replica without a graceful stop."""
        self.scopes[name].cancel()
        del self.replicas[name]
        self.addresses.pop(name, None)
        await anyio.sleep(0.1)


def make_change(number: int, base_version: int) -> _register.Change:
    return _register.Change(f"id-{number}", KEY, base_version, VALUE)


def run_cluster(
    folder: pathlib.Path, test: Callable[[Cluster], Awaitable[None]]
) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(folder, tasks)
            for name in ("c1", "c2", "c3"):
                await cluster.start(name)
            await test(cluster)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_changes_survive_kills_and_may_be_resent(
    tmp_path: pathlib.Path,
) -> None:
    async def test(cluster: Cluster) -> None:
        c1 = cluster.replicas["c1"]
        assert (await c1.change(make_change(1, 0))).version == 1
        await cluster.kill("c3")
        assert (await c1.change(make_change(2, 1))).version == 2
        c2 = cluster.replicas["c2"]
        assert (await c2.change(make_change(2, 1))).version == 2
        conflict = await c2.change(make_change(3, 1))
        assert conflict.code == _exceptions.ErrorCode.CONFLICT
        await cluster.kill("c2")
        without_quorum = await c1.change(make_change(4, 2))
        assert without_quorum.code == _exceptions.ErrorCode.NO_QUORUM
        restarted = await cluster.start("c3")
        assert (await restarted.change(make_change(4, 2))).version == 3

    run_cluster(tmp_path, test)


def test_a_replica_with_an_empty_disk_does_not_vote(
    tmp_path: pathlib.Path,
) -> None:
    async def test(cluster: Cluster) -> None:
        c1 = cluster.replicas["c1"]
        for number in range(20):
            assert (await c1.change(make_change(number, number))).code is None
        await cluster.kill("c3")
        for path in (tmp_path / "c3").iterdir():
            path.unlink()
        wiped = await cluster.start("c3", is_new_catalogue=False)
        assert wiped.identity.startswith("c3.")
        assert not wiped.is_voter
        await cluster.kill("c2")
        without_quorum = await c1.change(make_change(50, 20))
        assert without_quorum.code == _exceptions.ErrorCode.NO_QUORUM
        c2 = await cluster.start("c2")
        await c2.change_voters(("c1", "c2", wiped.identity))
        await cluster.wait_for(lambda: wiped.is_voter)
        await cluster.kill("c1")
        accepted = await c2.change(make_change(51, 20))
        assert accepted.code is None
        assert accepted.version == 21
        assert (await wiped.read(KEY)).version == 21

    run_cluster(tmp_path, test)


@pytest.mark.parametrize("count", [500])
def test_a_restart_after_many_changes_keeps_the_newest_version(
    tmp_path: pathlib.Path, count: int
) -> None:
    async def test(cluster: Cluster) -> None:
        c1 = cluster.replicas["c1"]
        for number in range(count):
            assert (await c1.change(make_change(number, number))).code is None
        for name in ("c1", "c2", "c3"):
            await cluster.kill(name)
        first = await cluster.start("c1")
        await cluster.start("c2")
        assert (await first.read(KEY)).version == count
        conflict = await first.change(make_change(9999, count - 1))
        assert conflict.code == _exceptions.ErrorCode.CONFLICT

    run_cluster(tmp_path, test)
